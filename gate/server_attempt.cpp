// A plain service's answer is gathered whole before anything of it is passed on, so a response that breaks off halfway is a failure and not half an answer.
// A model engine's tokens are passed on as they come. When its connection breaks or gives no byte for the silence timeout, the stream is asked for again
// from the offset reached, on a new connection: the old one is closed first, so its late bytes reach nobody. A resume that brings no token counts against
// maximumResumes; one that does starts the count over.
// Responses 502, 503 and 504 stand for the server not serving; all other statuses are the server's answer. Only a 503 with Reedtrail-Not-Started: 1 says
// that nothing ran.

#include "gate/server_attempt.h"

#include "base/check.h"

#include <boost/asio/steady_timer.hpp>

namespace reedtrail {
namespace {

constexpr std::uint16_t statusOk = 200;

bool standsForFailure(std::uint16_t status)
{
    return status == 502 || status == 503 || status == 504;
}

bool saysNotStarted(const http_response &response)
{
    return response.status == 503 && response.fields.get(notStartedHeader) == "1";
}

/** Returns how an attempt ended whose call failed before it was answered. */
attempt_report reportOf(const http_call_end &end)
{
    attempt_report report;
    report.error = end.error;
    report.detail = end.detail;
    if (!end.isHandedOver) {
        report.end = attempt_end::NotStarted;
    } else if (end.error == error_kind::ServerSilent) {
        report.end = attempt_end::Silent;
    } else {
        report.end = attempt_end::Failed;
    }
    return report;
}

/** Returns how an attempt ended that got a whole response. */
attempt_report reportOf(const http_response &response)
{
    attempt_report report;
    report.response = response;
    if (saysNotStarted(response)) {
        report.end = attempt_end::NotStarted;
        report.error = error_kind::ServerRefused;
        report.detail = "the server did not start the request";
    } else if (standsForFailure(response.status)) {
        report.end = attempt_end::Failed;
        report.error = error_kind::ServerFailed;
        report.detail = "the server answered " + std::to_string(response.status);
    } else {
        report.end = attempt_end::Answered;
    }
    return report;
}

class service_attempt : public server_attempt, public std::enable_shared_from_this<service_attempt>
{
public:
    explicit service_attempt(attempt_handlers handlers)
        : m_handlers(std::move(handlers))
    {
    }

    void begin(http_client &client, const server_target &target, http_request request, const attempt_options &options)
    {
        const http_call_options limits{ options.connectTimeout, target.silenceTimeout, options.deadline };
        m_call = client.call(target.address, std::move(request), limits, [self = shared_from_this()](const http_call_end &end, const http_response &response) {
            self->finish(end.error == error_kind::None ? reportOf(response) : reportOf(end));
        });
    }

    void cancel() override
    {
        m_handlers = {};
        if (m_call) {
            m_call->cancel();
        }
    }

private:
    void finish(attempt_report report)
    {
        const attempt_handlers handlers = std::exchange(m_handlers, {});
        if (handlers.onEnd) {
            handlers.onEnd(std::move(report));
        }
    }

    attempt_handlers m_handlers;
    std::shared_ptr<http_call> m_call;
};

class completion_attempt : public server_attempt, public std::enable_shared_from_this<completion_attempt>
{
public:
    completion_attempt(
        boost::asio::io_context &io, http_client &client, server_target target, std::string engineId, const attempt_options &options, attempt_handlers handlers)
        : m_client(client)
        , m_target(std::move(target))
        , m_engineId(std::move(engineId))
        , m_options(options)
        , m_handlers(std::move(handlers))
        , m_resumeTimer(io)
        , m_deadline(std::chrono::steady_clock::now() + options.deadline)
    {
    }

    void begin(http_request request)
    {
        send(std::move(request));
    }

    void cancel() override
    {
        const bool isOpen = m_handlers.onEnd != nullptr;
        m_handlers = {};
        m_resumeTimer.cancel();
        ++m_connection;
        if (m_call) {
            m_call->cancel();
        }
        if (isOpen) {
            tellEngine();
        }
    }

private:
    duration remaining() const
    {
        const auto left = std::chrono::duration_cast<duration>(m_deadline - std::chrono::steady_clock::now());
        return std::max(left, duration(1));
    }

    /** Sends over a connection of its own; what an earlier connection still brings is not looked at. */
    void send(http_request request)
    {
        const std::uint64_t connection = ++m_connection;
        m_head = {};
        m_errorBody.clear();
        const http_call_options limits{ m_options.connectTimeout, m_target.silenceTimeout, remaining() };
        http_call_handlers handlers;
        handlers.onHead = [self = shared_from_this(), connection](const http_response &head) {
            if (connection == self->m_connection) {
                self->m_head = head;
            }
        };
        handlers.onBody = [self = shared_from_this(), connection](std::string_view part) {
            if (connection == self->m_connection) {
                self->takeBody(part);
            }
        };
        handlers.onEnd = [self = shared_from_this(), connection](const http_call_end &end) {
            if (connection == self->m_connection) {
                self->callEnded(end);
            }
        };
        m_call = m_client.start(m_target.address, std::move(request), limits, std::move(handlers));
    }

