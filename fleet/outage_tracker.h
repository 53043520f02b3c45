/**
 * @file
 * Tells whether registrations may have lapsed because the store was away, rather than because their servers left. Pure core.
 *
 * A registration lapses after three heartbeats without a word, so an interruption of less than a second lapses none: a watch that is cut and opened again is
 * no outage, and what goes missing around it has left.
 */
#pragma once

#include "base/time.h"

namespace reedtrail {

/** The memory. */
class outage_tracker
{
public:
    static constexpr duration minOutage = std::chrono::seconds(1); ///< Shorter ones lapse nothing: heartbeats come each 1.2 s, and three must fail.
    static constexpr duration returnGracePeriod =
        std::chrono::seconds(3); ///< Registrations are back two seconds after the store's return; a third one is for the watch to see it.

    void recordDisconnect(time_point now)
    {
        m_lostAt = now;
    }
    void recordReconnect(time_point now)
    {
        if (m_lostAt != timeNever && now - m_lostAt >= minOutage) {
            m_rememberedUntil = now + returnGracePeriod;
        }
        m_lostAt = timeNever;
    }
    /** Tells whether a registration that is missing at @p now may come back. */
    bool mayHaveLapsed(time_point now) const
    {
        return now < m_rememberedUntil || (m_lostAt != timeNever && now - m_lostAt >= minOutage);
    }

private:
    time_point m_lostAt = timeNever;
    time_point m_rememberedUntil;
};

} // namespace reedtrail
