/**
 * @file
 * The backend servers as one node sees them, and where it sends the next request. Pure core.
 *
 * Load patterns: bursts of items from several trainers, each for its own model and a version not older than it allows, and short interactive requests beside
 * the bursts of score calls; some servers are slow, some load new weights, some have gone silent. Among the servers that may take the request the one with
 * the least expected time wins, which is its pace times how full it will be, and a little more where a connection must be opened. A server that broke a request
 * is left alone for a while that grows with each break. Ties are broken by a draw, so that nodes that know the same do not all choose the same server.
 */
#pragma once

#include "base/random.h"
#include "fleet/server_directory.h"

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

/** Weights and times of the choice. */
struct backend_table_options
{
    std::string ownZone;
    double fillWeight = 0.35; ///< A full server makes each event this share slower than an empty one: the step times of the sheets at 12 requests and at 1.
    double queueWeight = 1.0; ///< Each slot's worth of waiting requests adds one service time.
    double preferredBonus = 0.03; ///< What a shared prompt saves where it was read before: 255 tokens of prompt against a text of 1,200 tokens.
    double otherZonePenalty = 0.08; ///< A round trip between zones of 2.8 ms against a median request of 25 ms, rounded down for the time in queues.
    double newConnectionPenalty = 0.1; ///< Opening one takes a round trip and a millisecond of the server, 4 ms and more of a median request of 25 ms; below
                                       ///< that, because a server that is a third fuller is as bad.
    double drawnPart = 0.02; ///< Differences below this are left to the draw.
    double paceSmoothing = 0.1; ///< Weight of a new sample: the last ten or so count.
    duration paceMemory = std::chrono::seconds(4); ///< A pace this old is forgotten, so that a server that was slow is tried again.
    duration firstPause = std::chrono::milliseconds(400); ///< After a broken request; doubled with each further one.
    duration longestPause = std::chrono::seconds(3); ///< A registration without a living server lapses after three heartbeats.
    duration refusalPause = std::chrono::milliseconds(150); ///< Before a server that refused is asked again; loading weights takes about a second.
    double moveFactor = 1.8; ///< A stream leaves a server this many times slower than another: full and empty servers differ by 1.35.
    std::size_t silentServers = 2; ///< Of a zone, in a row and within the time of suspicion, that make it suspect; one may have ended.
    duration suspicion = std::chrono::milliseconds(3000); ///< After the last silent server; registrations of a zone that is cut lapse 3.6 s after the cut.
    duration loadMemory = std::chrono::milliseconds(500); ///< How long a server's own word on its load is believed.
};

/** What is asked of the table. */
struct backend_wish
{
    std::string_view service;
    std::string_view model; ///< Empty: any server of the service.
    std::uint64_t minVersion = 0; ///< Of the model.
    std::string_view preferred; ///< Id of a server that has part of the work in its cache; may be empty.
    std::span<const std::string> avoided; ///< Ids of servers that have been tried.
    bool mayQueue = false; ///< Whether a server without a free slot will do.
    bool ignoresPauses = false; ///< Whether a server that broke requests lately will do.
};

/** A chosen server. */
struct backend_choice
{
    std::string id;
    endpoint address;
};

/** The table. */
class backend_table
{
public:
    explicit backend_table(backend_table_options options, std::uint64_t seed = 1)
        : m_options(std::move(options))
        , m_random(seed)
    {
    }

    /** Sets what tells whether a server can be reached by a connection that is open and unused; without it all count as such. */
    void setConnectionQuery(std::function<bool(const endpoint &)> hasConnection)
    {
        m_hasConnection = std::move(hasConnection);
    }
    /** Takes the servers that are registered and not draining. */
    void refresh(std::span<const server_entry *const> servers);
    /** Chooses a server. @return nothing if none may take the request now */
    std::optional<backend_choice> choose(time_point now, const backend_wish &wish);
    /**
     * Tells whether a stream on @p id should go on elsewhere: its server takes far longer for an event than the best one that may take it now.
     * @param wish as for choose(); the server itself is passed over
     */
    bool isWorthMoving(time_point now, std::string_view id, const backend_wish &wish) const;
    /** Returns how many servers of the service are registered. */
    std::size_t registered(std::string_view service) const;

    void started(std::string_view id);
    void ended(std::string_view id);
    /** A server took @p time for a request, or for the next event of a stream. */
    void paceSeen(time_point now, std::string_view id, duration time);
    /** The server refused a request without starting it. @param model which it is loading; empty if it has no room */
    void refused(time_point now, std::string_view id, std::string_view model);
    /** The server started a request of @p model, so it is not loading it. */
    void accepted(std::string_view id, std::string_view model);
    /** A request broke at the server. */
    void broke(time_point now, std::string_view id);
    /** A server that should have said something by now has not: a request at it is broken, or no connection came about. */
    void fellSilent(time_point now, std::string_view id);
    /** The server said something. */
    void heard(std::string_view id);
    /** Tells whether the server's zone seems to be cut off. */
    bool isZoneSuspect(time_point now, std::string_view id) const;
    /** The server told its version of a model. */
    void versionSeen(std::string_view id, std::string_view model, std::uint64_t version);
    /** The server told its load. */
    void loadSeen(time_point now, std::string_view id, std::uint32_t running, std::uint32_t waiting);

    /** Returns the mean time of the service's servers for a request or an event, or zero if unknown. */
    duration typicalPace(time_point now, std::string_view service) const;
    /** Returns the server's own time for a request or an event, or zero if unknown. */
    duration pace(time_point now, std::string_view id) const;
    /** Returns the requests that this node has at the server. */
    std::uint32_t running(std::string_view id) const;

private:
    struct row
    {
        endpoint address;
        std::string service;
        std::string zone;
        std::uint32_t slots = 1;
        std::map<std::string, std::uint64_t, std::less<>> versions;
        std::map<std::string, time_point, std::less<>> probedModels; ///< Models that were refused: one request each is tried, not before this time.
        std::int64_t startedAt = 0;
        bool isListed = false;
        std::uint32_t running = 0; ///< Own requests.
        double othersRunning = 0; ///< Requests of other nodes by the server's last word.
        time_point loadSeenAt;
        double paceSeconds = 0; ///< 0 while unknown.
        time_point paceSeenAt;
        int breaks = 0; ///< In a row.
        time_point pausedUntil;
    };
    /** What was heard of a zone. */
    struct zone_row
    {
        std::map<std::string, time_point, std::less<>> silent; ///< Servers that fell silent since anything was heard, and when.
        time_point suspectUntil;
    };
    bool isSuspect(time_point now, const row &place) const;
    bool hasFit(const row &place, const backend_wish &wish) const;
    bool hasFitInSoundZone(time_point now, const backend_wish &wish) const;
    bool mayTake(time_point now, std::string_view id, const row &place, const backend_wish &wish) const;
    double load(time_point now, const row &place) const;
    double expectedTime(time_point now, std::string_view id, const row &place, const backend_wish &wish, double typical) const;
    double knownPace(time_point now, const row &place) const;
    row *find(std::string_view id);

    backend_table_options m_options;
    random_source m_random;
    std::function<bool(const endpoint &)> m_hasConnection;
    std::map<std::string, row, std::less<>> m_rows;
    std::map<std::string, zone_row, std::less<>> m_zones;
};

} // namespace reedtrail
