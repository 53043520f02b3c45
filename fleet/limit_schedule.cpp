// Each question costs a few additions, whatever the number of those who wait: a place granted ahead is only a later time of the next one.

#include "fleet/limit_schedule.h"

#include <algorithm>

namespace reedtrail {

limit_grant limit_schedule::request(time_point now, double rate, const limit_demand &demand)
{
    const duration interval = fromSeconds(1 / rate);
    const bool hasUrgent = demand.isUrgent || now < m_urgentUntil;
    if (demand.isUrgent) {
        m_urgentUntil = now + m_options.urgentMemory;
    }
    time_point free = m_all.nextFree(now, tolerance(interval));
    const bool isShared = !demand.isUrgent && hasUrgent;
    const duration sharedInterval = fromSeconds(1 / (rate * m_options.deferrableShare));
    if (isShared) {
        free = std::max(free, m_deferrable.nextFree(now, tolerance(sharedInterval)));
    }
    const duration maxWait = hasUrgent ? std::min(demand.maxWait, m_options.urgentAhead) : demand.maxWait;
    if (free - now > maxWait) {
        return { false, free - now, nextReturn(now, free, interval) };
    }
    m_all.take(now, interval);
    if (isShared) {
        m_deferrable.take(now, sharedInterval);
    }
    return { true, free - now, {} };
}

void limit_schedule::charge(time_point now, double rate)
{
    m_all.take(now, fromSeconds(1 / rate));
}

/** Returns the time until the next return time that is not taken yet. */
duration limit_schedule::nextReturn(time_point now, time_point free, duration interval)
{
    if (m_nextReturnAt < free || m_nextReturnAt > free + m_options.maxReturnSpread) {
        m_nextReturnAt = free;
    }
    return std::exchange(m_nextReturnAt, m_nextReturnAt + interval) - now;
}

} // namespace reedtrail
