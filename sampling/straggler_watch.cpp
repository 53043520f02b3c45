// Time since the last token is a property of the server and the way to it, not of the answer, so it may decide a draft's fate without changing which answers
// survive. Age and number of tokens may not: giving up on long ones would leave the trainer with short answers. A moved draft goes on from the tokens it has;
// only one that stays silent after a move is drawn anew.

#include "sampling/straggler_watch.h"

#include <algorithm>

namespace reedtrail {
namespace {

constexpr double newestShare = 0.05; ///< Weight of the newest interval in the mean.

} // namespace

straggler_watch::straggler_watch(straggler_options options)
    : m_options(options)
{
}

void straggler_watch::onProgress(duration interval)
{
    if (m_interval == duration::zero()) {
        m_interval = interval;
        return;
    }
    m_interval = fromSeconds((1 - newestShare) * toSeconds(m_interval) + newestShare * toSeconds(interval));
}

straggler_verdict straggler_watch::judge(const draft_attempt &attempt, time_point now) const
{
    if (attempt.tokens == 0) {
        return straggler_verdict::Keep; // It may wait in a queue; the gate's own deadlines decide until the first token.
    }
    const duration silence = now - std::max(attempt.orderedAt, attempt.progressAt);
    const duration stall = std::max(m_options.shortestStall, fromSeconds(m_options.stallFactor * toSeconds(m_interval)));
    if (silence < stall) {
        return straggler_verdict::Keep;
    }
    if (!attempt.isMoved) {
        return straggler_verdict::Move;
    }
    return silence >= std::max(m_options.giveUpAfter, 2 * stall) ? straggler_verdict::GiveUp : straggler_verdict::Keep;
}

} // namespace reedtrail
