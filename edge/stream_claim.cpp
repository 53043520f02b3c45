#include "edge/stream_claim.h"

#include "kernel/log.h"

#include <algorithm>

namespace reedtrail {
namespace {

constexpr duration retryAfterWithoutProof = std::chrono::milliseconds(300); // While the store can't be read; callers give up after two seconds.

} // namespace

stream_claim::stream_claim(edge_context &context, fleet_cache &fleet, stream_origins &origins, claimed_stream claimed)
    : m_context(context)
    , m_fleet(fleet)
    , m_origins(origins)
    , m_claimed(std::move(claimed))
    , m_claimedAt(context.loop.now())
{
}

void stream_claim::judge(handler onEnd)
{
    m_onEnd = std::move(onEnd);
    m_origins.find(m_claimed.call.resumedRequest, m_claimed.service, m_claimed.maximumAge, [self = shared_from_this()](const found_origin &found) {
        self->judgeOrigin(found);
    });
}

/** Decides whether what is known of the stream's begin is certain, and is that of this caller's request. */
void stream_claim::judgeOrigin(const found_origin &found)
{
    const stream_origin &origin = found.origin;
    if (found.source == origin_source::Unknown) {
        end(found, "unknown");
        return;
    }
    if (found.source == origin_source::SoleBuild) {
        // Registrations read from now on show each server at which the stream may have begun.
        m_fleet.readServersAgain([self = shared_from_this(), found] {
            const bool isOnlyService = self->m_claimed.matchedRoute.services.size() == 1;
            const bool isCertain = isOnlyService && self->m_origins.isSoleBuildStill(found.origin, self->m_claimedAt);
            const bool isRead = self->m_fleet.haveServersBeenReadSince(self->m_claimedAt);
            const char *obstacle = isRead ? "several builds" : "the store does not tell which builds serve";
            self->end(found, isCertain ? nullptr : obstacle, isRead ? duration::zero() : retryAfterWithoutProof);
        });
        return;
    }
    const bool isRouted = std::ranges::any_of(m_claimed.matchedRoute.services, [&](const weighted_service &each) {
        return each.service == origin.service;
    });
    if (origin.request != m_claimed.request || !isRouted) {
        end(found, isRouted ? "other request" : "other service");
    } else if (origin.build.empty()) {
        end(found, "begun by unknown build");
    } else if (origin.isProven) {
        end(found, nullptr);
    } else {
        m_fleet.proveContact({ origin.server, origin.startedAt, found.connectedAt }, [self = shared_from_this(), found](contact_proof proof) {
            if (proof == contact_proof::Pending) {
                self->end(found, "the store does not tell which instance began it", retryAfterWithoutProof);
                return;
            }
            self->end(found, proof == contact_proof::Certain ? nullptr : "begun by unproven instance");
        });
    }
}

/**
 * Ends the search.
 * @param obstacle why the stream's begin is not certain; null if it is
 * @param retryAfter when it may become certain; zero if there is no such time
 */
void stream_claim::end(const found_origin &found, const char *obstacle, duration retryAfter)
{
    const std::string source(originSourceName(found.source));
    logLine(log_level::Info,
            "stream-taken-up",
            { { "request", m_claimed.call.id },
              { "resumes", m_claimed.call.resumedRequest },
              { "after-event", m_claimed.call.lastEventId },
              { "source", source },
              { "from", found.node },
              { "build", found.origin.build },
              { "begun-at", found.origin.server },
              { "obstacle", obstacle == nullptr ? "" : obstacle } });
    m_context.metrics
        .counter("reedtrail_streams_taken_up_total",
                 "Streams that callers take up, by what is known of their begin",
                 "source=\"" + source + "\",known=\"" + (obstacle == nullptr ? "yes" : "no") + "\"")
        .add();
    claim_verdict verdict;
    if (obstacle == nullptr) {
        verdict.origin = found.origin;
        verdict.origin->request = m_claimed.request;
        verdict.origin->isProven = true;
    } else {
        verdict.retryAfter = retryAfter;
    }
    std::exchange(m_onEnd, nullptr)(verdict);
}

} // namespace reedtrail
