/**
 * @file
 * Checks that a draft must pass before it may become a sample: the engine reported a weight version for every token, and the staleness is within the bound.
 *
 * Version V is the version that a trainer holds when it begins step V, so a sample of step S whose oldest version is V is S - V steps behind.
 */
#pragma once

#include "base/error_kind.h"
#include "base/ids.h"
#include "fleet/peer_messages.h"

#include <cstdint>
#include <span>

namespace reedtrail {

/** Returns the oldest version in @p versions, or 0 if @p versions is empty. */
weight_version oldestVersion(std::span<const version_range> versions);

/** Returns how many steps version @p oldest is behind @p step; 0 if it is not behind. */
std::uint64_t stepsBehind(std::uint64_t step, weight_version oldest);

/** Returns whether @p versions give exactly one known version for each of @p tokens tokens, without gaps or overlaps, and never decrease. */
bool areVersionsConsistent(std::span<const version_range> versions, std::uint64_t tokens);

/**
 * Validates a finished draft.
 * @param draft result as reported by the gate
 * @param stalenessBound largest number of steps that the oldest version may be behind the step of the slot
 * @return None if the draft may be sealed; the error of the draft itself if it failed; Corrupt if its versions are inconsistent; Stale if it is too old
 */
error_kind validateDraft(const draft_result &draft, std::uint64_t stalenessBound);

} // namespace reedtrail
