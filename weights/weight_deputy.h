/**
 * @file
 * Carries out weight orders in one availability zone: the deputy between the owners of runs and the zone's servers. Pure core.
 *
 *     zone_weights deputy(zone, name, {});
 *     perform(deputy.onEvent(now, deputy_input::servers_changed{...}));
 *     perform(deputy.onEvent(now, deputy_input::order_received{order}));
 *     ... answers of servers come back as events; reports for owners come out as actions ...
 *
 * It keeps nothing: a new deputy learns from the servers' load reports and the owners' next orders.
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

/** Times of a deputy. */
struct deputy_options
{
    duration loadInterval = std::chrono::seconds(3); ///< Between load reads of a server while nothing changes.
    duration loadIntervalBusy = std::chrono::milliseconds(250); ///< While orders are under way for it, or its report lags behind a switch.
    duration reportLag = std::chrono::seconds(20); ///< After a switch the report is read often for at most this long.
    duration reportInterval = std::chrono::seconds(5); ///< Between reports of a run while nothing changes.
    duration reportDelay = std::chrono::milliseconds(100); ///< Gathers changes before they are reported.
    double maxSwappingShare = 0.5; ///< Share of the zone's servers that may swap at once, so that interactive work is always served.
    duration silentAfter = std::chrono::seconds(10); ///< A server without any answer for this long is silent.
};

/** A server of the zone and the runs it makes drafts for. */
struct deputy_server
{
    server_id id;
    bool checksFencing = false;
    std::vector<run_id> runs;
};

namespace deputy_input {

/** The zone's servers, whole. */
struct servers_changed
{
    std::vector<deputy_server> servers;
};

/** An owner's order. */
struct order_received
{
    weight_order order;
};

/** How a server answered an order. */
struct order_answered
{
    enum class outcome : std::uint8_t { Done, Refused, Failed, Unknown };
    server_id server;
    run_id run;
    std::string operation;
    weight_version version = 0;
    outcome result = outcome::Unknown;
};

/** A server's load report, as far as weights go. */
struct load_read
{
    server_id server;
    bool isAnswered = false;
    std::string state;
    weight_version baseVersion = 0;
    std::map<run_id, weight_version> versions;
};

/** The time given by nextDeadline() has come. */
struct timer
{
};

} // namespace deputy_input

/** Everything a deputy can be told. */
using deputy_event =
    std::variant<deputy_input::servers_changed, deputy_input::order_received, deputy_input::order_answered, deputy_input::load_read, deputy_input::timer>;

namespace deputy_action {

/** Send an order to a server, at once. */
struct order_server
{
    server_id server;
    run_id run;
    std::string operation;
    std::string argument;
    weight_version version = 0;
    epoch_number fencing = 0;
    time_point notAfter; ///< For a server that ignores fencing numbers: check the clock again right before the send.
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

/** Everything a deputy can ask for. */
using deputy_action_item = std::variant<deputy_action::order_server, deputy_action::read_load, deputy_action::report>;

/** The deputy of one zone. */
class weight_deputy
{
public:
    /** @param name differs for each life of each deputy */
    weight_deputy(zone_id zone, std::string name, deputy_options options);

    std::vector<deputy_action_item> onEvent(time_point now, const deputy_event &event);
    time_point nextDeadline() const;
    /** Returns how many orders were not passed on because they were of an older epoch, older version, or too late. */
    std::uint64_t refusedOrders() const
    {
        return m_refusedOrders;
    }
    nlohmann::json dump() const;

private:
    struct run_progress
    {
        server_weights known;
        weight_version newestSeen = 0; ///< Last version other than 0 that the server reported.
        time_point stageBegan{};
        weight_version newestSwitch = 0; ///< Newest version that a switch was passed on for.
    };
    struct server_state
    {
        deputy_server settings;
        std::map<run_id, run_progress> runs;
        time_point lastAnswerAt;
        time_point loadAt; ///< Next read of its load.
        std::size_t ordersUnderWay = 0;
        std::size_t switchesUnderWay = 0;
        time_point switchStartedAt{};
        duration switchTime{}; ///< Of its last switch.
        bool isLoadAsked = false;
    };
    /** A switch that waits until fewer servers swap. */
    struct waiting_switch
    {
        weight_order order;
        server_id server;
        time_point notAfter;
    };
    struct run_state_known
    {
        epoch_number epoch = 0;
        time_point reportAt = timeNever;
    };

    void handle(const deputy_input::servers_changed &event);
    void handle(const deputy_input::order_received &event);
    void handle(const deputy_input::order_answered &event);
    void handle(const deputy_input::load_read &event);
    void handle(const deputy_input::timer &event);

    void passOn(const weight_order &order, server_state &server, time_point notAfter);
    bool isToBePassedOn(const weight_order &order, server_state &server, time_point notAfter);
    bool isSwappingFull() const;
    void passWaitingSwitches();
    bool isExpectingChange(const server_state &server) const;
    void changed(const run_id &run);
    void reportRun(const run_id &run, run_state_known &state);

    zone_id m_zone;
    std::string m_name;
    std::uint64_t m_reports = 0;
    deputy_options m_options;
    time_point m_now;
    std::map<server_id, server_state> m_servers;
    std::map<run_id, run_state_known> m_runs;
    std::vector<waiting_switch> m_waiting; ///< At most one for each server and run.
    std::uint64_t m_refusedOrders = 0;
    std::vector<deputy_action_item> m_actions;
};

} // namespace reedtrail
