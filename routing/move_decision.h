/**
 * @file
 * Decides whether a text that is being written moves from its server to another one. Pure core: no I/O.
 *
 * Load pattern: servers of several speeds, and bursts of texts of which a few are far longer than the others. Among such servers there is always a faster one,
 * so a rule that only compares speeds moves a text again and again, and each time its prompt is read again, most of all while the servers are full. A text
 * moves if the time that it saves is a multiple of the time that the move takes, while most places of the servers are free, and never more than a share of all
 * runs.
 */
#pragma once

#include "base/time.h"

#include <algorithm>
#include <cstddef>

namespace reedtrail {

/** Thresholds of the decision. */
struct move_options
{
    double gainOverCost = 1.5; ///< Time saved for each unit of time that the move takes; with less, a wrong estimate of the length makes the text later.
    double minSpeedRatio = 1.2; ///< Of the times for an event here and there; smaller differences are the noise of measured times.
    double maxMovedShare = 0.25; ///< Of the runs of this node that moves may end; each reads a prompt again that other texts wait for.
    double minFreeShare = 0.2; ///< Of the places of the servers in question. With fewer, a place is worth more to a text that has not begun.
    int maxMovesOfText = 3; ///< The speeds of two servers are compared on a few events, so further moves rest on noise.
};

/** A text on its server, and the server that would go on with it. */
struct move_question
{
    double eventsLeft = 0; ///< Expected.
    duration eventTimeHere{}; ///< Time for an event on its server.
    duration eventTimeThere{}; ///< The same on the other server, with this text on it.
    duration restartTime{}; ///< From the end of a run until the first event of the run that goes on, prompt and text read again.
    int movesBefore = 0; ///< Of this text.
    double freeShare = 0; ///< Free places of the servers in question, as a share of all.
};

/**
 * Estimates how many events a text still has.
 * @param eventsSoFar of the text
 * @param expectedEvents the caller's estimate of its length, which is right at the median and often far off; 0 if there is none
 */
inline double expectedEventsLeft(double eventsSoFar, double expectedEvents)
{
    // Lengths have a long tail: a text that has outgrown its estimate has about half as much left as it has had.
    return std::max(expectedEvents - eventsSoFar, eventsSoFar / 2);
}

/** Counts the runs of a node and how many of them moves have ended. */
class move_budget
{
public:
    void onRunStarted()
    {
        ++m_runs;
    }
    void onMoved()
    {
        ++m_moves;
    }
    /** Tells whether one more move stays within the share. */
    bool allows(const move_options &options) const
    {
        return static_cast<double>(m_moves + 1) <= options.maxMovedShare * static_cast<double>(m_runs);
    }

private:
    std::size_t m_runs = 0;
    std::size_t m_moves = 0;
};

/** Tells whether the text should move. */
inline bool isMoveWorthwhile(const move_question &question, const move_options &options = {})
{
    if (question.movesBefore >= options.maxMovesOfText || question.freeShare < options.minFreeShare || question.eventTimeThere <= duration::zero()) {
        return false;
    }
    if (toSeconds(question.eventTimeHere) < options.minSpeedRatio * toSeconds(question.eventTimeThere)) {
        return false;
    }
    const double saved = question.eventsLeft * toSeconds(question.eventTimeHere - question.eventTimeThere);
    return saved > options.gainOverCost * toSeconds(question.restartTime);
}

} // namespace reedtrail
