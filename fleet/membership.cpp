// The membership protocol is SWIM (Das, Gupta, Motivala 2002) with three changes.
//
// Failure detection uses a fixed overlay in place of random probes. Each of a few rings orders the members of a zone by a hash, and a node exchanges heartbeats
// with its successor and predecessor in each ring (like the monitoring rings of Rapid, Suresh et al. 2018). Links are long-lived, so there are few TCP
// connections, and the cost per node does not depend on the size of the fleet. A node monitors only members of its own zone, so a network partition between
// zones declares no member dead.
//
// Other zones are monitored as a whole. The deputy of each zone increments a counter each second, and heartbeats carry the counter. If it stops increasing, the
// zone and with it all its members become unreachable, without a message per member. When it increases again, the members are reachable at once.
//
// Membership updates flood the overlay: each node forwards an update once and repeats it in the next heartbeat. If an update is lost all the same, the digest
// of the member list differs from the deputy's, and the node requests all members of that zone.
//
// A suspicion is announced to all members. The suspected member refutes it with a higher incarnation; without a refutation it is declared dead after
// suspicionTimeout. A pause shorter than suspectAfter + suspicionTimeout therefore causes no false death. A node whose own timer fired late restarts the
// timeouts of all other members.
//
// Memory: one record per member, with at most maximumTombstones dead ones. Time: linear in the members of the zone when the view changes, constant otherwise.

#include "fleet/membership.h"

#include "base/check.h"
#include "base/hash.h"

#include <algorithm>

