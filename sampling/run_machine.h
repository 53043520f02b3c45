/**
 * @file
 * The states of a run on one node: whether this node owns it, and what the operators' accepted plan wants of it.
 *
 *     run_machine machine;
 *     machine.onOwnership(true);
 *     machine.onOrder(run_state::Paused);
 *     machine.phase() == run_phase::Paused;
 */
#pragma once

#include "fleet/fleet_document.h"

#include <cstdint>
#include <memory>
#include <string_view>

namespace reedtrail {

/** What a node does for a run. */
enum class run_phase : std::uint8_t {
    Standby, ///< Not the owner: nothing.
    Open, ///< Orders drafts, seals, delivers.
    Paused, ///< Orders no drafts; seals and delivers what there is.
    Closed, ///< Delivers what is fixed, and nothing else.
};

/** Returns the stable name of @p phase. */
std::string_view runPhaseName(run_phase phase);

/** The state machine. Closed is final while this node owns the run: an operator who wants to go on opens a new run. */
class run_machine
{
public:
    run_machine();
    ~run_machine();
    run_machine(run_machine &&) noexcept;
    run_machine &operator=(run_machine &&) noexcept;

    /** This node gained or lost the run. */
    void onOwnership(bool isOwner);
    /** The accepted settings want @p state. */
    void onOrder(run_state state);
    run_phase phase() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace reedtrail
