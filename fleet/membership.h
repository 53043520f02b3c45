/**
 * @file
 * Membership and failure detection of one node: a gossip protocol with incarnations, suspicion and refutation. It does no I/O.
 *
 *     membership members(options, self, seed);
 *     members.setSeedAddresses({"10.0.0.1:7003"});               // configured seeds and addresses from the VM list
 *     membership_step step = members.onTimer(now);               // send step.sends, log step.changes, call again at members.deadline()
 *     step = members.onHeartbeat(now, received);
 *     for (const member_info &member : members.reachable()) { ... }
 *
 * The caller keeps links to members.wantedPeers() open and sends each heartbeat over the link to its address. It drops a heartbeat for which there is no link.
 */
#pragma once

#include "base/random.h"
#include "base/time.h"
#include "fleet/membership_messages.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace reedtrail {

/** Intervals, timeouts and limits of the membership protocol. */
struct membership_options
{
    duration heartbeatInterval = std::chrono::milliseconds(400); ///< Between heartbeats to the neighbours in the own zone.
    std::uint64_t intervalsPerCrossZoneHeartbeat = 2; ///< Heartbeats go to other zones once in this many heartbeat intervals.
    duration suspectAfter = std::chrono::milliseconds(1300); ///< A neighbour that is silent for longer is suspected.
    duration suspicionTimeout = std::chrono::milliseconds(2200); ///< A suspected member that does not refute within this time is declared dead.
    duration suspicionCooldown = std::chrono::seconds(10); ///< After a refutation, the observer does not suspect the same member again for this long.
    duration neighbourGrace = std::chrono::seconds(3); ///< Time that a new neighbour has for its first heartbeat.
    duration updateBatchDelay = std::chrono::milliseconds(20); ///< Updates are collected for this long and sent in one message.
    duration zoneCounterInterval = std::chrono::seconds(1); ///< Between two increments of a zone's counter.
    duration zoneTimeout = std::chrono::seconds(4); ///< A zone whose counter does not increase for longer is unreachable.
    duration probeInterval = std::chrono::seconds(1); ///< Between attempts to contact seed addresses, dead members and members of unreachable zones.
    duration digestMismatchTimeout = std::chrono::seconds(3); ///< A digest that differs for longer makes this node request the full state.
    duration tombstoneRetention = std::chrono::hours(2); ///< Dead members are kept and probed for this long, so that no older update revives them.
    std::size_t rings = 3; ///< Number of monitoring rings. Each ring gives a node one successor and one predecessor in its zone.
    std::size_t maximumTombstones = 4096; ///< Dead members that are kept at most.
};

/** A heartbeat and the peer address that it goes to. */
struct membership_send
{
    std::string address;
    std::shared_ptr<const heartbeat> message;
};

/** A state change of a member or a zone, for the decision log. */
struct membership_change
{
    node_id node; ///< Empty if the reachability of a whole zone changed.
    zone_id zone;
    member_state state = member_state::Alive;
    bool isReachable = true; ///< Whether the zone is reachable.
    std::string cause;
};

/** Output of one event: messages to send, and what has changed. */
struct membership_step
{
    std::vector<membership_send> sends;
    std::vector<membership_change> changes;
    bool hasNewView = false; ///< Whether the result of reachable() may have changed.
    bool hasNewFacts = false; ///< Whether facts() has changed.
};

/** State machine of the membership protocol on one node. */
class membership
{
public:
    /** @param self identity and addresses of this node @param seed of the random numbers that spread timers and choose peers */
    membership(membership_options options, member_info self, std::uint64_t seed);

    /** Sets the addresses where this node looks for other stewards. The list may miss stewards and may name addresses without one. */
    void setSeedAddresses(std::vector<std::string> addresses);
    /** Sets the settings revision that heartbeats announce. A newer revision is announced at once. */
    void setRevision(time_point now, std::uint64_t revision);
    /** Publishes a fact to all nodes by gossip. @return whether @p version is newer than the known one */
    bool publishFact(time_point now, const std::string &key, std::uint64_t version, nlohmann::json value);
    /** Returns the facts that this node knows. */
    const shared_facts &facts() const
    {
        return m_facts;
    }
    /** Sets whether this node reaches the store. A change is announced to the other members under a new incarnation. */
    void setStoreReachable(bool isReachable);

    /** Runs all timers that have expired; call it at deadline(). */
    membership_step onTimer(time_point now);
    /** Processes a heartbeat from a peer. */
    membership_step onHeartbeat(time_point now, const heartbeat &received);
    /** Sends a first heartbeat to the peer at @p address, to which a link has just opened. */
    membership_step onLinkUp(time_point now, const std::string &address);
    /** Announces that this node leaves the fleet. */
    membership_step leave(time_point now);
    /** Returns the time when onTimer() must be called next. */
    time_point deadline() const;

