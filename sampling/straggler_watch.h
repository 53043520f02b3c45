/**
 * @file
 * Tells stragglers by progress, not by age: a draft is a straggler if its tokens come much more slowly than those of its run, however long it becomes.
 *
 *     straggler_watch watch({});
 *     watch.onProgress(tokens, span);                 // of any draft of the run
 *     watch.judge(attempt, now) == straggler_verdict::Move;
 *
 * The verdict uses nothing that depends on the length an answer will have, so acting on it favours neither short nor long answers.
 */
#pragma once

#include "base/time.h"
#include "sampling/step_book.h"

#include <cstdint>

namespace reedtrail {

/** When a draft counts as a straggler. */
struct straggler_options
{
    double stallFactor = 8; ///< Silent for this many expected progress intervals.
    duration shortestStall = std::chrono::seconds(4); ///< Silence below this is never a stall.
    duration giveUpAfter = std::chrono::seconds(20); ///< Silence after which a draft that was moved is drawn anew.
};

/** What to do with a draft. */
enum class straggler_verdict : std::uint8_t {
    Keep,
    Move, ///< Resume it on another server from what it has.
    GiveUp, ///< Draw anew: moving it did not help.
};

/** The watch of one run. */
class straggler_watch
{
public:
    explicit straggler_watch(straggler_options options);

    /** A draft gained tokens @p interval after it gained some before. */
    void onProgress(duration interval);
    /** Judges a draft. */
    straggler_verdict judge(const draft_attempt &attempt, time_point now) const;
    /** Returns the expected time between two reports of progress. */
    duration expectedInterval() const
    {
        return m_interval;
    }

private:
    straggler_options m_options;
    duration m_interval{};
};

} // namespace reedtrail
