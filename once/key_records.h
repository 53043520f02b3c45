/**
 * @file
 * Resolves idempotency keys that callers choose. The store holds one create-if-absent record per key, which names the only gate incarnation that may run the
 * request.
 *
 *     key_records records(self, {});
 *     key_records::actions actions;
 *     records.resolve(now, request, "customer/hash", actions);                    // appends claim_record, or resolved_key if no claim can be made
 *     records.onClaimAnswer(now, operation, claim_result::Created, {}, actions);  // appends resolved_key: Own, Foreign, Expired or Unresolved
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

/** The record that the store holds for a key. It never changes once created. */
struct key_record
{
    gate_incarnation owner;
    std::uint64_t operation = 0; ///< Number of the claim within its owner. An owner whose answer was lost finds its own claim by it.
    std::int64_t claimedAt = 0; ///< Time of the claim on the owner's monotonic clock, in microseconds.
    auto operator<=>(const key_record &) const = default;
};

/** Action: create the record in the store if the key has none, else return the existing record. */
struct claim_record
{
    std::uint64_t operation = 0;
    std::string key;
    key_record record;
};

/** An action that key_records asks its caller to carry out. */
using key_record_action = std::variant<claim_record, resolved_key>;

/** Result of a claim. */
enum class claim_result : std::uint8_t {
    Created,
    Exists, ///< The key had a record, which is returned.
    Failed, ///< The store gave no answer or an ambiguous one; the write may have taken effect.
};

/** Options of key_records. */
struct key_record_options
{
    duration claimTimeout = std::chrono::seconds(2); ///< A claim is retried for this long; after that its key is Unresolved.
    duration initialRetryDelay = std::chrono::milliseconds(50); ///< Delay before the first retry; it doubles with each further retry.
    duration claimLifetime = std::chrono::minutes(14); ///< Must be shorter than deduplication_options::entryLifetime.
    std::size_t maximumOpenClaims = 20000; ///< Limit of claims in flight; a key beyond it is Unresolved immediately.
};

/** Resolves keys by records in the store. The class does no input or output: it takes events and returns actions. */
class key_records
{
public:
    using store_request = claim_record;
    static constexpr bool hasFixedOwners = true; ///< The owner of a key never changes.
    using actions = std::vector<key_record_action>;

    key_records(gate_incarnation self, key_record_options options);

    /** Finds out who may run @p request with @p key. Requests with the same key share one claim. */
    void resolve(time_point now, std::uint64_t request, const std::string &key, actions &out);
    /** Handles the store's answer to a claim. @param found the existing record, if @p outcome is Exists */
    void onClaimAnswer(time_point now, std::uint64_t operation, claim_result outcome, const key_record &found, actions &out);
    /** Retries the claims whose delay has passed. */
    void onTimer(time_point now, actions &out);
    /** Returns when onTimer() must be called next. */
    time_point nextDeadline() const;
    /** Returns how many store calls were requested so far. */
    std::uint64_t storeCalls() const
    {
        return m_storeCalls;
    }
    /** Returns the counters for the admin dump. */
    nlohmann::json dump() const;

private:
    struct open_claim
    {
        std::string key;
        key_record record;
        std::vector<std::uint64_t> requests;
        time_point giveUpAt;
        duration retryDelay{};
        time_point retryAt = timeNever; ///< timeNever while a call to the store is in flight.
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

/** Returns the name under which a key is stored: the customer and a 128-bit hash of the key that the caller chose. */
std::string keyRecordName(const customer_id &customer, std::string_view idempotencyKey);

} // namespace reedtrail
