/**
 * @file
 * State machine of a weight rollout on the node that owns the run.
 */
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace reedtrail {

/** Phase of a rollout. */
enum class rollout_phase : std::uint8_t {
    Standby, ///< This node does not own the run.
    Settled, ///< No newer version to roll out; servers that join or recover late are still updated.
    Staging, ///< Servers download the new version while they serve the current one.
    Switching, ///< Servers switch to the staged version.
};

/** Event that changes the phase. */
enum class rollout_event : std::uint8_t {
    Gained, ///< This node now owns the run.
    Lost, ///< This node no longer owns the run.
    Published, ///< A newer version is to be rolled out.
    Staged, ///< Enough servers have staged the version.
    Switched, ///< All reachable servers have switched, or the time limit has passed.
};

/** Returns the name of @p phase that the dump shows. */
std::string_view rolloutPhaseName(rollout_phase phase);

/** State machine of one rollout. */
class rollout_machine
{
public:
    rollout_machine();
    ~rollout_machine();
    rollout_machine(rollout_machine &&) noexcept;
    rollout_machine &operator=(rollout_machine &&) noexcept;

    /** Handles @p event; ignores one that has no transition from the current phase. */
    void handle(rollout_event event);
    rollout_phase phase() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace reedtrail