    /** Returns the identity and addresses of this node. */
    const member_info &self() const
    {
        return m_self;
    }
    /** Returns the live members of reachable zones, suspected ones and this node included, sorted by id. */
    const std::vector<member_info> &reachable() const;
    /** Returns all known members with their state, dead ones included. */
    std::vector<member_status> allMembers() const;
    /** Returns the summaries of all known zones whose counter has started. */
    std::vector<zone_summary> zoneSummaries() const;
    /** Returns whether @p zone is reachable; the own zone always is. */
    bool isZoneReachable(const zone_id &zone) const;
    /** Returns the deputy of @p zone, which is the live member that increments the zone's counter; none if the zone has no live member. */
    std::optional<node_id> deputyOf(const zone_id &zone) const;
    /** Returns the addresses of the peers that this node needs a link to. */
    std::vector<std::string> wantedPeers() const;

private:
    struct member_record
    {
        member_info info;
        member_state state = member_state::Alive;
        time_point stateChangedAt;
        time_point lastHeardAt; ///< When this node last received a heartbeat from the member. Set ahead to grant a grace period.
        time_point noSuspicionUntil;
        int transmissionsLeft = 0; ///< How many more heartbeats will carry this member's state.
        bool isSuspectedHere = false; ///< Whether this node itself raised the current suspicion.
    };
    struct zone_record
    {
        zone_summary summary;
        time_point lastIncreaseAt;
        bool isReachable = true;
        std::optional<time_point> digestDiffersSince;
        time_point membersRequestedAt;
    };

    bool applyUpdate(time_point now, const member_status &update, const char *cause, membership_step &step);
    void refute(time_point now, const member_status &update);
    void declareReplacedDead(time_point now, const member_info &newMember, membership_step &step);
    void setState(time_point now, member_record &record, member_state state, const char *cause, membership_step &step);
    void applyZoneSummary(time_point now, const zone_summary &summary, membership_step &step);

    void compensateForOwnPause(time_point now);
    void suspectSilentNeighbours(time_point now, membership_step &step);
    void expireSuspicions(time_point now, membership_step &step);
    void expireZones(time_point now, membership_step &step);
    void repairDivergentZones(time_point now, membership_step &step);
    void advanceZoneCounter(time_point now);
    void purgeTombstones(time_point now);
    void probe(time_point now, membership_step &step);
    void sendHeartbeats(time_point now, membership_step &step);
    void sendPendingUpdates(time_point now, membership_step &step);
    void queueUpdate(time_point now, member_record &record);

    std::shared_ptr<heartbeat> newHeartbeat() const;
    std::vector<member_status> takePendingUpdates();
    void applyFacts(time_point now, const heartbeat &received, std::shared_ptr<heartbeat> &answer, membership_step &step);
    void addZoneMembers(const zone_id &zone, heartbeat &message) const;
    void refreshNeighbours(time_point now);
    /** Values derived from the live members of one zone; recomputed after the view has changed. */
    struct zone_digest
    {
        std::uint64_t digest = 0;
        std::uint64_t alive = 0;
        std::vector<node_id> rankedDeputies; ///< The deputy first, then those that take over for it in turn.
    };
    const zone_digest &digestOf(const zone_id &zone) const;
    std::vector<const member_record *> membersOf(const zone_id &zone) const;
    const member_record *ringNeighbour(const std::vector<const member_record *> &candidates, std::size_t ring, bool isSuccessor) const;
    void invalidateView();

    membership_options m_options;
    member_info m_self;
    random_source m_random;
    std::map<node_id, member_record> m_members; ///< All other members.
    std::map<zone_id, zone_record> m_zones;
    shared_facts m_facts;
    std::optional<time_point> m_factsDifferSince;
    std::vector<std::string> m_seedAddresses;
    std::vector<member_record *> m_neighbours; ///< Members of the own zone that exchange heartbeats with this node, sorted by id; points into m_members.
    std::vector<node_id> m_pendingUpdates; ///< Members whose transmissionsLeft is above zero.
    std::set<node_id> m_suspects;
    std::vector<std::string> m_crossZonePeers;
    std::vector<std::string> m_probes;
    std::uint64_t m_revision = 0;
    std::uint64_t m_heartbeatCount = 0;
    int m_ownTransmissionsLeft = 0;
    bool m_hasLeft = false;
    bool m_hasNewRevision = false;
    bool m_areNeighboursStale = true;
    mutable bool m_isViewStale = true;
    mutable std::vector<member_info> m_view;
    mutable std::map<zone_id, zone_digest> m_digests; ///< Cleared when the view changes.
    time_point m_lastTimer{};
    time_point m_nextHeartbeat{};
    time_point m_nextProbe{};
    time_point m_nextCounterCheck{};
    time_point m_nextUpdateSend = timeNever;
};

} // namespace reedtrail
