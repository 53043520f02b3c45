/**
 * @file
 * Tells callers that are turned away when to come back. Pure core: no I/O and no clock of its own.
 *
 * Load pattern: a burst finds all servers full and is turned away within milliseconds. With one fixed pause all of it comes back at once and finds them full
 * again. So each caller gets a time of its own, spaced by the rate at which this node has seen places become free.
 *
 *     schedule.onAnswered(now);                               // a request of the service was answered, so a place is free again
 *     duration pause = schedule.nextReturn(now, 150ms, 2s);   // for one caller
 */
#pragma once

#include "base/time.h"

#include <algorithm>
#include <cmath>

namespace reedtrail {

/** Schedules the returns to one service. */
class return_schedule
{
public:
    /** Records that a server of the service has answered a request of this node. */
    void onAnswered(time_point now)
    {
        m_rate = rateAt(now) + 1 / toSeconds(memory);
        m_updatedAt = now;
    }
    /**
     * Returns when a caller should come back, and reserves that time.
     * @param shortest pause, for instance the time that a request takes
     * @param longest pause that still leaves the caller time to be served; returned if all moments before it are taken
     */
    duration nextReturn(time_point now, duration shortest, duration longest)
    {
        const double rate = rateAt(now);
        const duration gap = rate > 0 ? fromSeconds(1 / rate) : duration::zero();
        const time_point earliest = now + shortest;
        const time_point latest = now + std::max(shortest, longest);
        const time_point chosen = std::min(std::max(earliest, m_lastReturn + gap), latest);
        m_lastReturn = std::max(m_lastReturn, chosen);
        return chosen - now;
    }
    /** Returns the requests answered per second lately. */
    double rateAt(time_point now) const
    {
        return m_rate * std::exp(-toSeconds(now - m_updatedAt) / toSeconds(memory));
    }

private:
    static constexpr duration memory = std::chrono::seconds(2); // The rate is that of about this long; a burst lasts some seconds.

    double m_rate = 0;
    time_point m_updatedAt;
    time_point m_lastReturn; ///< Latest time given to a caller.
};

} // namespace reedtrail
