// Design. The live nodes of a zone, sorted by id, form a heap-shaped tree: node i reports to node (i - 1) / fanIn. Each period a node adds its children's last
// sums to its own usage and reports to its parent. Node 0, the root, exchanges the zone's sum with the roots of other zones and sends the fleet's total down;
// each node forwards it at once. A node receives at most fanIn reports and one total per period at any fleet size. A change reaches all nodes after as many
// periods as the tree has levels (4 for 85 nodes), plus one.
//
// A child that receives no total moves on to its next ancestor, then to nodes 1 and 2, the other candidates for root. A parent's index is always smaller than
// the child's, so no cycle can form; the last candidate acts as root. Old sums expire, so a node that is gone stops counting, and a subtree that moved may
// count twice for less than a second. The totals only influence shares; correctness does not depend on them.
//
// Memory: at most maximumChildren reports of at most maximumEntries entries.

#include "routing/usage_tree.h"

#include <algorithm>

namespace reedtrail {

namespace {
constexpr std::size_t rootCandidates = 3; ///< Number of nodes of a zone that may act as its root: nodes 0, 1 and 2.
constexpr std::size_t rootsNotifiedPerZone = 2; ///< Number of nodes of each other zone that receive this zone's sum.
} // namespace

usage_tree::usage_tree(usage_tree_options options, node_id node, zone_id zone)
    : m_options(options)
    , m_node(std::move(node))
    , m_zone(std::move(zone))
{
}

void usage_tree::setMembers(std::span<const usage_member> members)
{
    std::map<zone_id, std::vector<node_id>> byZone;
    for (const usage_member &member : members) {
        byZone[member.zone].push_back(member.node);
    }
    std::vector<node_id> parents;
    std::vector<node_id> otherRoots;
    for (auto &[zone, nodes] : byZone) {
        std::ranges::sort(nodes);
        if (zone != m_zone) {
            otherRoots.insert(otherRoots.end(), nodes.begin(), nodes.begin() + static_cast<std::ptrdiff_t>(std::min(nodes.size(), rootsNotifiedPerZone)));
            continue;
        }
        const auto ownIndex = static_cast<std::size_t>(std::ranges::find(nodes, m_node) - nodes.begin());
        for (std::size_t ancestor = ownIndex; ancestor > 0 && ownIndex < nodes.size();) {
            ancestor = (ancestor - 1) / m_options.fanIn;
            parents.push_back(nodes[ancestor]);
        }
        for (std::size_t next = 1; next < std::min(ownIndex, rootCandidates); ++next) {
            if (std::ranges::find(parents, nodes[next]) == parents.end()) {
                parents.push_back(nodes[next]);
            }
        }
    }
    m_otherRoots = std::move(otherRoots);
    if (parents != m_parents) {
        m_parents = std::move(parents);
        m_parentIndex = 0;
        m_lastTotalAt.reset();
    }
}

void usage_tree::setLocalUsage(usage_report report)
{
    m_localUsage = std::move(report);
}

void usage_tree::addTo(usage_sum &sum, std::span<const customer_usage> usage) const
{
    for (const customer_usage &each : usage) {
        const usage_key key{ each.pool, each.customer };
        if (sum.size() >= m_options.maximumEntries && !sum.contains(key)) {
            continue;
        }
        usage_numbers &numbers = sum[key];
        numbers.running += each.running;
        numbers.waiting += each.waiting;
    }
}

std::vector<customer_usage> usage_tree::toUsageList(const usage_sum &sum)
{
    std::vector<customer_usage> list;
    list.reserve(sum.size());
    for (const auto &[key, numbers] : sum) {
        list.push_back({ key.first, key.second, numbers.running, numbers.waiting });
    }
    return list;
}

usage_tree::usage_sum usage_tree::subtreeSum(time_point now, std::uint32_t &gates)
{
    usage_sum sum;
    gates = 1;
    addTo(sum, m_localUsage.usage);
    std::erase_if(m_children, [&](const auto &entry) {
        return now - entry.second.receivedAt > m_options.reportLifetime;
    });
    for (const auto &[node, entry] : m_children) {
        addTo(sum, entry.report.usage);
        gates += entry.report.gates;
    }
    return sum;
}

void usage_tree::checkParent(time_point now)
{
    if (m_parents.empty()) {
        return;
    }
    if (!m_lastTotalAt) {
        m_lastTotalAt = now;
        m_firstParentTriedAt = now;
    }
    if (m_parentIndex > 0 && now - m_firstParentTriedAt >= m_options.parentRetry) {
        m_parentIndex = 0;
        m_lastTotalAt = now;
        m_firstParentTriedAt = now;
    } else if (m_parentIndex < m_parents.size() && now - *m_lastTotalAt > m_options.parentTimeout) {
        ++m_parentIndex;
        m_lastTotalAt = now;
        m_firstParentTriedAt = m_parentIndex == 1 ? now : m_firstParentTriedAt;
    }
}

void usage_tree::tick(time_point now, std::vector<usage_send> &out)
{
    checkParent(now);
    if (isRoot()) {
        tickAsRoot(now, out);
        return;
    }
    usage_report report{ m_node, ++m_sequence, 1, {} };
    report.usage = toUsageList(subtreeSum(now, report.gates));
    out.push_back({ m_parents[m_parentIndex], std::move(report) });
}

void usage_tree::tickAsRoot(time_point now, std::vector<usage_send> &out)
{
    ++m_sequence;
    std::uint32_t gates = 0;
    usage_sum sum = subtreeSum(now, gates);
    const zone_usage ownUsage{ m_zone, m_node, m_sequence, gates, toUsageList(sum) };
    for (const node_id &root : m_otherRoots) {
        out.push_back({ root, ownUsage });
    }
    std::erase_if(m_zones, [&](const auto &entry) {
        return now - entry.second.receivedAt > m_options.zoneLifetime;
    });
    for (const auto &[node, zone] : m_zones) {
        addTo(sum, zone.usage.usage);
        gates += zone.usage.gates;
    }
    const usage_total total{ m_node, m_sequence, gates, toUsageList(sum) };
    forwardToChildren(now, total, out);
    m_total = total;
}

void usage_tree::onReport(time_point now, const usage_report &report)
{
    const auto found = m_children.find(report.node);
    if (found == m_children.end() && m_children.size() >= m_options.maximumChildren) {
        return;
    }
    // A report with a lower sequence was reordered, unless the sender was silent for so long that it may have restarted.
    if (found != m_children.end() && report.sequence <= found->second.report.sequence && now - found->second.receivedAt < m_options.reportLifetime) {
        return;
    }
    m_children[report.node] = { report, now };
}

void usage_tree::onZoneUsage(time_point now, const zone_usage &usage)
{
    const auto found = m_zones.find(usage.node);
    if (found == m_zones.end() && m_zones.size() >= m_options.maximumChildren) {
        return;
    }
    if (found != m_zones.end() && usage.sequence <= found->second.usage.sequence && now - found->second.receivedAt < m_options.zoneLifetime) {
        return;
    }
    m_zones[usage.node] = { usage, now };
}

void usage_tree::forwardToChildren(time_point now, const usage_total &total, std::vector<usage_send> &out) const
{
    for (const auto &[node, entry] : m_children) {
        if (now - entry.receivedAt <= m_options.reportLifetime) {
            out.push_back({ node, total });
        }
    }
}

void usage_tree::onTotal(time_point now, const usage_total &total, std::vector<usage_send> &out)
{
    if (isRoot()) {
        return;
    }
    m_lastTotalAt = now;
    m_total = total;
    forwardToChildren(now, total, out);
}

std::optional<usage_total> usage_tree::takeTotal()
{
    return std::exchange(m_total, std::nullopt);
}

} // namespace reedtrail
