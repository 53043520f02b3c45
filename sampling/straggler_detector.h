/**
 * @file
 * Detects stragglers by progress instead of age: a draft is a straggler if it is silent for much longer than the drafts of its run usually are between two
 * reports of progress, regardless of its length.
 *
 *     straggler_detector detector({});
 *     detector.onProgress(interval);                  // for every draft of the run
 *     detector.evaluate(attempt, now) == straggler_action::Move;
 *
 * The decision uses nothing that depends on the final length of an answer, so it favours neither short nor long answers.
 */
#pragma once

#include "base/time.h"
#include "sampling/step_table.h"

#include <cstdint>

namespace reedtrail {

/** Thresholds for detecting stragglers. */
struct straggler_options
{
    double stallFactor = 8; ///< A draft is stalled after a silence of this many expected progress intervals.
    duration minimumStall = std::chrono::seconds(4); ///< A shorter silence is never a stall.
    duration giveUpAfter = std::chrono::seconds(20); ///< A moved draft is discarded and generated again after this silence, but not before two stall times.
};

/** What the owner of a run should do with a draft. */
enum class straggler_action : std::uint8_t {
    Keep, ///< Leave the draft where it is.
    Move, ///< Resume the draft on another server from the tokens it has.
    GiveUp, ///< Discard the draft and generate a new one, because moving it did not help.
};

/** Detects the stragglers among the drafts of one run. */
class straggler_detector
{
public:
    explicit straggler_detector(straggler_options options);

    /** Records that a draft gained tokens @p interval after its previous progress. */
    void onProgress(duration interval);
    /** Returns what to do with @p attempt. @param now current time of the same clock as the times in @p attempt */
    straggler_action evaluate(const draft_attempt &attempt, time_point now) const;
    /** Returns the mean time between two reports of progress of a draft; 0 before the first one. */
    duration expectedProgressInterval() const
    {
        return m_progressInterval;
    }

private:
    straggler_options m_options;
    duration m_progressInterval{};
};

} // namespace reedtrail
