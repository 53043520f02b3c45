/**
 * @file
 * What the texts of a job have taken so far, from which the time of those to come is estimated. Pure: no I/O and no clock of its own.
 */
#pragma once

#include "base/time.h"

#include <cstdint>

namespace reedtrail {

/** Statistics over the texts of one job. */
class text_statistics
{
public:
    /**
     * Records a text that is complete.
     * @param time from the start of its last run
     * @param events of the whole text
     * @param expectedTokens the caller's estimate of its length
     */
    void onTextComplete(duration time, std::uint64_t events, double expectedTokens)
    {
        m_textTime += fromSeconds(toSeconds(time - m_textTime) * textTimeSmoothing);
        m_events += static_cast<double>(events);
        m_expectedTokens += expectedTokens;
    }
    /** Records the time from the start of a run that continues a text until its first event. */
    void onContinued(duration time)
    {
        m_continuationTime += fromSeconds(toSeconds(time - m_continuationTime) * continuationTimeSmoothing);
    }

    /** Returns the time that a text takes. */
    duration textTime() const
    {
        return m_textTime;
    }
    /** Returns the time until a text goes on at another server. */
    duration continuationTime() const
    {
        return m_continuationTime;
    }
    /** Returns the number of events of a text by the caller's estimate of its length; 0 if no text is complete yet. */
    double expectedEvents(double expectedTokens) const
    {
        return m_expectedTokens > 0 ? expectedTokens * m_events / m_expectedTokens : 0;
    }

private:
    static constexpr double textTimeSmoothing = 0.1; // Weight of a new sample; about the last ten count.
    static constexpr double continuationTimeSmoothing = 0.2; // Weight of a new sample; about the last five count.

    duration m_textTime = std::chrono::seconds(1); ///< Moving average.
    duration m_continuationTime = std::chrono::milliseconds(300); ///< Moving average; includes a new connection, and the proof of which server answers on it.
    double m_events = 0; ///< Of the complete texts.
    double m_expectedTokens = 0; ///< The caller's estimates for the same texts.
};

} // namespace reedtrail
