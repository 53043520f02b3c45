/**
 * @file
 * Tells whether a missing registration may have lapsed because of a store outage, rather than because its backend server left. Makes no I/O calls.
 *
 * A registration lapses when three heartbeats in a row fail, so an interruption of less than a second makes none lapse. A watch that breaks and is opened again
 * is therefore no outage: a server whose registration disappears around that time has left. Servers whose registrations lapsed are back two seconds after the
 * store's return, so a state that was read later shows which of them have left.
 */
#pragma once

#include "base/time.h"

#include <algorithm>

namespace reedtrail {

/** Records disconnects from the store and the grace period after each outage. */
class outage_tracker
{
public:
    /** Shorter interruptions make no registration lapse: heartbeats come every 1.2 s, and three must fail. */
    static constexpr duration minOutage = std::chrono::seconds(1);
    /** Servers register again within two seconds of the store's return. */
    static constexpr duration returnTime = std::chrono::seconds(2);

    /** Records that the connection to the store failed. */
    void recordDisconnect(time_point now)
    {
        m_lostAt = now;
    }
    /** Records that the store answers again. */
    void recordReconnect(time_point now)
    {
        if (m_lostAt != timeNever && now - m_lostAt >= minOutage) {
            m_returnedUntil = now + returnTime;
        }
        m_lostAt = timeNever;
    }
    /**
     * Returns for how much longer registrations may come back that are missing in a state of the store.
     * @param askedAt when the store was asked for that state
     * @return zero if a missing registration means that its server has left
     */
    duration lapseGrace(time_point askedAt) const
    {
        if (m_lostAt != timeNever && askedAt - m_lostAt >= minOutage) {
            return returnTime;
        }
        return std::max(duration::zero(), m_returnedUntil - askedAt);
    }

private:
    time_point m_lostAt = timeNever;
    time_point m_returnedUntil; ///< Lapsed registrations are back by then.
};

} // namespace reedtrail
