/**
 * @file
 * How far ahead to draft: sample staleness and trainer idle time as one objective with the operator's weight between them.
 *
 *     draft_objective objective;
 *     objective.onStepBegun(now, step);                   // the trainer took the last batch of the step before
 *     objective.onStepDrafted(now, step, duration);       // all its slots had a good draft
 *     time_point start = objective.startOf(step, now, idleTimeWeight);
 *
 * With weight w, drafting a step starts x before it is needed, where x minimises  w · idle(x) / period + (1 − w) · staleness(x).
 */
#pragma once

#include "base/time.h"

#include <cstdint>

namespace reedtrail {

/** How near a run is to stalling its trainer. */
struct run_need
{
    std::size_t openSlots = 0; ///< Slots of the step needed next that are not ready or sealed.
    duration untilNeeded{}; ///< Until the trainer is expected to want them; 0 if it waits already.
    bool isTrainerWaiting = false;
};

/** The objective. */
class draft_objective
{
public:
    /** The trainer began to work on or wait for @p step. */
    void onStepBegun(time_point now, std::uint64_t step);
    /** All slots of a step have a good draft; drafting it took @p span. */
    void onStepDrafted(duration span);
    /** Returns when the trainer is expected to want @p step; the past or @p now if it does already. */
    time_point neededAt(std::uint64_t step, time_point now) const;
    /**
     * Returns how long before its need a step's drafting starts.
     * @param idleTimeWeight 0: only staleness counts; 1: only idle time counts
     */
    duration lead(double idleTimeWeight) const;
    /** Returns the expected time that the trainer takes for a step; 0 while not known. */
    duration period() const
    {
        return m_period;
    }
    /** Returns the expected time to draft a step; 0 while not known. */
    duration draftTime() const
    {
        return m_draftTime;
    }

private:
    double cost(double leadShare, double idleTimeWeight) const;

    std::uint64_t m_step = 0;
    time_point m_begunAt;
    duration m_period{};
    duration m_draftTime{};
};

} // namespace reedtrail
