/**
 * @file
 * The one lease of this node in the store: its duties are keys under it, so they all come free together when the node is lost.
 *
 *     node_lease lease(store, loop, {});
 *     lease.acquire([&](store_lease_id id) { if (id != 0) { ... write a key under it ... } });
 *     lease.validFor(id, loop.now())  // how long that lease certainly still runs; what must not outlive it is checked against this
 *
 * The lease is granted when it is first needed and renewed as long as any duty asks for it. Its end is reckoned from the moment a renewal was sent, never from
 * its answer, so the store keeps it at least as long as this node believes.
 */
#pragma once

#include "fleet/event_loop.h"
#include "fleet/store_types.h"

#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace reedtrail {

/** Times of the lease. */
struct node_lease_options
{
    std::int64_t ttlSeconds = 2; ///< A lost node's work stands still this long; shorter leases lapse when the store is slow.
    duration renewalInterval = std::chrono::milliseconds(600); ///< Three tries within the life of the lease.
    duration clockMargin = std::chrono::milliseconds(100); ///< Taken off for clocks that run at different rates: 5 % of the lease.
};

/** The lease. */
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

    /** Asks for a valid lease. @param done called with its id, or 0 if the store gave none */
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
     * Returns how long @p lease certainly still runs at @p now; zero or less if this node does not have it any more. A key stands under the lease that it was
     * written with, which may have lapsed and been followed by another.
     */
    duration validFor(store_lease_id lease, time_point now) const
    {
        return lease == 0 || lease != m_lease ? duration::zero() : m_validUntil - now;
    }

    /** Returns how long ago the newest renewal of @p lease that the store has confirmed was sent. */
    duration renewalAge(store_lease_id lease, time_point now) const
    {
        return lease == 0 || lease != m_lease ? duration::max() : now - m_confirmedAt;
    }

    /** Says that a write found the lease ended. */
    void recordEnded(store_lease_id lease)
    {
        if (lease == m_lease) {
            m_lease = 0;
        }
    }

    /** Sets what tells whether any duty still needs the lease; without a need it is left to lapse. */
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
