/**
 * @file
 * Weighted max-min shares of one capacity.
 *
 *     std::vector<share_demand> demands{{.weight = 1, .demand = 100}, {.weight = 1, .demand = 2}};
 *     shareMaxMin(10, demands);      // shares: 8 and 2
 */
#pragma once

#include <span>

namespace reedtrail {

/** What one customer wants, and what it gets. */
struct share_demand
{
    double weight = 1; ///< Above 0.
    double demand = 0; ///< At least 0.
    double share = 0; ///< Set by shareMaxMin().
};

/**
 * Shares @p capacity: nobody gets more than its demand, all is given out while anybody wants more, and whoever gets less than its demand has at least as
 * much, for its weight, as anybody else.
 * @param demands in any order; their order is kept
 */
void allocateMaxMinShares(double capacity, std::span<share_demand> demands);

} // namespace reedtrail
