// The response of a plain service is buffered until it is complete, so a response that breaks off is a failure and not a partial answer.
//
// The tokens of a model engine are passed on as they arrive. If the connection breaks or brings no byte for the silence timeout, the stream is requested again
// from the current offset on a new connection. The old connection is closed first, so that its late bytes are ignored. A resume that brings no token counts
// against maximumResumesWithoutProgress; a resume that brings one resets the count.
//
// The statuses 502, 503 and 504 mean that the server is not serving; any other status is the server's answer. Only a 503 with Reedtrail-Not-Started: 1 means
// that nothing ran.

#include "gate/server_attempt.h"

#include "base/check.h"

#include <boost/asio/steady_timer.hpp>

namespace reedtrail {
namespace {

constexpr std::uint16_t statusOk = 200;

bool isUnavailableStatus(std::uint16_t status)
{
    return status == 502 || status == 503 || status == 504;
}

bool isNotStarted(const http_response &response)
{
    return response.status == 503 && response.fields.get(notStartedHeader) == "1";
}

/** Returns the result of an attempt whose call ended without a complete response. */
attempt_result toAttemptResult(const http_call_end &end)
{
    attempt_result attemptResult;
    attemptResult.error = end.error;
    attemptResult.detail = end.detail;
    if (!end.isHandedOver) {
        attemptResult.end = attempt_end::NotStarted;
    } else if (end.error == error_kind::ServerSilent) {
        attemptResult.end = attempt_end::Silent;
    } else {
        attemptResult.end = attempt_end::Failed;
    }
    return attemptResult;
}

/** Returns the result of an attempt that got a complete response. */
attempt_result toAttemptResult(const http_response &response)
{
    attempt_result attemptResult;
    attemptResult.response = response;
    if (isNotStarted(response)) {
        attemptResult.end = attempt_end::NotStarted;
        attemptResult.error = error_kind::ServerRefused;
        attemptResult.detail = "the server did not start the request";
    } else if (isUnavailableStatus(response.status)) {
        attemptResult.end = attempt_end::Failed;
        attemptResult.error = error_kind::ServerFailed;
        attemptResult.detail = "the server answered " + std::to_string(response.status);
    } else {
        attemptResult.end = attempt_end::Answered;
    }
    return attemptResult;
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
            self->finish(end.error == error_kind::None ? toAttemptResult(response) : toAttemptResult(end));
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
    void finish(attempt_result attemptResult)
    {
        const attempt_handlers handlers = std::exchange(m_handlers, {});
        if (handlers.onEnd) {
            handlers.onEnd(std::move(attemptResult));
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
        const bool isUnfinished = m_handlers.onEnd != nullptr;
        m_handlers = {};
        m_resumeTimer.cancel();
        ++m_connectionNumber;
        if (m_call) {
            m_call->cancel();
        }
        if (isUnfinished) {
            cancelOnEngine();
        }
    }

private:
    duration remainingTime() const
    {
        const auto left = std::chrono::duration_cast<duration>(m_deadline - std::chrono::steady_clock::now());
        return std::max(left, duration(1));
    }

    /** Sends @p request on a new connection; events of earlier connections are ignored from now on. */
    void send(http_request request)
    {
        const std::uint64_t connectionNumber = ++m_connectionNumber;
        m_responseHead = {};
        m_errorBody.clear();
        const http_call_options limits{ m_options.connectTimeout, m_target.silenceTimeout, remainingTime() };
        http_call_handlers handlers;
        handlers.onHead = [self = shared_from_this(), connectionNumber](const http_response &head) {
            if (connectionNumber == self->m_connectionNumber) {
                self->m_responseHead = head;
            }
        };
        handlers.onBody = [self = shared_from_this(), connectionNumber](std::string_view part) {
            if (connectionNumber == self->m_connectionNumber) {
                self->receiveBody(part);
            }
        };
        handlers.onEnd = [self = shared_from_this(), connectionNumber](const http_call_end &end) {
            if (connectionNumber == self->m_connectionNumber) {
                self->onCallEnded(end);
            }
        };
        m_call = m_client.start(m_target.address, std::move(request), limits, std::move(handlers));
    }

    void receiveBody(std::string_view part)
    {
        if (m_responseHead.status != statusOk) {
            m_errorBody.append(part.substr(0, maximumEventBytes - std::min(maximumEventBytes, m_errorBody.size())));
            return;
        }
        const auto keepAlive = shared_from_this(); // onChunk may drop the last reference to this attempt
        for (const completion_chunk &chunk : m_stream.feed(part)) {
            REEDTRAIL_CHECK(chunk.offset - chunk.tokens == m_deliveredTokens, "tokens are passed on in order and exactly once");
            m_deliveredTokens = chunk.offset;
            m_resumesWithoutProgress = 0;
            if (m_handlers.onChunk) {
                const auto onChunk = m_handlers.onChunk;
                onChunk(chunk);
            }
        }
        if (m_stream.isBroken()) {
            failAttempt("the engine sent no valid event");
        }
    }

    void onCallEnded(const http_call_end &end)
    {
        m_call.reset();
        m_mayHaveBeenSent = m_mayHaveBeenSent || end.isHandedOver;
        if (m_stream.isComplete()) {
            attempt_result attemptResult;
            attemptResult.end = attempt_end::Answered;
            attemptResult.versions = m_stream.versions();
            finish(std::move(attemptResult));
            return;
        }
        if (m_isResuming && end.error == error_kind::None && m_responseHead.status != statusOk) {
            failAttempt("the engine no longer has the stream");
            return;
        }
        if (end.error == error_kind::None && m_responseHead.status != statusOk) {
            http_response response = m_responseHead;
            response.body = std::move(m_errorBody);
            finish(toAttemptResult(response));
            return;
        }
        const bool canResume = m_mayHaveBeenSent && end.error != error_kind::DeadlineExceeded && (m_isResuming || end.hasHead || end.isHandedOver);
        if (canResume && m_resumesWithoutProgress < m_options.maximumResumesWithoutProgress) {
            scheduleResume();
            return;
        }
        attempt_result attemptResult = toAttemptResult(end);
        if (m_mayHaveBeenSent && attemptResult.end == attempt_end::NotStarted) {
            attemptResult.end = attempt_end::Failed;
            attemptResult.error = error_kind::ServerFailed;
        }
        if (attemptResult.error == error_kind::None) {
            attemptResult.error = error_kind::ServerFailed;
            attemptResult.detail = "the stream ended without its end mark";
        }
        finish(std::move(attemptResult));
    }

    void scheduleResume()
    {
        ++m_resumesWithoutProgress;
        m_isResuming = true;
        m_stream.beginResume();
        m_resumeTimer.expires_after(m_options.resumeDelay);
        m_resumeTimer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
            if (!error && self->m_handlers.onEnd) {
                self->send({ "GET", "/v1/streams/" + self->m_engineId + "?offset=" + std::to_string(self->m_stream.offset()), {}, "" });
            }
        });
    }

