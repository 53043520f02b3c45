// Values derived from the member list: the reachable members, the neighbours in the overlay, and the digest and deputies of each zone. They are cached until
// the view changes. Recomputing them is linear in the members of the zones concerned, and while the view is stable the cost of a heartbeat does not depend on
// the size of the fleet.

#include "base/hash.h"
#include "fleet/membership.h"

#include <algorithm>

namespace reedtrail {
namespace {

constexpr std::size_t rankedDeputiesPerZone = 3; // the deputy, and those that increment the counter while the deputy is suspected

} // namespace

std::vector<const membership::member_record *> membership::membersOf(const zone_id &zone) const
{
    std::vector<const member_record *> members;
    for (const auto &[node, record] : m_members) {
        if (record.info.zone == zone && isLive(record.state)) {
            members.push_back(&record);
        }
    }
    return members;
}

/** Returns the successor or predecessor of this node among @p candidates in the hash order of @p ring, which wraps around. */
const membership::member_record *membership::ringNeighbour(const std::vector<const member_record *> &candidates, std::size_t ring, bool isSuccessor) const
{
    const std::uint64_t own = stableHash(m_self.node.view(), ring);
    const member_record *best = nullptr;
    std::uint64_t bestDistance = 0;
    for (const member_record *candidate : candidates) {
        const std::uint64_t position = stableHash(candidate->info.node.view(), ring);
        const std::uint64_t distance = isSuccessor ? position - own : own - position;
        if (best == nullptr || distance < bestDistance) {
            best = candidate;
            bestDistance = distance;
        }
    }
    return best;
}

void membership::refreshNeighbours(time_point now)
{
    if (!m_areNeighboursStale) {
        return;
    }
    m_areNeighboursStale = false;
    std::set<node_id> chosen;
    const std::vector<const member_record *> zoneMembers = membersOf(m_self.zone);
    for (std::size_t ring = 0; ring < m_options.rings && !zoneMembers.empty(); ++ring) {
        chosen.insert(ringNeighbour(zoneMembers, ring, true)->info.node);
        chosen.insert(ringNeighbour(zoneMembers, ring, false)->info.node);
    }
    const std::vector<member_record *> before = std::move(m_neighbours);
    m_neighbours.clear();
    for (const node_id &node : chosen) {
        member_record *record = &m_members.at(node);
        m_neighbours.push_back(record);
        if (std::ranges::find(before, record) == before.end()) {
            record->lastHeardAt = std::max(record->lastHeardAt, now + m_options.neighbourGrace - m_options.suspectAfter);
        }
    }
    m_crossZonePeers.clear();
    for (const auto &[zone, record] : m_zones) {
        std::vector<std::string> candidates;
        for (const member_record *member : zone == m_self.zone ? std::vector<const member_record *>() : membersOf(zone)) {
            candidates.push_back(member->info.stewardAddress);
        }
        for (const std::size_t chosen : rendezvousChoose(m_self.node.view(), candidates, 1)) {
            m_crossZonePeers.push_back(candidates[chosen]);
        }
    }
}

const membership::zone_digest &membership::digestOf(const zone_id &zone) const
{
    const auto known = m_digests.find(zone);
    if (known != m_digests.end()) {
        return known->second;
    }
    zone_digest &computed = m_digests[zone];
    std::vector<std::string> names;
    for (const member_record *member : membersOf(zone)) {
        computed.digest ^= stableHash(member->info.node.view(), member->info.incarnation);
        names.push_back(member->info.node.str());
    }
    if (zone == m_self.zone && !m_hasLeft) {
        computed.digest ^= stableHash(m_self.node.view(), m_self.incarnation);
        names.push_back(m_self.node.str());
    }
    computed.alive = names.size();
    for (const std::size_t chosen : rendezvousChoose("zone-deputy/" + zone.str(), names, rankedDeputiesPerZone)) {
        computed.rankedDeputies.emplace_back(names[chosen]);
    }
    return computed;
}

const std::vector<member_info> &membership::reachable() const
{
    if (m_isViewStale) {
        m_isViewStale = false;
        m_view.clear();
        for (const auto &[node, record] : m_members) {
            if (isLive(record.state) && isZoneReachable(record.info.zone)) {
                m_view.push_back(record.info);
            }
        }
        const auto position = std::ranges::lower_bound(m_view, m_self.node, {}, &member_info::node);
        m_view.insert(position, m_self);
    }
    return m_view;
}

std::vector<member_status> membership::allMembers() const
{
    std::vector<member_status> all{ { m_self, m_hasLeft ? member_state::Left : member_state::Alive } };
    for (const auto &[node, record] : m_members) {
        all.push_back({ record.info, record.state });
    }
    return all;
}

std::vector<zone_summary> membership::zoneSummaries() const
{
    std::vector<zone_summary> all;
    for (const auto &[zone, record] : m_zones) {
        if (record.summary.counter > 0) {
            all.push_back(record.summary);
        }
    }
    return all;
}

bool membership::isZoneReachable(const zone_id &zone) const
{
    const auto found = m_zones.find(zone);
    return zone == m_self.zone || (found != m_zones.end() && found->second.isReachable);
}

std::optional<node_id> membership::deputyOf(const zone_id &zone) const
{
    const std::vector<node_id> &ranked = digestOf(zone).rankedDeputies;
    return ranked.empty() ? std::nullopt : std::optional(ranked.front());
}

std::vector<std::string> membership::wantedPeers() const
{
    std::set<std::string> wanted(m_crossZonePeers.begin(), m_crossZonePeers.end());
    wanted.insert(m_probes.begin(), m_probes.end());
    for (const member_record *neighbour : m_neighbours) {
        wanted.insert(neighbour->info.stewardAddress);
    }
    return { wanted.begin(), wanted.end() };
}

} // namespace reedtrail
