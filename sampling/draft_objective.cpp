// Let G be the time that drafting a step takes and P the time between the trainer's steps. A step whose drafting starts x before it is needed
//   - makes the trainer wait  max(0, G·s − x)  where s spreads around 1, since the last straggler decides when a step is whole;
//   - draws the share  min(1, x / G)  of its samples with weights that are one step older than those it could have had by waiting.
// idle / P and the mean number of steps behind are both of order one, so the operator's weight between them needs no unit. The cost is convex in x up to the
// spread, and a scan over a fixed grid finds its least value; ties go to the later start, so weight 0 never drafts ahead. Both estimates are exponentially
// weighted means over steps. Cost: one scan of 64 points at each look; state: four numbers.

#include "sampling/draft_objective.h"

#include <algorithm>
#include <array>

namespace reedtrail {
namespace {

/** Weight of the newest step in the means. */
constexpr double newestShare = 0.3;

/** Points of the grid, from no lead to longestLead draft times. */
constexpr int gridPoints = 64;
constexpr double longestLead = 2.0;

/** Spread of drafting time around its mean, as equally likely factors. */
constexpr std::array<double, 7> spread{ 0.7, 0.8, 0.9, 1.0, 1.1, 1.3, 1.6 };

duration blend(duration before, duration newest)
{
    if (before == duration::zero()) {
        return newest;
    }
    return fromSeconds((1 - newestShare) * toSeconds(before) + newestShare * toSeconds(newest));
}

} // namespace

void draft_objective::onStepBegun(time_point now, std::uint64_t step)
{
    if (step <= m_step) {
        return;
    }
    if (m_step != 0 && step == m_step + 1) {
        m_period = blend(m_period, now - m_begunAt);
    }
    m_step = step;
    m_begunAt = now;
}

void draft_objective::onStepDrafted(duration span)
{
    m_draftTime = blend(m_draftTime, span);
}

time_point draft_objective::neededAt(std::uint64_t step, time_point now) const
{
    if (step <= m_step || m_step == 0) {
        return now;
    }
    return std::max(now, m_begunAt + static_cast<std::int64_t>(step - m_step) * m_period);
}

duration draft_objective::lead(double idleTimeWeight) const
{
    int best = 0;
    double bestCost = cost(0, idleTimeWeight);
    for (int point = 1; point <= gridPoints; ++point) {
        const double share = longestLead * point / gridPoints;
        const double candidate = cost(share, idleTimeWeight);
        if (candidate < bestCost) {
            best = point;
            bestCost = candidate;
        }
    }
    return fromSeconds(toSeconds(m_draftTime) * longestLead * best / gridPoints);
}

double draft_objective::cost(double leadShare, double idleTimeWeight) const
{
    double idle = 0;
    for (const double factor : spread) {
        idle += std::max(0.0, factor - leadShare) / spread.size();
    }
    const double draftTime = toSeconds(m_draftTime);
    const double idleShare = m_period > duration::zero() ? idle * draftTime / toSeconds(m_period) : idle;
    return idleTimeWeight * idleShare + (1 - idleTimeWeight) * std::min(1.0, leadShare);
}

} // namespace reedtrail
