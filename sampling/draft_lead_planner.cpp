// Let G be the time that drafting a step takes and P the time between two steps of the trainer. A step whose drafting starts x before it is needed
//   - makes the trainer wait  max(0, G·s − x),  where s varies around 1, because a step is complete only when its slowest draft is;
//   - generates the share  min(1, x / G)  of its samples with weights that are one step older than the weights available after waiting.
// Idle time divided by P and the mean number of steps of staleness are both of order one, so the operator's weight between them needs no unit. The cost is
// convex in x for x up to G, and a scan over a fixed grid finds its minimum. Of equal costs the latest start wins, so that weight 0 never drafts ahead.
// G and P are exponentially weighted means over the steps. Each call of lead() evaluates 65 points; the state is four numbers.

#include "sampling/draft_lead_planner.h"

#include <algorithm>
#include <array>

namespace reedtrail {
namespace {

/** Weight of the newest step in the exponentially weighted means. */
constexpr double newestValueWeight = 0.3;

/** Number of intervals into which the grid divides the leads from 0 to maximumLeadRatio. */
constexpr int gridIntervals = 64;

/** Longest lead considered, in multiples of the mean draft time. */
constexpr double maximumLeadRatio = 2.0;

/** Assumed distribution of the draft time around its mean, as equally likely factors. */
constexpr std::array<double, 7> draftTimeFactors{ 0.7, 0.8, 0.9, 1.0, 1.1, 1.3, 1.6 };

/** Returns the exponentially weighted mean after @p value; @p value itself if there is no mean yet. */
duration updatedMean(duration mean, duration value)
{
    if (mean == duration::zero()) {
        return value;
    }
    return fromSeconds((1 - newestValueWeight) * toSeconds(mean) + newestValueWeight * toSeconds(value));
}

} // namespace

void draft_lead_planner::onStepStarted(time_point now, std::uint64_t step)
{
    if (step <= m_currentStep) {
        return;
    }
    if (m_currentStep != 0 && step == m_currentStep + 1) {
        m_meanStepPeriod = updatedMean(m_meanStepPeriod, now - m_stepStartedAt);
    }
    m_currentStep = step;
    m_stepStartedAt = now;
}

void draft_lead_planner::onStepDrafted(duration span)
{
    m_meanDraftTime = updatedMean(m_meanDraftTime, span);
}

time_point draft_lead_planner::expectedNeedTime(std::uint64_t step, time_point now) const
{
    if (step <= m_currentStep || m_currentStep == 0) {
        return now;
    }
    return std::max(now, m_stepStartedAt + static_cast<std::int64_t>(step - m_currentStep) * m_meanStepPeriod);
}

duration draft_lead_planner::lead(double idleTimeWeight) const
{
    int bestIndex = 0;
    double minimumCost = cost(0, idleTimeWeight);
    for (int gridIndex = 1; gridIndex <= gridIntervals; ++gridIndex) {
        const double candidateRatio = maximumLeadRatio * gridIndex / gridIntervals;
        const double candidateCost = cost(candidateRatio, idleTimeWeight);
        if (candidateCost < minimumCost) {
            bestIndex = gridIndex;
            minimumCost = candidateCost;
        }
    }
    return fromSeconds(toSeconds(m_meanDraftTime) * maximumLeadRatio * bestIndex / gridIntervals);
}

double draft_lead_planner::cost(double leadRatio, double idleTimeWeight) const
{
    double idleRatio = 0;
    for (const double factor : draftTimeFactors) {
        idleRatio += std::max(0.0, factor - leadRatio) / draftTimeFactors.size();
    }
    const double draftTime = toSeconds(m_meanDraftTime);
    const double idleShare = m_meanStepPeriod > duration::zero() ? idleRatio * draftTime / toSeconds(m_meanStepPeriod) : idleRatio;
    return idleTimeWeight * idleShare + (1 - idleTimeWeight) * std::min(1.0, leadRatio);
}

} // namespace reedtrail
