/**
 * @file
 * Decides whether the text of an item goes on at a server of the build that began it, waits for one, or is begun anew. Makes no I/O calls.
 *
 * Load pattern: a release replaces the servers of a build one after the other while bursts of texts are under way, and other troubles break some runs off. Most
 * texts are short, so that making them again costs less than a wait; the longest ones of a burst decide when it ends.
 */
#pragma once

#include "base/time.h"

#include <algorithm>

namespace reedtrail {

/** What is known of a text whose run has ended, and of the servers that could go on with it. */
struct text_continuation
{
    static constexpr duration minWait = std::chrono::milliseconds(200); ///< Covers the proof of what began the text, and reading its prompt again.
    static constexpr duration maxWait = std::chrono::milliseconds(1500);
    static constexpr int maxBreaksWithoutEvent = 2; ///< Runs at servers that had failed before.

    bool hasServerOfBuild = false; ///< A server of the build that began the text is registered and has its model.
    bool isOriginCertain = false; ///< It is certain which instance began the text.
    bool mayOriginBecomeCertain = false; ///< The next state of the store may show it.
    duration waited{}; ///< Since the text could not go on for the first time.
    duration timeToRepeat{}; ///< For making the text so far again.
    int breaksWithoutEvent = 0; ///< Runs that broke off since the last event.

    /** Tells whether a run may start at a server of the build. */
    bool mayStart() const
    {
        return hasServerOfBuild && isOriginCertain;
    }
    /** Tells whether a server of the build that has just failed may be used: as the last resort, unless it fails again and again. */
    bool mayUseFailedServer() const
    {
        return mayStart() && isWaitOver() && breaksWithoutEvent < maxBreaksWithoutEvent;
    }
    /** Tells whether the text should wait rather than be begun anew, if no run can start now. */
    bool shouldWait() const
    {
        return hasServerOfBuild && (isOriginCertain || mayOriginBecomeCertain) && !isWaitOver();
    }
    /** Returns why the text is begun anew, for log lines and metrics. */
    const char *restartReason() const
    {
        if (!hasServerOfBuild) {
            return "no server of its build";
        }
        return isOriginCertain ? "no server of its build takes it in time" : "begun by unproven instance";
    }

private:
    bool isWaitOver() const
    {
        return waited >= std::clamp(timeToRepeat, minWait, maxWait);
    }
};

} // namespace reedtrail
