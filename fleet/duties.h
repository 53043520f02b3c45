/**
 * @file
 * Assigns duties to nodes by rendezvous hashing, without communication. A duty is a task that only a few nodes do, such as watching the settings in the store.
 * All nodes with the same member list compute the same holders, and a duty moves on as soon as its holder leaves that list.
 *
 *     for (const node_id &node : selectDutyHolders("settings-watcher", zone, members, 2)) { ... }
 */
#pragma once

#include "fleet/membership_messages.h"

#include <span>
#include <string_view>
#include <vector>

namespace reedtrail {

/**
 * Selects the holders of a duty, highest rank first. Members that do not reach the store rank after all others.
 * @param duty name of the duty
 * @param zone zone whose members are eligible; an empty id makes the members of all zones eligible
 * @param members reachable members
 * @param count number of holders
 * @return the holders; fewer than @p count if there are not enough eligible members
 */
std::vector<node_id> selectDutyHolders(std::string_view duty, const zone_id &zone, std::span<const member_info> members, std::size_t count);

/** Returns whether selectDutyHolders() selects @p node for the duty. */
bool hasDuty(std::string_view duty, const zone_id &zone, std::span<const member_info> members, std::size_t count, const node_id &node);

} // namespace reedtrail
