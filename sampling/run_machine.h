/**
 * @file
 * State machine of a run on one node. Its inputs are whether this node owns the run and the run state in the confirmed settings.
 *
 *     run_machine machine;
 *     machine.onOwnership(true);
 *     machine.onDesiredState(run_state::Paused);
 *     machine.phase() == run_phase::Paused;
 */
#pragma once

#include "fleet/fleet_document.h"

#include <cstdint>
#include <memory>
#include <string_view>

namespace reedtrail {

/** What a node currently does for a run. */
enum class run_phase : std::uint8_t {
    Standby, ///< Does nothing, because this node does not own the run.
    Open, ///< Orders drafts, seals samples and delivers batches.
    Paused, ///< Orders no drafts, but seals and delivers the finished ones.
    Closed, ///< Only delivers batches that are already sealed.
};

/** Returns the name of @p phase for status output. The names do not change between releases. */
std::string_view runPhaseName(run_phase phase);

/** Computes the phase. Closed is final while this node owns the run; to continue training, operators open a new run. */
class run_machine
{
public:
    run_machine();
    ~run_machine();
    run_machine(run_machine &&) noexcept;
    run_machine &operator=(run_machine &&) noexcept;

    /** This node gained or lost ownership of the run. */
    void onOwnership(bool isOwner);
    /** The confirmed settings request @p state. */
    void onDesiredState(run_state state);
    run_phase phase() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace reedtrail
