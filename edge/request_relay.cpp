#include "edge/request_relay.h"

#include "kernel/log.h"
#include "net/http_status.h"

#include <algorithm>

namespace reedtrail {
namespace {

constexpr duration longestWithoutDeadline = std::chrono::seconds(60); // For callers that name no deadline on routes without one.
constexpr int refusalsMost = 4; // Servers that may refuse a request before it is given back: more are full at once only when the service as a whole is.
constexpr duration refusalPause = std::chrono::milliseconds(20); // Before a full service is asked again: a short request ends about then.
constexpr double attemptFactor = 6; // An idempotent attempt is given up after this many times the typical service time: the sheets' tail is five times.
constexpr duration shortestAttempt = std::chrono::milliseconds(250); // So that a new connection and a pause of the server's machine still fit in.
constexpr duration returnWhenFull = std::chrono::milliseconds(150); // Retry-After while servers are full: places free at the pace of requests.
constexpr duration returnWhenGone = std::chrono::milliseconds(500); // Retry-After while no server is registered: registrations are read about as often.

} // namespace

request_relay::request_relay(edge_context &context, fleet_view &fleet, std::shared_ptr<http_exchange> exchange, const route &where, platform::service_call call)
    : m_context(context)
    , m_fleet(fleet)
    , m_exchange(std::move(exchange))
    , m_route(where)
    , m_call(std::move(call))
    , m_timer(context.loop.io())
{
    random_source random(context.seed ^ static_cast<std::uint64_t>(context.loop.now().time_since_epoch().count()));
    m_service = chooseService(m_route, random);
}

void request_relay::start()
{
    m_startedAt = m_context.loop.now();
    const duration callerTime = m_call.timeLeft > duration::zero() ? m_call.timeLeft : longestWithoutDeadline;
    m_answerBy = m_startedAt + (m_route.timeout > duration::zero() ? std::min(callerTime, m_route.timeout) : callerTime);
    m_lastEvent = m_call.lastEventId;
    m_exchange->onGone([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->finish("caller-gone", 0);
        }
    });
    m_timer.expires_after(m_answerBy - m_startedAt);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error && !self->m_isDone) {
            self->refuse(http_status::gatewayTimeout, "time limit of the request reached", duration::zero());
        }
    });
    tryNext();
}

void request_relay::tryNext()
{
    if (m_isDone) {
        return;
    }
    backend_wish wish;
    wish.service = m_service;
    wish.model = m_call.model;
    wish.avoided = m_tried;
    wish.mayQueue = true;
    const time_point now = m_context.loop.now();
    std::optional<backend_choice> server = m_fleet.backends().choose(now, wish);
    if (!server) {
        wish.ignoresPauses = true;
        server = m_fleet.backends().choose(now, wish);
    }
    if (!server && !m_tried.empty()) {
        wish.avoided = {};
        server = m_fleet.backends().choose(now, wish);
    }
    if (!server) {
        refuse(http_status::unavailable, "no server of the service is registered", returnWhenGone);
        return;
    }
    send(*server);
}

void request_relay::send(const backend_choice &server)
{
    m_server = server;
    m_tried.push_back(server.id);
    m_response = {};
    m_answer = {};
    m_events = {};
    m_sentAt = m_context.loop.now();
    const duration timeLeft = m_answerBy - m_sentAt;
    const http_request &original = m_exchange->request();
    http_request request =
        m_hasStreamStarted ? platform::resumeRequest(original, timeLeft, server.id, m_lastEvent) : platform::forwardedRequest(original, timeLeft, server.id);
    http_call_options options;
    options.deadline = isStream() ? timeLeft : attemptLimit();
    options.silenceTimeout = options.deadline;
    options.connectTimeout = std::min<duration>(options.connectTimeout, options.deadline);
    http_call_handlers handlers;
    const std::uint64_t number = ++m_attemptNumber;
    const auto guarded = [self = shared_from_this(), number](auto action) {
        if (!self->m_isDone && self->m_attemptNumber == number) {
            action(*self);
        }
    };
    handlers.onHead = [guarded](const http_response &head) {
        guarded([&](request_relay &self) {
            self.gotHead(head);
        });
    };
    handlers.onBody = [guarded](std::string_view part) {
        guarded([&](request_relay &self) {
            self.gotBody(part);
        });
    };
    handlers.onEnd = [guarded](const http_call_end &end) {
        guarded([&](request_relay &self) {
            self.attemptEnded(end);
        });
    };
    m_fleet.backends().started(server.id);
    m_attempt = m_context.servers.start(server.address, std::move(request), options, std::move(handlers));
}

