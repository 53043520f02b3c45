/**
 * @file
 * What a draft must show before it may become a sample: versions for every token from the engine's own words, and an age within the bound.
 *
 * Version V is what a trainer holds when it begins step V, so a sample of step S whose oldest version is V lies S - V steps behind.
 */
#pragma once

#include "base/error_kind.h"
#include "base/ids.h"
#include "fleet/peer_messages.h"

#include <cstdint>
#include <span>

namespace reedtrail {

/** Returns the oldest version in @p versions, or 0 if there is none. */
weight_version oldestVersion(std::span<const version_range> versions);

/** Returns how many steps @p oldest lies behind @p step; 0 if it is as new or newer. */
std::uint64_t stepsBehind(std::uint64_t step, weight_version oldest);

/** Tells whether @p versions name one known version for each of @p tokens tokens, without gap or overlap, and never an older one after a newer. */
bool areVersionsWhole(std::span<const version_range> versions, std::uint64_t tokens);

/**
 * Judges a draft.
 * @param draft what the gate reported
 * @param stalenessBound most steps the oldest version may lie behind the slot's step
 * @return None if it may be sealed; the draft's own error; Corrupt if its versions leave a doubt; Stale if it is too old
 */
error_kind judgeDraft(const draft_result &draft, std::uint64_t stalenessBound);

} // namespace reedtrail
