/**
 * @file
 * Adds up what customers use over all gates, and tells every gate the sum, at a cost per node that does not grow with the fleet.
 *
 * Each node runs one. Gates of an availability zone form a tree of bounded fan-in; its root exchanges sums with the roots of the other zones:
 *
 *     usage_tree tree({}, node_id("n1"), zone_id("a"));
 *     tree.setMembers(members);                         // whenever membership changes, in any order
 *     tree.setOwn(scheduler.makeUsageReport(node));     // before each tick
 *     tree.tick(now, out);                              // each period: send out[i].message to out[i].to
 *     tree.onReport(now, report); tree.onZoneUsage(now, usage); tree.onTotal(now, from, total, out);
 *
 * A node whose parent says nothing moves to its grandparent by itself, so the sums recover without waiting for membership.
 */
#pragma once

#include "base/time.h"
#include "routing/sharing_messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace reedtrail {

/** Options of the tree. */
struct usage_tree_options
{
    std::size_t fanIn = 4;
    duration period = std::chrono::milliseconds(250); ///< Between two ticks.
    duration reportLifetime = std::chrono::milliseconds(800); ///< A child that says nothing this long no longer counts.
    duration zoneLifetime = std::chrono::milliseconds(1200); ///< The same for another zone.
    duration parentRetry = std::chrono::seconds(5); ///< How often the first parent is tried again.
    duration parentTimeout = std::chrono::milliseconds(700); ///< Without a total for this long, the next parent is tried.
    std::size_t maximumChildren = 64;
    std::size_t maximumEntries = 2048; ///< Pairs of pool and customer in a sum.
};

/** A node that takes part. */
struct usage_member
{
    node_id node;
    zone_id zone;
    auto operator<=>(const usage_member &) const = default;
};

/** A message to another node. */
struct usage_send
{
    node_id to;
    std::variant<usage_report, zone_usage, usage_total> message;
};

/** One node's part of the tree. */
class usage_tree
{
public:
    usage_tree(usage_tree_options options, node_id node, zone_id zone);

    /** Takes over the membership. @param members all live nodes, this one included */
    void setMembers(std::span<const usage_member> members);
    /** Sets what this node's gate uses. */
    void setLocalUsage(usage_report report);
    /** Does the work of one period: reports to the parent, or as root to the other roots and to the children. */
    void tick(time_point now, std::vector<usage_send> &out);
    /** Takes the report of a child. */
    void onReport(time_point now, const usage_report &report);
    /** Takes the sum of another zone. */
    void onZoneUsage(time_point now, const zone_usage &usage);
    /** Takes the fleet's sum from the parent, and passes it on to the children. */
    void onTotal(time_point now, const usage_total &total, std::vector<usage_send> &out);
    /** Returns a sum that arrived or was made since the last call, for the own gate. */
    std::optional<usage_total> takeTotal();
    /** Tells whether this node is its zone's root now. */
    bool isRoot() const
    {
        return m_parent >= m_parents.size();
    }

private:
    using usage_key = std::pair<pool_id, customer_id>;
    struct usage_numbers
    {
        double running = 0;
        double waiting = 0;
    };
    using usage_sum = std::map<usage_key, usage_numbers>;
    struct child
    {
        usage_report report;
        time_point at;
    };
    struct other_zone
    {
        zone_usage usage;
        time_point at;
    };
    void addTo(usage_sum &sum, std::span<const customer_usage> usage) const;
    static std::vector<customer_usage> listOf(const usage_sum &sum);
    usage_sum sumBelow(time_point now, std::uint32_t &gates);
    void tickAsRoot(time_point now, std::vector<usage_send> &out);
    void watchParent(time_point now);
    void passDown(time_point now, const usage_total &total, std::vector<usage_send> &out) const;

    usage_tree_options m_options;
    node_id m_node;
    zone_id m_zone;
    std::vector<node_id> m_parents; ///< To be tried in this order: ancestors, then those next in line for root. Empty for the first node.
    std::size_t m_parent = 0; ///< Which of them is used now; past the end if none answers, and this node acts as root.
    std::vector<node_id> m_otherRoots; ///< The first two nodes of each other zone: its root, and who follows if it is gone.
    time_point m_retriedAt;
    std::optional<time_point> m_heardAt; ///< Last total from above, or the last change of parent.
    usage_report m_own;
    std::map<node_id, child> m_children;
    std::map<node_id, other_zone> m_zones; ///< By sender.
    std::uint64_t m_sequence = 0;
    std::optional<usage_total> m_total;
};

} // namespace reedtrail
