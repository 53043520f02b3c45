/**
 * @file
 * Leader election for a duty that one node at a time may perform, with the times that a new holder waits before it acts.
 *
 *     auto duty = std::make_shared<duty_holder<Store, Loop>>(store, loop, lease, "orders", "node-1", "incarnation", seed, options);
 *     duty->start([] { ... the duty was gained or lost ... });
 *     if (duty->mayAct()) { ... act with duty->fencingToken() ... }
 *
 * The holder's key is attached to its node's lease. A holder acts only while the store has confirmed a renewal recently, so it stops soon after its key is
 * gone, whether the lease expired or the key was deleted. The key "last" names the machine that acted last, and a holder writes it before its first act.
 *
 * A new holder on another machine waits until its predecessor has certainly stopped, and then for the takeover interval. It does not wait if it runs on the
 * machine that acted last, or if the predecessor left a handover record of its latest acts; with such a record it must itself keep the takeover interval for
 * each object that was acted on. The fencing token is the store revision at which the holder's key was written.
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

/** Times of a duty_holder. */
struct duty_holder_options
{
    duration maxRenewalAge = std::chrono::milliseconds(1200); ///< The holder acts only if its last confirmed renewal is younger; two renewal intervals.
    duration maxDeliveryTime = std::chrono::milliseconds(600); ///< From the decision to act until the act arrives; the sender abandons a slower one.
    duration takeoverInterval = std::chrono::seconds(3); ///< Minimum time between the acts of two machines.
    duration lastActorHeadStart = std::chrono::milliseconds(700); ///< Other machines claim this much later; a restart of all nodes together is faster.
    duration claimJitter = std::chrono::milliseconds(400); ///< Candidates claim at a random time within it, so that usually just one writes.
};

