/**
 * @file
 * Selects the node that runs a batch job and answers the calls about it. Does no input or output.
 *
 *     hosts.setNodes(nodes);                                     // all known nodes, including this one
 *     if (auto host = hosts.hostFor(now, job)) { ... send the call to it; hosts.recordSuccess(*host) or hosts.recordFailure(now, *host) ... }
 *
 * Load pattern: every few seconds a trainer submits a burst of items to whichever node the ingress picks, and reads the results twice a second through other
 * nodes. A burst opens one connection per item in flight, and a node that serves a read of a job that it does not run has to query the store. Therefore a few
 * nodes of each availability zone, those with the most processor time, run all jobs: the connections opened for one burst are reused for the next, and a read
 * costs one message to the host.
 *
 * The selection is a rendezvous hash over the known nodes. Nodes with different lists may select different hosts for the same job. This costs additional
 * store calls but is safe, because ownership of a job is decided in the store.
 */
#pragma once

#include "base/time.h"
#include "net/endpoint.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

/** A node that can run jobs. */
struct job_host
{
    endpoint address;
    std::string zone;
    double processorShare = 0; ///< Processor time available to the node, in cores; 0 if unknown.
};

/** Options of the selection. */
struct job_host_selector_options
{
    std::size_t nodesPerHost = 14; ///< One host per this many nodes of a zone, rounded up. With so few hosts, each receives its next
                                   ///< burst before its connections from the previous one are closed as idle.
    duration initialBackoff = std::chrono::seconds(1); ///< How long a host is skipped after its first failure; doubled after each further one.
    duration maximumBackoff = std::chrono::seconds(30); ///< Upper limit of the backoff. Nodes that are gone for good stay listed and are still tried.
};

/** Selects the host of each job by rendezvous hashing and skips hosts that failed recently. */
class job_host_selector
{
public:
    explicit job_host_selector(job_host_selector_options options = {})
        : m_options(options)
    {
    }

    /** Replaces the list of known nodes, by name, and selects the hosts among them. */
    void setNodes(std::map<std::string, job_host> nodes);
    /** Returns the name of the node that runs @p job, or nothing if no host is available. */
    std::optional<std::string> hostFor(time_point now, std::string_view job) const;
    /** Returns the address of @p node, or nothing if the node is not known. */
    std::optional<endpoint> addressOf(std::string_view node) const;
    /** Records that @p host did not answer or declined a call; it is skipped until its backoff ends. */
    void recordFailure(time_point now, const std::string &host);
    /** Records that @p host answered, which ends its backoff. */
    void recordSuccess(const std::string &host);
    /** Returns the names of the nodes that run jobs, sorted. */
    const std::vector<std::string> &hosts() const
    {
        return m_hosts;
    }

private:
    struct backoff_state
    {
        int failures = 0;
        time_point until;
    };

    job_host_selector_options m_options;
    std::map<std::string, job_host, std::less<>> m_nodes;
    std::vector<std::string> m_hosts;
    std::map<std::string, backoff_state, std::less<>> m_backoffs;
};

} // namespace reedtrail
