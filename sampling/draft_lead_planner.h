/**
 * @file
 * Decides how far ahead of the trainer to draft: minimises a weighted sum of trainer idle time and sample staleness, with a weight set by the operator.
 *
 *     draft_lead_planner planner;
 *     planner.onStepStarted(now, step);                   // the trainer took the last batch of the previous step
 *     planner.onStepDrafted(span);                        // all slots of a step have a valid draft
 *     time_point start = planner.expectedNeedTime(step, now) - planner.lead(idleTimeWeight);
 *
 * With weight w, drafting a step starts x before it is needed, where x minimises  w · idle(x) / period + (1 − w) · staleness(x).
 */
#pragma once

#include "base/time.h"

#include <cstdint>

namespace reedtrail {

/** How close a run is to stalling its trainer. */
struct run_need
{
    std::size_t openSlots = 0; ///< Number of slots of the next step to seal that are neither ready, being sealed nor sealed.
    duration untilNeeded{}; ///< Time until the trainer is expected to need these slots; 0 if it already waits.
    bool isTrainerWaiting = false; ///< Whether the trainer has a pull that waits for samples.
};

/** Estimates the step period and the draft time of one run, and plans from them when to start drafting a step. */
class draft_lead_planner
{
public:
    /** Records that the trainer began to work on @p step or to wait for it. */
    void onStepStarted(time_point now, std::uint64_t step);
    /** Records that all slots of a step have a valid draft. @param span time from the first order of the step until then */
    void onStepDrafted(duration span);
    /** Returns when the trainer is expected to need @p step, never before @p now; @p now if it has reached the step or no step has started. */
    time_point expectedNeedTime(std::uint64_t step, time_point now) const;
    /**
     * Returns how long before a step is needed its drafting starts.
     * @param idleTimeWeight weight of idle time against staleness, from 0 (only staleness counts) to 1 (only idle time counts)
     */
    duration lead(double idleTimeWeight) const;
    /** Returns the mean time between two steps of the trainer; 0 while unknown. */
    duration stepPeriod() const
    {
        return m_meanStepPeriod;
    }
    /** Returns the mean time to draft a step; 0 while unknown. */
    duration draftTime() const
    {
        return m_meanDraftTime;
    }

private:
    /** Returns the weighted cost of a lead. @param leadRatio lead in multiples of the mean draft time */
    double cost(double leadRatio, double idleTimeWeight) const;

    std::uint64_t m_currentStep = 0; ///< Step that the trainer works on or waits for; 0 while unknown.
    time_point m_stepStartedAt;
    duration m_meanStepPeriod{};
    duration m_meanDraftTime{};
};

} // namespace reedtrail
