/**
 * @file
 * The addresses that callers and the platform's ingress use: tells readiness, and hands each call to what serves it.
 */
#pragma once

#include "edge/batch_job_service.h"
#include "edge/edge_context.h"
#include "edge/fleet_cache.h"
#include "edge/job_forwarder.h"
#include "kernel/service.h"
#include "net/http_server.h"

#include <memory>
#include <optional>
#include <string>

namespace reedtrail {

/** The service. */
class caller_service : public service
{
public:
    caller_service(edge_context &context, fleet_cache &fleet, batch_job_service &desk, job_forwarder &forwarder);

    result<void> start(kernel &process) override;
    /** Tells callers with each further answer that their connection closes. */
    void announceEnd();
    void drain(std::function<void()> done) override;
    void stop() override;
    nlohmann::json dump() const override;

    /** Answers a caller's call about a job that another node has passed on. */
    void dispatchForwarded(std::shared_ptr<http_exchange> exchange);

private:
    void dispatch(std::shared_ptr<http_exchange> exchange);
    std::optional<std::string> jobOf(const http_request &request, const platform::caller_call &call) const;
    void callDesk(const std::shared_ptr<http_exchange> &exchange, const platform::caller_call &call, bool mayBeDone);
    void dispatchService(std::shared_ptr<http_exchange> exchange, platform::service_call call);
    void answerReadiness(const std::shared_ptr<http_exchange> &exchange);
    void awaitQuiet(std::function<void()> done);
    void refuse(const std::shared_ptr<http_exchange> &exchange, std::uint16_t status, const char *reason, duration returnAfter);

    edge_context &m_context;
    fleet_cache &m_fleet;
    batch_job_service &m_desk;
    job_forwarder &m_forwarder;
    kernel *m_process = nullptr;
    std::unique_ptr<http_server> m_callers;
    std::unique_ptr<http_server> m_readiness;
    time_point m_drainBy;
    bool m_hasStoppedAccepting = false;
    bool m_wasReady = false; ///< As told last.
};

} // namespace reedtrail
