// Theory. The live nodes of a zone, sorted by id, form a heap-shaped tree: node i reports to node (i - 1) / fanIn. Each period a node adds its children's
// newest sums to its own and reports upwards; node 0, the root, exchanges the zone's sum with the other zones' roots and sends the fleet's total down, where
// each node passes it on at once. A node receives at most fanIn reports and one total a period, whatever the size of the fleet; a change reaches everybody
// after as many periods as the tree is deep (4 levels for 85 nodes), plus one.
//
// Parents are only tried: a child that hears no total moves on along its ancestors, then to nodes 1 and 2, the next in line for root, always to a smaller
// index, so no circle can form; the last in line acts as root. Old sums expire, so a node that is gone stops counting, and a subtree that moved may count
// twice for less than a second. The numbers only steer shares: no promise rests on them.
//
// Memory: at most maximumChildren reports of at most maximumEntries entries.

#include "routing/usage_tree.h"

#include <algorithm>

namespace reedtrail {

namespace {
constexpr std::size_t rootsInLine = 3; ///< Nodes 0, 1 and 2 of a zone.
constexpr std::size_t rootsTold = 2; ///< Nodes of another zone that get this zone's sum.
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
            otherRoots.insert(otherRoots.end(), nodes.begin(), nodes.begin() + static_cast<std::ptrdiff_t>(std::min(nodes.size(), rootsTold)));
            continue;
        }
        const auto own = static_cast<std::size_t>(std::ranges::find(nodes, m_node) - nodes.begin());
        for (std::size_t ancestor = own; ancestor > 0 && own < nodes.size();) {
            ancestor = (ancestor - 1) / m_options.fanIn;
            parents.push_back(nodes[ancestor]);
        }
        for (std::size_t next = 1; next < std::min(own, rootsInLine); ++next) {
            if (std::ranges::find(parents, nodes[next]) == parents.end()) {
                parents.push_back(nodes[next]);
            }
        }
    }
    m_otherRoots = std::move(otherRoots);
    if (parents != m_parents) {
        m_parents = std::move(parents);
        m_parent = 0;
        m_heardAt.reset();
    }
}

void usage_tree::setLocalUsage(usage_report report)
{
    m_own = std::move(report);
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

std::vector<customer_usage> usage_tree::listOf(const usage_sum &sum)
{
    std::vector<customer_usage> list;
    list.reserve(sum.size());
    for (const auto &[key, numbers] : sum) {
        list.push_back({ key.first, key.second, numbers.running, numbers.waiting });
    }
    return list;
}

usage_tree::usage_sum usage_tree::sumBelow(time_point now, std::uint32_t &gates)
{
    usage_sum sum;
    gates = 1;
    addTo(sum, m_own.usage);
    std::erase_if(m_children, [&](const auto &entry) {
        return now - entry.second.at > m_options.reportLifetime;
    });
    for (const auto &[node, below] : m_children) {
        addTo(sum, below.report.usage);
        gates += below.report.gates;
    }
    return sum;
}

void usage_tree::watchParent(time_point now)
{
    if (m_parents.empty()) {
        return;
    }
    if (!m_heardAt) {
        m_heardAt = now;
        m_retriedAt = now;
    }
    if (m_parent > 0 && now - m_retriedAt >= m_options.parentRetry) {
        m_parent = 0;
        m_heardAt = now;
        m_retriedAt = now;
    } else if (m_parent < m_parents.size() && now - *m_heardAt > m_options.parentTimeout) {
        ++m_parent;
        m_heardAt = now;
        m_retriedAt = m_parent == 1 ? now : m_retriedAt;
    }
}

void usage_tree::tick(time_point now, std::vector<usage_send> &out)
{
    watchParent(now);
    if (isRoot()) {
        tickAsRoot(now, out);
        return;
    }
    usage_report report{ m_node, ++m_sequence, 1, {} };
    report.usage = listOf(sumBelow(now, report.gates));
    out.push_back({ m_parents[m_parent], std::move(report) });
}

void usage_tree::tickAsRoot(time_point now, std::vector<usage_send> &out)
{
    ++m_sequence;
    std::uint32_t gates = 0;
    usage_sum sum = sumBelow(now, gates);
    const zone_usage own{ m_zone, m_node, m_sequence, gates, listOf(sum) };
    for (const node_id &root : m_otherRoots) {
        out.push_back({ root, own });
    }
    std::erase_if(m_zones, [&](const auto &entry) {
        return now - entry.second.at > m_options.zoneLifetime;
    });
    for (const auto &[node, zone] : m_zones) {
        addTo(sum, zone.usage.usage);
        gates += zone.usage.gates;
    }
    const usage_total total{ m_node, m_sequence, gates, listOf(sum) };
    passDown(now, total, out);
    m_total = total;
}

void usage_tree::onReport(time_point now, const usage_report &report)
{
    const auto found = m_children.find(report.node);
    if (found == m_children.end() && m_children.size() >= m_options.maximumChildren) {
        return;
    }
    // A sequence below the last one is an old report that was overtaken, unless the sender was silent long enough to have started anew.
    if (found != m_children.end() && report.sequence <= found->second.report.sequence && now - found->second.at < m_options.reportLifetime) {
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
    if (found != m_zones.end() && usage.sequence <= found->second.usage.sequence && now - found->second.at < m_options.zoneLifetime) {
        return;
    }
    m_zones[usage.node] = { usage, now };
}

void usage_tree::passDown(time_point now, const usage_total &total, std::vector<usage_send> &out) const
{
    for (const auto &[node, below] : m_children) {
        if (now - below.at <= m_options.reportLifetime) {
            out.push_back({ node, total });
        }
    }
}

void usage_tree::onTotal(time_point now, const usage_total &total, std::vector<usage_send> &out)
{
    if (isRoot()) {
        return;
    }
    m_heardAt = now;
    m_total = total;
    passDown(now, total, out);
}

std::optional<usage_total> usage_tree::takeTotal()
{
    return std::exchange(m_total, std::nullopt);
}

} // namespace reedtrail
