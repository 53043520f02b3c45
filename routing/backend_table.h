/**
 * @file
 * Selects a backend server for each request of one node, from the servers' registrations and from what the node observes of them. Pure core: no I/O and no
 * clock of its own.
 *
 * The load consists of bursts of batch items from several trainers, each for its own model and a minimum version, and of short interactive requests beside
 * bursts of score calls. Meanwhile some servers are slow, some load new weights and some no longer respond.
 *
 * Among the servers that may take a request, the one with the least expected time is chosen. The expected time is the server's latency scaled by its
 * utilization, with a small penalty if a connection must be opened. Bursts of one trainer come many seconds apart, and a burst lasts as long as its longest
 * texts. These are placed first, so the speeds of the servers are remembered from one burst to the next. A server at which a request failed is not chosen
 * during a backoff that doubles with each consecutive failure. A small random factor breaks ties, so that nodes with the same information do not all choose the
 * same server.
 */
#pragma once

#include "base/random.h"
#include "fleet/server_directory.h"
#include "routing/move_decision.h"
#include "routing/pace_forecast.h"

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

/** Weights, thresholds and times of the selection. */
struct backend_table_options
{
    std::string ownZone; ///< Availability zone of this node.
    double utilizationWeight = 0.35; ///< Relative increase of the time per event from an idle to a full server: step times at 1 and at 12 requests.
    double queueWeight = 1.0; ///< Service times added to the expected time for each queue of one request per slot.
    double preferredDiscount = 0.03; ///< Share of the expected time that a cached prompt saves: 255 prompt tokens against a text of 1,200 tokens.
    double otherZonePenalty = 0.08; ///< A round trip between zones takes 2.8 ms, the median request 25 ms; rounded down because requests also queue.
    double limitPenalty = 0.5; ///< A server in need is chosen once the others have a queue of half a request per slot.
    double newConnectionPenalty = 0.1; ///< Opening a connection costs a round trip and a millisecond of the server, 4 ms or more of a median request of 25 ms.
                                       ///< The penalty is below that, because a server that is one third fuller is as bad.
    double tieBreakJitter = 0.02; ///< Relative width of the random factor on the expected time; smaller differences are decided at random.
    double latencySmoothing = 0.1; ///< Weight of a new sample in the moving average; about the last ten samples count.
    duration latencyLifetime = std::chrono::seconds(4); ///< A latency older than this is discarded, so that a server that was slow is tried again.
    duration initialBackoff = std::chrono::milliseconds(400); ///< Backoff after the first failure; doubles with each consecutive one.
    duration maximumBackoff = std::chrono::seconds(3); ///< The registration of a dead server lapses after three heartbeats, so longer backoffs gain nothing.
    duration refusalBackoff = std::chrono::milliseconds(150); ///< Time before a server that refused is asked again; loading weights takes about a second.
    duration paceMemory = std::chrono::seconds(60); ///< Servers differ in speed for good, so an older latency still ranks them for this long.
    double paceSpread = 0.25; ///< Such a latency counts if it is within this share of the typical one. One further off was a passing disturbance.
    std::size_t suspicionThreshold = 2; ///< Servers of a zone that must be unresponsive within suspicionDuration, with no response from
                                        ///< the zone in between, to make it suspect. A single server may just have ended.
    duration suspicionDuration = std::chrono::milliseconds(3000); ///< Counted from the last unresponsive server. When a zone is cut off, the registrations
                                                                  ///< of its servers lapse 3.6 s later.
    duration loadLifetime = std::chrono::milliseconds(500); ///< Age up to which a server's reported load is used.
    double continuationShare = 0.25; ///< Share of the slots of a build with fewer servers than another that new work leaves to what goes on there.
};

