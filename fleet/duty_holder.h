/**
 * @file
 * Competes for a duty that one node at a time may do, and says when this node may act.
 *
 *     auto duty = std::make_shared<duty_holder<Store, Loop>>(store, loop, lease, "orders", "node-1", "incarnation", options);
 *     duty->start();
 *     if (duty->mayAct()) { ... duty->fencingToken() ... }
 *
 * The holder's key is under its node's lease. A holder acts only on a renewal that the store confirmed a moment ago, so it falls silent soon after its key is
 * gone, whether the lease ran out or was taken away. A successor on another machine waits until that silence is certain and has lasted for one turn; a
 * successor on the same machine does not wait, and neither does one whose predecessor has left word of what it did last: it must keep the turn itself, for each
 * thing that was acted on. Which machine acted last stands in a key of its own that is written before a holder's first act. The fencing
 * token is the store's revision at which the holder's key was written.
 */
#pragma once

#include "base/random.h"
#include "fleet/node_lease.h"
#include "fleet/prefix_mirror.h"
#include "kernel/log.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace reedtrail {

/** Times of a duty. */
struct duty_holder_options
{
    duration maxRenewalAge = std::chrono::milliseconds(1200); ///< Age of the confirmed renewal up to which the holder acts: two renewals.
    duration maxDeliveryTime = std::chrono::milliseconds(600); ///< From a decision to act to its arrival; what takes longer is given up by the sender.
    duration takeoverInterval = std::chrono::seconds(3); ///< Least time between the acts of two machines.
    duration lastActorHeadStart = std::chrono::milliseconds(700); ///< For which the machine that acted last has the first claim: a restart with all others takes less.
    duration claimJitter = std::chrono::milliseconds(400); ///< Candidates start at random within it, so that mostly one writes.
};

/** The competitor. */
template<store_client Store, event_loop Loop>
class duty_holder : public std::enable_shared_from_this<duty_holder<Store, Loop>>
{
public:
    duty_holder(Store &store,
                Loop &loop,
                std::shared_ptr<node_lease<Store, Loop>> lease,
                std::string duty,
                std::string node,
                std::string incarnation,
                std::uint64_t seed,
                duty_holder_options options = {})
        : m_store(store)
        , m_loop(loop)
        , m_lease(std::move(lease))
        , m_prefix("reedtrail/duty/" + duty + "/")
        , m_duty(std::move(duty))
        , m_node(std::move(node))
        , m_incarnation(std::move(incarnation))
        , m_random(seed)
        , m_options(options)
    {
    }

    /** Begins to compete. @param onChange called when this node gains or loses the duty */
    void start(std::function<void()> onChange)
    {
        m_onChange = std::move(onChange);
        prefix_mirror_handlers handlers;
        handlers.onListing = [this](std::span<const store_key_value> items) {
            m_holder.reset();
            m_lastActor.clear();
            m_isLastActorRetired = false;
            m_storedHandover.clear();
            for (const store_key_value &item : items) {
                apply(item);
            }
        };
        handlers.onEvent = [this](const store_watch_event &event) {
            if (event.type == store_watch_event::kind::Put) {
                apply(event.item);
            } else if (event.item.key == holderKey()) {
                m_holder.reset();
            }
        };
        handlers.onCaughtUp = [this] {
            reconcile();
        };
        m_mirror = std::make_shared<prefix_mirror<Store, Loop>>(m_store, m_loop, m_prefix, prefix_mirror_options{}, handlers);
        m_mirror->start();
        watchForLapsedLease();
    }

    /**
     * Gives the duty up for good.
     * @param handover word for a successor, which then does not wait and keeps the turn itself; empty if this node has none
     * @param done called when the store has answered, or has failed to
     */
    void retire(std::string handover, std::function<void()> done)
    {
        m_isRetired = true;
        if (!isHolder()) {
            done();
            return;
        }
        // This node does not act any more, so its successor has to wait only for the turn, not for this node's silence.
        store_txn txn;
        txn.compares.push_back(store_compare::unchanged(holderKey(), m_holder->revision));
        txn.onSuccess.push_back(store_delete{ holderKey(), false });
        if (m_lastActor == m_node) {
            txn.onSuccess.push_back(store_put{ lastActorKey(), encodeRecord(true, handover), 0 });
        }
        m_store.txn(txn, [done](const store_txn_answer &) {
            done();
        });
        m_holder.reset();
        m_wasHolder = false;
        m_onChange();
    }

