/**
 * @file
 * Decides which model server loads which weights next. The planner does no I/O and reads no clock.
 *
 *     planner.setTarget(now, "model", 7);
 *     for (const server_poll &poll : planner.next(now)) {
 *         // read the server's report, then:
 *         if (auto order = planner.onReport(now, poll.server, report)) { ... send it ... planner.onOrderAnswer(now, poll.server, answer); }
 *     }
 *
 * Workload: several trainers each publish a version of their own model every few seconds. Every server holds all models, but takes no requests for a model
 * while it loads that model. The planner therefore works as follows:
 *  - Each server has one primary model and loads only that, so a version costs as many loads as its model has servers.
 *  - Models whose jobs generate more tokens get more servers. Otherwise the last completions of a burst start late while other models' slots are idle.
 *  - The servers of a model load in turns, so that the others keep sampling from the previous version.
 *  - Few servers of the fleet load at once, because concurrent loads slow each other down.
 *  - A job may use the version before the newest one. Servers that are further behind load first, and among them those of the model that has the fewest
 *    servers able to serve its newest job.
 *  - Some of the remaining servers preload the newest version once the newest job's burst is dispatched.
 */
#pragma once

#include "base/time.h"
#include "fleet/server_directory.h"
#include "weights/load_types.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

/** Limits and intervals of the planner. */
struct load_planner_options
{
    double evenFraction = 0.3; ///< Fraction of the servers that is split evenly among the models; the rest follows the demand, an estimate that varies.
    double demandSmoothing = 0.3; ///< Weight of a new job's demand in the moving average, so that about the last three jobs count.
    /** Largest share of all model servers that load at once; by the server specification, more than a fifth slow each other down. */
    double maxFleetLoadShare = 0.22;
    double maxModelLoadShare = 0.34; ///< Largest share of a model's servers that load at once.
    double preloadShare = 0.6; ///< Share of a model's servers that load the newest version before a job needs it; exceeds what the fleet can load in one step.
    /** Delay of preloading after a version is announced; the job's burst arrives at once and is dispatched by then. */
    duration preloadDelay = std::chrono::milliseconds(1500);
    duration pollInterval = std::chrono::milliseconds(100); ///< Time between two polls of a server whose report does not show the load yet.
    /** Time from an order to the first poll: 0.9 s for a change of version by the server specification, plus the age of a report. */
    duration expectedLoadTime = std::chrono::milliseconds(1000);
    duration retryDelay = std::chrono::milliseconds(600); ///< Wait after a failed report request, or after an order that started no load.
    /** Least time between the orders of two nodes to one server: the required 3 s, plus the delay of an order. */
    duration handoverDelay = std::chrono::milliseconds(3300);
    duration loadTimeout = std::chrono::seconds(4); ///< A load that the report does not show after this time is ordered again.
};

/** A server whose report is to be read; an order may follow. */
struct server_poll
{
    std::string server;
    endpoint address;
};

/** How long ago each server was last ordered to load; handed over to the node that plans next. */
struct order_ages
{
    std::map<std::string, duration, std::less<>> byServer;
    duration others = duration::max(); ///< Age for all servers that byServer does not list; the maximum if there was no order.
};

/** Encodes @p ages as JSON, in milliseconds. */
std::string encodeOrderAges(const order_ages &ages);
/** Decodes what encodeOrderAges() returned. @return nullopt if @p text is malformed */
std::optional<order_ages> decodeOrderAges(std::string_view text);

/** Assigns servers to models and plans their loads. */
class load_planner
{
public:
    explicit load_planner(load_planner_options options = {})
        : m_options(options)
    {
    }

