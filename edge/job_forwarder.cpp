#include "edge/job_forwarder.h"

#include "kernel/log.h"
#include "net/http_status.h"
#include "platform/server_wire.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>

namespace reedtrail {
namespace {

constexpr std::string_view forwardedField = "Reedtrail-Forwarded";
constexpr std::string_view customerField = "Reedtrail-Customer"; // Present if the deployment has customers; empty for calls without one.
constexpr std::string_view declinedField = "Reedtrail-Declined";

constexpr duration hostConnectTimeout = std::chrono::milliseconds(250); // A hundred times the network latency between zones.
constexpr duration hostResponseAllowance = std::chrono::milliseconds(600); // Time for the host beyond the caller's long-poll time. Callers allow 1.5 s, of
                                                                           // which a local fallback needs up to 0.7 s to read the store.

} // namespace

job_forwarder::job_forwarder(asio_loop &loop, http_client &peerClient, metric_registry &metrics, std::string ownNode)
    : m_loop(loop)
    , m_peerClient(peerClient)
    , m_metrics(metrics)
    , m_ownNode(std::move(ownNode))
{
}

void job_forwarder::forward(const std::shared_ptr<http_exchange> &exchange,
                            const std::string &job,
                            const std::optional<std::string> &customer,
                            duration wait,
                            local_handler serveLocally)
{
    const std::optional<std::string> host = m_hosts.hostFor(m_loop.now(), job);
    const std::optional<endpoint> hostAddress = host && *host != m_ownNode ? m_hosts.addressOf(*host) : std::nullopt;
    if (!hostAddress) {
        serveLocally(false);
        return;
    }
    http_request request = exchange->request();
    request.fields = endToEndFields(request.fields);
    request.fields.set(forwardedField, "1");
    request.fields.remove(customerField);
    if (customer) {
        platform::removeCallerKey(request);
        request.fields.add(customerField, *customer);
    }
    http_call_options options;
    options.connectTimeout = hostConnectTimeout;
    options.silenceTimeout = wait + hostResponseAllowance;
    options.deadline = wait + hostResponseAllowance;
    const auto onAnswer = [this, exchange, job, host = *host, serveLocally](const http_call_end &end, const http_response &answer) {
        if (exchange->isGone()) {
            return;
        }
        const bool hasResponse = end.error == error_kind::None;
        if (hasResponse && answer.fields.get(declinedField).empty()) {
            m_hosts.recordSuccess(host);
            m_metrics.counter("reedtrail_job_calls_forwarded_total", "Calls about batch jobs that their hosts answered").add();
            exchange->respond({ answer.status, endToEndFields(answer.fields), answer.body });
            return;
        }
        m_hosts.recordFailure(m_loop.now(), host);
        logLine(log_level::Info,
                "job-host-passed-over",
                { { "job", job },
                  { "host", host },
                  { "call", exchange->request().method },
                  { "reason", hasResponse ? "declined" : end.detail },
                  { "handed-over", end.isHandedOver ? "yes" : "no" } });
        serveLocally(!hasResponse && end.isHandedOver);
    };
    const std::shared_ptr<http_call> call = m_peerClient.call(*hostAddress, std::move(request), options, onAnswer);
    exchange->onGone([weak = std::weak_ptr(call)] {
        if (const auto pendingCall = weak.lock()) {
            pendingCall->cancel();
        }
    });
}

bool job_forwarder::isForwarded(const http_request &request)
{
    return !request.fields.get(forwardedField).empty();
}

std::optional<std::string> job_forwarder::customerOf(const http_request &request)
{
    const auto found = std::ranges::find_if(request.fields.all(), [](const http_field &field) {
        return boost::iequals(field.name, customerField);
    });
    return found == request.fields.all().end() ? std::nullopt : std::optional(found->value);
}

void job_forwarder::decline(const std::shared_ptr<http_exchange> &exchange)
{
    http_response response = textResponse(http_status::unavailable, "");
    response.fields.set(declinedField, "1");
    exchange->respond(std::move(response));
}

} // namespace reedtrail
