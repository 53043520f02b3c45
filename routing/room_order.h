/**
 * @file
 * Decides who goes first when there are fewer places at the servers than work that waits for them. Pure core: no I/O and no clock of its own.
 *
 * The rule, for operators: Work that can all be done in time runs by its due time. If it can't, what puts off the others most for the least value is put off
 * itself, until the rest is in time. Nothing is put off for longer than a bound: then it goes first.
 *
 * Load pattern: several batch jobs whose steps are behind, each with more texts than there are places. A job that is served because it came first, or because
 * of its id, makes the others late as well; a job that can't be in time any more makes others late for nothing.
 *
 *     const std::vector<std::size_t> order = orderWork(now, claims, places);
 */
#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace reedtrail {

/** Work that waits for places. */
struct work_claim
{
    int priority = 0; ///< Lower is more urgent, and goes before the due time.
    time_point due; ///< When its caller needs it.
    duration work{}; ///< Time in a place that it still needs, of all its parts together; an estimate.
    double value = 1; ///< What its caller loses if it is late. Work that is nearly done keeps its whole value, so it isn't broken off.
    time_point waitingSince; ///< When it last got a place, or began to wait.
};

/** Bounds of the order. */
struct room_order_options
{
    duration maxWait = std::chrono::seconds(3); ///< Work that has had no place for this long goes first. Below the time that a caller leaves for a late answer.
};

/** Where a claim stands in the order, for the decision line. */
enum class room_rank : std::uint8_t {
    Overdue, ///< It has waited for too long.
    InTime, ///< It can be in time.
    PutOff, ///< It can't be in time, or others would be late for it.
};

/** A claim's place in the order. */
struct room_place
{
    std::size_t claim = 0; ///< Index of the claim.
    room_rank rank = room_rank::InTime;
};

/**
 * Orders claims on the same places.
 * @param places that run work at once; at least one is assumed
 * @return all claims, the first to be served first
 */
std::vector<room_place> orderWork(time_point now, std::span<const work_claim> claims, double places, const room_order_options &options = {});

} // namespace reedtrail
