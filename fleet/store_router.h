/**
 * @file
 * Decides whether a call to the store goes directly, or fails over to a peer that the store serves. Makes no I/O calls.
 *
 * Failure pattern: the store refuses single nodes, or a network partition separates them from it, while it serves the others. A node that cannot reach the
 * store directly sends its calls through one peer, and tries the direct path again from time to time. While no peer can reach the store either, the node stays
 * on the direct path.
 *
 * A node that reaches neither the store nor any peer of another availability zone is isolated. Other nodes serve its callers better, so it should detect this
 * soon. It differs from a store outage, during which the peers still answer. An idle node would detect a partition late, so it pings a peer of another zone at
 * intervals, which costs no call to the store. Only if that ping fails does it ping further peers and call the store.
 */
#pragma once

#include "base/random.h"
#include "base/time.h"
#include "fleet/peer_presence.h"
#include "net/endpoint.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace reedtrail {

/** Limits and times of a store_router. */
struct store_router_options
{
    int failuresBeforeFailover = 2; ///< Direct calls that must fail in a row; a single failure may be a lost answer.
    duration failoverTime = std::chrono::milliseconds(2000); ///< Time until the direct path is tried again; its outages last at least twice as long.
    /** Time without the store after which a node may count as isolated; until then answers of peers may be in flight. */
    duration isolationTime = std::chrono::milliseconds(200);
    duration reachableTime = std::chrono::milliseconds(1000); ///< Time for which a peer counts as reachable after it answered; two ping intervals.
    std::size_t isolationPeers = 2; ///< Peers of other zones that must be unreachable for isolation; a single one may have failed itself.
    duration peerPause = std::chrono::milliseconds(3000); ///< Time for which a peer is not used after it could not reach the store.
    duration maxReaderPause = std::chrono::seconds(24); ///< Longest time for which a peer is not chosen as reader after failures in a row.
};

/** Another node through which calls to the store may go. */
struct store_peer
{
    endpoint address;
    std::string zone;
    double processorShare = 0; ///< Share of one processor core; 0 if unknown.
};

/** Chooses the path of each call to the store from the results of earlier calls and pings. */
class store_router
{
public:
    store_router(std::string ownName, std::string ownZone, std::uint64_t seed, store_router_options options = {})
        : m_options(options)
        , m_ownName(std::move(ownName))
        , m_ownZone(std::move(ownZone))
        , m_random(seed)
        , m_readers(options.peerPause, options.maxReaderPause)
    {
    }

    /** Replaces the known peers, by name; this node must not be among them. */
    void setPeers(std::map<std::string, store_peer> peers);
    /** Returns the peer through which a call goes now, or nothing for the direct path. */
    std::optional<std::pair<std::string, endpoint>> choose(time_point now);
    /** Returns a peer for a call that has just failed on the direct path and may be retried at once; nothing if no peer is usable. */
    std::optional<std::pair<std::string, endpoint>> fallback(time_point now);
    /**
     * Returns the peer that reads shared prefixes for this zone, or nothing if this node does. All nodes of a zone make the same choice as long as they know
     * the same peers and pass over the same ones.
     */
    std::optional<std::pair<std::string, endpoint>> zoneReader(time_point now) const;
    /**
     * Records that the zone's reader did not answer in time or could not serve the call. It is not chosen again until a pause ends, which starts at peerPause
     * and doubles with each further failure up to maxReaderPause, so that a node that is gone for good is rarely asked.
     */
    void recordReaderFailure(time_point now, const std::string &peer);
    /** Records that the zone's reader has answered. */
    void recordReaderSuccess(const std::string &peer);
    /** Tells whether any other node is known. */
    bool hasPeers() const
    {
        return !m_peers.empty();
    }
    /** Returns the nodes that know best whether the store was there: in each other zone the two that read for it, or those of this zone if there is no other.
     */
    std::vector<endpoint> witnesses() const;
    /** Returns the address of a known peer, or nothing if no peer has this name. */
    std::optional<endpoint> peerAddress(const std::string &peer) const;
    /** Records the result of a direct call. @param isServed whether the store served it */
    void recordDirectResult(time_point now, bool isServed);
    /** Records the result of a call through @p peer. @param isServed whether the store served it @param isReached whether the peer itself answered */
    void recordFailoverResult(time_point now, const std::string &peer, bool isServed, bool isReached);

    /** Returns the peers to ping: one of another zone, or one of each other zone and one more after a ping that had no answer. */
    std::vector<std::pair<std::string, endpoint>> pingTargets();
    /**
     * Records whether @p peer answered a ping in time.
     * @return whether the caller should call the store too, because this node may be partitioned
     */
    bool recordPing(time_point now, const std::string &peer, bool isReached);

    /** Tells whether this node reaches neither the store nor peers of other zones. */
    bool isIsolated(time_point now) const;
    /** Returns the time since the store last served a direct call of this node. */
    duration timeSinceServed(time_point now) const
    {
        return now - m_servedAt;
    }
    /** Tells whether no call has been served on any path since one failed. */
    bool isStoreLost() const
    {
        return m_lostAt != timeNever;
    }
    /** Tells whether calls go through a peer now. */
    bool isFailedOver(time_point now) const
    {
        return now < m_failoverUntil;
    }

private:
    /** Returns the peers that are not paused, those of other zones if there are any: a partition may affect the whole zone of this node. */
    std::vector<std::string> usablePeers(time_point now) const;
    bool isInOtherZone(const store_peer &peer) const
    {
        return peer.zone != m_ownZone;
    }
    /** Records whether @p peer answered its last call or ping. */
    void recordReachability(time_point now, const std::string &peer, bool isReached);
    /** Records that the store served a call on any path. */
    void recordServed();
    /** Records that a call failed on any path. */
    void recordFailed(time_point now);

    store_router_options m_options;
    std::string m_ownName;
    std::string m_ownZone;
    random_source m_random;
    std::map<std::string, store_peer> m_peers;
    peer_presence m_readers; ///< Peers that failed as the zone's reader.
    std::map<std::string, time_point> m_reachedAt; ///< When each peer answered last, by name.
    std::set<std::string> m_unreachable; ///< Peers that did not answer their last call or ping.
    std::string m_pingPeer; ///< The peer to ping; it stays the same while it answers, so that its connection stays open.
    bool m_hasMissedPing = false;
    time_point m_lostAt = timeNever; ///< First failure since a call was last served on any path; timeNever if there is none.
    std::map<std::string, time_point> m_pausedUntil; ///< Peers that could not reach the store, by name.
    std::string m_failoverPeer; ///< Peer that calls go through; kept while it works, so that its connections stay open.
    int m_directFailures = 0; ///< Failures in a row on the direct path.
    time_point m_servedAt; ///< When the store last served a direct call.
    time_point m_failoverUntil; ///< End of the failover; in the past while calls go directly.
};

} // namespace reedtrail
