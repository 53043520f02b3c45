/**
 * @file
 * Which way a call to the store goes: straight, or through a peer that the store serves. Pure core.
 *
 * Load pattern: the store turns single nodes away, or a cut parts them from it, while it serves the others. A node that cannot reach it directly sends its
 * calls through one peer for a while, and tries the direct way again now and then; while no peer can reach it either, it stays on the direct way.
 *
 * A node that reaches neither the store nor any peer of another availability zone is isolated: callers are served better elsewhere, and the sooner it knows the
 * sooner they are. A store that serves nobody looks different, for then the peers answer. A node with little to do would notice a cut late, so it asks a peer
 * of another zone for a sign of life now and then, which costs nobody anything; only if that is missing are the others and the store asked too.
 */
#pragma once

#include "base/random.h"
#include "base/time.h"
#include "net/endpoint.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace reedtrail {

/** Times of the choice. */
struct store_router_options
{
    int failuresBeforeDetour = 2; ///< In a row on the direct way; a single one may be a lost answer.
    duration detourTime = std::chrono::milliseconds(2000); ///< Before the direct way is tried again: half of the shortest trouble that was seen.
    duration isolationTime =
        std::chrono::milliseconds(200); ///< Without the store before a node counts as isolated: for answers of peers that are on their way.
    duration reachMemory = std::chrono::milliseconds(1000); ///< For which a peer that answered counts as within reach: twice the time between two questions.
    std::size_t isolationPeers = 2; ///< Peers of other zones that must have been out of reach; one may be down by itself.
    duration peerPause = std::chrono::milliseconds(3000); ///< For which a peer that could not help is left alone.
};

/** Another node. */
struct store_peer
{
    endpoint address;
    std::string zone;
    double processorShare = 0; ///< Of a core; 0 if unknown.
};

/** The choice. */
class store_router
{
public:
    store_router(std::string ownName, std::string ownZone, std::uint64_t seed, store_router_options options = {})
        : m_options(options)
        , m_ownName(std::move(ownName))
        , m_ownZone(std::move(ownZone))
        , m_random(seed)
    {
    }

    /** Takes the peers that are known, by name; this node is not among them. */
    void setPeers(std::map<std::string, store_peer> peers);
    /** Returns the peer through which a call goes now, or nothing for the direct way. */
    std::optional<std::pair<std::string, endpoint>> choose(time_point now);
    /** Returns a peer for a call that has just failed on the direct way and may be sent again at once; nothing if none is left. */
    std::optional<std::pair<std::string, endpoint>> fallback(time_point now);
    /** Returns the peer that follows shared prefixes for this zone; nothing if this node does, or knows of nobody better. All nodes of a zone choose alike. */
    std::optional<std::pair<std::string, endpoint>> zoneReader(time_point now) const;
    /** The zone's reader did not answer in time, or could not help: it is passed over for a while. */
    void recordReaderFailure(time_point now, const std::string &peer);
    /** The direct way worked, or did not. */
    void recordDirectResult(time_point now, bool isServed);
    /** A peer's way worked, or did not. @param isReached whether the peer itself answered */
    void recordDetourResult(time_point now, const std::string &peer, bool isServed, bool isReached);

    /** Returns the peers to ask for a sign of life: one of another zone, or one of each other zone while the last question had no answer. */
    std::vector<std::pair<std::string, endpoint>> pingTargets();
    /** A peer gave a sign of life, or did not in time. @return whether the store should be asked too, since the node may be cut off */
    bool recordPing(time_point now, const std::string &peer, bool isReached);

    /** Tells whether this node reaches neither the store nor peers of other zones. */
    bool isIsolated(time_point now) const;
    /** Returns how long ago the store last served this node on the direct way. */
    duration timeSinceServed(time_point now) const
    {
        return now - m_servedAt;
    }
    /** Tells whether the last calls failed on all ways that were tried. */
    bool isStoreLost() const
    {
        return m_lostAt != timeNever;
    }
    bool isOnDetour(time_point now) const
    {
        return now < m_detourUntil;
    }

private:
    /** Returns the peers that may help, those of other zones if there are any: what cuts this node off may cut off its zone. */
    std::vector<std::string> usablePeers(time_point now) const;
    bool isInOtherZone(const store_peer &peer) const
    {
        return peer.zone != m_ownZone;
    }
    void recordReachability(time_point now, const std::string &peer, bool isReached);
    void recordServed();
    void recordFailed(time_point now);

    store_router_options m_options;
    std::string m_ownName;
    std::string m_ownZone;
    random_source m_random;
    std::map<std::string, store_peer> m_peers;
    std::map<std::string, time_point> m_readerPausedUntil;
    std::map<std::string, time_point> m_reachedAt; ///< Of the peers, when they answered last.
    std::set<std::string> m_unreachable; ///< Peers that did not answer when they were asked last.
    std::string m_pingPeer; ///< The peer that is asked while all is well, always the same so that its connection is kept.
    bool m_hasMissedPing = false;
    time_point m_lostAt = timeNever; ///< When the store was lost on all ways; timeNever while it serves.
    std::map<std::string, time_point> m_pausedUntil;
    std::string m_detourPeer; ///< Peer in use, kept while it works so that connections are kept too.
    int m_directFailures = 0;
    time_point m_servedAt; ///< On the direct way.
    time_point m_detourUntil;
};

} // namespace reedtrail
