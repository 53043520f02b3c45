/**
 * @file
 * Limits the rate at which one process calls the store, and sheds calls of lower priority first.
 *
 *     call_budget budget({});
 *     if (!budget.take(now, store_priority::Background)) { ... answer StoreUnavailable without calling the store ... }
 */
#pragma once

#include "base/time.h"
#include "fleet/store_types.h"

#include <array>
#include <cstdint>

namespace reedtrail {

/** Rate, capacity and reserves of a call_budget. */
struct call_budget_options
{
    double callsPerSecond = 50; ///< Rate at which tokens are added.
    double burst = 100; ///< Capacity of the bucket in calls.
    double commitReserve = 0.1; ///< Share of the burst that Commit calls leave to Lease calls.
    double backgroundReserve = 0.5; ///< Share of the burst that Background calls leave to Lease and Commit calls.
};

/** A token bucket whose lower priorities are refused before it is empty. */
class call_budget
{
public:
    explicit call_budget(call_budget_options options);

    /** Takes a token for one call. @return false if the call must not be made now */
    bool take(time_point now, store_priority priority);
    /** Returns how many calls of @p priority were refused so far. */
    std::uint64_t refused(store_priority priority) const
    {
        return m_refused.at(static_cast<std::size_t>(priority));
    }

private:
    /** Returns the number of tokens that a call of @p priority must leave in the bucket. */
    double reserveFor(store_priority priority) const;

    call_budget_options m_options;
    double m_tokens;
    time_point m_refilledAt{};
    std::array<std::uint64_t, storePriorityCount> m_refused{};
};

} // namespace reedtrail
