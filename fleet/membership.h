/**
 * @file
 * Which nodes are alive, as one node knows it: gossip with incarnations, suspicion and refutation.
 *
 *     membership members(options, card, seed);
 *     members.setHints({"10.0.0.1:7003"});                       // seeds, and what the VM list says
 *     membership_step step = members.onTimer(now);               // send step.sends, look at step.changes, come back at members.deadline()
 *     step = members.onHeartbeat(now, received);
 *     for (const member_info &member : members.reachable()) { ... }
 *
 * The caller keeps links to members.wantedPeers() and sends to an address over the link it has; what cannot be sent is dropped.
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

/** Intervals and bounds of membership. */
struct membership_options
{
    duration heartbeatInterval = std::chrono::milliseconds(400); ///< To the neighbours in the own zone.
    std::uint64_t crossZoneEvery = 2; ///< Heartbeats to other zones are sent every so many intervals.
    duration suspectAfter = std::chrono::milliseconds(1300); ///< Silence of a neighbour until it is suspected.
    duration suspicionTimeout = std::chrono::milliseconds(2200); ///< From suspicion to death without a refutation.
    duration mutedAfterRefutation = std::chrono::seconds(10); ///< An observer that was refuted does not suspect the same member for so long.
    duration neighbourGrace = std::chrono::seconds(3); ///< For the first heartbeat of a new neighbour.
    duration newsDelay = std::chrono::milliseconds(20); ///< News gathers for so long before it is sent.
    duration zoneCountInterval = std::chrono::seconds(1); ///< Between two steps of a zone's counter.
    duration zoneTimeout = std::chrono::seconds(4); ///< A zone whose counter stands still for longer is unreachable.
    duration probeInterval = std::chrono::seconds(1); ///< Between attempts to reach hints, the dead and unreachable zones.
    duration digestPatience = std::chrono::seconds(3); ///< A digest that differs for longer makes this node ask for the zone's members.
    duration tombstoneTime = std::chrono::hours(2); ///< The dead are remembered for so long.
    std::size_t rings = 3; ///< Each gives a node one successor and one predecessor in its zone.
    std::size_t maximumTombstones = 4096;
};

/** A heartbeat to send. */
struct membership_send
{
    std::string address;
    std::shared_ptr<const heartbeat> message;
};

/** What has become of a member or zone, for the decision log. */
struct membership_change
{
    node_id node; ///< Empty if a whole zone became reachable or unreachable.
    zone_id zone;
    member_state state = member_state::Alive;
    bool isReachable = true; ///< Of the zone.
    std::string cause;
};

/** What follows from an event. */
struct membership_step
{
    std::vector<membership_send> sends;
    std::vector<membership_change> changes;
    bool hasNewView = false; ///< Whether reachable() may have changed.
    bool hasNewFacts = false; ///< Whether facts() has changed.
};

/** The core of membership of one node. */
class membership
{
public:
    membership(membership_options options, member_info self, std::uint64_t seed);

    /** Sets addresses where other stewards may be found; they may be wrong in both directions. */
    void setSeedAddresses(std::vector<std::string> addresses);
    /** Sets the revision of the settings told to others; a new one is told at once. */
    void setRevision(time_point now, std::uint64_t revision);
    /** Passes a fact on to all. @return whether it was newer than what is known */
    bool putFact(time_point now, const std::string &key, std::uint64_t version, nlohmann::json value);
    /** Returns the facts known. */
    const shared_facts &facts() const
    {
        return m_facts;
    }
    /** Tells the others whether this node reaches the store. */
    void setStoreReachable(bool isReachable);

    /** Does what is due; call it at deadline(). */
    membership_step onTimer(time_point now);
    /** Takes a heartbeat. */
    membership_step onHeartbeat(time_point now, const heartbeat &received);
    /** Greets the peer at @p address, to which a link has just opened. */
    membership_step onLinkUp(time_point now, const std::string &address);
    /** Tells the others that this node leaves. */
    membership_step leave(time_point now);
    /** Returns when onTimer() must be called next. */
    time_point deadline() const;

