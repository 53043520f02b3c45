/**
 * @file
 * Simulates gates and backend servers in virtual time, for randomised tests and for benchmarks that compare the scheduler with baseline routing policies.
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
#include "routing/open_request_aggregator.h"
#include "routing/request_scheduler.h"
#include "routing/usage_tree.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace reedtrail::testing {

/** How the server of a request is chosen; all but Scheduler are baselines. */
enum class routing_policy : std::uint8_t {
    Scheduler, ///< By request_scheduler.
    Random,
    RoundRobin,
    LeastReported, ///< Server with the least reported load.
    PowerOfTwo, ///< Of two random servers the one with less reported load.
    Omniscient, ///< By a central router that knows the exact state of all queues and caches.
};

/** Configuration of the fleet. */
struct fleet_setup
{
    std::uint32_t gates = 8;
    std::uint32_t servers = 20;
    std::uint32_t zones = 4;
    std::vector<double> customerWeights{ 1 };
    routing_policy policy = routing_policy::Scheduler;
    harness::fake_server_options server;
    scheduler_options scheduler;
    duration networkDelay = std::chrono::microseconds(1500); ///< One-way delay within a zone; twice as long between zones.
    duration reportPeriod = std::chrono::milliseconds(500); ///< Time between two load reports of a server.
    duration reportLag = std::chrono::seconds(1); ///< Age of load reports and cache events when they arrive.
    double cacheEventGap = 0.01; ///< Share of cache events that are lost and arrive as a gap.
    bool hasOpenSums = false; ///< Whether open requests are counted; gate i % gates watches server i.
    duration openSumsPeriod = std::chrono::milliseconds(50); ///< Time between two reports of open requests.
    bool hasRetries = true; ///< Whether the baselines retry: up to two more attempts, immediately and without a budget.
};

/** A simulated request. */
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

/** Progress and result of a request. */
struct request_record
{
    std::uint32_t gate = 0;
    std::uint32_t customer = 0;
    std::uint32_t blocks = 0; ///< Number of prefix blocks that may be cached.
    std::uint32_t cached = 0; ///< Number of blocks that were cached on the server.
    std::uint32_t attempts = 0;
    std::uint32_t ends = 0; ///< Number of answers and refusals; must become 1.
    std::uint32_t starts = 0; ///< Number of attempts that a server started.
    bool isIdempotent = true;
    bool isAnswered = false;
    error_kind refused = error_kind::None;
    duration retryAfter{};
    time_point arrivedAt;
    time_point deadline;
    time_point firstTokenAt = timeNever;
    time_point endedAt = timeNever;
};

/** The simulated fleet. */
class virtual_fleet
{
public:
    virtual_fleet(harness::virtual_time &world, fleet_setup setup, std::uint64_t seed);
    ~virtual_fleet();

    /** Starts load reports, usage exchange and timers. */
    void start();
    /** Submits a request to a gate now. @return the index of its record, or SIZE_MAX if the gate is down */
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
    /** Stops a gate permanently; its requests fail, and its node no longer takes part in the usage tree. */
    void killGate(std::uint32_t gate);
    /** Partitions a gate from all other nodes but not from the servers, or heals the partition. */
    void isolateGate(std::uint32_t gate, bool isIsolated);
    /** Stops a server; it is silent until restartServer(). */
    void crashServer(std::uint32_t server);
    /** Starts a stopped server again. */
    void restartServer(std::uint32_t server);
    /** Returns the busy slot-seconds of all servers. */
    double busySeconds() const;
    /** Returns the bytes of usage messages sent so far. */
    std::uint64_t usageBytes() const
    {
        return m_usageBytes;
    }
    /** Returns the bytes of open reports and totals sent so far. */
    std::uint64_t openSumBytes() const
    {
        return m_openSumBytes;
    }
    /** Called when a request ends, with its index. */
    std::function<void(std::size_t)> onEnd;
    /** Called when a server starts an attempt, with the indexes of the request and the server. */
    std::function<void(std::size_t, std::uint32_t)> onStart;

private:
    struct gate_state
    {
        node_id node;
        zone_id zone;
        std::unique_ptr<request_scheduler> scheduler;
        std::unique_ptr<usage_tree> tree;
        std::unique_ptr<open_request_aggregator> sums;
        request_scheduler::actions actions;
        std::vector<double> reportedLoad; ///< Reported load by server, for the baselines.
        std::uint32_t nextServer = 0; ///< Next server of RoundRobin; 0 before the first request.
        time_point timerAt = timeNever;
        bool isUp = true;
        bool isIsolated = false;
    };
    struct open_request
    {
        fleet_request request;
        std::uint32_t server = 0; ///< Server of the attempt, for the baselines.
    };
    void perform(std::uint32_t gate);
    void send(std::size_t index, std::uint32_t server, std::uint32_t attempt, std::int32_t priority);
    void onServerEnd(std::size_t index, std::uint32_t server, std::uint32_t attempt, harness::fake_end end);
    void finish(std::size_t index, bool isAnswered, error_kind kind);
    void armTimer(std::uint32_t gate);
    void reportLoad(std::uint32_t server);
    void tickOpenSums(std::uint32_t gate);
    void tickUsage(std::uint32_t gate);
    void deliverUsage(std::uint32_t from, const std::vector<usage_send> &sends);
    void sendByBaseline(std::size_t index);
    std::uint32_t chooseByBaseline(std::uint32_t gate, const fleet_request &request);
    std::uint32_t chooseOmniscient(const fleet_request &request);
    fleet_document makeDocument() const;
    duration delayBetween(std::uint32_t gate, std::uint32_t server) const;

    harness::virtual_time &m_world;
    fleet_setup m_setup;
    random_source m_random;
    std::vector<std::unique_ptr<harness::fake_server>> m_servers;
    std::vector<std::uint32_t> m_inTransit; ///< Number of requests that have been sent but not yet received, by server.
    std::vector<std::unique_ptr<gate_state>> m_gates;
    std::vector<request_record> m_records;
    std::vector<open_request> m_open;
    std::uint64_t m_usageBytes = 0;
    std::uint64_t m_openSumBytes = 0;
};

} // namespace reedtrail::testing
