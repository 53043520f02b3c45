/**
 * @file
 * Rolls out a run's newest weights to all servers of its pool: servers stage them within the weight store's rate, then all switch at once. Runs on the node
 * that owns the run; does no I/O and reads no clock.
 *
 *     weight_rollout rollout(run, {});
 *     perform(rollout.onEvent(now, rollout_input::servers_changed{...}));
 *     perform(rollout.onEvent(now, rollout_input::ownership_gained{epoch, leaseUntil}));
 *     perform(rollout.onEvent(now, rollout_input::version_published{42}));
 *
 * Orders go to one deputy in each zone (weights/weight_deputy.h). They are idempotent and their versions only increase, so a repeated or delayed order has no
 * effect. The versions recorded with a sample do not depend on the rollout: they come from the backend server that generated it.
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

/** Options of a rollout. */
struct rollout_options
{
    bool isStaged = true; ///< Whether servers stage a version first; otherwise they download it during the switch.
    /** Limit on staging; after it the switch starts without the servers that have not staged, if at least half have. */
    duration maxStagingTime = std::chrono::minutes(4);
    duration stageTimeout = std::chrono::seconds(60); ///< An unconfirmed stage order is repeated after this time.
    duration switchTimeout = std::chrono::seconds(5); ///< An unconfirmed switch order is repeated after this time.
    duration maxSwitchingTime = std::chrono::seconds(20); ///< Limit on switching; after it the next version is staged although some servers have not switched.
    duration leaseMargin = std::chrono::milliseconds(500); ///< Least remaining lease time for sending an order to a server that ignores fencing tokens.
    duration maxMessageDelay = std::chrono::seconds(3); ///< Longest delay of an order in transit; a link that is silent for longer is closed.
    /** Lease of the previous owner; must expire before servers that ignore fencing tokens get their first order. */
    duration leaseDuration = std::chrono::seconds(5);
    duration firstRetryDelay = std::chrono::milliseconds(200); ///< Delay after a failed switch; doubles with each further failure up to resendInterval.
    duration resendInterval = std::chrono::seconds(2); ///< Longest time between two checks for orders to repeat.
};

/** A server of the run's pool. */
struct rollout_server
{
    server_id id;
    zone_id zone;
    bool checksFencing = false; ///< Whether the server refuses orders with an older fencing token.
};

namespace rollout_input {

/** The servers of the run's pool, or the run's share of the weight store's rate, have changed. */
struct servers_changed
{
    pool_id pool;
    std::vector<rollout_server> servers;
    double bytesPerSecond = 0;
    double shardBytes = 0;
};

/** This node now owns the run. */
struct ownership_gained
{
    epoch_number epoch = 0;
    time_point leaseUntil;
    bool isFirstOwner = false; ///< Whether the run had no owner before, so that no earlier lease has to expire.
};

/** The lease was renewed. */
struct lease_renewed
{
    time_point leaseUntil;
};

/** This node no longer owns the run. */
struct ownership_lost
{
};

/** A version was published in the weight store. */
struct version_published
{
    weight_version version = 0;
};

/** A deputy sent a report. */
struct zone_reported
{
    weight_report report;
};

/** The time given by nextDeadline() has passed. */
struct timer
{
};

} // namespace rollout_input

/** Any input event of a rollout. */
using rollout_event_item = std::variant<rollout_input::servers_changed,
                                        rollout_input::ownership_gained,
                                        rollout_input::lease_renewed,
                                        rollout_input::ownership_lost,
                                        rollout_input::version_published,
                                        rollout_input::zone_reported,
                                        rollout_input::timer>;

/** An order to be sent to the deputy of a zone. */
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

    /** Handles one event. @return the orders to send to deputies now */
    std::vector<zone_order> onEvent(time_point now, const rollout_event_item &event);
    /** Returns when the next timer event is due; timeNever if none is. */
    time_point nextDeadline() const;

    rollout_phase phase() const
    {
        return m_machine.phase();
    }
    /** Returns the version that servers are ordered to serve; 0 before the first switch. */
    weight_version switchedTo() const
    {
        return m_switchVersion;
    }
    /** Returns the newest version known to be published; 0 if none. */
    weight_version published() const
    {
        return m_published;
    }
    /** Returns the newest version that any server reports to serve; 0 if none. */
    weight_version newestServed() const;
    /** Returns how many servers serve @p version or a newer one. */
    std::size_t serversAt(weight_version version) const;
    /** Returns the servers that must get no sampling requests: their version is unknown, or they were ordered to switch and have not reported it yet. */
    std::vector<server_id> serversExcludedFromSampling() const;
    /** Returns how often a server reported an older version after it had served the one ordered. */
    std::uint64_t regressions() const
    {
        return m_regressions;
    }
    /** Returns the state for diagnostics. */
    nlohmann::json dump() const;

private:
    /** Identifies the newest report of a zone. */
    struct report_id
    {
        std::string deputy;
        std::uint64_t number = 0;
    };
    struct server_progress
    {
        rollout_server settings;
        server_weights reported;
        bool hasReported = false;
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

    void advance();
    void stageServers();
    bool isStagingDone() const;
    void switchServers();
    bool isSwitchDone() const;
    std::vector<duration> activeDownloads() const;
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
    std::map<zone_id, report_id> m_lastReports;
    epoch_number m_epoch = 0;
    time_point m_leaseUntil;
    time_point m_previousOwnerGoneAt; ///< From then on no order of the previous owner can still arrive.
    weight_version m_published = 0;
    weight_version m_target = 0; ///< Version that is being staged or was staged last.
    weight_version m_switchVersion = 0;
    time_point m_stagingSince;
    time_point m_switchingSince;
    std::uint64_t m_regressions = 0;
    std::map<std::pair<zone_id, std::string>, weight_order> m_orders; ///< Orders collected while one event is handled, by zone and operation.
    std::vector<zone_order> m_outgoing;
};

} // namespace reedtrail