    void failAttempt(std::string detail)
    {
        ++m_connectionNumber;
        if (m_call) {
            m_call->cancel();
        }
        attempt_result attemptResult;
        attemptResult.end = attempt_end::Failed;
        attemptResult.error = error_kind::ServerFailed;
        attemptResult.detail = std::move(detail);
        finish(std::move(attemptResult));
    }

    void cancelOnEngine()
    {
        http_request request{ "DELETE", "/v1/streams/" + m_engineId, {}, "" };
        m_client.call(m_target.address,
                      std::move(request),
                      { m_options.connectTimeout, m_options.cancelTimeout, m_options.cancelTimeout },
                      [](const http_call_end &, const http_response &) {});
    }

    void finish(attempt_result attemptResult)
    {
        const attempt_handlers handlers = std::exchange(m_handlers, {});
        if (handlers.onEnd) {
            handlers.onEnd(std::move(attemptResult));
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
    http_response m_responseHead;
    std::string m_errorBody;
    std::uint64_t m_connectionNumber = 0; ///< Number of the current connection; events of any other are ignored.
    std::uint64_t m_deliveredTokens = 0;
    std::uint32_t m_resumesWithoutProgress = 0;
    bool m_isResuming = false;
    bool m_mayHaveBeenSent = false;
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
