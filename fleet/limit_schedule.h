/**
 * @file
 * Divides the requests that a backend server in need takes among all who ask for them. Pure core: no I/O and no clock of its own.
 *
 * Load pattern: a server names a few requests a second, far less than what it got until then. Single interactive requests that are of use only within
 * milliseconds come beside bursts of score calls and items, which may come again for seconds.
 *
 * A generic cell rate algorithm (virtual scheduling): each granted request moves the time of the next free place by the interval of the rate. A request that is
 * granted a place ahead waits until then, so those who wait are served in the order in which they asked. A request for which the wait would be too long gets no
 * place and is told two times: when the next place is free, and when to return. Return times of those turned away are spread at the rate of the places, so that
 * they do not come back together. While urgent requests are asked for, the others get a share of the places at most, so that bursts do not starve them.
 */
#pragma once

#include "base/time.h"

#include <algorithm>
#include <utility>

namespace reedtrail {

/** Limits and times of a limit_schedule. */
struct limit_schedule_options
{
    duration burst = std::chrono::milliseconds(250); ///< Places unused for this long are kept, at least one; a burst after a calm while uses them at once.
    double deferrableShare = 0.5; ///< Share of the places for requests that are not urgent while there are urgent ones.
    duration urgentMemory = std::chrono::seconds(3); ///< Urgent requests count as present for this long after the last one.
    duration urgentAhead = std::chrono::milliseconds(100); ///< Places are granted no further ahead than this while there are urgent requests.
    duration maxReturnSpread = std::chrono::seconds(2); ///< Return times are spread over this time at most, then from its begin again.
};

/** What one request asks for. */
struct limit_demand
{
    bool isUrgent = true; ///< Whether the request is of use only at once: a caller waits for it.
    duration maxWait{}; ///< Longest wait for a place.
};

/** The answer to a limit_demand. */
struct limit_grant
{
    bool isGranted = false;
    duration wait{}; ///< Time until the granted place, or until the next place is free if none was granted.
    duration returnAfter{}; ///< When a caller that was turned away should come back.
};

/** The places of one server. */
class limit_schedule
{
public:
    explicit limit_schedule(limit_schedule_options options = {})
        : m_options(options)
    {
    }

    /** Grants a place, or turns the request away. @param rate places a second, above zero */
    limit_grant request(time_point now, double rate, const limit_demand &demand);
    /** Counts a request that is sent without asking. It uses a place that is then missing for others. */
    void charge(time_point now, double rate);

private:
    /** One sequence of places at a fixed interval. */
    struct place_row
    {
        time_point next; ///< When the next place is due; places before now are kept for as long as the burst allows.

        time_point nextFree(time_point now, duration tolerance) const
        {
            return std::max(now, next - tolerance);
        }
        void take(time_point now, duration interval)
        {
            next = std::max(now, next) + interval;
        }
    };
    duration tolerance(duration interval) const
    {
        return std::max(duration::zero(), m_options.burst - interval);
    }
    duration nextReturn(time_point now, time_point free, duration interval);

    limit_schedule_options m_options;
    place_row m_all;
    place_row m_deferrable; ///< Counted only while there are urgent requests.
    time_point m_urgentUntil;
    time_point m_nextReturnAt;
};

} // namespace reedtrail
