/**
 * @file
 * Idempotency keys by ranges: each range of key hashes is owned by one gate incarnation under its lease in the store, which alone runs its requests.
 *
 *     key_ranges ranges(issuer, {});
 *     ranges.onLease(validUntil);                              // at each renewal, counted from when it was asked for
 *     ranges.onOwner(now, range, owner);                        // from the watch
 *     ranges.resolve(now, request, "customer/hash", actions);   // resolved_key at once
 *     ranges.onTimer(now, actions);                             // acquire_range: a compare-and-swap on a range without owner
 *
 * Built to be measured against key_records, which the gate uses; see docs/design/at-most-once.md.
 */
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "once/key_resolution.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace reedtrail {

/** Ask the store to make this incarnation the owner of a range that has none, under its lease. */
struct acquire_range
{
    std::size_t range = 0;
    gate_incarnation owner;
};

/** What the ranges want done. */
using key_range_action = std::variant<acquire_range, resolved_key>;

/** Times and numbers of ranges. */
struct key_range_options
{
    std::size_t rangeCount = 64;
    duration leaseMargin = std::chrono::seconds(1); ///< Nothing is run in the last part of a lease.
    duration takeoverQuarantine = std::chrono::seconds(60); ///< After a takeover: as long as callers may repeat a key that the owner before has run.
    duration retryDelay = std::chrono::milliseconds(500);
    duration acquireSpread = std::chrono::seconds(1); ///< Gates try to take a free range at times that differ by up to this, so that they share them.
};

/** Resolves keys by their range; a pure core. */
class key_ranges
{
public:
    using store_request = acquire_range;
    static constexpr bool hasFixedOwners = false;
    using actions = std::vector<key_range_action>;

    key_ranges(gate_incarnation self, key_range_options options);

    /** Notes until when this incarnation's lease certainly holds. */
    void onLease(time_point validUntil)
    {
        m_leaseUntil = validUntil;
    }
    /** Notes who owns a range; nobody if @p owner is nothing. @param wasOwnedBefore whether the range ever had another owner */
    void onOwner(time_point now, std::size_t range, std::optional<gate_incarnation> owner, bool wasOwnedBefore);
    /** Resolves @p key for @p request. */
    void resolve(time_point now, std::uint64_t request, const std::string &key, actions &out);
    /** Takes ranges that have no owner. */
    void onTimer(time_point now, actions &out);
    /** Returns when onTimer() must be called next. */
    time_point nextDeadline() const;

private:
    struct range_state
    {
        std::optional<gate_incarnation> owner;
        time_point quarantineUntil;
        time_point nextAttemptAt;
        bool isKnown = false;
    };
    gate_incarnation m_self;
    key_range_options m_options;
    time_point m_leaseUntil;
    std::vector<range_state> m_ranges;
};

} // namespace reedtrail
