// Ownership is what "Kafka Transactions" calls the producer's epoch: whoever initialises anew fences all before it. The store keeps it, so there is no
// consensus of our own: the owner key is created under a lease by one transaction, and its revision is the epoch.
//
// An owner whose lease may have lapsed by its own clock goes on: in an outage of the store nobody else can take over, and what it writes is compared with its
// epoch anyway. It stops when the store says that the key is another's or gone. Only orders to engines that ignore fencing numbers need the lease's time; see
// weights/weight_rollout.h.
//
// Store calls: one keep-alive each 1.5 s by the owner; one waiting watch and one read each 3 s by each of three candidates. None depends on the number of
// nodes.

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
        [this](const auto &known) {
            handle(known);
        },
        event);
    return std::move(m_actions);
}

time_point run_ownership::nextDeadline() const
{
    return std::min({ m_tryAt, m_pollAt, m_keepAliveAt, m_recoverAt });
}

bool run_ownership::isMine(const observed_owner &owner) const
{
    return owner.isPresent && !m_claimText.empty() && owner.record.claim == m_claimText;
}

duration run_ownership::surelyValid() const
{
    return fromSeconds(static_cast<double>(m_options.leaseSeconds) * (1 - m_options.clockTolerance));
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
    m_tryAt = timeNever;
    m_pollAt = m_rank ? m_now : timeNever;
}

void run_ownership::tryAfter(duration delay)
{
    const bool mayTry = m_rank && !m_isReleased && phase() == claim_phase::Watching;
    m_tryAt = mayTry ? std::min(m_tryAt, m_now + delay + static_cast<std::int64_t>(*m_rank) * m_options.rankDelay) : timeNever;
}

