/**
 * @file
 * Tells whether a missing registration may have lapsed because of a store outage, rather than because its backend server left. Makes no I/O calls.
 *
 * A registration lapses when three heartbeats in a row fail, so an interruption of less than a second makes none lapse. A watch that breaks and is opened again
 * is therefore no outage: a server whose registration disappears around that time has left.
 */
#pragma once

#include "base/time.h"

namespace reedtrail {

/** Records disconnects from the store and the grace period after each outage. */
class outage_tracker
{
public:
    /** Shorter interruptions make no registration lapse: heartbeats come every 1.2 s, and three must fail. */
    static constexpr duration minOutage = std::chrono::seconds(1);
    /** Servers register again within two seconds of the store's return; the third second lets the watch deliver these registrations. */
    static constexpr duration returnGracePeriod = std::chrono::seconds(3);

    /** Records that the connection to the store failed. */
    void recordDisconnect(time_point now)
    {
        m_lostAt = now;
    }
    /** Records that the store answers again. */
    void recordReconnect(time_point now)
    {
        if (m_lostAt != timeNever && now - m_lostAt >= minOutage) {
            m_graceUntil = now + returnGracePeriod;
        }
        m_lostAt = timeNever;
    }
    /** Tells whether a registration that is missing at @p now may have lapsed because of an outage, so that its server may register again. */
    bool mayHaveLapsed(time_point now) const
    {
        return now < m_graceUntil || (m_lostAt != timeNever && now - m_lostAt >= minOutage);
    }

private:
    time_point m_lostAt = timeNever;
    time_point m_graceUntil;
};

} // namespace reedtrail