/** A candidate for one duty, and its holder once it is elected. */
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
        , m_prefix(prefixOf(duty))
        , m_duty(std::move(duty))
        , m_node(std::move(node))
        , m_incarnation(std::move(incarnation))
        , m_random(seed)
        , m_options(options)
    {
    }

    /** Returns the prefix of the store keys of @p duty. */
    static std::string prefixOf(std::string_view duty)
    {
        return "reedtrail/duty/" + std::string(duty) + "/";
    }

    /** Starts to compete. @param onChange called when this node gains or loses the duty, and when it is recorded as the machine that acts */
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
     * Resigns permanently and stops competing.
     * @param handover record of the latest acts for the successor, which then acts at once and keeps the takeover interval itself; empty for none
     * @param done called when the store has answered or the call has failed
     */
    void retire(std::string handover, std::function<void()> done)
    {
        m_isRetired = true;
        if (!isHolder()) {
            done();
            return;
        }
        // This node no longer acts, so its successor waits for the takeover interval only, not until this node has certainly stopped.
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

    /** Tells whether the store names this process as the holder, as far as this process knows. */
    bool isHolder() const
    {
        return m_holder && m_holder->node == m_node && m_holder->incarnation == m_incarnation;
    }
    /** Tells whether this node may act now. Call it before each act. */
    bool mayAct() const
    {
        const time_point now = m_loop.now();
        return isHolder() && m_lastActor == m_node && now >= m_takeoverWaitEnd && m_lease->renewalAge(m_holder->lease, now) < m_options.maxRenewalAge
            && m_lease->validFor(m_holder->lease, now) > duration::zero();
    }
    /** Returns the condition of a write to the store that only the holder may make. */
    store_compare stillHeld() const
    {
        return store_compare::unchanged(holderKey(), fencingToken());
    }
    /** Returns when the wait after the latest takeover ends. */
    time_point takeoverWaitEnd() const
    {
        return m_takeoverWaitEnd;
    }
    /** Returns the handover record of the previous holder, or nothing if it left none. Valid once this node has gained the duty. */
    const std::optional<std::string> &handover() const
    {
        return m_receivedHandover;
    }
    /** Tells whether this machine also acted last before it gained the duty, or no machine had acted before. */
    bool isOwnSuccessor() const
    {
        return m_isOwnSuccessor;
    }
    /** Returns the fencing token of the current holder, whichever node it is; 0 if there is none. */
    std::uint64_t fencingToken() const
    {
        return m_holder ? m_holder->revision : 0;
    }

private:
    /** Value, revision and lease of the holder's key. */
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
    /** Returns the key that names the machine that acted last. */
    std::string lastActorKey() const
    {
        return m_prefix + "last";
    }

    /** Takes the current value of one of the duty's keys. */
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

    /** Returns the value that this process writes to either key. */
    std::string encodeRecord(bool isRetired = false, const std::string &handover = "") const
    {
        std::string bytes;
        nlohmann::json::to_cbor({ { "node", m_node }, { "incarnation", m_incarnation }, { "retired", isRetired }, { "handover", handover } }, bytes);
        return bytes;
    }

    /** Compares with the mirrored state: reports that the duty was gained or lost, and schedules a claim if it is free. */
    void reconcile()
    {
        const bool isNowHolder = isHolder();
        if (isNowHolder != m_wasHolder) {
            m_wasHolder = isNowHolder;
            logLine(log_level::Info,
                    isNowHolder ? "duty-gained" : "duty-lost",
                    { { "duty", m_duty }, { "token", std::to_string(fencingToken()) }, { "last", m_lastActor } });
            if (isNowHolder) {
                beginTakeoverWait();
            }
            m_onChange();
        }
        if (isFree() && !m_isRetired && !m_isClaimPending) {
            // The machine that acted last can act without a wait, so it claims before the others.
            const bool hasHeadStart = m_lastActor.empty() || m_lastActor == m_node;
            scheduleClaim(fromSeconds(m_random.unit() * toSeconds(m_options.claimJitter)) + (hasHeadStart ? duration::zero() : m_options.lastActorHeadStart));
        }
    }

    /** Reads the keys again whenever this node's lease has lapsed while the mirror still names it as the holder. */
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

    /** Sets how long this node waits after it has gained the duty, and records it as the machine that acts once the wait is over. */
    void beginTakeoverWait()
    {
        m_isOwnSuccessor = m_lastActor.empty() || m_lastActor == m_node;
        const duration predecessorStopTime = m_isLastActorRetired ? duration::zero() : m_options.maxRenewalAge;
        m_receivedHandover = m_isLastActorRetired && !m_storedHandover.empty() ? std::optional(m_storedHandover) : std::nullopt;
        const duration wait =
            m_isOwnSuccessor || m_receivedHandover ? duration::zero() : predecessorStopTime + m_options.maxDeliveryTime + m_options.takeoverInterval;
        m_takeoverWaitEnd = std::max(m_takeoverWaitEnd, m_loop.now() + wait);
        if (m_lastActor != m_node) {
            recordActorAfter(wait);
        }
    }

    /** Records after @p delay that this machine is the one that acts; it may act once the store has confirmed this. */
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

    /** Tries to claim the duty after @p delay. */
    void scheduleClaim(duration delay)
    {
        m_isClaimPending = true;
        m_loop.after(delay, [weak = this->weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->tryClaim();
            }
        });
    }

    /** Obtains the lease, then claims the duty if it is still free. */
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

    /** Tells whether the duty has no holder, or its holder is an earlier process of this node. */
    bool isFree() const
    {
        return !m_holder || (m_holder->node == m_node && m_holder->incarnation != m_incarnation);
    }

    /** Writes the holder's key attached to @p lease, if the key has not changed. */
    void claim(store_lease_id lease)
    {
        if (!isFree() || m_isRetired) {
            m_isClaimPending = false; // Another node has claimed the duty while the lease was granted.
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
                // If only the answer was lost, the mirror shows who holds the duty.
                self->scheduleClaim(self->m_options.takeoverInterval / 2);
                return;
            }
            if (answer.isSucceeded) {
                self->m_holder = holder_record{ self->m_node, self->m_incarnation, answer.revision, lease };
                self->reconcile();
            } else {
                self->m_mirror->refresh(); // Another node holds the duty, and the mirror may have missed that.
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
    std::string m_lastActor; ///< Node that may have acted last, according to the store.
    bool m_isLastActorRetired = false; ///< Whether that node has resigned, so that it does not act any more.
    std::string m_storedHandover; ///< The handover record that it left; empty for none.
    std::optional<std::string> m_receivedHandover; ///< The handover record that the store had when this node gained the duty.
    time_point m_takeoverWaitEnd; ///< This node does not act before.
    bool m_wasHolder = false; ///< Result of isHolder() that was last reported.
    bool m_isClaimPending = false;
    bool m_isRetired = false;
    bool m_isOwnSuccessor = false;
};

} // namespace reedtrail
