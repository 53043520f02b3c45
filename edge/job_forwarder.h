/**
 * @file
 * Forwards callers' batch job calls to the job's host node, and falls back to serving them locally if that node does not answer.
 *
 * Host and local node give the same answers because both read the job from the store. A host's response is returned unchanged. A host that does not answer in
 * time delays the caller by the timeout of the forwarded call; a host that declines adds no noticeable delay.
 */
#pragma once

#include "batch/job_host_selector.h"
#include "edge/asio_loop.h"
#include "kernel/metrics.h"
#include "net/http_client.h"
#include "net/http_server.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace reedtrail {

/** Forwards batch job calls to host nodes. */
class job_forwarder
{
public:
    /** Serves a call on this node. @param mayHaveExecuted whether a host may have executed the call already, or may still execute it */
    using local_handler = std::function<void(bool mayHaveExecuted)>;

    job_forwarder(asio_loop &loop, http_client &peerClient, metric_registry &metrics, std::string ownNode);

    job_host_selector &hosts()
    {
        return m_hosts;
    }
    /**
     * Answers a call with the response of the job's host, or calls @p serveLocally if there is no other host or it does not answer.
     * @param customer for whom the call is made, as access_verdict::customer; the host takes this node's judgement
     * @param wait long-poll time that the caller asked for, added to the host's timeout
     * @param serveLocally called at most once, from within forward() or later
     */
    void forward(const std::shared_ptr<http_exchange> &exchange,
                 const std::string &job,
                 const std::optional<std::string> &customer,
                 duration wait,
                 local_handler serveLocally);

    /** Tells whether a request was forwarded by another node. */
    static bool isForwarded(const http_request &request);
    /** Returns for whom a forwarded call is made, as the forwarding node has judged. */
    static std::optional<std::string> customerOf(const http_request &request);
    /** Tells the forwarding node that this node does not serve the call and has not executed it. */
    static void decline(const std::shared_ptr<http_exchange> &exchange);

private:
    asio_loop &m_loop;
    http_client &m_peerClient;
    metric_registry &m_metrics;
    std::string m_ownNode;
    job_host_selector m_hosts;
};

} // namespace reedtrail
