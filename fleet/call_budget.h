/**
 * @file
 * How many store calls one process may begin, shared by priority.
 *
 *     call_budget budget({});
 *     if (!budget.take(now, store_priority::Background)) { ... answer StoreUnavailable without a call ... }
 */
#pragma once

#include "base/time.h"
#include "fleet/store_types.h"

#include <array>
#include <cstdint>

namespace reedtrail {

/** Size of a budget. */
struct call_budget_options
{
    double callsPerSecond = 50;
    double burst = 100; ///< Calls that may be saved up.
    double commitReserve = 0.1; ///< Share of the burst kept for leases when a promise's call asks.
    double backgroundReserve = 0.5; ///< Share of the burst kept for leases and promises when a background call asks.
};

/** The budget. */
class call_budget
{
public:
    explicit call_budget(call_budget_options options);

    /** Takes one call. @return false if it must not be made now */
    bool take(time_point now, store_priority priority);
    /** Returns how many calls of @p priority were refused. */
    std::uint64_t refused(store_priority priority) const
    {
        return m_refused.at(static_cast<std::size_t>(priority));
    }

private:
    double reserveFor(store_priority priority) const;

    call_budget_options m_options;
    double m_saved;
    time_point m_filledAt{};
    std::array<std::uint64_t, storePriorityCount> m_refused{};
};

} // namespace reedtrail
