/**
 * @file
 * Weighted max-min fair division of one capacity.
 *
 *     std::vector<share_demand> demands{{.weight = 1, .demand = 100}, {.weight = 1, .demand = 2}};
 *     allocateMaxMinShares(10, demands);      // shares: 8 and 2
 */
#pragma once

#include <span>

namespace reedtrail {

/** Demand and share of one customer. */
struct share_demand
{
    double weight = 1; ///< Must be positive.
    double demand = 0; ///< Must not be negative.
    double share = 0; ///< Result of allocateMaxMinShares().
};

/**
 * Divides @p capacity so that no customer gets more than its demand, no capacity is left while a demand is unmet, and a customer with an unmet demand gets at
 * least as much relative to its weight as any other customer.
 * @param demands in any order, which is kept
 */
void allocateMaxMinShares(double capacity, std::span<share_demand> demands);

} // namespace reedtrail
