/**
 * @file
 * Takes, keeps and loses the ownership of a run through a lease in the store. Pure core: events in, store calls out.
 *
 *     run_ownership claim(run, self, {});
 *     perform(claim.onEvent(now, ownership_event::rank_changed{0}));
 *     ... answers to the actions come back as events ...
 *     claim.epoch()                                                    // while it owns the run
 *
 * The epoch is the store revision at which the owner key was written: it rises with each takeover by the store's own order, is known from the same answer
 * that says the claim succeeded, and can be compared in the transaction of each later write. No counter has to be kept.
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

/** Times of a claim. */
struct ownership_options
{
    std::int64_t leaseSeconds = 5;
    duration keepAliveInterval = std::chrono::milliseconds(1500);
    duration rankDelay = std::chrono::milliseconds(400); ///< A candidate waits this long for each one before it.
    duration retryDelay = std::chrono::milliseconds(500); ///< After a try that failed.
    duration pollInterval = std::chrono::seconds(3); ///< Reads of the owner key by a candidate, in case its watch has gone silent.
    double clockTolerance = 0.02; ///< Share by which this clock may differ from the store's.
    std::size_t candidateCount = 3; ///< Nodes that watch the owner key; the store calls of a run do not grow with the fleet.
};

/** What the owner key holds. */
struct owner_record
{
    node_id node;
    std::string claim; ///< Tells this claim from all others, also of the same node.
    std::string stewardAddress;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(owner_record, node, claim, stewardAddress)
};

/** Who owns a run, as the store says. */
struct observed_owner
{
    bool isPresent = false;
    owner_record record{};
    epoch_number epoch = 0; ///< Store revision of the owner key.
};

/** Reads a stored owner key. @return nobody if @p item is null or not readable */
observed_owner decodeOwner(const store_key_value *item);

namespace ownership_event {

/** Rank of this node among the candidates of the run, 0 first; none if it is no candidate or the run is closed to it. */
struct rank_changed
{
    std::optional<std::size_t> rank;
};

/** The owner key as a watch or a read saw it. */
struct owner_changed
{
    observed_owner owner;
};

/** A poll of the owner key got no answer. */
struct poll_failed
{
};

/** Answer to grant_lease. */
struct lease_granted
{
    std::optional<failure> error;
    store_lease_id lease = 0;
};

/** Answer to claim. */
struct claim_ended
{
    enum class outcome : std::uint8_t { Succeeded, Refused, NotDone, Unknown };
    outcome result = outcome::NotDone;
    epoch_number epoch = 0; ///< If it succeeded.
    observed_owner owner; ///< If it was refused.
};

/** Answer to read_batches; no answer if @p isAnswered is false. */
struct batches_read
{
    bool isAnswered = false;
    std::vector<seal_record> batches;
};

/** Answer to keep_alive. */
struct keep_alive_ended
{
    time_point askedAt;
    std::optional<failure> error; ///< NotFound if the lease has lapsed.
};

/** A write under this epoch was refused. */
struct fenced
{
    epoch_number epoch = 0;
};

/** Another node asks this one to take the run over at @p epoch. */
struct handover_requested
{
    epoch_number epoch = 0;
};

/** Give the ownership up: graceful shutdown, or a closed run. */
struct release_requested
{
};

/** The time given by nextDeadline() has come. */
struct timer
{
};

} // namespace ownership_event

/** Everything a claim can be told. */
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

/** Ask the store for a lease. */
struct grant_lease
{
    std::int64_t seconds = 0;
};

/** Write the owner key under @p lease if it is absent, or still as written at @p heldEpoch. */
struct claim
{
    store_lease_id lease = 0;
    owner_record record;
    epoch_number heldEpoch = 0; ///< 0: the key must be absent.
};

/** Read all batches of the run. */
struct read_batches
{
};

/** Prolong the lease. */
struct keep_alive
{
    store_lease_id lease = 0;
};

/** End the lease, and with it the owner key. */
struct revoke_lease
{
    store_lease_id lease = 0;
};

/** This node owns the run now. */
struct gained
{
    epoch_number epoch = 0;
    std::vector<seal_record> batches;
};

/** This node no longer owns the run. */
struct lost
{
};

} // namespace ownership_action

/** Everything a claim can ask for. */
using ownership_action_item = std::variant<ownership_action::poll_owner,
                                           ownership_action::grant_lease,
                                           ownership_action::claim,
                                           ownership_action::read_batches,
                                           ownership_action::keep_alive,
                                           ownership_action::revoke_lease,
                                           ownership_action::gained,
                                           ownership_action::lost>;

using ownership_actions = std::vector<ownership_action_item>;

/** A node's claim to one run. */
class run_ownership
{
public:
    /** @param claimPrefix differs for each incarnation of each node */
    run_ownership(node_id self, std::string claimPrefix, std::string stewardAddress, ownership_options options);

    ownership_actions onEvent(time_point now, const ownership_input &event);
    /** Returns when a timer event is wanted next; timeNever if none is. */
    time_point nextDeadline() const;

    claim_phase phase() const
    {
        return m_machine.phase();
    }
    bool isOwning() const
    {
        return phase() == claim_phase::Owning;
    }
    /** Returns the epoch held; 0 if this node does not own the run. */
    epoch_number epoch() const
    {
        return m_epoch;
    }
    /** Returns until when the lease surely holds, by this node's clock. */
    time_point leaseUntil() const
    {
        return m_leaseUntil;
    }
    /** Returns the owner last seen. */
    const observed_owner &owner() const
    {
        return m_owner;
    }
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

    bool isMine(const observed_owner &owner) const;
    void tryAfter(duration delay);
    void begin();
    void failTry(bool isLeaseFree);
    void claimed(epoch_number epoch);
    void lose();
    void onTimerWatching();
    duration surelyValid() const;

    node_id m_self;
    std::string m_claimPrefix;
    std::string m_stewardAddress;
    ownership_options m_options;
    ownership_machine m_machine;
    ownership_actions m_actions;
    time_point m_now;

    std::optional<std::size_t> m_rank;
    observed_owner m_owner;
    bool m_isOwnerKnown = false; ///< Whether the owner key was seen since this node became a candidate.
    bool m_isReleased = false;
    std::uint64_t m_claims = 0;
    std::string m_claimText; ///< Of the claim being made or held.
    epoch_number m_handedEpoch = 0; ///< Take over from the holder of this epoch.
    epoch_number m_epoch = 0;
    store_lease_id m_lease = 0;
    time_point m_grantAskedAt;
    time_point m_leaseUntil;
    time_point m_tryAt = timeNever;
    time_point m_pollAt = timeNever;
    time_point m_keepAliveAt = timeNever;
    time_point m_recoverAt = timeNever;
};

} // namespace reedtrail
