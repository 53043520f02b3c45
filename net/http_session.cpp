#include "net/http_session.h"

namespace reedtrail::detail {

std::shared_ptr<http_session> session_exchange::current() const
{
    std::shared_ptr<http_session> session = m_session.lock();
    return session && session->isCurrent(m_number) ? session : nullptr;
}

session_exchange::~session_exchange()
{
    if (!m_isAnswered) {
        respond(jsonResponse(answerFor(error_kind::Internal).httpStatus, R"({"error":"internal"})"));
    } else if (m_isStreaming) {
        abort();
    }
}

void session_exchange::respond(http_response response)
{
    if (!beginAnswer()) {
        return;
    }
    if (const auto session = current()) {
        session->respond(std::move(response));
    }
}

/**
 * Tells whether the exchange may be answered. A second answer must not reach the caller, who would take its bytes for a part of the first one; a stream that it
 * interrupts is broken off.
 */
bool session_exchange::beginAnswer()
{
    REEDTRAIL_CHECK(!m_isAnswered, "an exchange must be answered only once");
    if (std::exchange(m_isAnswered, true)) {
        logLine(log_level::Error, "second-answer-dropped", { { "target", m_request.target }, { "broke-stream", m_isStreaming ? "yes" : "no" } });
        if (m_isStreaming) {
            abort();
        }
        return false;
    }
    return true;
}

void session_exchange::startStream(http_response head)
{
    if (!beginAnswer()) {
        return;
    }
    m_isStreaming = true;
    if (const auto session = current()) {
        session->startStream(head);
    }
}

void session_exchange::write(std::string data)
{
    if (const auto session = current()) {
        session->write(data);
    }
}

void session_exchange::finishStream()
{
    m_isStreaming = false;
    if (const auto session = current()) {
        session->finishStream();
    }
}

void session_exchange::abort()
{
    m_isAnswered = true;
    m_isStreaming = false;
    if (const auto session = current()) {
        session->close();
    }
}

void session_exchange::onGone(std::function<void()> action)
{
    if (const auto session = current()) {
        session->disconnectAction = std::move(action);
    }
}

bool session_exchange::isGone() const
{
    return current() == nullptr;
}

} // namespace reedtrail::detail
