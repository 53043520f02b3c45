/**
 * @file
 * Which model server loads which weights next. Pure core.
 *
 *     planner.setTarget(now, "model", 7);
 *     for (const load_intent &intent : planner.next(now)) {
 *         // read the server's report, then:
 *         if (auto order = planner.onReport(now, intent.server, report)) { ... send it ... planner.onOrderAnswer(now, intent.server, answer); }
 *     }
 *
 * Load pattern: several trainers name a new version every few seconds, each for its own model, on servers that hold all models but stop taking requests of a
 * model while they load it. Each server serves one model first and loads only that, so that a version costs as many loads as its share of the servers. Trainers
 * with longer texts get more servers: a burst that does not fit into its model's servers starts its last texts late, while others have slots to spare. The
 * servers of a model load in turns, so that the rest go on drawing from the version before; and few load at once over the whole fleet, since loads slow each
 * other down. Texts may come from the version before the newest one, so the servers that are further behind come first, and among them those of the model
 * that has the fewest servers fit for its newest job. Some of the rest load ahead, once the newest job's burst is placed.
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

/** Shares and times of the plan. */
struct load_planner_options
{
    double evenPart = 0.3; ///< Of the servers that are shared evenly among the models; the rest goes by demand, which is a guess and changes.
    double demandSmoothing = 0.3; ///< Weight of a new job's demand: the last three or so count.
    double fleetShare = 0.22; ///< Of all model servers that load at once: the sheets say that more than about a fifth slow each other down.
    double modelShare = 0.34; ///< Of a model's servers that load at once.
    double aheadShare = 0.6; ///< Of a model's servers that load the newest version before a job needs it; more than the fleet can load in a step's time.
    duration aheadDelay = std::chrono::milliseconds(1500); ///< After a version is named: its job's burst comes at once and is placed by then.
    duration lookAgain = std::chrono::milliseconds(100); ///< At a server whose load has not shown yet.
    duration loadTime = std::chrono::milliseconds(1000); ///< The sheets' 0.9 s for a change of version, and the age of a report.
    duration retryDelay = std::chrono::milliseconds(600); ///< After a report or an order without an answer.
    duration turn = std::chrono::milliseconds(3300); ///< Between the orders of two nodes to one server: their bound of 3 s, and an order's way.
    duration loadLimit = std::chrono::seconds(4); ///< A load that does not show by then is ordered again.
};

/** A server to look at, and then to order. */
struct server_poll
{
    std::string server;
    endpoint address;
};

/** How long ago servers were last ordered, for the node that orders after this one. */
struct order_ages
{
    std::map<std::string, duration, std::less<>> byServer;
    duration others = duration::max(); ///< Of the servers that are not named.
};

/** Encodes ages. */
std::string encodeOrderAges(const order_ages &ages);
/** Decodes ages. @return nothing if they cannot be read */
std::optional<order_ages> decodeOrderAges(std::string_view text);

/** The planner. */
class load_planner
{
public:
    explicit load_planner(load_planner_options options = {})
        : m_options(options)
    {
    }

    /** Takes the models that the servers hold. */
    void setModels(std::span<const std::string> models);
    /** Takes the version that a model shall have; one that is older than the known one is passed over. */
    void setTarget(time_point now, std::string_view model, std::uint64_t version);
    /** Takes what a new job asks of a model. @param tokens expected, of all its texts together */
    void setDemand(std::string_view model, double tokens);
    /** Takes the servers that are registered and not draining. */
    void refresh(std::span<const server_entry *const> servers);
    /** Sets how running requests meet new weights. */
    void setMode(load_mode mode)
    {
        m_mode = mode;
    }

    /** Returns the servers to look at now; each counts as being looked at until onReport() or onRequestFailed(). */
    std::vector<server_poll> next(time_point now);
    /** Takes a report. @return the order to send now, without holder and token; it counts as under way until onOrderAnswer() */
    std::optional<load_order> onReport(time_point now, std::string_view server, const engine_report &report);
    /** The report could not be had. */
    void onRequestFailed(time_point now, std::string_view server);
    /** Takes the answer to an order. */
    void onOrderAnswer(time_point now, std::string_view server, order_answer answer);

    /**
     * Takes what the node that ordered before has left word of.
     * @param ages nothing if it may have ordered any server until now
     * @param isOwn whether it was an earlier process of this node, which has not to wait for its turn
     */
    void setPreviousOrders(time_point now, const std::optional<order_ages> &ages, bool isOwn);
    /** Returns how long ago each server was ordered, by this node or one before. */
    order_ages orderAges(time_point now) const;

    /** Returns the model that a server serves first, or an empty text. */
    std::string_view modelOf(std::string_view server) const;

private:
    enum class phase : std::uint8_t { Idle, Looking, Ordering, Loading };
    struct server_row
    {
        endpoint address;
        std::string zone;
        std::int64_t startedAt = 0;
        std::map<std::string, std::uint64_t, std::less<>> versions;
        std::string model; ///< That it serves first; empty while not assigned.
        phase state = phase::Idle;
        time_point lookAt; ///< Not before.
        time_point loadingSince;
        std::optional<time_point> orderedAt; ///< By this node.
        bool isListed = false;
    };
    void assign();
    void balance();
    /** A server that could load now. */
    struct candidate
    {
        std::string_view server;
        server_row *place = nullptr;
        std::size_t fitServers = 0; ///< Of its model: those that have the version before the newest, or that.
        bool isUnfit = false; ///< Whether it is further behind than that itself.
    };
    struct target_row
    {
        std::uint64_t version = 0;
        time_point since;
    };
    bool mayLoadAhead(time_point now, std::string_view model) const;
    std::vector<candidate> candidates(time_point now);
    /** Returns how many of the model's servers are at most @p lagMost versions behind. */
    std::size_t serversWithin(std::string_view model, std::uint64_t lagMost) const;
    std::size_t countOf(std::string_view model) const;
    double shareOf(std::string_view model) const;
    double surplusOf(std::string_view model) const;
    std::size_t loadingOf(std::string_view model) const;
    std::uint64_t lag(const server_row &place, std::string_view model) const;
    bool isBehind(const server_row &place) const;
    std::optional<time_point> earlierOrder(std::string_view server) const;
    const std::string *bestModelFor(const server_row &place) const;

    load_planner_options m_options;
    load_mode m_mode = load_mode::Continue;
    std::vector<std::string> m_models;
    std::map<std::string, target_row, std::less<>> m_targets;
    std::map<std::string, double, std::less<>> m_demand; ///< Smoothed, by model.
    std::map<std::string, server_row, std::less<>> m_rows;
    std::map<std::string, time_point, std::less<>> m_earlierOrders; ///< By nodes before.
    std::optional<time_point> m_othersOrdered; ///< The same for all other servers.
    std::optional<time_point> m_othersOrderedHere; ///< The same by an earlier process of this node.
};

} // namespace reedtrail
