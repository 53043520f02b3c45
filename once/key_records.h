/**
 * @file
 * Idempotency keys that callers choose: a create-if-absent record in the store for each, which names the one gate incarnation that may run the request.
 *
 *     key_records records(issuer, {});
 *     key_records::actions actions;
 *     records.resolve(now, ticketNumber, "customer/hash", actions);             // claim_record: a compare-and-swap; or resolved_key at once
 *     records.onClaimAnswer(now, operation, claim_result::Created, {}, actions);  // resolved_key: Own, Foreign, Spent or Unresolved
 */
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "once/key_resolution.h"
#include "once/ticket.h"

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace reedtrail {

/** The record kept in the store for a key. */
struct key_record
{
    gate_incarnation owner;
    std::uint64_t operation = 0; ///< Number of the claim within the issuer, so that a lost answer is resolved by reading back.
    std::int64_t claimedAt = 0; ///< On the issuer's monotonic clock, in microseconds.
    auto operator<=>(const key_record &) const = default;
};

/** Ask the store to create the record if there is none, and else to return the one there is. */
struct claim_record
{
    std::uint64_t operation = 0;
    std::string key;
    key_record record;
};

/** What the records want done. */
using key_record_action = std::variant<claim_record, resolved_key>;

/** What became of a claim. */
enum class claim_result : std::uint8_t {
    Created,
    Exists, ///< The record that is there is given.
    Failed, ///< The store did not answer, or did not say; the write may have taken effect.
};

/** Bounds of the records. */
struct key_record_options
{
    duration claimTimeout = std::chrono::seconds(2); ///< How long a claim is repeated before its key is unresolved.
    duration initialRetryDelay = std::chrono::milliseconds(50); ///< Doubles with each retry.
    duration claimLifetime = std::chrono::minutes(14); ///< Must be shorter than the table remembers an ended request.
    std::size_t maximumOpenClaims = 20000; ///< Keys being resolved; more are unresolved at once.
};

/** Resolves keys; a pure core. */
class key_records
{
public:
    using store_request = claim_record;
    static constexpr bool hasFixedOwners = true; ///< Who may run a key never changes.
    using actions = std::vector<key_record_action>;

    key_records(gate_incarnation self, key_record_options options);

    /** Resolves @p key for @p request; a key being resolved already is not asked for twice. */
    void resolve(time_point now, std::uint64_t request, const std::string &key, actions &out);
    /** Takes the store's answer. @param found the record that is there, if @p outcome is Exists */
    void onClaimAnswer(time_point now, std::uint64_t operation, claim_result outcome, const key_record &found, actions &out);
    /** Repeats claims that are due. */
    void onTimer(time_point now, actions &out);
    /** Returns when onTimer() must be called next. */
    time_point nextDeadline() const;
    /** Returns how many store calls were asked for. */
    std::uint64_t storeCalls() const
    {
        return m_storeCalls;
    }
    nlohmann::json dump() const;

private:
    struct open_claim
    {
        std::string key;
        key_record record;
        std::vector<std::uint64_t> requests;
        time_point giveUpAt;
        duration retryDelay{};
        time_point retryAt = timeNever; ///< timeNever while an answer is awaited.
    };
    void finish(std::uint64_t operation, key_resolution resolution, const gate_incarnation &owner, actions &out);
    void send(open_claim &claim, actions &out);

    gate_incarnation m_self;
    key_record_options m_options;
    std::uint64_t m_lastOperation = 0;
    std::uint64_t m_storeCalls = 0;
    std::map<std::uint64_t, open_claim> m_claims;
    std::unordered_map<std::string, std::uint64_t> m_claimByKey;
};

/** Returns the key's name in the store: the customer, and a hash of the key that the caller chose. */
std::string keyRecordName(const customer_id &customer, std::string_view idempotencyKey);

} // namespace reedtrail
