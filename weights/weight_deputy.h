/**
 * @file
 * The weight deputy of one availability zone: relays orders of the runs' owners to the zone's servers and reports the servers' status back. Does no I/O and
 * reads no clock.
 *
 *     weight_deputy deputy(zone, name, {});
 *     perform(deputy.onEvent(now, deputy_input::servers_changed{...}));
 *     perform(deputy.onEvent(now, deputy_input::order_received{order}));
 *     ... servers' answers are further events; reports to owners are actions ...
 *
 * A deputy persists nothing: a new one rebuilds its state from the servers' load reports and the owners' next orders.
 */
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "weights/weight_messages.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

namespace reedtrail {

/** Options of a deputy. */
struct deputy_options
{
    duration loadInterval = std::chrono::seconds(3); ///< Time between two reads of a server's load report while nothing changes.
    duration busyLoadInterval = std::chrono::milliseconds(250); ///< The same while orders for the server are pending, or its report lags behind a switch.
    duration maxReportLag = std::chrono::seconds(20); ///< Longest time after a switch for which busyLoadInterval applies.
    duration reportInterval = std::chrono::seconds(5); ///< Time between two reports of a run while nothing changes.
    duration reportDelay = std::chrono::milliseconds(100); ///< Delay of a report after a change, so that several changes share one report.
    double maxSwappingShare = 0.5; ///< Largest share of the zone's servers that swap at once, so that others serve interactive requests.
    duration silenceTimeout = std::chrono::seconds(10); ///< A server that has not answered for this long counts as silent.
};

/** A server of the zone and the runs that it samples for. */
struct deputy_server
{
    server_id id;
    bool checksFencing = false; ///< Whether the server refuses orders with an older fencing token.
    std::vector<run_id> runs;
};

namespace deputy_input {

/** The zone's servers have changed; lists all of them. */
struct servers_changed
{
    std::vector<deputy_server> servers;
};

/** An owner sent an order. */
struct order_received
{
    weight_order order;
};

/** A server answered an order, or the call failed. */
struct order_answered
{
    enum class outcome : std::uint8_t { Done, Refused, Failed, Unknown };
    server_id server;
    run_id run;
    std::string operation;
    weight_version version = 0;
    outcome result = outcome::Unknown;
};

/** A read of a server's load report ended; holds the part about weights. */
struct load_read
{
    server_id server;
    bool isAnswered = false;
    std::string state;
    weight_version baseVersion = 0;
    std::map<run_id, weight_version> versions;
};

/** The time given by nextDeadline() has passed. */
struct timer
{
};

} // namespace deputy_input

/** Any input event of a deputy. */
using deputy_event =
    std::variant<deputy_input::servers_changed, deputy_input::order_received, deputy_input::order_answered, deputy_input::load_read, deputy_input::timer>;

namespace deputy_action {

/** Send an order to a server now. */
struct order_server
{
    server_id server;
    run_id run;
    std::string operation;
    std::string argument;
    weight_version version = 0;
    epoch_number fencing = 0;
    time_point notAfter; ///< Latest time to send, to be checked again right before sending; timeNever if the server checks fencing tokens.
};

/** Read a server's load report. */
struct read_load
{
    server_id server;
};

/** Send a report to the owner of its run. */
struct report
{
    weight_report content;
};

} // namespace deputy_action

/** Any action that a deputy requests. */
using deputy_action_item = std::variant<deputy_action::order_server, deputy_action::read_load, deputy_action::report>;

/** Weight deputy of one zone. */
class weight_deputy
{
public:
    /** @param name unique for each incarnation of each deputy */
    weight_deputy(zone_id zone, std::string name, deputy_options options);

    /** Handles one event. @return the actions to perform now */
    std::vector<deputy_action_item> onEvent(time_point now, const deputy_event &event);
    /** Returns when the next timer event is due; timeNever if none is. */
    time_point nextDeadline() const;
    /** Returns how many orders were not forwarded: of an older epoch or version, duplicate, expired, or for an unknown run. */
    std::uint64_t refusedOrders() const
    {
        return m_refusedOrders;
    }
    /** Returns the state for diagnostics. */
    nlohmann::json dump() const;

private:
    struct run_progress
    {
        server_weights status;
        weight_version lastReportedVersion = 0; ///< Last reported version other than 0.
        time_point stageStartedAt{};
        weight_version newestSwitchOrdered = 0; ///< Newest version that the server was ordered to switch to.
    };
    struct server_state
    {
        deputy_server settings;
        std::map<run_id, run_progress> runs;
        time_point lastAnswerAt;
        time_point nextLoadReadAt; ///< Time of the next read of its load report.
        std::size_t pendingOrders = 0;
        std::size_t pendingSwitches = 0;
        time_point switchStartedAt{};
        duration switchTime{}; ///< Duration of its last switch.
        bool isLoadReadPending = false;
    };
    /** A switch that is delayed until fewer servers swap. */
    struct waiting_switch
    {
        weight_order order;
        server_id server;
        time_point notAfter;
    };
    struct run_report_state
    {
        epoch_number epoch = 0;
        time_point reportAt = timeNever;
    };

    void handle(const deputy_input::servers_changed &event);
    void handle(const deputy_input::order_received &event);
    void handle(const deputy_input::order_answered &event);
    void handle(const deputy_input::load_read &event);
    void handle(const deputy_input::timer &event);

    void forward(const weight_order &order, server_state &server, time_point notAfter);
    bool shouldForward(const weight_order &order, server_state &server, time_point notAfter);
    bool isSwapLimitReached() const;
    void forwardWaitingSwitches();
    bool isExpectingChange(const server_state &server) const;
    void scheduleReport(const run_id &run);
    void reportRun(const run_id &run, run_report_state &state);

    zone_id m_zone;
    std::string m_name;
    std::uint64_t m_reports = 0;
    deputy_options m_options;
    time_point m_now;
    std::map<server_id, server_state> m_servers;
    std::map<run_id, run_report_state> m_runs;
    std::vector<waiting_switch> m_waiting; ///< At most one for each server and run.
    std::uint64_t m_refusedOrders = 0;
    std::vector<deputy_action_item> m_actions;
};

} // namespace reedtrail
