/**
 * @file
 * Builds the fleet view that a steward sends to the gate of its node from the membership and settings state.
 */
#pragma once

#include "fleet/fleet_document.h"
#include "fleet/membership.h"
#include "fleet/peer_messages.h"

#include <vector>

namespace reedtrail {

/** Number of members in each zone that read the VM list. */
inline constexpr std::size_t vmListReadersPerZone = 2;

/** Returns the backend servers that are leaving according to the document or to the VM list, as reported by its readers in all zones. */
std::vector<server_id> leavingServersOf(const fleet_document &document, const membership &members);

/** Returns the run owners that are announced in the shared facts of the membership. */
std::vector<run_owner_view> runOwnersOf(const membership &members);

/**
 * Builds the fleet view for the gate.
 *
 * @param members the membership state, which gives the reachable nodes and spools
 * @param record the settings in force, or null if there are none
 * @param leaving the backend servers that are leaving
 * @param owners the owners of runs
 */
fleet_view
makeFleetView(const membership &members, const settings_record *record, const std::vector<server_id> &leaving, const std::vector<run_owner_view> &owners);

} // namespace reedtrail
