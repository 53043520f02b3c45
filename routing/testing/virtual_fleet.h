/**
 * @file
 * Gates and backend servers in virtual time, for randomised runs and policy benchmarks of the scheduler, and the simple policies it is compared with.
 *
 *     virtual_time world;
 *     virtual_fleet fleet(world, {.gates = 8, .servers = 20}, seed);
 *     fleet.start();
 *     fleet.submit(3, {.customer = 0, .tokens = 200});      // arrives at gate 3 now
 *     world.runUntil(...);
 *     fleet.records() ...
 */
#pragma once

#include "base/random.h"
#include "harness/fake_server.h"
#include "harness/virtual_time.h"
#include "routing/open_sums.h"
#include "routing/request_scheduler.h"
#include "routing/usage_tree.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace reedtrail::testing {

/** Who chooses the server. */
enum class routing_policy : std::uint8_t {
    Scheduler, ///< request_scheduler.
    Random,
    RoundRobin,
    LeastReported, ///< The server with the least reported load.
    PowerOfTwo, ///< The one of two random servers with less reported load.
    Omniscient, ///< One router for all gates that sees every queue and cache as it is.
};

/** What the fleet is like. */
struct fleet_setup
{
    std::uint32_t gates = 8;
    std::uint32_t servers = 20;
    std::uint32_t zones = 4;
    std::vector<double> customerWeights{ 1 };
    routing_policy policy = routing_policy::Scheduler;
    harness::fake_server_options server;
    scheduler_options scheduler;
    duration networkDelay = std::chrono::microseconds(1500); ///< One way.
    duration reportPeriod = std::chrono::milliseconds(500);
    duration reportLag = std::chrono::seconds(1);
    double cacheEventGap = 0.01; ///< Share of cache events that are lost.
    bool hasOpenSums = false; ///< Whether watchers count open requests; server i is watched by gate i modulo gates.
    duration openSumsPeriod = std::chrono::milliseconds(50);
    bool hasRetries = true; ///< Of the simple policies: two more attempts at once, without a budget.
};

/** A request of the workload. */
struct fleet_request
{
    std::uint32_t customer = 0;
    double tokens = 100;
    double expectedTokens = 0;
    std::uint32_t promptBlocks = 0;
    std::vector<std::uint64_t> prefixHashes;
    bool isInteractive = true;
    bool isIdempotent = true;
    duration deadline = std::chrono::seconds(30);
    std::string run;
};

/** What became of a request. */
struct request_record
{
    std::uint32_t gate = 0;
    std::uint32_t customer = 0;
    std::uint32_t blocks = 0; ///< Prefix blocks it could have found cached.
    std::uint32_t cached = 0;
    std::uint32_t attempts = 0;
    std::uint32_t ends = 0; ///< Answers and refusals given; must become 1.
    std::uint32_t starts = 0; ///< Attempts that a server began.
    bool isIdempotent = true;
    bool isAnswered = false;
    error_kind refused = error_kind::None;
    duration retryAfter{};
    time_point arrivedAt;
    time_point deadline;
    time_point firstTokenAt = timeNever;
    time_point endedAt = timeNever;
};

/** The fleet. */
class virtual_fleet
{
public:
    virtual_fleet(harness::virtual_time &world, fleet_setup setup, std::uint64_t seed);
    ~virtual_fleet();

    /** Begins reports, usage sums and timers. */
    void start();
    /** Hands a request to a gate now. @return its record's index, or SIZE_MAX if the gate is down */
    std::size_t submit(std::uint32_t gate, fleet_request request);
    const std::vector<request_record> &records() const
    {
        return m_records;
    }
    harness::fake_server &server(std::uint32_t index)
    {
        return *m_servers[index];
    }
    request_scheduler &scheduler(std::uint32_t gate)
    {
        return *m_gates[gate]->scheduler;
    }
    const fleet_setup &setup() const
    {
        return m_setup;
    }
    /** Stops a gate for good: its requests end with it, and its node leaves the usage tree. */
    void killGate(std::uint32_t gate);
    /** Cuts a gate off from all other nodes, not from the servers. */
    void isolateGate(std::uint32_t gate, bool isCut);
    /** Stops or starts a server; it is silent while stopped. */
    void crashServer(std::uint32_t server);
    void restartServer(std::uint32_t server);
    /** Returns the slot-seconds worked by all servers. */
    double busySeconds() const;
    /** Returns the bytes and messages of usage sums sent so far. */
    std::uint64_t usageBytes() const
    {
        return m_usageBytes;
    }
    /** Returns the bytes of open counts and their sums sent so far. */
    std::uint64_t openSumBytes() const
    {
        return m_openSumBytes;
    }
    /** Called at each end of a request, with its index. */
    std::function<void(std::size_t)> onEnd;
    /** Called when a server begins an attempt of a request. */
    std::function<void(std::size_t, std::uint32_t)> onStart;

private:
    struct gate_state
    {
        node_id node;
        zone_id zone;
        std::unique_ptr<request_scheduler> scheduler;
        std::unique_ptr<usage_tree> tree;
        std::unique_ptr<open_sums> sums;
        request_scheduler::actions actions;
        std::vector<double> reported; ///< Of the simple policies.
        std::uint32_t turn = 0;
        time_point timerAt = timeNever;
        bool isUp = true;
        bool isCut = false;
    };
    struct open_request
    {
        fleet_request request;
        std::uint32_t server = 0; ///< Of the simple policies' attempt.
    };
    void perform(std::uint32_t gate);
    void send(std::size_t index, std::uint32_t server, std::uint32_t attempt, std::int32_t priority);
    void onServerEnd(std::size_t index, std::uint32_t server, std::uint32_t attempt, harness::fake_end end);
    void finish(std::size_t index, bool isAnswered, error_kind kind);
    void armTimer(std::uint32_t gate);
    void reportLoad(std::uint32_t server);
    void tickOpenSums(std::uint32_t gate);
    void tickUsage(std::uint32_t gate);
    void carry(std::uint32_t from, const std::vector<usage_send> &sends);
    void sendSimply(std::size_t index);
    std::uint32_t chooseSimply(std::uint32_t gate, const fleet_request &request);
    std::uint32_t chooseOmnisciently(const fleet_request &request);
    fleet_document makeDocument() const;
    duration delayBetween(std::uint32_t gate, std::uint32_t server) const;

    harness::virtual_time &m_world;
    fleet_setup m_setup;
    random_source m_random;
    std::vector<std::unique_ptr<harness::fake_server>> m_servers;
    std::vector<std::uint32_t> m_underWay; ///< By server: sent by the omniscient router and not yet arrived.
    std::vector<std::unique_ptr<gate_state>> m_gates;
    std::vector<request_record> m_records;
    std::vector<open_request> m_open;
    std::uint64_t m_usageBytes = 0;
    std::uint64_t m_openSumBytes = 0;
};

} // namespace reedtrail::testing
