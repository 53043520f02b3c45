/**
 * @file
 * Finds out when a request of a caller began to run, over its attempts, for the reports of use. Pure: no I/O and no clock of its own.
 *
 * A request counts once: when the first attempt that a server answered, other than with "not run", was handed to it. If none was answered, the first attempt
 * that may have run counts. A server with a free slot begins at once, so the moment of the hand-over is taken.
 */
#pragma once

#include "base/time.h"

#include <optional>
#include <utility>

namespace reedtrail {

/** Tracks one request. */
class run_start_tracker
{
public:
    /** Records that another attempt begins. */
    void onAttempt()
    {
        m_handedOverAt.reset();
    }
    /** Records that the current attempt was handed to its connection. */
    void onHandedOver(time_point now)
    {
        m_handedOverAt = now;
    }
    /** Tells whether the current attempt was handed to its connection. */
    bool isHandedOver() const
    {
        return m_handedOverAt.has_value();
    }
    /** Records that the server answered the current attempt and has run it. @return when the request began to run, if that is not counted yet */
    std::optional<time_point> onAnswered()
    {
        return count(m_handedOverAt);
    }
    /** Records that the current attempt ended, or was left, without an answer. It may have run if it was handed over. */
    void onUnanswered()
    {
        m_unansweredSince = m_unansweredSince ? m_unansweredSince : m_handedOverAt;
    }
    /** Records that the request has ended. @return when it may have begun to run, if that is not counted yet */
    std::optional<time_point> onEnd()
    {
        return count(m_unansweredSince);
    }

private:
    std::optional<time_point> count(std::optional<time_point> beganAt)
    {
        if (!beganAt || std::exchange(m_isCounted, true)) {
            return std::nullopt;
        }
        return beganAt;
    }

    std::optional<time_point> m_handedOverAt; ///< Of the current attempt.
    std::optional<time_point> m_unansweredSince; ///< When the first attempt without an answer was handed over.
    bool m_isCounted = false;
};

} // namespace reedtrail
