/**
 * @file
 * Creates the records of idempotency keys in the platform's store.
 *
 *     idempotency_key_store keyStore(client, settings.stores, {});
 *     keyStore.claim(claim, [](claim_result outcome, const key_record &found) { ... });
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

/** Timeouts and lifetimes of the key records. */
struct idempotency_key_store_options
{
    duration connectTimeout = std::chrono::milliseconds(300);
    duration callTimeout = std::chrono::milliseconds(700);
    std::int64_t recordLifetimeSeconds = 86400; ///< TTL of the lease. A record lives at least this long minus leaseReusePeriod.
    duration leaseReusePeriod = std::chrono::hours(1); ///< New records share a lease until it reaches this age; then a new lease is granted.
};

/** Key prefix of the records in the store. */
inline constexpr std::string_view keyRecordPrefix = "reedtrail/once/";

/** Returns the stored form of @p record. */
std::string encodeKeyRecord(const key_record &record);

/** Parses the stored form. @return the record, or nothing if @p text is not a valid record */
std::optional<key_record> decodeKeyRecord(std::string_view text);

/** Client for the key records; it runs on the thread of the HTTP client. */
class idempotency_key_store
{
public:
    using claim_handler = std::function<void(claim_result outcome, const key_record &found)>;

    idempotency_key_store(http_client &client, std::vector<endpoint> stores, idempotency_key_store_options options);
    ~idempotency_key_store();

    /** Creates the record of @p claim if its key has none. @param onAnswer runs once; runs inside this call only if no store is configured */
    void claim(const claim_record &claim, claim_handler onAnswer);

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace reedtrail
