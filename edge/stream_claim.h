/**
 * @file
 * Finds out what began a stream that a caller takes up, and whether it is certain that the stream is this caller's.
 *
 *     std::make_shared<stream_claim>(context, fleet, origins, claimed)->judge([](const claim_verdict &verdict) {
 *         if (verdict.origin) { ... goes on at a server of verdict.origin->build ... }
 *     });
 */
#pragma once

#include "edge/edge_context.h"
#include "edge/fleet_cache.h"
#include "edge/stream_origins.h"
#include "platform/caller_wire.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace reedtrail {

/** The stream that a caller takes up. */
struct claimed_stream
{
    route matchedRoute;
    platform::service_call call;
    std::string service; ///< Where a new stream of this request would begin.
    std::uint64_t request = 0; ///< Digest of the caller's request, as request_identity::digest.
    duration maximumAge{}; ///< Longest time that a stream of the route lasts.
};

/** What is known of the begin of a claimed stream. */
struct claim_verdict
{
    std::optional<stream_origin> origin; ///< Proven, and of this caller's request; nothing if that is not certain.
    duration retryAfter{}; ///< When the origin may become certain; zero if there is no such time.
};

/** Judges one claim. The object keeps itself alive until it has called its handler. */
class stream_claim : public std::enable_shared_from_this<stream_claim>
{
public:
    using handler = std::function<void(const claim_verdict &)>;

    stream_claim(edge_context &context, fleet_cache &fleet, stream_origins &origins, claimed_stream claimed);

    /** @param onEnd called once, also from inside this call */
    void judge(handler onEnd);

private:
    void judgeOrigin(const found_origin &found);
    void end(const found_origin &found, const char *obstacle, duration retryAfter = duration::zero());

    edge_context &m_context;
    fleet_cache &m_fleet;
    stream_origins &m_origins;
    claimed_stream m_claimed;
    time_point m_claimedAt;
    handler m_onEnd;
};

} // namespace reedtrail
