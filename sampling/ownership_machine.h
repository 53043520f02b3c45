/**
 * @file
 * State machine of a node's claim to the ownership of a run.
 */
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace reedtrail {

/** Phase of a claim. */
enum class claim_phase : std::uint8_t {
    Watching, ///< Watches the owner key. Another node owns the run, or no owner is known.
    Granting, ///< Waits for the store to grant a lease.
    Claiming, ///< Waits for the result of the write that puts this node into the owner key under the lease.
    Resolving, ///< Reads the owner key back, because the result of the write is unknown.
    Recovering, ///< Holds the owner key and reads the run's batches from the store.
    Owning, ///< Owns the run and has read its batches.
};

/** Event that changes the phase of a claim. */
enum class claim_event : std::uint8_t {
    AttemptStarted, ///< This node starts to claim the run; it requests a lease.
    LeaseGranted, ///< The store granted a lease.
    ClaimSucceeded, ///< The owner key contains this node's claim.
    ClaimUncertain, ///< It is unknown whether the owner key was written.
    BatchesRead, ///< The run's batches were read from the store.
    AttemptFailed, ///< The attempt did not make this node the owner.
    Fenced, ///< The owner key no longer contains this node's claim, or this node gives the run up.
};

/** Returns the name of @p phase for status output. The names do not change between releases. */
std::string_view claimPhaseName(claim_phase phase);

/** Tracks the phase of one claim. */
class ownership_machine
{
public:
    ownership_machine();
    ~ownership_machine();
    ownership_machine(ownership_machine &&) noexcept;
    ownership_machine &operator=(ownership_machine &&) noexcept;

    /** Handles @p event. @return whether the current phase has a transition for it; if not, nothing changes */
    bool handle(claim_event event);
    claim_phase phase() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace reedtrail