    /** Returns this node's own card. */
    const member_info &self() const
    {
        return m_self;
    }
    /** Returns the members that are alive or only suspected, in zones that are reachable, this node included, by id. */
    const std::vector<member_info> &reachable() const;
    /** Returns all that is known, the dead included. */
    std::vector<member_status> allMembers() const;
    /** Returns the sums of all zones known. */
    std::vector<zone_summary> zoneSummaries() const;
    /** Tells whether @p zone is reachable. */
    bool isZoneReachable(const zone_id &zone) const;
    /** Returns the node that is the deputy of @p zone, if it has a live member. */
    std::optional<node_id> deputyOf(const zone_id &zone) const;
    /** Returns the addresses to keep links to. */
    std::vector<std::string> wantedPeers() const;

private:
    struct member_record
    {
        member_info info;
        member_state state = member_state::Alive;
        time_point changedAt;
        time_point heardAt; ///< When something last came from it directly, or when it became a neighbour.
        time_point mutedUntil;
        int sendsLeft = 0; ///< How often its news is still to be sent.
        bool isMySuspicion = false;
    };
    struct zone_record
    {
        zone_summary summary;
        time_point roseAt;
        bool isReachable = true;
        std::optional<time_point> differsSince;
        time_point askedAt;
    };

    bool apply(time_point now, const member_status &update, const char *cause, membership_step &step);
    void refute(time_point now, const member_status &update);
    void buryReplaced(time_point now, const member_info &arrival, membership_step &step);
    void setState(time_point now, member_record &record, member_state state, const char *cause, membership_step &step);
    void applySum(time_point now, const zone_summary &summary, membership_step &step);

    void checkPause(time_point now);
    void checkNeighbours(time_point now, membership_step &step);
    void checkSuspects(time_point now, membership_step &step);
    void checkZones(time_point now, membership_step &step);
    void checkDigests(time_point now, membership_step &step);
    void countZone(time_point now);
    void forgetTombstones(time_point now);
    void probe(time_point now, membership_step &step);
    void beat(time_point now, membership_step &step);
    void sendNews(time_point now, membership_step &step);
    void noteNews(time_point now, member_record &record);

    std::shared_ptr<heartbeat> newHeartbeat() const;
    std::vector<member_status> takeNews();
    void applyFacts(time_point now, const heartbeat &received, std::shared_ptr<heartbeat> &answer, membership_step &step);
    void addZoneMembers(const zone_id &zone, heartbeat &message) const;
    void refreshNeighbours(time_point now);
    /** What follows from the members alive in one zone; made anew when the view has changed. */
    struct zone_digest
    {
        std::uint64_t digest = 0;
        std::uint64_t alive = 0;
        std::vector<node_id> rankedDeputies;
    };
    const zone_digest &digestOf(const zone_id &zone) const;
    std::vector<const member_record *> membersOf(const zone_id &zone) const;
    const member_record *ringNeighbour(const std::vector<const member_record *> &candidates, std::size_t ring, bool isSuccessor) const;
    void touchView();

    membership_options m_options;
    member_info m_self;
    random_source m_random;
    std::map<node_id, member_record> m_known; ///< Without this node itself.
    std::map<zone_id, zone_record> m_zones;
    shared_facts m_facts;
    std::optional<time_point> m_factsDifferSince;
    std::vector<std::string> m_seedAddresses;
    std::vector<member_record *> m_neighbours; ///< In the own zone, by id: observed and observing. Points into m_known.
    std::vector<node_id> m_news; ///< Members with sendsLeft.
    std::set<node_id> m_suspects;
    std::vector<std::string> m_crossZonePeers;
    std::vector<std::string> m_probes;
    std::uint64_t m_revision = 0;
    std::uint64_t m_beats = 0;
    int m_selfSendsLeft = 0;
    bool m_hasLeft = false;
    bool m_hasNewRevision = false;
    bool m_neighboursAreOld = true;
    mutable bool m_viewIsOld = true;
    mutable std::vector<member_info> m_view;
    mutable std::map<zone_id, zone_digest> m_digests; ///< Emptied when the view changes.
    time_point m_lastTimer{};
    time_point m_nextBeat{};
    time_point m_nextProbe{};
    time_point m_nextCount{};
    time_point m_newsAt = timeNever;
};

} // namespace reedtrail
