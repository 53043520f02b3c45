/**
 * @file
 * Simulates backend servers, weight deputies and competing run owners in virtual time around the real weight_rollout and weight_deputy, for randomised tests
 * and benchmarks.
 *
 *     fake_servers servers({.servers = 600, .zones = 5});
 *     servers.publish(7);
 *     servers.runFor(std::chrono::minutes(2));
 *     servers.serversAt(7) == 600
 */
#pragma once

#include "harness/lossy_network.h"
#include "weights/weight_deputy.h"
#include "weights/weight_rollout.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace reedtrail::harness {

/** Sizes and behaviour of the simulation. */
struct fake_servers_options
{
    std::uint64_t seed = 1;
    std::size_t servers = 20;
    std::size_t zones = 2;
    double fencingShare = 0.5; ///< Share of servers that check fencing tokens.
    double slowShare = 0.1; ///< Share of slow servers.
    double slowServerFactor = 2; ///< Factor by which a slow server's downloads and swaps take longer.
    double partialFailureShare = 0; ///< Share of switches that fail partway and leave the version unknown.
    double bytesPerSecond = 20e9; ///< Rate of the weight store.
    double shardBytes = 2e9; ///< Size of one server's download of a version.
    double linkBytesPerSecond = 2e9; ///< Link rate of one server.
    duration switchTime = std::chrono::milliseconds(900);
    duration loadReportDelay = std::chrono::milliseconds(100); ///< Age of a load report when the deputy receives it.
    double delayedOrderShare = 0; ///< Share of orders that reach a server with a delay of up to 20 s.
    std::size_t runs = 1;
    network_options network{};
    rollout_options rollout{};
};

/** The simulated servers, their deputies and the owners of the runs. */
class fake_servers
{
public:
    explicit fake_servers(fake_servers_options options);
    ~fake_servers();

    virtual_time &world()
    {
        return m_world;
    }
    lossy_network &network()
    {
        return m_network;
    }
    /** Publishes a version of run @p run. */
    void publish(weight_version version, std::size_t run = 0);
    /** Advances virtual time by @p span. */
    void runFor(duration span);
    /** Lets a new owner take over all runs while the previous one still believes that it owns them. @param leaseLeft time until the previous lease expires */
    void takeOver(duration leaseLeft);
    /** Pauses the newest owner for @p span; its lease is not renewed in that time. */
    void pauseOwner(duration span);
    /** Partitions a zone from all owners, or heals the partition. */
    void partitionZone(std::size_t zone, bool isPartitioned);
    /** Restarts a server with its base version and nothing staged. */
    void restartServer(std::size_t server);
    /** Returns how many servers actually serve @p version or a newer one. */
    std::size_t serversAt(weight_version version, std::size_t run = 0) const;
    /** Returns how many servers have an unknown version without being excluded from sampling by the newest owner. */
    std::size_t unknownInSampling() const;
    /** Returns how many orders of an earlier owner were executed by servers that do not check fencing tokens. */
    std::uint64_t staleOrdersExecuted() const
    {
        return m_staleOrdersExecuted;
    }
    /** Returns the largest share of a zone's servers that swapped at once. */
    double maxSwappingShare() const
    {
        return m_maxSwappingShare;
    }
    /** Returns the highest total download rate so far. */
    double peakBytesPerSecond() const
    {
        return m_peakDownloadRate;
    }
    /** Returns when the first order to switch to @p version was sent; nullopt if none was. */
    std::optional<time_point> switchStartedAt(weight_version version) const;
    /** Returns the newest owner's rollout of run @p run. */
    const weight_rollout &rollout(std::size_t run = 0) const;
    /** Returns the number of messages sent between owners and deputies. */
    std::uint64_t messages() const
    {
        return m_network.sent();
    }

private:
    struct server
    {
        server_id id;
        std::size_t zone = 0;
        bool checksFencing = false;
        double slowFactor = 1;
        bool isSwapping = false;
        std::uint64_t incarnation = 1;
        std::map<std::size_t, weight_version> versions; ///< Served version by run; 0 after a switch that failed partway.
        std::map<std::size_t, std::set<weight_version>> staged; ///< Staged versions by run.
        std::map<std::size_t, epoch_number> fencing; ///< Highest epoch received by run.
    };
    struct run_owner
    {
        std::string name;
        epoch_number epoch = 0;
        time_point leaseUntil{};
        bool isPaused = false;
        bool isLeaseExpired = false; ///< Whether the lease has expired and another owner holds the runs.
        std::vector<std::unique_ptr<weight_rollout>> rollouts;
        std::vector<std::function<void()>> deferred; ///< Events that arrived during the pause.
    };
    struct deputy
    {
        std::string name;
        std::unique_ptr<weight_deputy> core;
        time_point timerAt = timeNever;
        std::uint64_t timerGeneration = 0;
    };

    void addOwner(bool isFirst);
    void notifyRollout(std::size_t owner, std::size_t run, const rollout_event_item &event);
    void deliver(std::size_t owner, std::function<void()> action);
    void scheduleTick(std::size_t owner);
    void notifyDeputy(std::size_t zone, const deputy_event &event);
    void armDeputyTimer(std::size_t zone);
    void perform(std::size_t zone, const deputy_action::order_server &order);
    void perform(std::size_t zone, const deputy_action::read_load &read);
    void perform(std::size_t zone, const deputy_action::report &report);
    void execute(std::size_t zone, std::size_t index, const deputy_action::order_server &order);
    void stage(std::size_t zone, std::size_t index, const deputy_action::order_server &order);
    void swap(std::size_t zone, std::size_t index, const deputy_action::order_server &order);
    void finishSwap(std::size_t zone, std::size_t index, const deputy_action::order_server &order, std::uint64_t incarnation);
    void answer(std::size_t zone, const deputy_action::order_server &order, deputy_input::order_answered::outcome outcome);
    void addDownloadRate(double rate);
    static std::size_t runIndex(const run_id &run);

    fake_servers_options m_options;
    virtual_time m_world;
    random_source m_random;
    lossy_network m_network;
    std::vector<server> m_servers;
    std::map<server_id, std::size_t> m_serverIndex;
    std::vector<deputy> m_deputies;
    std::vector<run_owner> m_owners;
    std::map<std::size_t, weight_version> m_published;
    std::map<weight_version, time_point> m_switchStartedAt;
    std::uint64_t m_staleOrdersExecuted = 0;
    double m_downloadRate = 0;
    double m_peakDownloadRate = 0;
    double m_maxSwappingShare = 0;
};

} // namespace reedtrail::harness
