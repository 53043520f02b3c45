#include "edge/caller_service.h"

#include "edge/listener_limits.h"
#include "edge/request_relay.h"
#include "kernel/log.h"
#include "net/http_status.h"

#include <algorithm>

namespace reedtrail {
namespace {

constexpr duration drainCheckInterval = std::chrono::milliseconds(50);
constexpr duration exitMargin = std::chrono::milliseconds(700); // Part of the grace period left for the process to exit by itself.
constexpr duration ingressRemovalTime = std::chrono::milliseconds(2500); // The ingress probes every second and removes a node after two failed probes.
constexpr duration lastAnswerTime = std::chrono::milliseconds(200); // For the answer to a request that has used all of its time.
constexpr std::size_t maxDiagnosticBodyBytes = 16U << 10U; // Probes and diagnostic requests have none.
constexpr std::size_t headerAllowanceBytes = 1U << 10U; // The limit may be meant without the first line.
constexpr int timeoutAllowance = 2; // Multiple of the configured time.
constexpr duration longestRequest = std::chrono::seconds(60); // Without a deadline, on a route without a timeout.
constexpr double slowRequestFactor = 6; // Multiple of the mean time of a service that hardly any of its requests exceeds.
constexpr duration retryAfterWhileStopping = std::chrono::milliseconds(50); // Other nodes serve the caller at once.
constexpr duration retryAfterWhileStarting = std::chrono::milliseconds(500); // Retry-After before the configuration is known: one or two store reads.

} // namespace

caller_service::caller_service(
    edge_context &context, fleet_cache &fleet, crash_guard &crashes, stream_origins &origins, batch_job_service &jobs, job_forwarder &forwarder)
    : m_context(context)
    , m_fleet(fleet)
    , m_crashes(crashes)
    , m_origins(origins)
    , m_jobs(jobs)
    , m_forwarder(forwarder)
{
}

result<void> caller_service::start(kernel &process)
{
    m_process = &process;
    http_server_options callers;
    callers.address = m_context.settings.callers;
    callers.maximumBodyBytes = maxCallerBodyBytes;
    callers.requests = m_context.requests;
    const listener_limits limits = limitsFor(m_context.settings);
    callers.maximumConnections = limits.callerConnections;
    m_callerServer = std::make_unique<http_server>(m_context.loop.io(), callers, [this](std::shared_ptr<http_exchange> exchange) {
        dispatch(std::move(exchange));
    });
    BOOST_LEAF_CHECK(m_callerServer->start());
    m_fleet.onChange([this] {
        applyCallerLimits();
    });
    http_server_options readiness;
    readiness.address = m_context.settings.readiness;
    readiness.maximumBodyBytes = maxDiagnosticBodyBytes;
    readiness.requests = m_context.requests;
    readiness.maximumConnections = limits.readinessConnections;
    m_readinessServer = std::make_unique<http_server>(m_context.loop.io(), readiness, [this](std::shared_ptr<http_exchange> exchange) {
        serveDiagnostics(exchange);
    });
    return m_readinessServer->start();
}

/** Applies the limits of the configuration. A request that keeps to them may seem to exceed them here, after a pause of this machine or of the network. */
void caller_service::applyCallerLimits()
{
    const caller_limits &limits = m_fleet.routes().document().limits;
    const duration patience = limits.idleTimeout * timeoutAllowance;
    m_callerServer->setLimits({ limits.headerBytes + headerAllowanceBytes, limits.bodyBytes, limits.headerTimeout * timeoutAllowance, patience, patience });
}

void caller_service::stop()
{
    m_callerServer->stop();
    m_readinessServer->stop();
}

nlohmann::json caller_service::dump() const
{
    return { { "connections", m_callerServer->connections() },
             { "inFlight", m_callerServer->exchangesInFlight() },
             { "draining", m_context.isDraining },
             { "knownStreams", m_origins.size() },
             { "suspectRequests", m_crashes.dump() } };
}

void caller_service::serveDiagnostics(const std::shared_ptr<http_exchange> &exchange)
{
    const http_request &request = exchange->request();
    if (request.path() == "/metrics") {
        exchange->respond(textResponse(200, m_context.metrics.page()));
    } else if (request.path() == "/dump") {
        exchange->respond(jsonResponse(200, m_process->dump(request.query("service").value_or("")).dump(2) + "\n"));
    } else if (!platform::isReadinessProbe(request)) {
        exchange->respond(textResponse(http_status::notFound, "not found\n"));
    } else {
        const bool isIsolated = m_context.isIsolated();
        const bool isReady = m_fleet.isReady() && !m_context.isDraining && !isIsolated;
        if (isReady != m_wasReady) {
            m_wasReady = isReady;
            logLine(log_level::Info,
                    isReady ? "node-ready" : "node-unready",
                    { { "isolated", isIsolated ? "yes" : "no" }, { "draining", m_context.isDraining ? "yes" : "no" } });
        }
        exchange->respond(textResponse(isReady ? 200 : http_status::unavailable, isReady ? "ready\n" : "not ready\n"));
    }
}

void caller_service::dispatch(std::shared_ptr<http_exchange> exchange)
{
    if (m_isDrained) {
        refuse(exchange, http_status::unavailable, "this node is about to end", retryAfterWhileStopping);
        return;
    }
    if (!m_fleet.isReady()) {
        refuse(exchange, http_status::unavailable, "this node knows no configuration yet", retryAfterWhileStarting);
        return;
    }
    platform::caller_call call = platform::decodeCall(exchange->request());
    // Calls about jobs rest on the configuration only where a key decides on them.
    if (std::holds_alternative<platform::service_call>(call) || m_fleet.routes().document().customers) {
        const bool isCurrent = m_fleet.ensureCurrent([this, exchange] {
            if (!exchange->isGone()) {
                dispatch(exchange);
            }
        });
        if (!isCurrent) {
            return;
        }
    }
    const std::optional<std::string> job = jobIdOf(exchange->request(), call);
    if (!job) {
        relayToBackend(std::move(exchange), std::get<platform::service_call>(std::move(call)));
        return;
    }
    const access_verdict verdict = judgeCaller(exchange->request(), call);
    if (isRefusedByKey(exchange, verdict)) {
        return;
    }
    if (m_jobs.ownsJob(*job) || m_context.isIsolated()) {
        serveJobCall(exchange, call, verdict.customer, false);
        return;
    }
    const auto *read = std::get_if<platform::job_read>(&call);
    const duration wait = read == nullptr ? duration::zero() : std::min(read->wait, batch_job_service::maxReadWait);
    m_forwarder.forward(exchange, *job, verdict.customer, wait, [this, exchange, call, customer = verdict.customer](bool mayHaveExecuted) {
        serveJobCall(exchange, call, customer, mayHaveExecuted);
    });
}

void caller_service::dispatchForwarded(std::shared_ptr<http_exchange> exchange)
{
    const platform::caller_call call = platform::decodeCall(exchange->request());
    // A node without the route has an older configuration than the sender, which must then serve the call itself.
    const bool isKnown = m_fleet.isReady() && jobIdOf(exchange->request(), call).has_value();
    if (!isKnown || m_context.isDraining) {
        job_forwarder::decline(exchange);
        return;
    }
    serveJobCall(exchange, call, job_forwarder::customerOf(exchange->request()), false);
}

/** Returns the id of the batch job that a call refers to; nothing if the call is for a service. */
std::optional<std::string> caller_service::jobIdOf(const http_request &request, const platform::caller_call &call) const
{
    if (const auto *read = std::get_if<platform::job_read>(&call)) {
        return read->job;
    }
    if (const auto *item = std::get_if<platform::job_item_read>(&call)) {
        return item->job;
    }
    if (const auto *end = std::get_if<platform::job_end>(&call)) {
        return end->job;
    }
    const route *matchedRoute = m_fleet.routes().match(request.fields.get("Host"), request.path());
    const bool isSubmission = matchedRoute != nullptr && matchedRoute->kind == route_kind::Batch && request.method == "POST";
    return isSubmission ? std::optional(std::get<platform::service_call>(call).id) : std::nullopt;
}

/** Judges the key of a caller, by the configuration at hand. */
access_verdict caller_service::judgeCaller(const http_request &request, const platform::caller_call &call) const
{
    const route_table &routes = m_fleet.routes();
    const std::string_view host = request.fields.get("Host");
    const route *matchedRoute = std::holds_alternative<platform::service_call>(call) ? routes.match(host, request.path()) : nullptr;
    const bool isOpen = matchedRoute != nullptr ? matchedRoute->isOpen : routes.hasOpenJobRoute(host);
    return judgeAccess(routes.document().customers.get(), isOpen, platform::callerKeyOf(request), m_fleet.isConfigurationCurrent());
}

/** Refuses a call whose key does not allow it. @return whether it is refused */
bool caller_service::isRefusedByKey(const std::shared_ptr<http_exchange> &exchange, const access_verdict &verdict)
{
    if (verdict.isAllowed()) {
        return false;
    }
    const presented_key presented = platform::callerKeyOf(exchange->request());
    const bool isDenied = verdict.what == access_verdict::outcome::Denied;
    logLine(log_level::Info,
            "caller-denied",
            { { "request", std::string(platform::requestIdOf(exchange->request())) },
              { "key-digest", presented.what == presented_key::kind::Single ? customer_directory::label(presented.key) : "-" },
              { "verdict", isDenied ? "denied" : "unsure" },
              { "reason", verdict.reason },
              { "configuration", std::to_string(m_fleet.routes().document().version) } });
    m_context.metrics
        .counter("reedtrail_callers_denied_total", "Calls refused because of their key", std::string("verdict=\"") + (isDenied ? "denied" : "unsure") + "\"")
        .add();
    refuse(exchange, isDenied ? http_status::unauthorized : http_status::unavailable, verdict.reason, isDenied ? duration::zero() : retryAfterWhileStarting);
    return true;
}

void caller_service::serveJobCall(const std::shared_ptr<http_exchange> &exchange,
                                  const platform::caller_call &call,
                                  const std::optional<std::string> &customer,
                                  bool mayHaveExecuted)
{
    if (const auto *read = std::get_if<platform::job_read>(&call)) {
        m_jobs.read(exchange, *read, customer);
    } else if (const auto *item = std::get_if<platform::job_item_read>(&call)) {
        m_jobs.readItem(exchange, *item, customer);
    } else if (const auto *end = std::get_if<platform::job_end>(&call)) {
        m_jobs.end(exchange, *end, customer);
    } else {
        m_jobs.submit(exchange, std::get<platform::service_call>(call).id, customer, mayHaveExecuted);
    }
}

void caller_service::relayToBackend(std::shared_ptr<http_exchange> exchange, platform::service_call call)
{
    const http_request &request = exchange->request();
    const route *matchedRoute = m_fleet.routes().match(request.fields.get("Host"), request.path());
    if (matchedRoute == nullptr && !m_fleet.isConfigurationCurrent()) {
        refuse(exchange, http_status::unavailable, "the route may be newer than the configuration of this node", retryAfterWhileStarting);
        return;
    }
    if (matchedRoute == nullptr) {
        refuse(exchange, http_status::notFound, "no route for this host and path", duration::zero());
        return;
    }
    const access_verdict verdict = judgeCaller(request, call);
    if (isRefusedByKey(exchange, verdict)) {
        return;
    }
    if (m_context.isDraining && mayOutliveProcess(*matchedRoute, call)) {
        refuse(exchange, http_status::unavailable, "this node stops before the request may be answered", retryAfterWhileStopping);
        return;
    }
    const auto relay =
        std::make_shared<request_relay>(m_context, m_fleet, m_crashes, m_origins, std::move(exchange), *matchedRoute, std::move(call), verdict.customer);
    trackRelay(relay);
    relay->start();
}

/** Keeps a request among those that are answered when this process ends. */
void caller_service::trackRelay(const std::shared_ptr<request_relay> &relay)
{
    if (m_relays.size() >= m_relaysToSweepAt) {
        std::erase_if(m_relays, [](const std::weak_ptr<request_relay> &each) {
            return each.expired();
        });
        m_relaysToSweepAt = std::max(m_relaysToSweepAt, m_relays.size() * 2);
    }
    m_relays.push_back(relay);
}

void caller_service::refuse(const std::shared_ptr<http_exchange> &exchange, std::uint16_t status, const char *reason, duration retryAfter)
{
    const http_request &request = exchange->request();
    logLine(log_level::Info,
            "request-refused",
            { { "target", request.target },
              { "status", std::to_string(status) },
              { "reason", reason },
              { "configuration", std::to_string(m_fleet.routes().document().version) } });
    http_response response = platform::encodeRefusal(status, reason, retryAfter);
    platform::echoRequestId(request, response);
    exchange->respond(std::move(response));
}

void caller_service::announceShutdown()
{
    m_callerServer->closeAfterAnswers();
}

/** Returns when requests that are still in flight are cut by the end of this process. */
time_point caller_service::drainDeadline() const
{
    return m_context.drainStartedAt + m_context.settings.shutdownGracePeriod - exitMargin;
}

/**
 * Tells whether a request that arrives during the drain may be cut by the end of this process. While callers are still sent to this node, those that may be
 * repeated only have to be answered in time most likely.
 */
bool caller_service::mayOutliveProcess(const route &matchedRoute, const platform::service_call &call) const
{
    const time_point now = m_context.loop.now();
    const duration remaining = drainDeadline() - now;
    const duration callerTimeout = call.timeLeft > duration::zero() ? call.timeLeft : longestRequest;
    const duration longest = matchedRoute.timeout > duration::zero() ? std::min(callerTimeout, matchedRoute.timeout) : callerTimeout;
    if (longest + lastAnswerTime <= remaining) {
        return false;
    }
    const bool mayRepeat = matchedRoute.kind == route_kind::Idempotent || (matchedRoute.kind == route_kind::Streaming && matchedRoute.isResumable);
    if (!mayRepeat || matchedRoute.services.empty() || now - m_context.drainStartedAt > ingressRemovalTime) {
        return true;
    }
    return toSeconds(m_fleet.backends().meanLatency(now, matchedRoute.services.front().service)) * slowRequestFactor > toSeconds(remaining);
}

void caller_service::drain(std::function<void()> done)
{
    checkDrainComplete(std::move(done));
}

/** Answers the requests that are still in flight, truthfully and at the last moment; a stream that has begun is broken off. */
void caller_service::endRequestsInFlight()
{
    m_isDrained = true;
    for (const std::weak_ptr<request_relay> &each : std::exchange(m_relays, {})) {
        if (const auto relay = each.lock()) {
            relay->endBeforeStop();
        }
    }
}

/** Stops accepting connections once the ingress has removed this node, and completes the drain when no request is in flight or at the deadline. */
void caller_service::checkDrainComplete(std::function<void()> done)
{
    const time_point now = m_context.loop.now();
    if (!m_hasStoppedAccepting && now - m_context.drainStartedAt > ingressRemovalTime) {
        m_hasStoppedAccepting = true;
        m_callerServer->stopAccepting();
    }
    const bool isIdle = m_hasStoppedAccepting && m_callerServer->exchangesInFlight() == 0;
    const bool isOverdue = m_isDrained; // Requests were answered at the last check, and had the time until this one to leave.
    if (isIdle || isOverdue) {
        if (!isIdle) {
            logLine(log_level::Warning, "answers-cut-by-stop", { { "count", std::to_string(m_callerServer->exchangesInFlight()) } });
        }
        m_isDrained = true; // Connections stay open until the process ends; nothing that comes on them is passed on.
        done();
        return;
    }
    if (now >= drainDeadline()) {
        endRequestsInFlight();
    }
    m_context.loop.after(drainCheckInterval, [this, done = std::move(done)] {
        checkDrainComplete(done);
    });
}

} // namespace reedtrail
