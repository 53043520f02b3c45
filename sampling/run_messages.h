/**
 * @file
 * Messages that stewards exchange about the ownership of runs and their share of the engines.
 */
#pragma once

#include "base/ids.h"
#include "sampling/draft_lead_planner.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string_view>

namespace reedtrail {

/** Sent by the owner of a run before a graceful shutdown: asks another node to take the run over by one compare-and-swap of the owner key. */
struct run_handover
{
    static constexpr std::string_view messageName = "run-handover";
    run_id run;
    epoch_number epoch = 0; ///< Epoch at which the sender owns the run; the compare-and-swap expects it.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(run_handover, run, epoch)
};

/** Tells the owners of other runs on the same engines how soon this run's trainer will run out of samples. See run_need. */
struct run_need_update
{
    static constexpr std::string_view messageName = "run-need";
    run_id run;
    std::uint64_t openSlots = 0; ///< Slots of the next step to seal that have no finished draft yet.
    std::int64_t untilNeededMs = 0; ///< Expected time until the trainer requests them; 0 if it already waits.
    bool isTrainerWaiting = false;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(run_need_update, run, openSlots, untilNeededMs, isTrainerWaiting)
};

} // namespace reedtrail
