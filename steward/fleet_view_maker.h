/**
 * @file
 * What a steward tells the gate of its node, made from its cores.
 */
#pragma once

#include "fleet/fleet_document.h"
#include "fleet/membership.h"
#include "fleet/peer_messages.h"

#include <vector>

namespace reedtrail {

/** How many members of each zone read the VM list. */
inline constexpr std::size_t vmListReadersPerZone = 2;

/** Returns the backend servers that are leaving, by the document or by what the readers of the VM list in all zones say. */
std::vector<server_id> leavingServersOf(const fleet_document &document, const membership &members);

/** Returns the owners of runs as they announced themselves. */
std::vector<run_owner_view> runOwnersOf(const membership &members);

/** Makes the view for the gate. @param record the settings in force, or null if there are none */
fleet_view
makeFleetView(const membership &members, const settings_record *record, const std::vector<server_id> &leaving, const std::vector<run_owner_view> &owners);

} // namespace reedtrail
