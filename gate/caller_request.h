/**
 * @file
 * Reads a caller's HTTP request into what the broker takes, or into one clear error.
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

/** A caller's request, checked. */
struct caller_request
{
    broker_request broker; ///< Without ids, which the gate gives.
    bool isStream = false; ///< Whether the caller wants tokens as they come.
    std::string ticket; ///< Of header Reedtrail-Ticket.
    std::string idempotencyKey; ///< Of header Idempotency-Key.
    std::uint32_t attempt = 0; ///< Of header Reedtrail-Attempt: raised by the caller to send again what was refused as not run.
    std::uint64_t contentHash = 0; ///< Of method, target and body: a repeat must be the same request.

    /** Tells whether the caller named this request, so that it can send it again and find the answer. */
    bool isNamed() const
    {
        return !ticket.empty() || !idempotencyKey.empty();
    }
};

/** Reads POST /v1/completions and /svc/POOL/PATH. @return the request, or BadRequest, NotFound */
result<caller_request> readCallerRequest(const http_request &request, const fleet_snapshot &snapshot, const customer_id &customer, time_point now);

/** Returns the hashes of the prompt's prefix blocks, longest last. */
std::vector<std::uint64_t> prefixHashes(std::string_view prompt);

/** Returns the whole number in header @p name, or @p fallback if it is missing. @return BadRequest if it is no number from 0 to @p maximum */
result<std::uint64_t> headerNumber(const http_request &request, std::string_view name, std::uint64_t maximum, std::uint64_t fallback);

} // namespace reedtrail
