/**
 * @file
 * HTTP servers for callers and for the platform's ingress: dispatches each call to the component that serves it, and reports readiness and metrics.
 */
#pragma once

#include "edge/batch_job_service.h"
#include "edge/crash_guard.h"
#include "edge/edge_context.h"
#include "edge/fleet_cache.h"
#include "edge/job_forwarder.h"
#include "edge/stream_origins.h"
#include "kernel/service.h"
#include "net/http_server.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace reedtrail {

class request_relay;

/** Accepts callers' requests, batch job calls, readiness probes and diagnostic requests. */
class caller_service : public service
{
public:
    caller_service(edge_context &context, fleet_cache &fleet, crash_guard &crashes, stream_origins &origins, batch_job_service &jobs, job_forwarder &forwarder);

    result<void> start(kernel &process) override;
    /** Marks every further response as the last one on its connection, so that callers reconnect elsewhere. */
    void announceShutdown();
    void drain(std::function<void()> done) override;
    void stop() override;
    nlohmann::json dump() const override;

    /** Serves a batch job call that another node forwarded. The call is never forwarded again, so it cannot loop between nodes. */
    void dispatchForwarded(std::shared_ptr<http_exchange> exchange);

private:
    void dispatch(std::shared_ptr<http_exchange> exchange);
    bool isRefusedByKey(const std::shared_ptr<http_exchange> &exchange, const access_verdict &verdict);
    access_verdict judgeCaller(const http_request &request, const platform::caller_call &call) const;
    std::optional<std::string> jobIdOf(const http_request &request, const platform::caller_call &call) const;
    void serveJobCall(const std::shared_ptr<http_exchange> &exchange,
                      const platform::caller_call &call,
                      const std::optional<std::string> &customer,
                      bool mayHaveExecuted);
    void relayToBackend(std::shared_ptr<http_exchange> exchange, platform::service_call call);
    bool mayOutliveProcess(const route &matchedRoute, const platform::service_call &call) const;
    time_point drainDeadline() const;
    void applyCallerLimits();
    void serveDiagnostics(const std::shared_ptr<http_exchange> &exchange);
    void trackRelay(const std::shared_ptr<request_relay> &relay);
    void checkDrainComplete(std::function<void()> done);
    void endRequestsInFlight();
    void refuse(const std::shared_ptr<http_exchange> &exchange, std::uint16_t status, const char *reason, duration retryAfter);

    edge_context &m_context;
    fleet_cache &m_fleet;
    crash_guard &m_crashes;
    stream_origins &m_origins;
    batch_job_service &m_jobs;
    job_forwarder &m_forwarder;
    kernel *m_process = nullptr;
    std::unique_ptr<http_server> m_callerServer;
    std::unique_ptr<http_server> m_readinessServer;
    std::vector<std::weak_ptr<request_relay>> m_relays; ///< Requests in flight, and some that have ended.
    std::size_t m_relaysToSweepAt = 64; ///< Length of m_relays at which those that have ended are removed.
    bool m_hasStoppedAccepting = false;
    bool m_isDrained = false;
    bool m_wasReady = false; ///< Readiness reported to the last probe, to log changes only.
};

} // namespace reedtrail