void run_ownership::handle(const ownership_event::owner_changed &event)
{
    if (phase() == claim_phase::Claiming && isMine(event.owner)) {
        claimed(event.owner.epoch); // The watch was quicker than the answer to the claim.
        return;
    }
    if (phase() == claim_phase::Resolving) {
        if (isMine(event.owner)) {
            claimed(event.owner.epoch);
        } else {
            m_owner = event.owner;
            failTry(true);
        }
        return;
    }
    const bool isHolding = phase() == claim_phase::Owning || phase() == claim_phase::Recovering;
    if (isHolding) {
        if (event.owner.isPresent && event.owner.epoch < m_epoch) {
            return; // An older state, reported late.
        }
        if (!isMine(event.owner)) {
            m_owner = event.owner;
            lose();
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
        m_tryAt = timeNever;
    } else {
        tryAfter(duration::zero());
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
        onTimerWatching();
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
    if (m_recoverAt <= m_now) {
        m_recoverAt = timeNever;
        m_actions.emplace_back(ownership_action::read_batches{});
    }
}

void run_ownership::onTimerWatching()
{
    if (!m_rank || m_isReleased) {
        m_tryAt = timeNever;
        m_pollAt = timeNever;
        return;
    }
    if (m_pollAt <= m_now) {
        m_pollAt = m_now + m_options.pollInterval;
        m_actions.emplace_back(ownership_action::poll_owner{});
    }
    if (m_tryAt <= m_now) {
        begin();
    }
}

void run_ownership::begin()
{
    m_tryAt = timeNever;
    m_machine.handle(claim_event::Began);
    m_grantAskedAt = m_now;
    m_claimText = m_claimPrefix + "-" + std::to_string(++m_claims);
    m_actions.emplace_back(ownership_action::grant_lease{ m_options.leaseSeconds });
}

void run_ownership::handle(const ownership_event::lease_granted &event)
{
    if (event.error || phase() != claim_phase::Granting) {
        if (!event.error) {
            m_actions.emplace_back(ownership_action::revoke_lease{ event.lease });
        }
        if (phase() == claim_phase::Granting) {
            failTry(false);
        }
        return;
    }
    m_lease = event.lease;
    m_leaseUntil = m_grantAskedAt + surelyValid();
    m_machine.handle(claim_event::Granted);
    m_actions.emplace_back(ownership_action::claim{ m_lease, { m_self, m_claimText, m_stewardAddress }, m_handedEpoch });
}

void run_ownership::handle(const ownership_event::claim_ended &event)
{
    if (phase() != claim_phase::Claiming) {
        return;
    }
    using outcome = ownership_event::claim_ended::outcome;
    switch (event.result) {
    case outcome::Succeeded:
        claimed(event.epoch);
        break;
    case outcome::Unknown:
        m_machine.handle(claim_event::Doubtful);
        m_actions.emplace_back(ownership_action::poll_owner{});
        break;
    case outcome::Refused:
        if (event.owner.isPresent) {
            m_owner = event.owner;
        }
        failTry(true);
        break;
    case outcome::NotDone:
        failTry(true);
        break;
    }
}

void run_ownership::failTry(bool isLeaseFree)
{
    m_machine.handle(claim_event::Failed);
    m_handedEpoch = 0;
    if (isLeaseFree && m_lease != 0) {
        m_actions.emplace_back(ownership_action::revoke_lease{ m_lease });
    }
    m_lease = 0;
    m_pollAt = m_now + m_options.retryDelay;
}

void run_ownership::claimed(epoch_number epoch)
{
    REEDTRAIL_CHECK(epoch > m_owner.epoch || !m_isOwnerKnown, "the epoch of a run only rises");
    m_machine.handle(claim_event::Claimed);
    m_handedEpoch = 0;
    m_epoch = epoch;
    m_owner = { true, { m_self, m_claimText, m_stewardAddress }, epoch };
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
        m_recoverAt = m_now + m_options.retryDelay;
        return;
    }
    m_machine.handle(claim_event::Recovered);
    m_recoverAt = timeNever;
    m_actions.emplace_back(ownership_action::gained{ m_epoch, event.batches });
    if (m_isReleased) {
        lose();
    }
}

void run_ownership::handle(const ownership_event::keep_alive_ended &event)
{
    const bool isHolding = phase() == claim_phase::Owning || phase() == claim_phase::Recovering;
    if (!isHolding) {
        return;
    }
    if (!event.error) {
        m_leaseUntil = std::max(m_leaseUntil, event.askedAt + surelyValid());
    } else if (event.error->kind == error_kind::NotFound) {
        m_owner = { .epoch = m_epoch };
        lose();
    } else {
        m_keepAliveAt = std::min(m_keepAliveAt, m_now + m_options.retryDelay);
    }
}

void run_ownership::handle(const ownership_event::fenced &event)
{
    if (event.epoch == m_epoch) {
        m_owner = { .epoch = m_epoch };
        lose();
    }
}

void run_ownership::lose()
{
    const bool isTold = phase() == claim_phase::Owning;
    m_machine.handle(claim_event::Fenced);
    m_epoch = 0;
    m_claimText.clear();
    m_keepAliveAt = timeNever;
    m_recoverAt = timeNever;
    m_pollAt = m_rank && !m_isReleased ? m_now : timeNever;
    m_leaseUntil = m_now;
    if (m_lease != 0) {
        m_actions.emplace_back(ownership_action::revoke_lease{ m_lease });
        m_lease = 0;
    }
    if (isTold) {
        m_actions.emplace_back(ownership_action::lost{});
    }
}

void run_ownership::handle(const ownership_event::handover_requested &event)
{
    if (phase() == claim_phase::Watching && !m_isReleased) {
        m_handedEpoch = event.epoch;
        begin();
    }
}

void run_ownership::handle(const ownership_event::release_requested &)
{
    m_isReleased = true;
    m_tryAt = timeNever;
    if (phase() == claim_phase::Owning || phase() == claim_phase::Recovering) {
        m_owner = { .epoch = m_epoch };
        lose();
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
        { "claims", m_claims },
    };
}

} // namespace reedtrail
