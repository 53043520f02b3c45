/**
 * @file
 * Sends callers' calls about a batch job to the node that runs it, and serves them here if that node does not.
 *
 * The host answers what this node would: both go by the store. What a host says is passed on as it is; a host that says nothing in time costs a little of the
 * caller's time, and one that takes no calls costs none.
 */
#pragma once

#include "batch/job_hosts.h"
#include "edge/asio_loop.h"
#include "kernel/metrics.h"
#include "net/http_client.h"
#include "net/http_server.h"

#include <functional>
#include <memory>
#include <string>

namespace reedtrail {

/** The forwarder. */
class job_forwarder
{
public:
    /** Serves a call here. @param mayBeDone whether a host may have done it already, or may still do it */
    using local_action = std::function<void(bool mayBeDone)>;

    job_forwarder(asio_loop &loop, http_client &peers, metric_registry &metrics, std::string self);

    job_host_selector &hosts()
    {
        return m_hosts;
    }
    /**
     * Answers a caller by way of the job's host, or calls @p locally, at once or later.
     * @param wait how long the host may take because the caller asked it to wait
     */
    void forward(const std::shared_ptr<http_exchange> &exchange, const std::string &job, duration wait, local_action locally);

    /** Tells whether a request comes from another node's forwarder. */
    static bool isForwarded(const http_request &request);
    /** Answers another node's forwarder that this node takes no calls now. */
    static void decline(const std::shared_ptr<http_exchange> &exchange);

private:
    asio_loop &m_loop;
    http_client &m_peers;
    metric_registry &m_metrics;
    std::string m_self;
    job_host_selector m_hosts;
};

} // namespace reedtrail
