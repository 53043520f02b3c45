/**
 * @file
 * Shares the engines of a pool among the runs that draft on it: first among customers by weight, then among the runs of a customer by weight and urgency, so
 * that a run close to stalling its trainer gets a larger share.
 *
 *     std::uint64_t limit = maximumDraftsInFlight(document, run, needs);
 */
#pragma once

#include "fleet/fleet_document.h"
#include "sampling/draft_lead_planner.h"

#include <cstdint>
#include <map>

namespace reedtrail {

/** Drafts in flight per engine slot. More than one, so that a slot that becomes free has the next draft waiting. */
inline constexpr double inFlightDraftsPerSlot = 1.25;

/** Returns the urgency of @p need, from 1 (the trainer needs the step in a minute or later) to 4 (the trainer waits now). */
double urgency(const run_need &need);

/**
 * Returns how many drafts of a run may be in flight at once.
 * @param document settings in force
 * @param run id of the run
 * @param needs needs of the runs as announced by their owners; a missing run counts by its weight alone
 * @return at least 1 for an open run; 0 if the run is not open or its pool or customer is unknown
 */
std::uint64_t maximumDraftsInFlight(const fleet_document &document, const run_id &run, const std::map<run_id, run_need> &needs);

} // namespace reedtrail
