/**
 * @file
 * Acquires, keeps and gives up the ownership of a run through a lease in the store. Does no I/O: it takes events and returns actions such as store calls.
 *
 *     run_ownership claim(self, claimPrefix, stewardAddress, {});
 *     perform(claim.onEvent(now, ownership_event::rank_changed{0}));     // Answers to the actions come back as events.
 *     if (claim.isOwning()) { use(claim.epoch()); }
 *
 * The epoch is the store revision at which the owner key was written. It needs no separate counter: it increases with every takeover, the store returns it in
 * the answer to the successful claim, and it serves as a fencing token that the transaction of each later write compares.
 */
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "fleet/store_types.h"
#include "sampling/ownership_machine.h"
#include "sampling/seal_record.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace reedtrail {

/** Time intervals and limits of claims. */
struct ownership_options
{
    std::int64_t leaseSeconds = 5; ///< Time to live of the lease.
    duration keepAliveInterval = std::chrono::milliseconds(1500); ///< Interval at which the owner renews its lease.
    duration rankDelay = std::chrono::milliseconds(400); ///< Delay of a claim per candidate of better rank, so that the best one claims first.
    duration retryDelay = std::chrono::milliseconds(500); ///< Delay after a failed store call or claim.
    duration pollInterval = std::chrono::seconds(3); ///< Interval at which the owner key is read, in case the watch stopped without an error.
    double clockRateTolerance = 0.02; ///< Maximum relative difference between the clock rates of this node and the store.
    std::size_t candidateCount = 3; ///< Nodes per run that watch the owner key; bounds a run's store calls in a fleet of any size.
};

/** Value of the owner key. */
struct owner_record
{
    node_id node;
    std::string claim; ///< Unique ID of the claim; differs between claims of the same node.
    std::string stewardAddress; ///< Peer address of the owner's steward.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(owner_record, node, claim, stewardAddress)
};

/** Owner of a run as last read from the store. */
struct observed_owner
{
    bool isPresent = false; ///< Whether the owner key exists.
    owner_record record{};
    epoch_number epoch = 0; ///< Store revision at which the owner key was written.
};

/** Decodes a stored owner key. @param item the key, or null if it is absent @return no owner if null; an empty record if the value is unreadable */
observed_owner decodeOwner(const store_key_value *item);

namespace ownership_event {

/** Rank of this node among the candidates of the run, 0 being the best; empty if this node is not a candidate or must not own the run. */
struct rank_changed
{
    std::optional<std::size_t> rank;
};

/** State of the owner key, from a watch or as the answer to poll_owner. */
struct owner_changed
{
    observed_owner owner;
};

/** A poll_owner action got no answer. */
struct poll_failed
{
};

/** Result of a grant_lease action. */
struct lease_granted
{
    std::optional<failure> error;
    store_lease_id lease = 0;
};

/** Result of a claim action. */
struct claim_ended
{
    enum class outcome : std::uint8_t {
        Succeeded, ///< The owner key was written.
        Refused, ///< The owner key was in another state than the claim expected.
        NotApplied, ///< The store call failed without effect.
        Unknown ///< The owner key may or may not have been written.
    };
    outcome result = outcome::NotApplied;
    epoch_number epoch = 0; ///< Epoch of the new ownership, if the claim succeeded.
    observed_owner owner; ///< Owner at that time, if the claim was refused.
};

/** Result of a read_batches action. */
struct batches_read
{
    bool isAnswered = false; ///< Whether all batches were read; if not, the read is retried.
    std::vector<seal_record> batches;
};

/** Result of a keep_alive action. */
struct keep_alive_ended
{
    time_point sentAt; ///< Time at which the renewal was sent.
    std::optional<failure> error; ///< NotFound if the lease expired.
};

/** A write was refused because the owner key no longer has this epoch. */
struct fenced
{
    epoch_number epoch = 0;
};

/** The owner at @p epoch asks this node to take the run over. */
struct handover_requested
{
    epoch_number epoch = 0;
};

/** This node must give the run up and not claim it again, because of a graceful shutdown or because the run is closed. */
struct release_requested
{
};

/** The time returned by run_ownership::nextDeadline() was reached. */
struct timer
{
};

} // namespace ownership_event

/** Any event that run_ownership handles. */
using ownership_input = std::variant<ownership_event::rank_changed,
                                     ownership_event::owner_changed,
                                     ownership_event::poll_failed,
                                     ownership_event::lease_granted,
                                     ownership_event::claim_ended,
                                     ownership_event::batches_read,
                                     ownership_event::keep_alive_ended,
                                     ownership_event::fenced,
                                     ownership_event::handover_requested,
                                     ownership_event::release_requested,
                                     ownership_event::timer>;