/** An idempotent request leaves a server that takes far longer than usual, unless this is its last try. */
duration request_relay::attemptLimit() const
{
    const duration timeLeft = m_answerBy - m_sentAt;
    if (!mayRepeat() || m_runs + 1 >= m_route.maxAttempts) {
        return timeLeft;
    }
    const duration typical = m_fleet.backends().typicalPace(m_sentAt, m_service);
    const duration limit = std::max(shortestAttempt, fromSeconds(toSeconds(typical) * attemptFactor));
    return std::min(timeLeft, std::max(limit, timeLeft / 3));
}

bool request_relay::mayRepeat() const
{
    return m_route.kind == route_kind::Idempotent || (m_route.kind == route_kind::Streaming && m_route.isResumable);
}

bool request_relay::isStream() const
{
    return m_route.kind == route_kind::Streaming;
}

void request_relay::gotHead(const http_response &head)
{
    m_response = head;
    m_answer = platform::decodeAnswer(head);
    m_fleet.backends().heard(m_server.id);
    if (m_answer.serverLoad) {
        m_fleet.backends().loadSeen(m_context.loop.now(), m_server.id, m_answer.serverLoad->running, m_answer.serverLoad->waiting);
    }
}

void request_relay::gotBody(std::string_view part)
{
    if (isStream() && m_answer.status == http_status::ok) {
        forwardEvents(part);
    } else {
        m_response.body.append(part);
    }
}

void request_relay::noteServerEnd()
{
    m_fleet.backends().ended(m_server.id);
    m_attempt.reset();
}

void request_relay::attemptEnded(const http_call_end &end)
{
    noteServerEnd();
    const time_point now = m_context.loop.now();
    if (end.error != error_kind::None) {
        const bool isSilent = !end.hasHead && (end.error == error_kind::ServerSilent || end.error == error_kind::DeadlineExceeded);
        isSilent ? m_fleet.backends().fellSilent(now, m_server.id) : m_fleet.backends().broke(now, m_server.id);
        if (!end.isHandedOver) {
            ++m_refusals;
            logLine(log_level::Info, "attempt-not-sent", { { "request", m_call.id }, { "server", m_server.id }, { "reason", end.detail } });
            retryAfterPause();
        } else if (isStream() && m_hasStreamStarted) {
            streamEnded(end);
        } else {
            ++m_runs;
            failedAfterHandover(end.detail.c_str());
        }
        return;
    }
    if (isStream() && m_answer.status == http_status::ok) {
        streamEnded(end);
        return;
    }
    m_fleet.backends().paceSeen(now, m_server.id, now - m_sentAt);
    judgeAnswer();
}

void request_relay::judgeAnswer()
{
    if (m_answer.isNotStarted) {
        ++m_refusals;
        if (m_answer.isOtherInstance) {
            m_fleet.backends().broke(m_context.loop.now(), m_server.id);
        } else {
            m_fleet.backends().refused(m_context.loop.now(), m_server.id, "");
        }
        retryAfterPause();
        return;
    }
    ++m_runs;
    const bool isOwnAnswer = m_answer.requestId == m_call.id;
    const bool isSuccess = m_answer.status >= http_status::ok && m_answer.status < http_status::firstNonSuccess;
    if (!isOwnAnswer || (isSuccess && m_answer.signature.empty())) {
        failedAfterHandover("the answer is not the server's to this request");
        return;
    }
    if (m_answer.status >= http_status::internalError && mayRepeat() && m_runs < m_route.maxAttempts) {
        retryAfterPause();
        return;
    }
    http_response response;
    response.status = m_answer.status;
    response.fields = endToEndFields(m_response.fields);
    response.body = std::move(m_response.body);
    answer(std::move(response), "answered");
}

