/**
 * @file
 * The states of a weight rollout on the node that owns the run.
 */
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace reedtrail {

/** How far a rollout is. */
enum class rollout_phase : std::uint8_t {
    Standby, ///< This node does not own the run.
    Settled, ///< Nothing newer to bring out; servers that come late are brought up to date.
    Staging, ///< Servers load the version beside the one they serve.
    Switching, ///< Servers go over to it.
};

/** What moves a rollout. */
enum class rollout_event : std::uint8_t {
    Gained, ///< This node owns the run.
    Lost,
    Published, ///< A newer version is to be brought out.
    Staged, ///< Enough servers have it staged.
    Switched, ///< All that can be reached have gone over, or took too long.
};

/** Returns the stable name of @p phase. */
std::string_view rolloutPhaseName(rollout_phase phase);

/** The state machine. */
class rollout_machine
{
public:
    rollout_machine();
    ~rollout_machine();
    rollout_machine(rollout_machine &&) noexcept;
    rollout_machine &operator=(rollout_machine &&) noexcept;

    /** Handles @p event; one that does not fit the phase changes nothing. */
    void handle(rollout_event event);
    rollout_phase phase() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace reedtrail
