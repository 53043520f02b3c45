// A token bucket with a level for each priority: a background call is made only while the bucket is more than half full, so that a burst of them leaves room
// for seals and settings, and those leave room for leases. Constant time and memory.

#include "fleet/call_budget.h"

#include <algorithm>

namespace reedtrail {

call_budget::call_budget(call_budget_options options)
    : m_options(options)
    , m_saved(options.burst)
{
}

double call_budget::reserveFor(store_priority priority) const
{
    switch (priority) {
    case store_priority::Lease:
        return 0;
    case store_priority::Commit:
        return m_options.commitReserve * m_options.burst;
    case store_priority::Background:
        return m_options.backgroundReserve * m_options.burst;
    }
    return 0;
}

bool call_budget::take(time_point now, store_priority priority)
{
    const double earned = toSeconds(std::max(duration{}, now - m_filledAt)) * m_options.callsPerSecond;
    m_saved = std::min(m_options.burst, m_saved + earned);
    m_filledAt = std::max(m_filledAt, now);
    if (m_saved < 1 + reserveFor(priority)) {
        ++m_refused.at(static_cast<std::size_t>(priority));
        return false;
    }
    m_saved -= 1;
    return true;
}

} // namespace reedtrail
