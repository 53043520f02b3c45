#include "edge/suspect_request.h"

#include "kernel/log.h"

#include <utility>

namespace reedtrail {

suspect_request::suspect_request(crash_guard &crashes, const std::shared_ptr<http_exchange> &exchange, std::string id)
    : m_crashes(crashes)
    , m_exchange(exchange)
    , m_id(std::move(id))
{
    const http_request &request = m_exchange->request();
    m_outline = outlineOf(request.method, request.fields.get("Host"), request.target, request.body);
}

const request_identity &suspect_request::identity()
{
    if (!m_identity) {
        m_identity = identify(m_outline, m_exchange->request().body);
    }
    return *m_identity;
}

bool suspect_request::isSuspect()
{
    return m_crashes.mayBeSuspect(m_outline) && m_crashes.isSuspect(identity());
}

void suspect_request::askForGrant(std::function<void(const crash_grant &)> onEnd)
{
    releaseGrant();
    m_asker = m_crashes.admit(identity(), m_id, [this, onEnd = std::move(onEnd)](const crash_grant &grant) {
        m_hasGrant = grant.isGranted;
        if (!grant.isGranted) {
            m_asker.clear();
        }
        onEnd(grant);
    });
}

void suspect_request::onSurvived(const backend_choice &server)
{
    if (isSuspect()) {
        m_asker.clear();
        m_crashes.onSurvived(identity(), m_id, server);
    }
}

void suspect_request::onBroken(const unanswered_attempt &attempt, const char *reason, std::function<void()> next)
{
    log(attempt, reason);
    m_crashes.onBroken(identity(), m_id, attempt.server, attempt.mayCount, [this, next = std::move(next)](bool isRecorded) {
        if (isRecorded) {
            m_asker.clear();
        }
        next();
    });
}

void suspect_request::onUnanswered(const unanswered_attempt &attempt, const char *reason, duration quietFor, const std::function<void()> &next)
{
    log(attempt, reason);
    if (m_asker.empty()) {
        m_crashes.onUnanswered(identity(), m_id, attempt.server, attempt.mayCount, quietFor, [](bool) {});
        next();
        return;
    }
    m_crashes.onUnanswered(identity(), m_id, attempt.server, attempt.mayCount, quietFor, [this, next](bool isRecorded) {
        if (isRecorded) {
            m_asker.clear();
        }
        next();
    });
}

void suspect_request::onAbandoned(const unanswered_attempt &attempt, const char *reason, duration quietFor)
{
    log(attempt, reason);
    m_crashes.onUnanswered(identity(), m_id, attempt.server, attempt.mayCount, quietFor, [](bool) {});
}

void suspect_request::releaseGrant()
{
    if (const std::string asker = std::exchange(m_asker, {}); !asker.empty()) {
        m_crashes.release(identity(), asker);
    }
}

void suspect_request::log(const unanswered_attempt &attempt, const char *reason)
{
    logLine(log_level::Info,
            "attempt-broken",
            { { "request", m_id },
              { "digest", identity().text() },
              { "server", attempt.server.id },
              { "reason", reason },
              { "others", std::to_string(attempt.others) },
              { "after-ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(attempt.elapsed).count()) } });
}

} // namespace reedtrail
