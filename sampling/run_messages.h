/**
 * @file
 * Typed messages between the stewards about runs.
 */
#pragma once

#include "base/ids.h"
#include "sampling/draft_objective.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string_view>

namespace reedtrail {

/** The owner of a run, about to stop, asks another node to take it over by one compare-and-swap. */
struct run_handover
{
    static constexpr std::string_view messageName = "run-handover";
    run_id run;
    epoch_number epoch = 0; ///< Held by the sender.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(run_handover, run, epoch)
};

/** The owner of a run tells the owners of other runs on the same engines how near its trainer is to stalling. */
struct run_need_update
{
    static constexpr std::string_view messageName = "run-need";
    run_id run;
    std::uint64_t openSlots = 0;
    std::int64_t untilNeededMs = 0;
    bool isTrainerWaiting = false;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(run_need_update, run, openSlots, untilNeededMs, isTrainerWaiting)
};

} // namespace reedtrail
