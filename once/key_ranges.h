/**
 * @file
 * Assigns idempotency keys to gates by hash range. One gate incarnation owns a range under a lease in the store; only the owner may run a request whose key
 * falls into that range.
 *
 *     key_ranges ranges(self, {});
 *     ranges.onLease(validUntil);                               // at each renewal; the validity counts from when the renewal was sent
 *     ranges.onOwner(now, range, owner, wasOwnedBefore);        // for each update from the watch
 *     ranges.resolve(now, request, "customer/hash", actions);   // appends a resolved_key immediately
 *     ranges.onTimer(now, actions);                             // appends acquire_range: a compare-and-swap on a range without owner
 *
 * The gate uses key_records. This class exists for comparison in benchmarks; see docs/design/at-most-once.md.
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

/** Action: make this incarnation the owner of a range that has no owner, under its lease in the store. */
struct acquire_range
{
    std::size_t range = 0;
    gate_incarnation owner;
};

/** An action that key_ranges asks its caller to carry out. */
using key_range_action = std::variant<acquire_range, resolved_key>;

/** Options of key_ranges. */
struct key_range_options
{
    std::size_t rangeCount = 64;
    duration leaseMargin = std::chrono::seconds(1); ///< No request is run when less than this is left of the lease.
    /** Time after a takeover in which no key is run. It must cover how long callers retry a key that the previous owner may have run. */
    duration takeoverQuarantine = std::chrono::seconds(60);
    duration retryDelay = std::chrono::milliseconds(500); ///< Delay between two attempts to acquire the same range.
    /** Each gate delays its first attempt at a free range by up to this, in an order that differs per range, so that the gates share the ranges. */
    duration acquireSpread = std::chrono::seconds(1);
};

/** Resolves keys by range. The class does no input or output: it takes events and returns actions. */
class key_ranges
{
public:
    using store_request = acquire_range;
    static constexpr bool hasFixedOwners = false;
    using actions = std::vector<key_range_action>;

    key_ranges(gate_incarnation self, key_range_options options);

    /** Sets the time until which this incarnation's lease is certain to be valid. */
    void onLease(time_point validUntil)
    {
        m_leaseUntil = validUntil;
    }
    /** Updates the owner of a range. @param owner empty if the range has none @param wasOwnedBefore whether the range ever had another owner */
    void onOwner(time_point now, std::size_t range, std::optional<gate_incarnation> owner, bool wasOwnedBefore);
    /** Finds out who may run @p request with @p key and appends a resolved_key. */
    void resolve(time_point now, std::uint64_t request, const std::string &key, actions &out);
    /** Appends an acquire_range for each range without owner whose next attempt is due. */
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