namespace reedtrail {
namespace {

constexpr int transmissionsPerUpdate = 2; // once immediately, once in the next heartbeat
constexpr std::size_t maximumConcurrentProbes = 2;

bool isNewer(const member_status &update, const member_info &info, member_state state)
{
    return update.info.incarnation != info.incarnation ? update.info.incarnation > info.incarnation : update.state > state;
}

} // namespace

membership::membership(membership_options options, member_info self, std::uint64_t seed)
    : m_options(options)
    , m_self(std::move(self))
    , m_random(seed)
    , m_ownTransmissionsLeft(transmissionsPerUpdate)
{
    m_zones[m_self.zone].summary.zone = m_self.zone;
}

void membership::setSeedAddresses(std::vector<std::string> addresses)
{
    m_seedAddresses = std::move(addresses);
    std::erase(m_seedAddresses, m_self.stewardAddress);
}

void membership::setRevision(time_point now, std::uint64_t revision)
{
    REEDTRAIL_CHECK(revision >= m_revision, "the announced settings revision must not decrease");
    m_hasNewRevision = m_hasNewRevision || revision > m_revision;
    m_revision = revision;
    m_nextUpdateSend = std::min(m_nextUpdateSend, m_hasNewRevision ? now : timeNever);
}

bool membership::publishFact(time_point now, const std::string &key, std::uint64_t version, nlohmann::json value)
{
    const bool isNew = m_facts.put(key, version, std::move(value));
    m_nextUpdateSend = isNew ? std::min(m_nextUpdateSend, now + m_options.updateBatchDelay) : m_nextUpdateSend;
    return isNew;
}

void membership::setStoreReachable(bool isReachable)
{
    if (m_self.isStoreReachable != isReachable) {
        m_self.isStoreReachable = isReachable;
        ++m_self.incarnation;
        m_ownTransmissionsLeft = transmissionsPerUpdate;
        m_nextUpdateSend = std::min(m_nextUpdateSend, m_nextHeartbeat);
        invalidateView();
    }
}

membership_step membership::onTimer(time_point now)
{
    membership_step step;
    compensateForOwnPause(now);
    advanceZoneCounter(now);
    expireZones(now, step);
    expireSuspicions(now, step);
    suspectSilentNeighbours(now, step);
    if (now >= m_nextHeartbeat) {
        sendHeartbeats(now, step);
    } else if (now >= m_nextUpdateSend) {
        sendPendingUpdates(now, step);
    }
    if (now >= m_nextProbe) {
        probe(now, step);
    }
    return step;
}

time_point membership::deadline() const
{
    time_point earliest = std::min({ m_nextHeartbeat, m_nextProbe, m_nextUpdateSend });
    for (const member_record *record : m_neighbours) {
        if (record->state == member_state::Alive) {
            earliest = std::min(earliest, std::max(record->lastHeardAt + m_options.suspectAfter, record->noSuspicionUntil) + duration(1));
        }
    }
    for (const node_id &node : m_suspects) {
        earliest = std::min(earliest, m_members.at(node).stateChangedAt + m_options.suspicionTimeout);
    }
    return earliest;
}

membership_step membership::onHeartbeat(time_point now, const heartbeat &received)
{
    membership_step step;
    for (const member_status &update : received.updates) {
        applyUpdate(now, update, "gossip", step);
    }
    for (const zone_summary &summary : received.zoneSummaries) {
        applyZoneSummary(now, summary, step);
    }
    const auto sender = m_members.find(received.node);
    std::shared_ptr<heartbeat> answer;
    if (sender != m_members.end() && isLive(sender->second.state)) {
        sender->second.lastHeardAt = now;
    } else if (sender != m_members.end()) {
        answer = newHeartbeat();
        answer->updates.push_back({ sender->second.info, sender->second.state }); // lets the sender refute
    } else if (received.node != m_self.node) {
        answer = newHeartbeat();
        answer->requestedZones.emplace_back();
    }
    applyFacts(now, received, answer, step);
    if (!received.requestedZones.empty()) {
        answer = answer ? answer : newHeartbeat();
        for (const zone_id &zone : received.requestedZones) {
            addZoneMembers(zone, *answer);
        }
    }
    if (answer) {
        answer->zoneSummaries = zoneSummaries();
        answer->updates.push_back({ m_self, m_hasLeft ? member_state::Left : member_state::Alive });
        step.sends.push_back({ received.address, answer });
    }
    return step;
}

/** Merges received facts, and requests all facts of the sender once the digests have differed for digestMismatchTimeout. */
void membership::applyFacts(time_point now, const heartbeat &received, std::shared_ptr<heartbeat> &answer, membership_step &step)
{
    step.hasNewFacts = m_facts.apply(received.facts);
    if (step.hasNewFacts) {
        m_nextUpdateSend = std::min(m_nextUpdateSend, now + m_options.updateBatchDelay);
    }
    const bool differs = received.factDigest != m_facts.digest();
    if (!differs) {
        m_factsDifferSince.reset();
    } else if (!m_factsDifferSince) {
        m_factsDifferSince = now;
    }
    const bool requestsAll = differs && now - *m_factsDifferSince >= m_options.digestMismatchTimeout;
    if (!requestsAll && !received.requestsFacts) {
        return;
    }
    answer = answer ? answer : newHeartbeat();
    answer->facts = m_facts.all();
    if (requestsAll) {
        answer->requestsFacts = true;
        m_factsDifferSince = now;
    }
}

membership_step membership::onLinkUp(time_point now, const std::string &address)
{
    membership_step step;
    refreshNeighbours(now);
    const auto message = newHeartbeat();
    message->updates.push_back({ m_self, m_hasLeft ? member_state::Left : member_state::Alive });
    message->zoneSummaries = zoneSummaries();
    if (m_members.empty()) {
        message->requestedZones.emplace_back();
        message->requestsFacts = true;
    }
    step.sends.push_back({ address, message });
    return step;
}

membership_step membership::leave(time_point now)
{
    membership_step step;
    m_hasLeft = true;
    invalidateView();
    m_ownTransmissionsLeft = transmissionsPerUpdate;
    sendPendingUpdates(now, step);
    return step;
}

/** Applies a state that another node reports for a member. @return whether it was new */
bool membership::applyUpdate(time_point now, const member_status &update, const char *cause, membership_step &step)
{
    if (update.info.node == m_self.node) {
        refute(now, update);
        return false;
    }
    const auto found = m_members.find(update.info.node);
    if (found != m_members.end() && !isNewer(update, found->second.info, found->second.state)) {
        return false;
    }
    member_record &record = m_members[update.info.node];
    const bool isFirst = found == m_members.end();
    const bool isRefutation = !isFirst && record.isSuspectedHere && record.state == member_state::Suspect && update.state == member_state::Alive;
    if (isRefutation) {
        record.noSuspicionUntil = now + m_options.suspicionCooldown;
    }
    if (isFirst || update.info.incarnation > record.info.incarnation) {
        record.lastHeardAt = std::max(record.lastHeardAt, now + m_options.neighbourGrace - m_options.suspectAfter);
    }
    record.info = update.info;
    record.isSuspectedHere = false;
    if (isFirst && !isLive(update.state)) {
        record.state = update.state;
        record.stateChangedAt = now;
        queueUpdate(now, record);
        return true;
    }
    setState(now, record, update.state, cause, step);
    if (update.state == member_state::Alive) {
        declareReplacedDead(now, update.info, step);
    }
    return true;
}

/** Refutes an update about this node that does not call it alive or carries a higher incarnation, by announcing a higher incarnation still. */
void membership::refute(time_point now, const member_status &update)
{
    const bool isOlder = update.info.incarnation < m_self.incarnation;
    const bool isSame = update.info.incarnation == m_self.incarnation && update.state == member_state::Alive;
    if (isOlder || isSame || m_hasLeft) {
        return;
    }
    m_self.incarnation = update.info.incarnation + 1;
    m_ownTransmissionsLeft = transmissionsPerUpdate;
    m_nextUpdateSend = now;
    invalidateView();
}

/** Declares each live member dead that used the address of @p newMember before. */
void membership::declareReplacedDead(time_point now, const member_info &newMember, membership_step &step)
{
    for (auto &[node, record] : m_members) {
        const bool isReplaced =
            node != newMember.node && record.info.stewardAddress == newMember.stewardAddress && record.info.incarnation < newMember.incarnation;
        if (isReplaced && isLive(record.state)) {
            setState(now, record, member_state::Dead, "replaced on the same address", step);
        }
    }
}

void membership::setState(time_point now, member_record &record, member_state state, const char *cause, membership_step &step)
{
    record.state = state;
    record.stateChangedAt = now;
    if (state == member_state::Suspect) {
        m_suspects.insert(record.info.node);
    } else {
        m_suspects.erase(record.info.node);
    }
    step.changes.push_back({ record.info.node, record.info.zone, state, true, cause });
    step.hasNewView = true;
    queueUpdate(now, record);
    invalidateView();
}

void membership::queueUpdate(time_point now, member_record &record)
{
    if (record.transmissionsLeft == 0) {
        m_pendingUpdates.push_back(record.info.node);
    }
    record.transmissionsLeft = transmissionsPerUpdate;
    m_nextUpdateSend = std::min(m_nextUpdateSend, now + m_options.updateBatchDelay);
}

void membership::invalidateView()
{
    m_isViewStale = true;
    m_areNeighboursStale = true;
    m_digests.clear();
}

void membership::applyZoneSummary(time_point now, const zone_summary &summary, membership_step &step)
{
    zone_record &record = m_zones[summary.zone];
    const bool isFirst = record.summary.zone.empty();
    if (!isFirst && summary.counter <= record.summary.counter) {
        return;
    }
    record.summary = summary;
    record.lastIncreaseAt = now;
    if (isFirst || !record.isReachable) {
        record.isReachable = true;
        step.changes.push_back({ {}, summary.zone, member_state::Alive, true, isFirst ? "zone is new" : "zone counter rises again" });
        step.hasNewView = true;
        invalidateView();
    }
}

/** Extends the timeouts of all members and zones if the timer fired late. A pause of this process must not count as silence of the others. */
void membership::compensateForOwnPause(time_point now)
{
    const duration lateness = now - m_lastTimer;
    if (m_lastTimer != time_point{} && lateness > 2 * m_options.heartbeatInterval) {
        for (auto &[node, record] : m_members) {
            record.lastHeardAt = std::max(record.lastHeardAt, now);
            if (record.state == member_state::Suspect) {
                record.stateChangedAt += lateness;
            }
        }
        for (auto &[zone, record] : m_zones) {
            record.lastIncreaseAt = std::max(record.lastIncreaseAt, now);
        }
    }
    m_lastTimer = now;
}

/** Suspects each neighbour that has been silent for longer than suspectAfter. */
void membership::suspectSilentNeighbours(time_point now, membership_step &step)
{
    for (member_record *record : m_neighbours) {
        if (record->state == member_state::Alive && now > record->noSuspicionUntil && now - record->lastHeardAt > m_options.suspectAfter) {
            record->isSuspectedHere = true;
            setState(now, *record, member_state::Suspect, "silent", step);
        }
    }
}

/** Declares each suspected member dead that has not refuted within suspicionTimeout. */
void membership::expireSuspicions(time_point now, membership_step &step)
{
    const std::set<node_id> suspects = m_suspects;
    for (const node_id &node : suspects) {
        member_record &record = m_members.at(node);
        if (now - record.stateChangedAt >= m_options.suspicionTimeout) {
            setState(now, record, member_state::Dead, "suspicion was not refuted", step);
        }
    }
}

/** Marks each zone unreachable whose counter has not increased for zoneTimeout. */
void membership::expireZones(time_point now, membership_step &step)
{
    for (auto &[zone, record] : m_zones) {
        if (zone != m_self.zone && record.isReachable && now - record.lastIncreaseAt > m_options.zoneTimeout) {
            record.isReachable = false;
            step.changes.push_back({ {}, zone, member_state::Alive, false, "zone counter stands still" });
            step.hasNewView = true;
            invalidateView();
        }
    }
}

/** Increments the counter of the own zone if this node is the deputy, or if it is next in rank and the higher ranks are late. */
void membership::advanceZoneCounter(time_point now)
{
    if (now < m_nextCounterCheck) {
        return;
    }
    m_nextCounterCheck = now + m_options.zoneCounterInterval / 4;
    const std::vector<node_id> &deputies = digestOf(m_self.zone).rankedDeputies;
    const auto rank = std::ranges::find(deputies, m_self.node);
    zone_record &record = m_zones.at(m_self.zone);
    const duration timeout = m_options.zoneCounterInterval + (rank - deputies.begin()) * m_options.zoneCounterInterval / 2;
    if (rank != deputies.end() && (record.summary.counter == 0 || now - record.lastIncreaseAt >= timeout)) {
        ++record.summary.counter;
        record.summary.digest = digestOf(m_self.zone).digest;
        record.summary.alive = digestOf(m_self.zone).alive;
        record.lastIncreaseAt = now;
    }
}

/** Exchanges full member lists with a node of each reachable zone whose digest has differed for digestMismatchTimeout. */
void membership::repairDivergentZones(time_point now, membership_step &step)
{
    for (auto &[zone, record] : m_zones) {
        if (record.summary.counter == 0 || !record.isReachable || digestOf(zone).digest == record.summary.digest) {
            record.digestDiffersSince.reset();
            continue;
        }
        if (!record.digestDiffersSince) {
            record.digestDiffersSince = now;
        }
        if (now - *record.digestDiffersSince < m_options.digestMismatchTimeout || now - record.membersRequestedAt < m_options.digestMismatchTimeout) {
            continue;
        }
        const std::vector<const member_record *> members = membersOf(zone);
        const auto deputy = deputyOf(zone);
        std::string address =
            members.empty() ? (m_crossZonePeers.empty() ? "" : m_crossZonePeers.front()) : members[m_random.below(members.size())]->info.stewardAddress;
        if (deputy && m_members.contains(*deputy) && m_random.chance(0.5)) {
            address = m_members.at(*deputy).info.stewardAddress;
        }
        if (!address.empty()) {
            record.membersRequestedAt = now;
            const auto message = newHeartbeat();
            message->requestedZones.push_back(zone);
            message->updates.push_back({ m_self, member_state::Alive });
            addZoneMembers(zone, *message);
            step.sends.push_back({ address, message });
        }
    }
}

void membership::purgeTombstones(time_point now)
{
    refreshNeighbours(now); // m_neighbours must not point to a dead member that is erased below
    std::size_t dead = 0;
    for (auto entry = m_members.begin(); entry != m_members.end();) {
        const bool isDead = !isLive(entry->second.state) && entry->second.transmissionsLeft == 0;
        const bool isOld = isDead && (now - entry->second.stateChangedAt > m_options.tombstoneRetention || dead >= m_options.maximumTombstones);
        dead += isDead ? 1 : 0;
        entry = isOld ? m_members.erase(entry) : std::next(entry);
    }
}

/** Contacts a few random addresses where an unknown or unreachable steward may run: seed addresses, dead members and members of unreachable zones. */
void membership::probe(time_point now, membership_step &step)
{
    m_nextProbe = now + duration(static_cast<std::int64_t>(static_cast<double>(m_options.probeInterval.count()) * m_random.uniform(0.8, 1.2)));
    purgeTombstones(now);
    std::vector<std::string> candidates;
    for (const std::string &seedAddress : m_seedAddresses) {
        const bool isReachableSeed = std::ranges::any_of(reachable(), [&](const member_info &member) {
            return member.stewardAddress == seedAddress;
        });
        if (!isReachableSeed) {
            candidates.push_back(seedAddress);
        }
    }
    for (const auto &[node, record] : m_members) {
        const bool isReachable = isLive(record.state) && isZoneReachable(record.info.zone);
        if (!isReachable && record.state != member_state::Left) {
            candidates.push_back(record.info.stewardAddress);
        }
    }
    m_probes.clear();
    for (std::size_t i = 0; i < maximumConcurrentProbes && !candidates.empty(); ++i) {
        const std::size_t chosen = m_random.below(candidates.size());
        m_probes.push_back(candidates[chosen]);
        candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
    for (const std::string &address : m_probes) {
        membership_step introduction = onLinkUp(now, address);
        step.sends.insert(step.sends.end(), introduction.sends.begin(), introduction.sends.end());
    }
}

void membership::sendHeartbeats(time_point now, membership_step &step)
{
    m_nextHeartbeat = now + duration(static_cast<std::int64_t>(static_cast<double>(m_options.heartbeatInterval.count()) * m_random.uniform(0.9, 1.1)));
    m_nextUpdateSend = timeNever;
    ++m_heartbeatCount;
    refreshNeighbours(now);
    repairDivergentZones(now, step);
    const bool isOwnZoneOnly = m_heartbeatCount % m_options.intervalsPerCrossZoneHeartbeat != 0;
    const auto message = newHeartbeat();
    message->zoneSummaries = zoneSummaries();
    message->updates = takePendingUpdates();
    message->facts = m_facts.takePendingFacts();
    const bool hasPending = !message->updates.empty() || !message->facts.empty() || m_hasNewRevision;
    m_hasNewRevision = false;
    for (const member_record *neighbour : m_neighbours) {
        step.sends.push_back({ neighbour->info.stewardAddress, message });
    }
    if (!isOwnZoneOnly || hasPending) {
        for (const std::string &address : m_crossZonePeers) {
            step.sends.push_back({ address, message });
        }
    }
}

void membership::sendPendingUpdates(time_point now, membership_step &step)
{
    m_nextUpdateSend = timeNever;
    refreshNeighbours(now);
    const auto message = newHeartbeat();
    message->updates = takePendingUpdates();
    message->facts = m_facts.takePendingFacts();
    if (message->updates.empty() && message->facts.empty() && !m_hasNewRevision) {
        return;
    }
    m_hasNewRevision = false;
    for (const member_record *neighbour : m_neighbours) {
        step.sends.push_back({ neighbour->info.stewardAddress, message });
    }
    for (const std::string &address : m_crossZonePeers) {
        step.sends.push_back({ address, message });
    }
}

std::vector<member_status> membership::takePendingUpdates()
{
    std::vector<member_status> pending;
    if (m_ownTransmissionsLeft > 0) {
        --m_ownTransmissionsLeft;
        pending.push_back({ m_self, m_hasLeft ? member_state::Left : member_state::Alive });
    }
    std::vector<node_id> stillPending;
    for (const node_id &node : m_pendingUpdates) {
        member_record &record = m_members.at(node);
        pending.push_back({ record.info, record.state });
        if (--record.transmissionsLeft > 0) {
            stillPending.push_back(node);
        }
    }
    m_pendingUpdates = std::move(stillPending);
    return pending;
}

std::shared_ptr<heartbeat> membership::newHeartbeat() const
{
    auto message = std::make_shared<heartbeat>();
    message->node = m_self.node;
    message->address = m_self.stewardAddress;
    message->revision = m_revision;
    message->factDigest = m_facts.digest();
    return message;
}

void membership::addZoneMembers(const zone_id &zone, heartbeat &message) const
{
    for (const auto &[node, record] : m_members) {
        if (zone.empty() || record.info.zone == zone) {
            message.updates.push_back({ record.info, record.state });
        }
    }
}

} // namespace reedtrail
