/**
 * @file
 * The states of a node's claim to a run: from watching the owner key to owning it and back.
 */
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace reedtrail {

/** How far a claim is. */
enum class claim_phase : std::uint8_t {
    Watching, ///< Another node owns the run, or nobody is known to.
    Granting, ///< Asks the store for a lease.
    Claiming, ///< Writes the owner key under the lease if it is absent.
    Resolving, ///< The answer to the claim was lost; reads the key back.
    Recovering, ///< Owns the run; reads its batches.
    Owning,
};

/** What moves a claim. */
enum class claim_event : std::uint8_t {
    Began, ///< The owner key is absent and this node is to try.
    Granted,
    Claimed, ///< The owner key names this node.
    Doubtful, ///< The answer to the claim was lost.
    Recovered, ///< The batches were read.
    Failed, ///< The try did not succeed.
    Fenced, ///< The owner key no longer names this node.
};

/** Returns the stable name of @p phase. */
std::string_view claimPhaseName(claim_phase phase);

/** The state machine. */
class ownership_machine
{
public:
    ownership_machine();
    ~ownership_machine();
    ownership_machine(ownership_machine &&) noexcept;
    ownership_machine &operator=(ownership_machine &&) noexcept;

    /** Handles @p event. @return whether it was expected in this phase */
    bool handle(claim_event event);
    claim_phase phase() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace reedtrail
