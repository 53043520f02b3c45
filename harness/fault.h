/**
 * @file
 * The closed list of faults that randomised runs and stand-ins can cause, alone and in pairs.
 */
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace reedtrail::harness {

/** A fault. */
enum class fault : std::uint8_t {
    CrashKeepDisk, ///< A process dies and starts again with its data folder.
    CrashLoseDisk, ///< A process dies and starts again with nothing.
    Pause, ///< A process stands still and wakes, believing no time has passed but for its clock.
    CutOneWay, ///< Messages from one process to another vanish.
    CutTwoWay, ///< Messages between two processes vanish.
    CutZone, ///< An availability zone is parted from the rest and the platform.
    CutRegion, ///< The regions are parted.
    StoreDown, ///< The store refuses or does not answer.
    StoreSlow, ///< The store answers late.
    StoreAnswerLost, ///< The store does the write, and its answer is lost.
    WatchDropped, ///< A watch stays open and reports nothing more.
    MessageDelayed, ///< A message arrives late.
    MessageDoubled, ///< A message arrives twice.
    MessageCrossed, ///< A message overtakes an earlier one.
    ConnectionSilent, ///< A connection stays open and carries nothing more, for good.
    ClockRateOff, ///< A process's clock runs fast or slow.
    ReportLag, ///< Load reports or cache events come late.
    ReportGap, ///< Load reports or cache events are missing.
    SwapFailedPartway, ///< A weight swap ends with part of the server on the new version.
    OperatorsRace, ///< Two operators confirm changes at once.
    VmReplaced, ///< A VM is replaced by another on the same address.
};

/** Every fault with its name. */
inline constexpr std::array<std::string_view, 21> faultNames{ "crash-keep-disk",     "crash-lose-disk", "pause",
                                                              "cut-one-way",         "cut-two-way",     "cut-zone",
                                                              "cut-region",          "store-down",      "store-slow",
                                                              "store-answer-lost",   "watch-dropped",   "message-delayed",
                                                              "message-doubled",     "message-crossed", "connection-silent",
                                                              "clock-rate-off",      "report-lag",      "report-gap",
                                                              "swap-failed-partway", "operators-race",  "vm-replaced" };

} // namespace reedtrail::harness
