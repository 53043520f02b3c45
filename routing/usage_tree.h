/**
 * @file
 * Aggregates the customers' usage over all gates and distributes the total to every gate, at a cost per node that does not grow with the fleet.
 *
 * Each node runs one instance. The gates of an availability zone form a tree of bounded fan-in, and its root exchanges sums with the roots of other zones:
 *
 *     usage_tree tree({}, node_id("n1"), zone_id("a"));
 *     tree.setMembers(members);                         // whenever membership changes, in any order
 *     tree.setLocalUsage(scheduler.makeUsageReport(node));     // before each tick
 *     tree.tick(now, out);                              // each period: send out[i].message to out[i].to
 *     tree.onReport(now, report); tree.onZoneUsage(now, usage); tree.onTotal(now, from, total, out);
 *
 * A node whose parent is silent reports to its grandparent, so the sums recover without waiting for a change of membership.
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
    std::size_t fanIn = 4; ///< Largest number of regular children of a node.
    duration period = std::chrono::milliseconds(250); ///< Time between two calls of tick().
    duration reportLifetime = std::chrono::milliseconds(800); ///< The last report of a child expires after this time.
    duration zoneLifetime = std::chrono::milliseconds(1200); ///< The last sum of another zone expires after this time.
    duration parentRetry = std::chrono::seconds(5); ///< Time between two attempts to return to the first parent.
    duration parentTimeout = std::chrono::milliseconds(700); ///< The next parent is tried after this time without a total.
    std::size_t maximumChildren = 64; ///< Limit of remembered children, and of remembered roots of other zones.
    std::size_t maximumEntries = 2048; ///< Limit of pairs of pool and customer in a sum.
};

/** A node of the fleet. */
struct usage_member
{
    node_id node;
    zone_id zone;
    auto operator<=>(const usage_member &) const = default;
};

/** A message to be sent to another node. */
struct usage_send
{
    node_id to;
    std::variant<usage_report, zone_usage, usage_total> message;
};

/** One node's role in the tree. */
class usage_tree
{
public:
    usage_tree(usage_tree_options options, node_id node, zone_id zone);

    /** Sets the membership. @param members all live nodes, including this one */
    void setMembers(std::span<const usage_member> members);
    /** Sets the usage of this node's gate. */
    void setLocalUsage(usage_report report);
    /** Sends the messages of one period: a report to the parent, or as root the sums to the other roots and to the children. */
    void tick(time_point now, std::vector<usage_send> &out);
    /** Handles the report of a child. */
    void onReport(time_point now, const usage_report &report);
    /** Handles the sum of another zone. */
    void onZoneUsage(time_point now, const zone_usage &usage);
    /** Handles the fleet's total from the parent and forwards it to the children. */
    void onTotal(time_point now, const usage_total &total, std::vector<usage_send> &out);
    /** Returns the newest total that was received or computed since the last call; nullopt if there is none. */
    std::optional<usage_total> takeTotal();
    /** Returns whether this node currently acts as its zone's root. */
    bool isRoot() const
    {
        return m_parentIndex >= m_parents.size();
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
        time_point receivedAt;
    };
    struct other_zone
    {
        zone_usage usage;
        time_point receivedAt;
    };
    void addTo(usage_sum &sum, std::span<const customer_usage> usage) const;
    static std::vector<customer_usage> toUsageList(const usage_sum &sum);
    usage_sum subtreeSum(time_point now, std::uint32_t &gates);
    void tickAsRoot(time_point now, std::vector<usage_send> &out);
    void checkParent(time_point now);
    void forwardToChildren(time_point now, const usage_total &total, std::vector<usage_send> &out) const;

    usage_tree_options m_options;
    node_id m_node;
    zone_id m_zone;
    std::vector<node_id> m_parents; ///< Parents in order of preference: ancestors, then other candidates for root. Empty for the first node.
    std::size_t m_parentIndex = 0; ///< Index of the current parent; past the end if none answers, so that this node acts as root.
    std::vector<node_id> m_otherRoots; ///< First two nodes of each other zone: its root and the root's successor.
    time_point m_firstParentTriedAt; ///< Last time at which the first parent was tried.
    std::optional<time_point> m_lastTotalAt; ///< Time of the last total from the parent, or of the last change of parent.
    usage_report m_localUsage;
    std::map<node_id, child> m_children;
    std::map<node_id, other_zone> m_zones; ///< Sums of other zones, by sender.
    std::uint64_t m_sequence = 0;
    std::optional<usage_total> m_total;
};

} // namespace reedtrail