void request_relay::failedAfterHandover(const char *reason)
{
    logLine(log_level::Info,
            "attempt-broken",
            { { "request", m_call.id },
              { "server", m_server.id },
              { "reason", reason },
              { "after-ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(m_context.loop.now() - m_sentAt).count()) } });
    if (mayRepeat() && m_runs < m_route.maxAttempts && m_context.loop.now() < m_answerBy) {
        tryNext();
        return;
    }
    refuse(http_status::badGateway, reason, duration::zero());
}

/** After an attempt that has not run, or one that may be repeated: tries another server while there is hope. */
void request_relay::retryAfterPause()
{
    if (m_refusals + m_runs > refusalsMost + m_route.maxAttempts) {
        if (m_runs == 0) {
            refuse(http_status::unavailable, "all servers asked are full", returnWhenFull);
        } else {
            refuse(http_status::badGateway, "no server answered", duration::zero());
        }
        return;
    }
    if (m_refusals < 2) {
        tryNext();
        return;
    }
    m_context.loop.after(refusalPause, [self = shared_from_this()] {
        self->tryNext();
    });
}

void request_relay::forwardEvents(std::string_view part)
{
    for (const server_event &event : m_events.feed(part)) {
        if (!m_hasStreamStarted) {
            m_hasStreamStarted = true;
            http_response head;
            head.status = m_answer.status;
            head.fields = endToEndFields(m_response.fields);
            m_exchange->startStream(std::move(head));
        }
        m_lastEvent = event.id.empty() ? m_lastEvent : event.id;
        m_exchange->write(event.bytes);
    }
}

void request_relay::streamEnded(const http_call_end &end)
{
    ++m_runs;
    if (end.error == error_kind::None && m_events.isBetweenEvents()) {
        if (!m_hasStreamStarted) {
            http_response response;
            response.status = m_answer.status;
            response.fields = endToEndFields(m_response.fields);
            answer(std::move(response), "answered");
            return;
        }
        m_exchange->finishStream();
        finish("answered", m_answer.status);
        return;
    }
    if (mayRepeat() && m_runs < m_route.maxAttempts) {
        logLine(log_level::Info, "stream-resumed", { { "request", m_call.id }, { "from", m_server.id }, { "after-event", m_lastEvent } });
        tryNext();
        return;
    }
    if (m_hasStreamStarted) {
        m_exchange->abort();
        finish("stream-broken", http_status::badGateway);
    } else {
        refuse(http_status::badGateway, "the stream broke before its first event", duration::zero());
    }
}

void request_relay::answer(http_response response, const char *outcome)
{
    const std::uint16_t status = response.status;
    const auto exchange = m_exchange;
    finish(outcome, status);
    exchange->respond(std::move(response));
}

void request_relay::refuse(std::uint16_t status, const char *reason, duration returnAfter)
{
    if (m_isDone) {
        return;
    }
    // "Not run" is said only if every attempt ended with a server's own word, or without a connection.
    const bool wasSent = m_runs > 0 || m_attempt != nullptr;
    if (status == http_status::unavailable && wasSent && m_route.kind != route_kind::Idempotent) {
        status = http_status::badGateway;
    }
    if (m_hasStreamStarted) {
        m_exchange->abort();
        finish(reason, status);
        return;
    }
    http_response response = platform::encodeRefusal(status, reason, returnAfter);
    platform::echoRequestId(m_exchange->request(), response);
    answer(std::move(response), reason);
}

void request_relay::finish(const char *outcome, std::uint16_t status)
{
    if (m_isDone) {
        return;
    }
    m_isDone = true;
    m_timer.cancel();
    const bool hadOpenAttempt = m_attempt != nullptr;
    const time_point now = m_context.loop.now();
    if (m_attempt) {
        m_fleet.backends().ended(m_server.id);
        m_attempt->cancel();
        m_attempt.reset();
    }
    const duration took = now - m_startedAt;
    m_context.metrics.counter("reedtrail_requests_total", "Requests by outcome", "status=\"" + std::to_string(status) + "\"").add();
    m_context.metrics.latency("reedtrail_request_seconds", "Time from a request to its answer").record(took);
    logLine(log_level::Info,
            "request",
            { { "request", m_call.id },
              { "route", m_route.name },
              { "server", m_server.id },
              { "status", std::to_string(status) },
              { "outcome", outcome },
              { "runs", std::to_string(m_runs) },
              { "refusals", std::to_string(m_refusals) },
              { "open-attempt-ms", hadOpenAttempt ? std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now - m_sentAt).count()) : "-" },
              { "configuration", std::to_string(m_fleet.routes().document().version) },
              { "ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(took).count()) } });
}

} // namespace reedtrail