    /** Tells whether the store names this process as the holder. */
    bool isHolder() const
    {
        return m_holder && m_holder->node == m_node && m_holder->incarnation == m_incarnation;
    }
    /** Tells whether this node may act now. Asked anew before each act. */
    bool mayAct() const
    {
        const time_point now = m_loop.now();
        return isHolder() && m_lastActor == m_node && now >= m_takeoverWaitEnd && m_lease->renewalAge(m_holder->lease, now) < m_options.maxRenewalAge
            && m_lease->validFor(m_holder->lease, now) > duration::zero();
    }
    /** Returns when the wait after a takeover ends. */
    time_point takeoverWaitEnd() const
    {
        return m_takeoverWaitEnd;
    }
    /** Returns what the holder before has left word of; nothing if it left none. Valid once this node has gained the duty. */
    const std::optional<std::string> &handover() const
    {
        return m_receivedHandover;
    }
    /** Tells whether this machine itself acted last before this node gained the duty, or nobody did. */
    bool isOwnSuccessor() const
    {
        return m_isOwnSuccessor;
    }
    std::uint64_t fencingToken() const
    {
        return m_holder ? m_holder->revision : 0;
    }

private:
    struct holder_record
    {
        std::string node;
        std::string incarnation;
        store_revision revision = 0;
        store_lease_id lease = 0;
    };

    std::string holderKey() const
    {
        return m_prefix + "holder";
    }
    std::string lastActorKey() const
    {
        return m_prefix + "last";
    }

    void apply(const store_key_value &item)
    {
        const nlohmann::json row = nlohmann::json::from_cbor(item.value, true, false);
        if (!row.is_object()) {
            logLine(log_level::Error, "duty-record-unreadable", { { "key", item.key } });
            return;
        }
        if (item.key == holderKey()) {
            m_holder = holder_record{ row.value("node", ""), row.value("incarnation", ""), item.modRevision, item.lease };
        } else if (item.key == lastActorKey()) {
            m_lastActor = row.value("node", "");
            m_isLastActorRetired = row.value("retired", false);
            m_storedHandover = row.value("handover", "");
        }
    }

    std::string encodeRecord(bool isRetired = false, const std::string &handover = "") const
    {
        std::string bytes;
        nlohmann::json::to_cbor({ { "node", m_node }, { "incarnation", m_incarnation }, { "retired", isRetired }, { "handover", handover } }, bytes);
        return bytes;
    }

    /** Looks at what the mirror shows: notes a gain or a loss, and competes for a duty that nobody holds. */
    void reconcile()
    {
        const bool isNowHolder = isHolder();
        if (isNowHolder != m_wasHolder) {
            m_wasHolder = isNowHolder;
            logLine(
                log_level::Info, isNowHolder ? "duty-gained" : "duty-lost", { { "duty", m_duty }, { "token", std::to_string(fencingToken()) }, { "last", m_lastActor } });
            if (isNowHolder) {
                beginTakeoverWait();
            }
            m_onChange();
        }
        if (isFree() && !m_isRetired && !m_isClaimPending) {
            // The machine that acted last needs not wait out its own turn, so it goes first.
            const bool hasHeadStart = m_lastActor.empty() || m_lastActor == m_node;
            scheduleClaim(fromSeconds(m_random.unit() * toSeconds(m_options.claimJitter)) + (hasHeadStart ? duration::zero() : m_options.lastActorHeadStart));
        }
    }

    /** A holder whose lease has lapsed has no key any more, whatever the mirror says. */
    void watchForLapsedLease()
    {
        m_loop.after(m_options.takeoverInterval, [weak = this->weak_from_this()] {
            const auto self = weak.lock();
            if (!self || self->m_isRetired) {
                return;
            }
            if (self->isHolder() && self->m_lease->validFor(self->m_holder->lease, self->m_loop.now()) <= duration::zero()) {
                self->m_mirror->refresh();
            }
            self->watchForLapsedLease();
        });
    }

    void beginTakeoverWait()
    {
        m_isOwnSuccessor = m_lastActor.empty() || m_lastActor == m_node;
        const duration staleHolderTime = m_isLastActorRetired ? duration::zero() : m_options.maxRenewalAge;
        m_receivedHandover = m_isLastActorRetired && !m_storedHandover.empty() ? std::optional(m_storedHandover) : std::nullopt;
        const duration wait = m_isOwnSuccessor || m_receivedHandover ? duration::zero() : staleHolderTime + m_options.maxDeliveryTime + m_options.takeoverInterval;
        m_takeoverWaitEnd = std::max(m_takeoverWaitEnd, m_loop.now() + wait);
        if (m_lastActor != m_node) {
            recordActorAfter(wait);
        }
    }

