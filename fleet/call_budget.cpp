// A token bucket with a reserve for each priority. By default a background call needs a bucket that is more than half full, so that a burst of background calls
// leaves tokens for seals and settings, and a burst of those leaves tokens for leases. A call costs constant time and memory.

#include "fleet/call_budget.h"

#include <algorithm>

namespace reedtrail {

call_budget::call_budget(call_budget_options options)
    : m_options(options)
    , m_tokens(options.burst)
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
    const double refill = toSeconds(std::max(duration{}, now - m_refilledAt)) * m_options.callsPerSecond;
    m_tokens = std::min(m_options.burst, m_tokens + refill);
    m_refilledAt = std::max(m_refilledAt, now);
    if (m_tokens < 1 + reserveFor(priority)) {
        ++m_refused.at(static_cast<std::size_t>(priority));
        return false;
    }
    m_tokens -= 1;
    return true;
}

} // namespace reedtrail