    /** Sets the models that the servers hold. */
    void setModels(std::span<const std::string> models);
    /** Sets the version that a model's servers should serve; ignores one that is not newer than the known one. */
    void setTarget(time_point now, std::string_view model, std::uint64_t version);
    /** Adds the demand of a new job for a model. @param tokens expected in all completions of the job together */
    void setDemand(std::string_view model, double tokens);
    /** Replaces the list of servers. @param servers all that are registered and not draining */
    void refresh(std::span<const server_entry *const> servers);
    /** Sets what happens to running requests when weights are loaded. */
    void setMode(load_mode mode)
    {
        m_mode = mode;
    }

    /** Returns the servers to poll now; each counts as being polled until onReport() or onRequestFailed() is called for it. */
    std::vector<server_poll> next(time_point now);
    /** Handles a report. @return the order to send now, without holder and fencing token; it is pending until onOrderAnswer() */
    std::optional<load_order> onReport(time_point now, std::string_view server, const engine_report &report);
    /** Handles a failed report request, or an order that could not be sent. */
    void onRequestFailed(time_point now, std::string_view server);
    /** Handles the answer to an order. */
    void onOrderAnswer(time_point now, std::string_view server, order_answer answer);

    /**
     * Sets when the previous planning node ordered the servers.
     * @param ages nullopt if it left no handover, so that it may have ordered any server until now
     * @param isSameNode whether it was an earlier process of this node; then no handover delay is needed
     */
    void setPreviousOrders(time_point now, const std::optional<order_ages> &ages, bool isSameNode);
    /** Returns how long ago each server was ordered, by this node or a previous one. */
    order_ages orderAges(time_point now) const;

    /** Returns the primary model of a server, or an empty string. */
    std::string_view modelOf(std::string_view server) const;

private:
    enum class phase : std::uint8_t { Idle, Polling, Ordering, Loading };
    struct server_row
    {
        endpoint address;
        std::string zone;
        std::int64_t startedAt = 0;
        std::map<std::string, std::uint64_t, std::less<>> versions;
        std::string model; ///< Primary model; empty while none is assigned.
        phase state = phase::Idle;
        time_point nextPollAt; ///< Earliest time of the next poll.
        time_point loadingSince;
        std::optional<time_point> orderedAt; ///< Time of the last order by this node.
        bool isListed = false;
    };
    void assign();
    void balance();
    /** A server that may load now. */
    struct candidate
    {
        std::string_view server;
        server_row *row = nullptr;
        std::size_t eligibleServers = 0; ///< Servers of its model that have the newest version or the one before.
        bool isTooStale = false; ///< Whether it is itself more than one version behind.
    };
    struct target_row
    {
        std::uint64_t version = 0;
        time_point since;
    };
    bool mayPreload(time_point now, std::string_view model) const;
    std::vector<candidate> candidates(time_point now);
    /** Returns how many idle servers of the model are at most @p maxLag versions behind. */
    std::size_t serversWithin(std::string_view model, std::uint64_t maxLag) const;
    std::size_t serverCount(std::string_view model) const;
    double targetServerCount(std::string_view model) const;
    double surplus(std::string_view model) const;
    std::size_t loadingCount(std::string_view model) const;
    std::uint64_t lag(const server_row &row, std::string_view model) const;
    bool isBehind(const server_row &row) const;
    std::optional<time_point> previousOrder(std::string_view server) const;
    const std::string *bestModelFor(const server_row &row) const;

    load_planner_options m_options;
    load_mode m_mode = load_mode::Continue;
    std::vector<std::string> m_models;
    std::map<std::string, target_row, std::less<>> m_targets;
    std::map<std::string, double, std::less<>> m_demand; ///< Moving average of the tokens of a job, by model.
    std::map<std::string, server_row, std::less<>> m_rows;
    std::map<std::string, time_point, std::less<>> m_previousOrders; ///< Orders of previous nodes, by server.
    std::optional<time_point> m_otherServersOrderedAt; ///< The same for all servers that are not listed.
    std::optional<time_point> m_otherServersOrderedBySelfAt; ///< The same, if ordered by an earlier process of this node.
};

} // namespace reedtrail