    void takeBody(std::string_view part)
    {
        if (m_head.status != statusOk) {
            m_errorBody.append(part.substr(0, maximumEventBytes - std::min(maximumEventBytes, m_errorBody.size())));
            return;
        }
        const auto keepAlive = shared_from_this(); // a handler may drop this attempt
        for (const completion_chunk &chunk : m_stream.feed(part)) {
            REEDTRAIL_CHECK(chunk.offset - chunk.tokens == m_passedOn, "tokens are passed on in order and each once");
            m_passedOn = chunk.offset;
            m_resumesInRow = 0;
            if (m_handlers.onChunk) {
                const auto onChunk = m_handlers.onChunk;
                onChunk(chunk);
            }
        }
        if (m_stream.isBroken()) {
            failStream("the engine sent no valid event");
        }
    }

    void callEnded(const http_call_end &end)
    {
        m_call.reset();
        m_isHandedOver = m_isHandedOver || end.isHandedOver;
        if (m_stream.isComplete()) {
            attempt_report report;
            report.end = attempt_end::Answered;
            report.versions = m_stream.versions();
            finish(std::move(report));
            return;
        }
        if (m_isResuming && end.error == error_kind::None && m_head.status != statusOk) {
            failStream("the engine no longer has the stream");
            return;
        }
        if (end.error == error_kind::None && m_head.status != statusOk) {
            http_response response = m_head;
            response.body = std::move(m_errorBody);
            finish(reportOf(response));
            return;
        }
        const bool mayResume = m_isHandedOver && end.error != error_kind::DeadlineExceeded && (m_isResuming || end.hasHead || end.isHandedOver);
        if (mayResume && m_resumesInRow < m_options.maximumResumes) {
            resumeLater();
            return;
        }
        attempt_report report = reportOf(end);
        if (m_isHandedOver && report.end == attempt_end::NotStarted) {
            report.end = attempt_end::Failed;
            report.error = error_kind::ServerFailed;
        }
        if (report.error == error_kind::None) {
            report.error = error_kind::ServerFailed;
            report.detail = "the stream ended without its end mark";
        }
        finish(std::move(report));
    }

    void resumeLater()
    {
        ++m_resumesInRow;
        m_isResuming = true;
        m_stream.beginResume();
        m_resumeTimer.expires_after(m_options.resumeDelay);
        m_resumeTimer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
            if (!error && self->m_handlers.onEnd) {
                self->send({ "GET", "/v1/streams/" + self->m_engineId + "?offset=" + std::to_string(self->m_stream.offset()), {}, "" });
            }
        });
    }

    void failStream(std::string detail)
    {
        ++m_connection;
        if (m_call) {
            m_call->cancel();
        }
        attempt_report report;
        report.end = attempt_end::Failed;
        report.error = error_kind::ServerFailed;
        report.detail = std::move(detail);
        finish(std::move(report));
    }

    void tellEngine()
    {
        http_request request{ "DELETE", "/v1/streams/" + m_engineId, {}, "" };
        m_client.call(m_target.address,
                      std::move(request),
                      { m_options.connectTimeout, m_options.cancelTimeout, m_options.cancelTimeout },
                      [](const http_call_end &, const http_response &) {});
    }

    void finish(attempt_report report)
    {
        const attempt_handlers handlers = std::exchange(m_handlers, {});
        if (handlers.onEnd) {
            handlers.onEnd(std::move(report));
        }
    }

    http_client &m_client;
    server_target m_target;
    std::string m_engineId;
    attempt_options m_options;
    attempt_handlers m_handlers;
    boost::asio::steady_timer m_resumeTimer;
    std::chrono::steady_clock::time_point m_deadline;
    std::shared_ptr<http_call> m_call;
    completion_stream m_stream;
    http_response m_head;
    std::string m_errorBody;
    std::uint64_t m_connection = 0; ///< Incarnation of the connection that may still speak for this attempt.
    std::uint64_t m_passedOn = 0;
    std::uint32_t m_resumesInRow = 0;
    bool m_isResuming = false;
    bool m_isHandedOver = false;
};

} // namespace

std::shared_ptr<server_attempt>
startServiceAttempt(http_client &client, const server_target &target, http_request request, const attempt_options &options, attempt_handlers handlers)
{
    const auto attempt = std::make_shared<service_attempt>(std::move(handlers));
    attempt->begin(client, target, std::move(request), options);
    return attempt;
}

std::shared_ptr<server_attempt> startCompletionAttempt(boost::asio::io_context &io,
                                                       http_client &client,
                                                       const server_target &target,
                                                       http_request request,
                                                       std::string engineId,
                                                       const attempt_options &options,
                                                       attempt_handlers handlers)
{
    const auto attempt = std::make_shared<completion_attempt>(io, client, target, std::move(engineId), options, std::move(handlers));
    attempt->begin(std::move(request));
    return attempt;
}

} // namespace reedtrail