    /** Writes that this machine acts from now on. */
    void recordActorAfter(duration delay)
    {
        m_loop.after(delay, [weak = this->weak_from_this(), token = fencingToken()] {
            const auto self = weak.lock();
            if (!self || !self->isHolder() || self->fencingToken() != token || self->m_lastActor == self->m_node) {
                return;
            }
            store_txn txn;
            txn.compares.push_back(store_compare::unchanged(self->holderKey(), token));
            txn.onSuccess.push_back(store_put{ self->lastActorKey(), self->encodeRecord(), 0 });
            self->m_store.txn(txn, [weak, token](const store_txn_answer &answer) {
                const auto holder = weak.lock();
                if (!holder || holder->fencingToken() != token) {
                    return;
                }
                if (answer.error) {
                    holder->recordActorAfter(holder->m_options.claimJitter);
                } else if (answer.isSucceeded) {
                    holder->m_lastActor = holder->m_node;
                    holder->m_isLastActorRetired = false;
                    holder->m_storedHandover.clear();
                    holder->m_onChange();
                }
            });
        });
    }

    void scheduleClaim(duration delay)
    {
        m_isClaimPending = true;
        m_loop.after(delay, [weak = this->weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->tryClaim();
            }
        });
    }

    void tryClaim()
    {
        m_isClaimPending = false;
        if (!isFree() || m_isRetired) {
            return;
        }
        m_isClaimPending = true;
        m_lease->acquire([weak = this->weak_from_this()](store_lease_id lease) {
            const auto self = weak.lock();
            if (!self) {
                return;
            }
            if (lease == 0) {
                self->scheduleClaim(self->m_options.takeoverInterval / 2);
                return;
            }
            self->claim(lease);
        });
    }

    /** Tells whether nobody has the duty, or an earlier process of this node. */
    bool isFree() const
    {
        return !m_holder || (m_holder->node == m_node && m_holder->incarnation != m_incarnation);
    }

    void claim(store_lease_id lease)
    {
        if (!isFree() || m_isRetired) {
            m_isClaimPending = false; // Another has taken it while the lease was granted.
            return;
        }
        store_txn txn;
        txn.compares.push_back(m_holder ? store_compare::unchanged(holderKey(), m_holder->revision) : store_compare::absent(holderKey()));
        txn.onSuccess.push_back(store_put{ holderKey(), encodeRecord(), lease });
        m_store.txn(txn, [weak = this->weak_from_this(), lease](const store_txn_answer &answer) {
            const auto self = weak.lock();
            if (!self) {
                return;
            }
            self->m_isClaimPending = false;
            if (answer.error) {
                if (answer.error->kind == error_kind::NotFound) {
                    self->m_lease->recordEnded(lease);
                }
                // An answer that was lost is resolved by the mirror, which shows who holds the duty.
                self->scheduleClaim(self->m_options.takeoverInterval / 2);
                return;
            }
            if (answer.isSucceeded) {
                self->m_holder = holder_record{ self->m_node, self->m_incarnation, answer.revision, lease };
                self->reconcile();
            } else {
                self->m_mirror->refresh(); // Somebody has it, and the mirror may have missed that.
            }
        });
    }

    Store &m_store;
    Loop &m_loop;
    std::shared_ptr<node_lease<Store, Loop>> m_lease;
    std::string m_prefix;
    std::string m_duty;
    std::string m_node;
    std::string m_incarnation;
    random_source m_random;
    duty_holder_options m_options;
    std::function<void()> m_onChange;
    std::shared_ptr<prefix_mirror<Store, Loop>> m_mirror;
    std::optional<holder_record> m_holder;
    std::string m_lastActor; ///< Node that may have acted last, as the store says.
    bool m_isLastActorRetired = false; ///< It gave the duty up and is silent since.
    std::string m_storedHandover; ///< What it has left word of.
    std::optional<std::string> m_receivedHandover; ///< The same, at the moment when this node gained the duty.
    time_point m_takeoverWaitEnd;
    bool m_wasHolder = false;
    bool m_isClaimPending = false;
    bool m_isRetired = false;
    bool m_isOwnSuccessor = false;
};

} // namespace reedtrail