/** Requirements and preferences of one request. */
struct backend_criteria
{
    std::string_view service;
    std::string_view model; ///< Required model; any server of the service qualifies if empty.
    std::uint64_t minVersion = 0; ///< Lowest acceptable version of the model.
    std::string_view build; ///< Required build, if the request goes on with what a server of that build began; any qualifies if empty.
    std::string_view preferred; ///< Id of a server that has part of the work in its cache; may be empty.
    std::span<const std::string> excluded; ///< Ids of servers that have already been tried.
    bool mayQueue = false; ///< Whether a server without a free slot is acceptable.
    bool ignoresBackoff = false; ///< Whether a server in backoff after a failure or a refusal is acceptable.
    bool ignoresLimit = false; ///< Whether a server is acceptable of which the last request was turned away at its limit.
};

/** The selected server. */
struct backend_choice
{
    std::string id;
    endpoint address;
    std::int64_t startedAt = 0; ///< Identifies the instance, as server_entry::startedAt.
    std::string build; ///< As server_entry::build.
};

/** State of all registered backend servers, as this node sees them. */
class backend_table
{
public:
    /** @param seed of the random tie-breaking */
    explicit backend_table(backend_table_options options, std::uint64_t seed = 1)
        : m_options(std::move(options))
        , m_random(seed)
    {
    }

    /** Sets the predicate that tells whether an idle open connection to a server exists. Without it, every server counts as connected. */
    void setConnectionQuery(std::function<bool(const endpoint &)> hasConnection)
    {
        m_hasConnection = std::move(hasConnection);
    }
    /** Sets the predicate that tells whether an instance of a server has named a limit. Without it, no server has one. */
    void setLimitQuery(std::function<bool(std::string_view id, std::int64_t startedAt)> hasLimit)
    {
        m_hasLimit = std::move(hasLimit);
    }
    /** Replaces the set of servers. @param servers all registered servers that are not draining */
    void refresh(std::span<const server_entry *const> servers);
    /** Selects a server for a request. @return nothing if no server may take the request now */
    std::optional<backend_choice> choose(time_point now, const backend_criteria &criteria);
    /**
     * Returns the speeds of server @p id and of the fastest other one that may take a stream from it now, and how much room there is. The fields of the
     * question that concern the text are left to the caller.
     * @param criteria as for choose(); server @p id itself is left out
     */
    move_question moveProspect(time_point now, std::string_view id, const backend_criteria &criteria) const;
    /** Returns how many servers of the service are registered. */
    std::size_t registeredCount(std::string_view service) const;
    /** Returns the requests that the servers that fit the criteria may run at once, those of other nodes included. */
    double places(const backend_criteria &criteria) const;
    /** Tells whether a server is registered that fits the criteria, whether or not it may take the request now. */
    bool hasEligible(const backend_criteria &criteria) const;

    /** Records that this node sent a request to the server. */
    void onRequestStarted(std::string_view id);
    /** Records that a request of this node at the server has ended, with any outcome. */
    void onRequestEnded(std::string_view id);
    /** Records the time that the server took for a request, or for the next event of a stream. Resets its count of failures. */
    void onLatency(time_point now, std::string_view id, duration time);
    /** Records that the server refused a request without starting it. @param model model that the server is loading; empty if it is out of capacity */
    void onRefused(time_point now, std::string_view id, std::string_view model);
    /** Records that a request was turned away at the server's limit, which has no place before @p until. */
    void onLimited(std::string_view id, time_point until);
    /** Records that the server started a request for @p model and therefore is not loading it. */
    void onAccepted(std::string_view id, std::string_view model);
    /** Records that a request failed at the server. */
    void onFailure(time_point now, std::string_view id);
    /** Records that the server did not respond in time or that no connection could be opened. Counts as a failure and towards the suspicion of its zone. */
    void onNoResponse(time_point now, std::string_view id);
    /** Records that data arrived from the server. Ends the suspicion of its zone. */
    void onResponse(std::string_view id);
    /** Tells whether the server's zone is suspected to be cut off. */
    bool isZoneSuspect(time_point now, std::string_view id) const;
    /** Records the version of a model that the server reports. */
    void onVersion(std::string_view id, std::string_view model, std::uint64_t version);
    /** Records the load that the server reports, requests of all nodes included. */
    void onLoad(time_point now, std::string_view id, std::uint32_t running, std::uint32_t waiting);
    /** Records how long work takes on the server's machine at this moment, as a multiple of the usual. */
    void onSlowdown(time_point now, std::string_view id, double factor);

