// Gossip in the manner of SWIM (Das, Gupta, Motivala 2002) with three changes.
//
// Observation is by a fixed overlay in place of random probes: in each of a few rings, ordered by hash, a node exchanges heartbeats with its successor and
// predecessor of its own zone (as the monitoring rings of Rapid, Suresh et al. 2018). Links last, so TCP connections are few, and the cost a node pays does
// not depend on the size of the fleet. Only members of the own zone are observed: a cut between zones kills nobody.
//
// Other zones are judged as a whole. The deputy of each zone raises a counter each second, which travels in the heartbeats; a counter that stands still
// makes the zone unreachable and its members with it, without one message a member. When it rises again the members are there at once.
//
// News of a member floods the overlay, each node passing it on once and once more with the next heartbeat; what is lost all the same shows as a digest that
// differs from the deputy's, and then the zone's members are asked for whole.
//
// A member is suspected, which is told to all; it refutes by a higher incarnation, and dies for others only when suspicionTimeout has passed without one. So
// a pause that is shorter than suspectAfter + suspicionTimeout kills nobody. A node that finds that its own timer was late gives everybody else new time.
//
// Memory: one record a member, at most maximumTombstones dead ones. Time: linear in the zone's members when the view changes, constant otherwise.

#include "fleet/membership.h"

#include "base/check.h"
#include "base/hash.h"

#include <algorithm>

namespace reedtrail {
namespace {

constexpr int sendsOfNews = 2; // at once, and with the next heartbeat
constexpr std::size_t probesAtOnce = 2;

bool isNewer(const member_status &update, const member_info &info, member_state state)
{
    return update.info.incarnation != info.incarnation ? update.info.incarnation > info.incarnation : update.state > state;
}

} // namespace

membership::membership(membership_options options, member_info self, std::uint64_t seed)
    : m_options(options)
    , m_self(std::move(self))
    , m_random(seed)
    , m_selfSendsLeft(sendsOfNews)
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
    REEDTRAIL_CHECK(revision >= m_revision, "the revision told to others must not fall");
    m_hasNewRevision = m_hasNewRevision || revision > m_revision;
    m_revision = revision;
    m_newsAt = std::min(m_newsAt, m_hasNewRevision ? now : timeNever);
}

bool membership::putFact(time_point now, const std::string &key, std::uint64_t version, nlohmann::json value)
{
    const bool isNew = m_facts.put(key, version, std::move(value));
    m_newsAt = isNew ? std::min(m_newsAt, now + m_options.newsDelay) : m_newsAt;
    return isNew;
}

void membership::setStoreReachable(bool isReachable)
{
    if (m_self.isStoreReachable != isReachable) {
        m_self.isStoreReachable = isReachable;
        ++m_self.incarnation;
        m_selfSendsLeft = sendsOfNews;
        m_newsAt = std::min(m_newsAt, m_nextBeat);
        touchView();
    }
}

membership_step membership::onTimer(time_point now)
{
    membership_step step;
    checkPause(now);
    countZone(now);
    checkZones(now, step);
    checkSuspects(now, step);
    checkNeighbours(now, step);
    if (now >= m_nextBeat) {
        beat(now, step);
    } else if (now >= m_newsAt) {
        sendNews(now, step);
    }
    if (now >= m_nextProbe) {
        probe(now, step);
    }
    return step;
}

time_point membership::deadline() const
{
    time_point earliest = std::min({ m_nextBeat, m_nextProbe, m_newsAt });
    for (const member_record *record : m_neighbours) {
        if (record->state == member_state::Alive) {
            earliest = std::min(earliest, std::max(record->heardAt + m_options.suspectAfter, record->mutedUntil) + duration(1));
        }
    }
    for (const node_id &node : m_suspects) {
        earliest = std::min(earliest, m_known.at(node).changedAt + m_options.suspicionTimeout);
    }
    return earliest;
}

