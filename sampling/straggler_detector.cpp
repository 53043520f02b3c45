// The time since the last token depends on the server and on the network path to it, not on the answer, so cancelling drafts by it does not bias which answers
// reach the trainer. The age and the number of tokens of a draft are not used, because cancelling long drafts would leave the trainer with short answers. A
// moved draft resumes from the tokens it has. Only a draft that stays silent after a move is discarded and generated again.

#include "sampling/straggler_detector.h"

#include <algorithm>

namespace reedtrail {
namespace {

constexpr double newestIntervalWeight = 0.05; ///< Weight of the newest interval in the exponentially weighted mean.

} // namespace

straggler_detector::straggler_detector(straggler_options options)
    : m_options(options)
{
}

void straggler_detector::onProgress(duration interval)
{
    if (m_progressInterval == duration::zero()) {
        m_progressInterval = interval;
        return;
    }
    m_progressInterval = fromSeconds((1 - newestIntervalWeight) * toSeconds(m_progressInterval) + newestIntervalWeight * toSeconds(interval));
}

straggler_action straggler_detector::evaluate(const draft_attempt &attempt, time_point now) const
{
    if (attempt.tokens == 0) {
        return straggler_action::Keep; // The draft may be queued. Until its first token the deadlines of the gate apply.
    }
    const duration silence = now - std::max(attempt.orderedAt, attempt.progressAt);
    const duration stall = std::max(m_options.minimumStall, fromSeconds(m_options.stallFactor * toSeconds(m_progressInterval)));
    if (silence < stall) {
        return straggler_action::Keep;
    }
    if (!attempt.isMoved) {
        return straggler_action::Move;
    }
    return silence >= std::max(m_options.giveUpAfter, 2 * stall) ? straggler_action::GiveUp : straggler_action::Keep;
}

} // namespace reedtrail
