/**
 * @file
 * Shares a pool's engines among the runs that draft on it: first among customers by weight, then among a customer's runs so that the one nearest to stalling
 * its trainer goes first.
 *
 *     std::uint64_t drafts = draftsOf(document, run, needs);     // most drafts of the run under way at once
 */
#pragma once

#include "fleet/fleet_document.h"
#include "sampling/draft_objective.h"

#include <cstdint>
#include <map>

namespace reedtrail {

/** Drafts under way for each slot of an engine: enough that a slot that falls free finds the next one waiting. */
inline constexpr double draftsPerSlot = 1.25;

/** Returns how urgent a run's need is, from 1 (no trainer waits soon) to 4 (a trainer waits now). */
double urgency(const run_need &need);

/**
 * Returns how many drafts of a run may be under way at once.
 * @param document settings in force
 * @param run whose share is wanted
 * @param needs of runs as their owners told; a run that is not in it counts with its weight alone
 */
std::uint64_t draftsOf(const fleet_document &document, const run_id &run, const std::map<run_id, run_need> &needs);

} // namespace reedtrail
