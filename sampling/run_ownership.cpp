// Ownership works like the producer epoch in "Kafka Transactions": each new owner fences all previous ones. The store keeps the epoch, so this code needs no
// consensus protocol of its own: one transaction creates the owner key under a lease, and the key's revision is the epoch.
//
// An owner whose lease may have expired by its own clock keeps working: during a store outage no other node can take over, and every write compares the epoch
// anyway. It stops when the store reports that the owner key has changed or is gone. Only orders to engines that ignore fencing tokens depend on the lease's
// time; see weights/weight_rollout.h.
//
// Store calls per run: one keep-alive every 1.5 s by the owner, and one open watch and one read every 3 s by each of three candidates. None depends on the
// number of nodes.

#include "sampling/run_ownership.h"

#include "base/check.h"

#include <algorithm>

namespace reedtrail {

observed_owner decodeOwner(const store_key_value *item)
{
    if (item == nullptr) {
        return {};
    }
    const nlohmann::json value = nlohmann::json::parse(item->value, nullptr, false);
    observed_owner owner;
    owner.isPresent = true;
    owner.epoch = item->modRevision;
    if (value.is_object()) {
        owner.record = value.get<owner_record>();
    }
    return owner;
}

run_ownership::run_ownership(node_id self, std::string claimPrefix, std::string stewardAddress, ownership_options options)
    : m_self(std::move(self))
    , m_claimPrefix(std::move(claimPrefix))
    , m_stewardAddress(std::move(stewardAddress))
    , m_options(options)
{
}

ownership_actions run_ownership::onEvent(time_point now, const ownership_input &event)
{
    m_now = now;
    m_actions.clear();
    std::visit(
        [this](const auto &alternative) {
            handle(alternative);
        },
        event);
    return std::move(m_actions);
}

time_point run_ownership::nextDeadline() const
{
    return std::min({ m_attemptAt, m_pollAt, m_keepAliveAt, m_readBatchesAt });
}

bool run_ownership::isOwnClaim(const observed_owner &owner) const
{
    return owner.isPresent && !m_claimId.empty() && owner.record.claim == m_claimId;
}

duration run_ownership::safeLeaseDuration() const
{
    return fromSeconds(static_cast<double>(m_options.leaseSeconds) * (1 - m_options.clockRateTolerance));
}

void run_ownership::handle(const ownership_event::rank_changed &event)
{
    if (m_rank == event.rank) {
        return;
    }
    m_rank = event.rank;
    if (phase() != claim_phase::Watching) {
        return;
    }
    m_attemptAt = timeNever;
    m_pollAt = m_rank ? m_now : timeNever;
}

void run_ownership::scheduleAttempt(duration delay)
{
    const bool mayAttempt = m_rank && !m_isReleaseRequested && phase() == claim_phase::Watching;
    m_attemptAt = mayAttempt ? std::min(m_attemptAt, m_now + delay + static_cast<std::int64_t>(*m_rank) * m_options.rankDelay) : timeNever;
}

void run_ownership::handle(const ownership_event::owner_changed &event)
{
    if (phase() == claim_phase::Claiming && isOwnClaim(event.owner)) {
        completeClaim(event.owner.epoch); // The watch event arrived before the answer to the claim.
        return;
    }
    if (phase() == claim_phase::Resolving) {
        if (isOwnClaim(event.owner)) {
            completeClaim(event.owner.epoch);
        } else {
            m_owner = event.owner;
            failAttempt(true);
        }
        return;
    }
    const bool isHolder = phase() == claim_phase::Owning || phase() == claim_phase::Recovering;
    if (isHolder) {
        if (event.owner.isPresent && event.owner.epoch < m_epoch) {
            return; // A stale watch event or read of an earlier owner.
        }
        if (!isOwnClaim(event.owner)) {
            m_owner = event.owner;
            relinquish();
        }
        return;
    }
    if (event.owner.isPresent && event.owner.epoch < m_owner.epoch) {
        return;
    }
    const epoch_number newest = std::max(m_owner.epoch, event.owner.epoch);
    m_owner = event.owner;
    m_owner.epoch = newest;
    m_isOwnerKnown = true;
    if (phase() != claim_phase::Watching) {
        return;
    }
    if (m_owner.isPresent) {
        m_attemptAt = timeNever;
    } else {
        scheduleAttempt(duration::zero());
    }
}

void run_ownership::handle(const ownership_event::poll_failed &)
{
    if (phase() == claim_phase::Resolving) {
        m_pollAt = m_now + m_options.retryDelay;
    }
}

void run_ownership::handle(const ownership_event::timer &)
{
    if (phase() == claim_phase::Watching) {
        onTimerWhileWatching();
        return;
    }
    if (m_pollAt <= m_now) {
        m_pollAt = phase() == claim_phase::Resolving ? timeNever : m_now + m_options.pollInterval;
        m_actions.emplace_back(ownership_action::poll_owner{});
    }
    if (m_keepAliveAt <= m_now) {
        m_keepAliveAt = m_now + m_options.keepAliveInterval;
        m_actions.emplace_back(ownership_action::keep_alive{ m_lease });
    }
    if (m_readBatchesAt <= m_now) {
        m_readBatchesAt = timeNever;
        m_actions.emplace_back(ownership_action::read_batches{});
    }
}

void run_ownership::onTimerWhileWatching()
{
    if (!m_rank || m_isReleaseRequested) {
        m_attemptAt = timeNever;
        m_pollAt = timeNever;
        return;
    }
    if (m_pollAt <= m_now) {
        m_pollAt = m_now + m_options.pollInterval;
        m_actions.emplace_back(ownership_action::poll_owner{});
    }
    if (m_attemptAt <= m_now) {
        startAttempt();
    }
}

void run_ownership::startAttempt()
{
    m_attemptAt = timeNever;
    m_stateMachine.handle(claim_event::AttemptStarted);
    m_leaseRequestedAt = m_now;
    m_claimId = m_claimPrefix + "-" + std::to_string(++m_claimCount);
    m_actions.emplace_back(ownership_action::grant_lease{ m_options.leaseSeconds });
}

void run_ownership::handle(const ownership_event::lease_granted &event)
{
    if (event.error || phase() != claim_phase::Granting) {
        if (!event.error) {
            m_actions.emplace_back(ownership_action::revoke_lease{ event.lease });
        }
        if (phase() == claim_phase::Granting) {
            failAttempt(false);
        }
        return;
    }
    m_lease = event.lease;
    m_leaseUntil = m_leaseRequestedAt + safeLeaseDuration();
    m_stateMachine.handle(claim_event::LeaseGranted);
    m_actions.emplace_back(ownership_action::claim{ m_lease, { m_self, m_claimId, m_stewardAddress }, m_handoverEpoch });
}

void run_ownership::handle(const ownership_event::claim_ended &event)
{
    if (phase() != claim_phase::Claiming) {
        return;
    }
    using outcome = ownership_event::claim_ended::outcome;
    switch (event.result) {
    case outcome::Succeeded:
        completeClaim(event.epoch);
        break;
    case outcome::Unknown:
        m_stateMachine.handle(claim_event::ClaimUncertain);
        m_actions.emplace_back(ownership_action::poll_owner{});
        break;
    case outcome::Refused:
        if (event.owner.isPresent) {
            m_owner = event.owner;
        }
        failAttempt(true);
        break;
    case outcome::NotApplied:
        failAttempt(true);
        break;
    }
}

void run_ownership::failAttempt(bool mayRevokeLease)
{
    m_stateMachine.handle(claim_event::AttemptFailed);
    m_handoverEpoch = 0;
    if (mayRevokeLease && m_lease != 0) {
        m_actions.emplace_back(ownership_action::revoke_lease{ m_lease });
    }
    m_lease = 0;
    m_pollAt = m_now + m_options.retryDelay;
}

void run_ownership::completeClaim(epoch_number epoch)
{
    REEDTRAIL_CHECK(epoch > m_owner.epoch || !m_isOwnerKnown, "the epoch of a run increases with each ownership");
    m_stateMachine.handle(claim_event::ClaimSucceeded);
    m_handoverEpoch = 0;
    m_epoch = epoch;
    m_owner = { true, { m_self, m_claimId, m_stewardAddress }, epoch };
    m_pollAt = m_now + m_options.pollInterval;
    m_keepAliveAt = m_now + m_options.keepAliveInterval;
    m_actions.emplace_back(ownership_action::read_batches{});
}

void run_ownership::handle(const ownership_event::batches_read &event)
{
    if (phase() != claim_phase::Recovering) {
        return;
    }
    if (!event.isAnswered) {
        m_readBatchesAt = m_now + m_options.retryDelay;
        return;
    }
    m_stateMachine.handle(claim_event::BatchesRead);
    m_readBatchesAt = timeNever;
    m_actions.emplace_back(ownership_action::gained{ m_epoch, event.batches });
    if (m_isReleaseRequested) {
        relinquish();
    }
}

void run_ownership::handle(const ownership_event::keep_alive_ended &event)
{
    const bool isHolder = phase() == claim_phase::Owning || phase() == claim_phase::Recovering;
    if (!isHolder) {
        return;
    }
    if (!event.error) {
        m_leaseUntil = std::max(m_leaseUntil, event.sentAt + safeLeaseDuration());
    } else if (event.error->kind == error_kind::NotFound) {
        m_owner = { .epoch = m_epoch };
        relinquish();
    } else {
        m_keepAliveAt = std::min(m_keepAliveAt, m_now + m_options.retryDelay);
    }
}

void run_ownership::handle(const ownership_event::fenced &event)
{
    if (event.epoch == m_epoch) {
        m_owner = { .epoch = m_epoch };
        relinquish();
    }
}

void run_ownership::relinquish()
{
    const bool wasOwning = phase() == claim_phase::Owning;
    m_stateMachine.handle(claim_event::Fenced);
    m_epoch = 0;
    m_claimId.clear();
    m_keepAliveAt = timeNever;
    m_readBatchesAt = timeNever;
    m_pollAt = m_rank && !m_isReleaseRequested ? m_now : timeNever;
    m_leaseUntil = m_now;
    if (m_lease != 0) {
        m_actions.emplace_back(ownership_action::revoke_lease{ m_lease });
        m_lease = 0;
    }
    if (wasOwning) {
        m_actions.emplace_back(ownership_action::lost{});
    }
}

void run_ownership::handle(const ownership_event::handover_requested &event)
{
    if (phase() == claim_phase::Watching && !m_isReleaseRequested) {
        m_handoverEpoch = event.epoch;
        startAttempt();
    }
}

void run_ownership::handle(const ownership_event::release_requested &)
{
    m_isReleaseRequested = true;
    m_attemptAt = timeNever;
    if (phase() == claim_phase::Owning || phase() == claim_phase::Recovering) {
        m_owner = { .epoch = m_epoch };
        relinquish();
    }
}

nlohmann::json run_ownership::dump() const
{
    return {
        { "phase", claimPhaseName(phase()) },
        { "epoch", m_epoch },
        { "owner", m_owner.isPresent ? m_owner.record.node.str() : "" },
        { "ownerEpoch", m_owner.epoch },
        { "rank", m_rank ? static_cast<std::int64_t>(*m_rank) : -1 },
        { "claims", m_claimCount },
    };
}

} // namespace reedtrail
