/**
 * @file
 * Parses and checks a caller's HTTP request and turns it into a broker request.
 *
 *     BOOST_LEAF_AUTO(request, readCallerRequest(exchange->request(), *snapshot, customer, now));
 */
#pragma once

#include "gate/fleet_snapshot.h"
#include "gate/request_broker.h"
#include "net/http_message.h"

#include <cstdint>
#include <string>

namespace reedtrail {

/** A caller's request after all checks. */
struct caller_request
{
    broker_request broker; ///< The request for the broker; the gate sets its ids later.
    bool isStream = false; ///< Whether the caller wants the tokens as a stream.
    std::string ticket; ///< Header Reedtrail-Ticket; may be empty.
    std::string idempotencyKey; ///< Header Idempotency-Key; may be empty.
    std::uint32_t attempt = 0; ///< Header Reedtrail-Attempt. The caller raises it to send a request again that was answered "not run".
    std::uint64_t contentHash = 0; ///< Hash of method, target and body; a retry under the same name must have the same.

    /** Returns whether the request has a ticket or an idempotency key: it runs at most once, and a retry gets the same answer. */
    bool isNamed() const
    {
        return !ticket.empty() || !idempotencyKey.empty();
    }
};

/** Parses POST /v1/completions and requests to /svc/POOL/PATH. @return the request, or BadRequest or NotFound */
result<caller_request> readCallerRequest(const http_request &request, const fleet_snapshot &snapshot, const customer_id &customer, time_point now);

/** Returns the hashes of the prompt's prefixes that end at a block boundary, shortest first. */
std::vector<std::uint64_t> prefixHashes(std::string_view prompt);

/** Reads a whole number from header @p name. @return the number, @p fallback without the header, or BadRequest if it is not a number from 0 to @p maximum */
result<std::uint64_t> headerNumber(const http_request &request, std::string_view name, std::uint64_t maximum, std::uint64_t fallback);

} // namespace reedtrail