    /** Returns the mean latency of the service's servers per request or event; zero if unknown. */
    duration meanLatency(time_point now, std::string_view service) const;
    /** Returns the latency of the server per request or event; zero if unknown. */
    duration latency(time_point now, std::string_view id) const;
    /** Returns the number of requests that this node has open at the server. */
    std::uint32_t running(std::string_view id) const;

private:
    struct server_state
    {
        endpoint address;
        std::string service;
        std::string zone;
        std::string build;
        bool isOfSmallerBuild = false; ///< Another build of the service has more servers.
        std::uint32_t slots = 1; ///< Requests that the server runs concurrently.
        std::map<std::string, std::uint64_t, std::less<>> versions; ///< Highest known version of each model.
        std::map<std::string, time_point, std::less<>> modelProbeTimes; ///< For each refused model, when one request may probe the server again.
        std::int64_t startedAt = 0; ///< Start time of the server process, from its registration; identifies the instance.
        bool isRegistered = false;
        std::uint32_t running = 0; ///< Requests of this node.
        double othersRunning = 0; ///< Running and waiting requests of other nodes, by the server's last load report.
        time_point loadUpdatedAt;
        double latencySeconds = 0; ///< Moving average, at the usual pace of the server's machine; 0 while unknown.
        time_point latencyUpdatedAt;
        time_point slowdownUntil; ///< Until then its last report of its machine's slowdown counts.
        int consecutiveFailures = 0;
        time_point backoffUntil;
        time_point limitedUntil; ///< The server's limit has no place before this.
    };
    /** Suspicion state of one zone. */
    struct zone_state
    {
        std::map<std::string, time_point, std::less<>> unresponsive; ///< Servers that did not respond since the last response from the zone, and when.
        time_point suspectUntil;
    };
    bool isSuspect(time_point now, const server_state &server) const;
    bool isEligible(const server_state &server, const backend_criteria &criteria) const;
    void findSmallerBuilds();
    /** Returns the requests that the server may run at once of those that fit the criteria. */
    double slotsFor(const server_state &server, const backend_criteria &criteria) const;
    bool hasEligibleInTrustedZone(time_point now, const backend_criteria &criteria) const;
    bool mayTake(time_point now, std::string_view id, const server_state &server, const backend_criteria &criteria) const;
    /** Returns the predicted number of requests on the server. */
    double load(time_point now, const server_state &server) const;
    /** Returns the expected time of the request in seconds. @param typical latency in seconds to assume for a server of unknown latency */
    double expectedTime(time_point now, std::string_view id, const server_state &server, const backend_criteria &criteria, double typical) const;
    /** Returns the latency in seconds; 0 if it is unknown or has expired. */
    double knownLatency(time_point now, const server_state &server) const;
    /** Returns the latency in seconds, also if it has expired not too long ago; 0 if it is unknown. */
    double rememberedLatency(time_point now, const server_state &server) const;
    /** Returns the median of the remembered latencies in seconds, which is assumed for a server of the service of which nothing is known. */
    double typicalLatency(time_point now, std::string_view service) const;
    /** Returns the factor by which @p load requests slow a server down. */
    double slowdown(const server_state &server, double load) const;
    /** Returns how long work is expected to take on the server's machine now, as a multiple of the usual. */
    double machineFactor(time_point now, std::string_view id, const server_state &server) const;
    server_state *find(std::string_view id);

    backend_table_options m_options;
    random_source m_random;
    std::function<bool(const endpoint &)> m_hasConnection;
    std::function<bool(std::string_view, std::int64_t)> m_hasLimit;
    std::map<std::string, server_state, std::less<>> m_servers;
    std::map<std::string, zone_state, std::less<>> m_zones;
    std::map<std::string, pace_forecast, std::less<>> m_forecasts; ///< By service.
};

} // namespace reedtrail
