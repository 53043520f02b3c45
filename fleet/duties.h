/**
 * @file
 * Duties found by rule: all nodes that see the same members name the same node, and a duty whose holder goes away is found again without a word.
 *
 *     for (const node_id &node : chooseForDuty("settings-watcher", zone, members, 2)) { ... }
 */
#pragma once

#include "fleet/membership_messages.h"

#include <span>
#include <string_view>
#include <vector>

namespace reedtrail {

/**
 * Names the nodes that have a duty, best first.
 * @param duty its name
 * @param zone only members of this zone can have it; an empty id for all zones
 * @param members that are reachable
 * @param count how many are wanted; fewer are returned if there are not as many
 * Members that said that they cannot reach the store come last.
 */
std::vector<node_id> chooseForDuty(std::string_view duty, const zone_id &zone, std::span<const member_info> members, std::size_t count);

/** Tells whether @p node is among those that chooseForDuty() names. */
bool hasDuty(std::string_view duty, const zone_id &zone, std::span<const member_info> members, std::size_t count, const node_id &node);

} // namespace reedtrail