namespace ownership_action {

/** Read the owner key. */
struct poll_owner
{
};

/** Request a lease from the store. */
struct grant_lease
{
    std::int64_t seconds = 0; ///< Time to live.
};

/** Write the owner key under @p lease if the key is absent or, in a handover, unchanged since @p heldEpoch. */
struct claim
{
    store_lease_id lease = 0;
    owner_record record;
    epoch_number heldEpoch = 0; ///< Epoch of the owner that hands over; 0 if the key must be absent.
};

/** Read all batches of the run from the store. */
struct read_batches
{
};

/** Renew the lease. */
struct keep_alive
{
    store_lease_id lease = 0;
};

/** Revoke the lease, which deletes the owner key if it was written under it. */
struct revoke_lease
{
    store_lease_id lease = 0;
};

/** Report that this node owns the run from now on. */
struct gained
{
    epoch_number epoch = 0;
    std::vector<seal_record> batches;
};

/** Report that this node no longer owns the run. */
struct lost
{
};

} // namespace ownership_action

/** Any action that run_ownership returns. */
using ownership_action_item = std::variant<ownership_action::poll_owner,
                                           ownership_action::grant_lease,
                                           ownership_action::claim,
                                           ownership_action::read_batches,
                                           ownership_action::keep_alive,
                                           ownership_action::revoke_lease,
                                           ownership_action::gained,
                                           ownership_action::lost>;

using ownership_actions = std::vector<ownership_action_item>;

/** One node's claim to the ownership of one run. */
class run_ownership
{
public:
    /** @param claimPrefix prefix of claim IDs; must be unique to this incarnation of this node */
    run_ownership(node_id self, std::string claimPrefix, std::string stewardAddress, ownership_options options);

    /** Handles one event. @param now time of this process's monotonic clock @return the actions to perform, in order */
    ownership_actions onEvent(time_point now, const ownership_input &event);
    /** Returns the time at which to send the next timer event, or timeNever. */
    time_point nextDeadline() const;

    claim_phase phase() const
    {
        return m_stateMachine.phase();
    }
    bool isOwning() const
    {
        return phase() == claim_phase::Owning;
    }
    /** Returns the epoch of this node's ownership; 0 if it does not hold the owner key. */
    epoch_number epoch() const
    {
        return m_epoch;
    }
    /** Returns the time, by this node's clock, until which the lease is certain to be valid. */
    time_point leaseUntil() const
    {
        return m_leaseUntil;
    }
    /** Returns the owner last observed in the store. */
    const observed_owner &owner() const
    {
        return m_owner;
    }
    /** Returns the state as JSON for diagnostics. */
    nlohmann::json dump() const;

private:
    void handle(const ownership_event::rank_changed &event);
    void handle(const ownership_event::owner_changed &event);
    void handle(const ownership_event::poll_failed &event);
    void handle(const ownership_event::lease_granted &event);
    void handle(const ownership_event::claim_ended &event);
    void handle(const ownership_event::batches_read &event);
    void handle(const ownership_event::keep_alive_ended &event);
    void handle(const ownership_event::fenced &event);
    void handle(const ownership_event::handover_requested &event);
    void handle(const ownership_event::release_requested &event);
    void handle(const ownership_event::timer &event);

    /** Tells whether @p owner is the result of this node's current claim. */
    bool isOwnClaim(const observed_owner &owner) const;
    /** Schedules an attempt to claim the run after @p delay plus the delay for this node's rank, if it may own the run. */
    void scheduleAttempt(duration delay);
    /** Starts an attempt to claim the run by requesting a lease. */
    void startAttempt();
    /** Ends an unsuccessful attempt. @param mayRevokeLease whether to revoke the lease, if one was granted */
    void failAttempt(bool mayRevokeLease);
    /** The owner key contains this node's claim: starts to renew the lease and to read the batches. */
    void completeClaim(epoch_number epoch);
    /** Ends the ownership, revokes the lease and returns to watching. */
    void relinquish();
    /** Polls the owner key and starts an attempt when due. */
    void onTimerWhileWatching();
    /** Returns how long a lease is certain to be valid by this node's clock after it was requested. */
    duration safeLeaseDuration() const;

    node_id m_self;
    std::string m_claimPrefix;
    std::string m_stewardAddress;
    ownership_options m_options;
    ownership_machine m_stateMachine;
    ownership_actions m_actions; ///< Actions that result from the event being handled.
    time_point m_now; ///< Time of the event being handled.

    std::optional<std::size_t> m_rank; ///< Rank among the candidates, 0 being the best; empty if not a candidate.
    observed_owner m_owner; ///< Owner last observed in the store.
    bool m_isOwnerKnown = false; ///< Whether the owner key was observed at least once.
    bool m_isReleaseRequested = false; ///< If set, this node does not claim the run any more.
    std::uint64_t m_claimCount = 0; ///< Attempts so far; makes claim IDs unique.
    std::string m_claimId; ///< ID of the claim in progress or held; empty if none.
    epoch_number m_handoverEpoch = 0; ///< Epoch of the owner that requested a handover; 0 if none did.
    epoch_number m_epoch = 0; ///< 0 if this node does not hold the owner key.
    store_lease_id m_lease = 0; ///< 0 if none is held.
    time_point m_leaseRequestedAt; ///< Start of the lease's certain validity.
    time_point m_leaseUntil; ///< The lease is certain to be valid until then.
    // Times of the next actions on a timer event.
    time_point m_attemptAt = timeNever;
    time_point m_pollAt = timeNever;
    time_point m_keepAliveAt = timeNever;
    time_point m_readBatchesAt = timeNever;
};

} // namespace reedtrail