membership_step membership::onHeartbeat(time_point now, const heartbeat &received)
{
    membership_step step;
    for (const member_status &update : received.updates) {
        apply(now, update, "gossip", step);
    }
    for (const zone_summary &summary : received.zoneSummaries) {
        applySum(now, summary, step);
    }
    const auto sender = m_known.find(received.node);
    std::shared_ptr<heartbeat> answer;
    if (sender != m_known.end() && isLive(sender->second.state)) {
        sender->second.heardAt = now;
    } else if (sender != m_known.end()) {
        answer = newHeartbeat();
        answer->updates.push_back({ sender->second.info, sender->second.state }); // so that it can refute
    } else if (received.node != m_self.node) {
        answer = newHeartbeat();
        answer->wants.emplace_back();
    }
    applyFacts(now, received, answer, step);
    if (!received.wants.empty()) {
        answer = answer ? answer : newHeartbeat();
        for (const zone_id &zone : received.wants) {
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

/** Takes facts, and asks for all of them when the digests have differed for a while. */
void membership::applyFacts(time_point now, const heartbeat &received, std::shared_ptr<heartbeat> &answer, membership_step &step)
{
    step.hasNewFacts = m_facts.apply(received.facts);
    if (step.hasNewFacts) {
        m_newsAt = std::min(m_newsAt, now + m_options.newsDelay);
    }
    const bool differs = received.factDigest != m_facts.digest();
    if (!differs) {
        m_factsDifferSince.reset();
    } else if (!m_factsDifferSince) {
        m_factsDifferSince = now;
    }
    const bool asks = differs && now - *m_factsDifferSince >= m_options.digestPatience;
    if (!asks && !received.wantsFacts) {
        return;
    }
    answer = answer ? answer : newHeartbeat();
    answer->facts = m_facts.all();
    if (asks) {
        answer->wantsFacts = true;
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
    if (m_known.empty()) {
        message->wants.emplace_back();
        message->wantsFacts = true;
    }
    step.sends.push_back({ address, message });
    return step;
}

membership_step membership::leave(time_point now)
{
    membership_step step;
    m_hasLeft = true;
    touchView();
    m_selfSendsLeft = sendsOfNews;
    sendNews(now, step);
    return step;
}

/** Takes what another node says of a member. @return whether it was new */
bool membership::apply(time_point now, const member_status &update, const char *cause, membership_step &step)
{
    if (update.info.node == m_self.node) {
        refute(now, update);
        return false;
    }
    const auto found = m_known.find(update.info.node);
    if (found != m_known.end() && !isNewer(update, found->second.info, found->second.state)) {
        return false;
    }
    member_record &record = m_known[update.info.node];
    const bool isFirst = found == m_known.end();
    const bool isRefutation = !isFirst && record.isMySuspicion && record.state == member_state::Suspect && update.state == member_state::Alive;
    if (isRefutation) {
        record.mutedUntil = now + m_options.mutedAfterRefutation;
    }
    if (isFirst || update.info.incarnation > record.info.incarnation) {
        record.heardAt = std::max(record.heardAt, now + m_options.neighbourGrace - m_options.suspectAfter);
    }
    record.info = update.info;
    record.isMySuspicion = false;
    if (isFirst && !isLive(update.state)) {
        record.state = update.state;
        record.changedAt = now;
        noteNews(now, record);
        return true;
    }
    setState(now, record, update.state, cause, step);
    if (update.state == member_state::Alive) {
        buryReplaced(now, update.info, step);
    }
    return true;
}

/** Answers what is said of this node itself: whoever says that it is not alive, or knows a higher incarnation, learns a yet higher one. */
void membership::refute(time_point now, const member_status &update)
{
    const bool isOlder = update.info.incarnation < m_self.incarnation;
    const bool isSame = update.info.incarnation == m_self.incarnation && update.state == member_state::Alive;
    if (isOlder || isSame || m_hasLeft) {
        return;
    }
    m_self.incarnation = update.info.incarnation + 1;
    m_selfSendsLeft = sendsOfNews;
    m_newsAt = now;
    touchView();
}

/** Declares dead whoever was at the address of @p arrival before. */
void membership::buryReplaced(time_point now, const member_info &arrival, membership_step &step)
{
    for (auto &[node, record] : m_known) {
        const bool isReplaced = node != arrival.node && record.info.stewardAddress == arrival.stewardAddress && record.info.incarnation < arrival.incarnation;
        if (isReplaced && isLive(record.state)) {
            setState(now, record, member_state::Dead, "replaced on the same address", step);
        }
    }
}

void membership::setState(time_point now, member_record &record, member_state state, const char *cause, membership_step &step)
{
    record.state = state;
    record.changedAt = now;
    if (state == member_state::Suspect) {
        m_suspects.insert(record.info.node);
    } else {
        m_suspects.erase(record.info.node);
    }
    step.changes.push_back({ record.info.node, record.info.zone, state, true, cause });
    step.hasNewView = true;
    noteNews(now, record);
    touchView();
}

void membership::noteNews(time_point now, member_record &record)
{
    if (record.sendsLeft == 0) {
        m_news.push_back(record.info.node);
    }
    record.sendsLeft = sendsOfNews;
    m_newsAt = std::min(m_newsAt, now + m_options.newsDelay);
}

void membership::touchView()
{
    m_viewIsOld = true;
    m_neighboursAreOld = true;
    m_digests.clear();
}

void membership::applySum(time_point now, const zone_summary &summary, membership_step &step)
{
    zone_record &record = m_zones[summary.zone];
    const bool isFirst = record.summary.zone.empty();
    if (!isFirst && summary.counter <= record.summary.counter) {
        return;
    }
    record.summary = summary;
    record.roseAt = now;
    if (isFirst || !record.isReachable) {
        record.isReachable = true;
        step.changes.push_back({ {}, summary.zone, member_state::Alive, true, isFirst ? "zone is new" : "zone counter rises again" });
        step.hasNewView = true;
        touchView();
    }
}

/** Finds out that this process stood still: its own lateness must not be taken for the silence of others. */
void membership::checkPause(time_point now)
{
    const duration late = now - m_lastTimer;
    if (m_lastTimer != time_point{} && late > 2 * m_options.heartbeatInterval) {
        for (auto &[node, record] : m_known) {
            record.heardAt = std::max(record.heardAt, now);
            if (record.state == member_state::Suspect) {
                record.changedAt += late;
            }
        }
        for (auto &[zone, record] : m_zones) {
            record.roseAt = std::max(record.roseAt, now);
        }
    }
    m_lastTimer = now;
}

/** Suspects neighbours that have been silent. */
void membership::checkNeighbours(time_point now, membership_step &step)
{
    for (member_record *record : m_neighbours) {
        if (record->state == member_state::Alive && now > record->mutedUntil && now - record->heardAt > m_options.suspectAfter) {
            record->isMySuspicion = true;
            setState(now, *record, member_state::Suspect, "silent", step);
        }
    }
}

/** Declares dead whoever did not refute a suspicion in time. */
void membership::checkSuspects(time_point now, membership_step &step)
{
    const std::set<node_id> suspects = m_suspects;
    for (const node_id &node : suspects) {
        member_record &record = m_known.at(node);
        if (now - record.changedAt >= m_options.suspicionTimeout) {
            setState(now, record, member_state::Dead, "suspicion was not refuted", step);
        }
    }
}

void membership::checkZones(time_point now, membership_step &step)
{
    for (auto &[zone, record] : m_zones) {
        if (zone != m_self.zone && record.isReachable && now - record.roseAt > m_options.zoneTimeout) {
            record.isReachable = false;
            step.changes.push_back({ {}, zone, member_state::Alive, false, "zone counter stands still" });
            step.hasNewView = true;
            touchView();
        }
    }
}

/** Raises the counter of the own zone: its deputy does, and the next in rank when the deputy seems to be late. */
void membership::countZone(time_point now)
{
    if (now < m_nextCount) {
        return;
    }
    m_nextCount = now + m_options.zoneCountInterval / 4;
    const std::vector<node_id> &deputies = digestOf(m_self.zone).rankedDeputies;
    const auto place = std::ranges::find(deputies, m_self.node);
    zone_record &record = m_zones.at(m_self.zone);
    const duration patience = m_options.zoneCountInterval + (place - deputies.begin()) * m_options.zoneCountInterval / 2;
    if (place != deputies.end() && (record.summary.counter == 0 || now - record.roseAt >= patience)) {
        ++record.summary.counter;
        record.summary.digest = digestOf(m_self.zone).digest;
        record.summary.alive = digestOf(m_self.zone).alive;
        record.roseAt = now;
    }
}

/** Asks a member of a zone for all of them, if its digest has differed for a while. */
void membership::checkDigests(time_point now, membership_step &step)
{
    for (auto &[zone, record] : m_zones) {
        if (record.summary.counter == 0 || !record.isReachable || digestOf(zone).digest == record.summary.digest) {
            record.differsSince.reset();
            continue;
        }
        if (!record.differsSince) {
            record.differsSince = now;
        }
        if (now - *record.differsSince < m_options.digestPatience || now - record.askedAt < m_options.digestPatience) {
            continue;
        }
        const std::vector<const member_record *> members = membersOf(zone);
        const auto deputy = deputyOf(zone);
        std::string address =
            members.empty() ? (m_crossZonePeers.empty() ? "" : m_crossZonePeers.front()) : members[m_random.below(members.size())]->info.stewardAddress;
        if (deputy && m_known.contains(*deputy) && m_random.chance(0.5)) {
            address = m_known.at(*deputy).info.stewardAddress;
        }
        if (!address.empty()) {
            record.askedAt = now;
            const auto message = newHeartbeat();
            message->wants.push_back(zone);
            message->updates.push_back({ m_self, member_state::Alive });
            addZoneMembers(zone, *message);
            step.sends.push_back({ address, message });
        }
    }
}

void membership::forgetTombstones(time_point now)
{
    refreshNeighbours(now); // so that no neighbour is among the dead
    std::size_t dead = 0;
    for (auto entry = m_known.begin(); entry != m_known.end();) {
        const bool isDead = !isLive(entry->second.state) && entry->second.sendsLeft == 0;
        const bool isOld = isDead && (now - entry->second.changedAt > m_options.tombstoneTime || dead >= m_options.maximumTombstones);
        dead += isDead ? 1 : 0;
        entry = isOld ? m_known.erase(entry) : std::next(entry);
    }
}

/** Tries addresses where somebody may be who is not known to be alive. */
void membership::probe(time_point now, membership_step &step)
{
    m_nextProbe = now + duration(static_cast<std::int64_t>(static_cast<double>(m_options.probeInterval.count()) * m_random.uniform(0.8, 1.2)));
    forgetTombstones(now);
    std::vector<std::string> open;
    for (const std::string &seedAddress : m_seedAddresses) {
        const bool isAnswered = std::ranges::any_of(reachable(), [&](const member_info &member) {
            return member.stewardAddress == seedAddress;
        });
        if (!isAnswered) {
            open.push_back(seedAddress);
        }
    }
    for (const auto &[node, record] : m_known) {
        const bool isReachable = isLive(record.state) && isZoneReachable(record.info.zone);
        if (!isReachable && record.state != member_state::Left) {
            open.push_back(record.info.stewardAddress);
        }
    }
    m_probes.clear();
    for (std::size_t i = 0; i < probesAtOnce && !open.empty(); ++i) {
        const std::size_t chosen = m_random.below(open.size());
        m_probes.push_back(open[chosen]);
        open.erase(open.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
    for (const std::string &address : m_probes) {
        membership_step greeting = onLinkUp(now, address);
        step.sends.insert(step.sends.end(), greeting.sends.begin(), greeting.sends.end());
    }
}

void membership::beat(time_point now, membership_step &step)
{
    m_nextBeat = now + duration(static_cast<std::int64_t>(static_cast<double>(m_options.heartbeatInterval.count()) * m_random.uniform(0.9, 1.1)));
    m_newsAt = timeNever;
    ++m_beats;
    refreshNeighbours(now);
    checkDigests(now, step);
    const bool isNewsOnly = m_beats % m_options.crossZoneEvery != 0;
    const auto message = newHeartbeat();
    message->zoneSummaries = zoneSummaries();
    message->updates = takeNews();
    message->facts = m_facts.takeNews();
    const bool hasNews = !message->updates.empty() || !message->facts.empty() || m_hasNewRevision;
    m_hasNewRevision = false;
    for (const member_record *neighbour : m_neighbours) {
        step.sends.push_back({ neighbour->info.stewardAddress, message });
    }
    if (!isNewsOnly || hasNews) {
        for (const std::string &address : m_crossZonePeers) {
            step.sends.push_back({ address, message });
        }
    }
}

void membership::sendNews(time_point now, membership_step &step)
{
    m_newsAt = timeNever;
    refreshNeighbours(now);
    const auto message = newHeartbeat();
    message->updates = takeNews();
    message->facts = m_facts.takeNews();
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

std::vector<member_status> membership::takeNews()
{
    std::vector<member_status> news;
    if (m_selfSendsLeft > 0) {
        --m_selfSendsLeft;
        news.push_back({ m_self, m_hasLeft ? member_state::Left : member_state::Alive });
    }
    std::vector<node_id> unfinished;
    for (const node_id &node : m_news) {
        member_record &record = m_known.at(node);
        news.push_back({ record.info, record.state });
        if (--record.sendsLeft > 0) {
            unfinished.push_back(node);
        }
    }
    m_news = std::move(unfinished);
    return news;
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
    for (const auto &[node, record] : m_known) {
        if (zone.empty() || record.info.zone == zone) {
            message.updates.push_back({ record.info, record.state });
        }
    }
}

} // namespace reedtrail
