/**
 * @file
 * The store lease that all duties of this node share. Their keys are attached to it, so the store deletes all of them when the node fails.
 *
 *     auto lease = std::make_shared<node_lease<Store, Loop>>(store, loop, node_lease_options{});
 *     lease->acquire([&](store_lease_id id) { if (id != 0) { ... write a key attached to the lease ... } });
 *     lease->validFor(id, loop.now())  // lower bound of the lease's remaining time; check it before an action that must not outlive the lease
 *
 * The lease is granted when it is first needed, and renewed while the renewal condition holds. Its expiry is computed from the moment at which a renewal was
 * sent, not from its answer, so the store keeps the lease at least as long as this node relies on it.
 */
#pragma once

#include "fleet/event_loop.h"
#include "fleet/store_types.h"

#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace reedtrail {

/** Times of a node_lease. */
struct node_lease_options
{
    std::int64_t ttlSeconds = 2; ///< Work of a failed node pauses for this long; a shorter lease would lapse when the store is slow.
    duration renewalInterval = std::chrono::milliseconds(600); ///< Allows three attempts within the time to live.
    duration clockMargin = std::chrono::milliseconds(100); ///< Subtracted from the expiry because clocks drift: 5 % of the time to live.
};

/** A lease that is granted on demand and renewed in the background. */
template<store_client Store, event_loop Loop>
class node_lease : public std::enable_shared_from_this<node_lease<Store, Loop>>
{
public:
    node_lease(Store &store, Loop &loop, node_lease_options options)
        : m_store(store)
        , m_loop(loop)
        , m_options(options)
    {
    }

    /** Obtains a valid lease. @param done called with the id of the lease, or 0 if the store did not grant one; possibly from inside this call */
    void acquire(std::function<void(store_lease_id)> done)
    {
        if (validFor(m_lease, m_loop.now()) > duration::zero()) {
            done(m_lease);
            return;
        }
        m_waiting.push_back(std::move(done));
        if (!m_isGranting) {
            grant();
        }
    }

    /**
     * Returns a lower bound of the time that @p lease has left at @p now; zero or less if it may have lapsed or is not the current one. A key stays attached to
     * the lease that it was written with, so pass that lease: it may have lapsed and been replaced since.
     */
    duration validFor(store_lease_id lease, time_point now) const
    {
        return lease == 0 || lease != m_lease ? duration::zero() : m_validUntil - now;
    }

    /** Returns the time since the last confirmed grant or renewal of @p lease was sent; the maximum if @p lease is not the current one. */
    duration renewalAge(store_lease_id lease, time_point now) const
    {
        return lease == 0 || lease != m_lease ? duration::max() : now - m_confirmedAt;
    }

    /** Forgets @p lease after the store has rejected a write because the lease does not exist any more. */
    void recordEnded(store_lease_id lease)
    {
        if (lease == m_lease) {
            m_lease = 0;
        }
    }

    /** Sets the condition under which the lease is renewed. It is checked before each renewal; once it is false, the lease lapses. */
    void setRenewalCondition(std::function<bool()> shouldRenew)
    {
        m_shouldRenew = std::move(shouldRenew);
    }

private:
    void grant()
    {
        m_isGranting = true;
        const time_point sentAt = m_loop.now();
        m_store.grant({ m_options.ttlSeconds }, [weak = this->weak_from_this(), sentAt](const store_lease_answer &answer) {
            if (const auto self = weak.lock()) {
                self->granted(sentAt, answer);
            }
        });
    }

    void granted(time_point sentAt, const store_lease_answer &answer)
    {
        m_isGranting = false;
        if (!answer.error) {
            m_lease = answer.lease;
            recordRenewal(sentAt, answer.ttlSeconds);
            scheduleRenewal();
        }
        for (const auto &done : std::exchange(m_waiting, {})) {
            done(answer.error ? 0 : m_lease);
        }
    }

    void recordRenewal(time_point sentAt, std::int64_t ttlSeconds)
    {
        m_confirmedAt = sentAt;
        m_validUntil = sentAt + std::chrono::seconds(ttlSeconds) - m_options.clockMargin;
    }

    void scheduleRenewal()
    {
        m_loop.after(m_options.renewalInterval, [weak = this->weak_from_this(), lease = m_lease] {
            const auto self = weak.lock();
            if (self && self->m_lease == lease && lease != 0) {
                self->renew();
            }
        });
    }

    void renew()
    {
        if (m_shouldRenew && !m_shouldRenew()) {
            m_lease = 0;
            return;
        }
        const time_point sentAt = m_loop.now();
        m_store.keepAlive({ m_lease }, [weak = this->weak_from_this(), sentAt, lease = m_lease](const store_lease_answer &answer) {
            const auto self = weak.lock();
            if (!self || self->m_lease != lease) {
                return;
            }
            if (!answer.error) {
                self->recordRenewal(sentAt, self->m_options.ttlSeconds);
            } else if (answer.error->kind == error_kind::NotFound) {
                self->m_lease = 0;
            }
        });
        scheduleRenewal();
    }

    Store &m_store;
    Loop &m_loop;
    node_lease_options m_options;
    store_lease_id m_lease = 0;
    time_point m_validUntil;
    time_point m_confirmedAt;
    bool m_isGranting = false;
    std::vector<std::function<void(store_lease_id)>> m_waiting;
    std::function<bool()> m_shouldRenew;
};

} // namespace reedtrail
