/**
 * @file
 * Brings a run's newest weights to all servers of its pool: staged early within the weight store's rate, switched at once. Pure core on the owner's node.
 *
 *     weight_rollout rollout(run, {});
 *     perform(rollout.onEvent(now, rollout_input::servers_changed{...}));
 *     perform(rollout.onEvent(now, rollout_input::ownership_gained{epoch, leaseUntil}));
 *     perform(rollout.onEvent(now, rollout_input::version_published{42}));
 *
 * Orders go to one deputy a zone (weights/weight_deputy.h) and are idempotent and monotone: repeating one, or a late older one, does no harm. What a sample
 * says of its versions never depends on any of this; it comes from the engines' own words.
 */
#pragma once

#include "base/decision_log.h"
#include "base/ids.h"
#include "base/time.h"
#include "weights/rollout_machine.h"
#include "weights/staging_rate_limiter.h"
#include "weights/weight_messages.h"

#include <map>
#include <nlohmann/json.hpp>
#include <variant>
#include <vector>

namespace reedtrail {

/** Times of a rollout. */
struct rollout_options
{
    bool isStaged = true; ///< Otherwise servers draw a version while they switch to it.
    duration stagePatience = std::chrono::minutes(4); ///< After this the switch goes on without servers that have not staged.
    duration stageTimeout = std::chrono::seconds(60); ///< A server that has not staged by then is asked again.
    duration switchTimeout = std::chrono::seconds(5); ///< The same for a switch.
    duration switchPatience = std::chrono::seconds(20); ///< After this the next version is staged although some servers have not switched.
    duration leaseMargin = std::chrono::milliseconds(500); ///< Left of the lease when an order for a server that ignores fencing numbers is sent.
    duration longestFlight = std::chrono::seconds(3); ///< Longest time an order can be on its way; a link silent for longer is closed.
    duration leaseLength = std::chrono::seconds(5); ///< Of an earlier owner, waited out before the first order to servers that ignore fencing numbers.
    duration firstRetry = std::chrono::milliseconds(200); ///< After a switch that failed; doubled with each further failure up to repeatInterval.
    duration repeatInterval = std::chrono::seconds(2); ///< Between repeats of orders a zone has not confirmed.
};

/** A server as the rollout needs to know it. */
struct rollout_server
{
    server_id id;
    zone_id zone;
    bool checksFencing = false;
};

namespace rollout_input {

/** The servers of the run's pool, and the run's share of the weight store's rate. */
struct servers_changed
{
    pool_id pool;
    std::vector<rollout_server> servers;
    double bytesPerSecond = 0;
    double shardBytes = 0;
};

/** This node owns the run. */
struct ownership_gained
{
    epoch_number epoch = 0;
    time_point leaseUntil;
    bool isFirstOwner = false; ///< Nobody owned the run before, so there is nobody to wait out.
};

/** The lease was prolonged. */
struct lease_renewed
{
    time_point leaseUntil;
};

/** This node no longer owns the run. */
struct ownership_lost
{
};

/** The weight store has a version. */
struct version_published
{
    weight_version version = 0;
};

/** A deputy reported. */
struct zone_reported
{
    weight_report report;
};

/** The time given by nextDeadline() has come. */
struct timer
{
};

} // namespace rollout_input

/** Everything a rollout can be told. */
using rollout_event_item = std::variant<rollout_input::servers_changed,
                                        rollout_input::ownership_gained,
                                        rollout_input::lease_renewed,
                                        rollout_input::ownership_lost,
                                        rollout_input::version_published,
                                        rollout_input::zone_reported,
                                        rollout_input::timer>;

/** Send an order to the deputy of a zone. */
struct zone_order
{
    zone_id zone;
    weight_order order;
};

/** The rollout of one run's weights. */
class weight_rollout
{
public:
    weight_rollout(run_id run, rollout_options options, decision_log *log = nullptr);

    /** Handles one event. @return orders for deputies */
    std::vector<zone_order> onEvent(time_point now, const rollout_event_item &event);
    /** Returns when a timer event is wanted next; timeNever if none is. */
    time_point nextDeadline() const;

    rollout_phase phase() const
    {
        return m_machine.phase();
    }
    /** Returns the version that servers are switched to; 0 before the first. */
    weight_version switchedTo() const
    {
        return m_switchVersion;
    }
    /** Returns the newest version known to be published. */
    weight_version published() const
    {
        return m_published;
    }
    /** Returns the newest version that any server reports to serve. */
    weight_version newestServed() const;
    /** Returns how many servers serve @p version or a newer one. */
    std::size_t serversAt(weight_version version) const;
    /** Returns servers whose version is not known, or that were told to switch and have not reported it yet: they take no sampling work. */
    std::vector<server_id> serversExcludedFromSampling() const;
    /** Returns how often a server was seen to fall back to an older version than it was switched to. */
    std::uint64_t regressions() const
    {
        return m_regressions;
    }
    nlohmann::json dump() const;

private:
    /** The newest report of a zone. */
    struct report_mark
    {
        std::string deputy;
        std::uint64_t number = 0;
    };
    struct server_progress
    {
        rollout_server settings;
        server_weights seen;
        bool isHeard = false;
        weight_version stageOrdered = 0;
        time_point stageOrderedAt{};
        weight_version switchOrdered = 0;
        time_point switchOrderedAt{};
    };

    void handle(const rollout_input::servers_changed &event);
    void handle(const rollout_input::ownership_gained &event);
    void handle(const rollout_input::lease_renewed &event);
    void handle(const rollout_input::ownership_lost &event);
    void handle(const rollout_input::version_published &event);
    void handle(const rollout_input::zone_reported &event);
    void handle(const rollout_input::timer &event);

    void proceed();
    void stageServers();
    bool isStagingDone() const;
    void switchServers();
    bool isSwitchDone() const;
    std::vector<duration> drawsUnderWay() const;
    bool mayOrder(const server_progress &server) const;
    bool isBehind(const server_progress &server) const;
    bool isSwitching(const server_progress &server) const;
    duration retryDelay(const server_progress &server) const;
    void addOrder(const server_progress &server, std::string_view operation, weight_version version);
    void sendOrders();

    run_id m_run;
    rollout_options m_options;
    decision_log *m_log;
    rollout_machine m_machine;
    staging_rate_limiter m_stagingLimiter;
    time_point m_now;
    pool_id m_pool;
    std::map<server_id, server_progress> m_servers;
    std::map<zone_id, report_mark> m_reports;
    epoch_number m_epoch = 0;
    time_point m_leaseUntil;
    time_point m_waitedOutAt; ///< From then on no order of an earlier owner can still arrive.
    weight_version m_published = 0;
    weight_version m_target = 0; ///< Being staged, or the last staged.
    weight_version m_switchVersion = 0;
    time_point m_stagingSince;
    time_point m_switchingSince;
    std::uint64_t m_regressions = 0;
    std::map<std::pair<zone_id, std::string>, weight_order> m_orders; ///< Gathered while one event is handled, by zone and operation.
    std::vector<zone_order> m_out;
};

} // namespace reedtrail
