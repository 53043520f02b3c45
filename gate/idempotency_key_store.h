/**
 * @file
 * Creates the records of idempotency keys in the platform's store, from the traffic thread.
 *
 *     idempotency_key_store claims(client, settings.stores, {});
 *     claims.claim(claim, [](claim_result outcome, const key_record &found) { ... });
 */
#pragma once

#include "fleet/store_json.h"
#include "net/http_client.h"
#include "once/key_records.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace reedtrail {

/** Times of the claims. */
struct idempotency_key_store_options
{
    duration connectTimeout = std::chrono::milliseconds(300);
    duration callTimeout = std::chrono::milliseconds(700);
    std::int64_t recordLifetimeSeconds = 86400; ///< A key is remembered for at least this long less leaseUse.
    duration leaseUse = std::chrono::hours(1); ///< Records share a lease; a new one is taken after this time.
};

/** Prefix of the records in the store. */
inline constexpr std::string_view keyRecordPrefix = "reedtrail/once/";

/** Returns the stored form of @p record. */
std::string encodeKeyRecord(const key_record &record);

/** Reads the stored form. @return the record, or nothing if @p text is none */
std::optional<key_record> decodeKeyRecord(std::string_view text);

/** The claims; they run on the thread of the client. */
class idempotency_key_store
{
public:
    using claim_handler = std::function<void(claim_result outcome, const key_record &found)>;

    idempotency_key_store(http_client &client, std::vector<endpoint> stores, idempotency_key_store_options options);
    ~idempotency_key_store();

    /** Makes a claim. @param onAnswer runs once, never from inside this call unless there is no store */
    void claim(const claim_record &claim, claim_handler onAnswer);

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace reedtrail
