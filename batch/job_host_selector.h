/**
 * @file
 * Which node runs a job, and so answers for it. Pure core.
 *
 *     hosts.setNodes(nodes);                                     // all that are known, this one among them
 *     if (auto host = hosts.hostOf(now, job)) { ... send the call to it; hosts.worked(*host) or hosts.failed(now, *host) ... }
 *
 * Load pattern: every few seconds a trainer submits a burst of texts at whichever node the ingress picks, and reads the results twice a second at others. A
 * burst opens a connection for each text in flight, and a node that reads a job which it does not run asks the store for it. So a few nodes of each
 * availability zone, those with the most processor time, run all jobs: the connections of one burst serve the next, and a read costs one message.
 *
 * Nodes that know different nodes may choose different hosts. That costs calls to the store and nothing else: who runs a job is decided there.
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

/** A node that may run jobs. */
struct job_host
{
    endpoint where;
    std::string zone;
    double processorShare = 0; ///< Of a core; 0 if unknown.
};

/** Numbers and times of the choice. */
struct job_host_selector_options
{
    std::size_t nodesPerHost = 14; ///< In each zone, rounded up: few enough hosts that each has a burst before its connections are closed as idle.
    duration firstPause = std::chrono::seconds(1); ///< For which a host that did not answer is passed over; doubled with each further time.
    duration longestPause = std::chrono::seconds(30); ///< Nodes that are gone for good stay listed.
};

/** The choice. */
class job_host_selector
{
public:
    explicit job_host_selector(job_host_selector_options options = {})
        : m_options(options)
    {
    }

    /** Takes the nodes that are known, by name. */
    void setNodes(std::map<std::string, job_host> nodes);
    /** Returns the name of the node that runs @p job; nothing while none is known. */
    std::optional<std::string> hostFor(time_point now, std::string_view job) const;
    /** Returns where a node is; nothing if it is not known. */
    std::optional<endpoint> addressOf(std::string_view node) const;
    /** The host did not answer, or takes no calls. */
    void recordFailure(time_point now, const std::string &host);
    /** The host answered. */
    void recordSuccess(const std::string &host);
    /** Returns the nodes that run jobs, in the order of their names. */
    const std::vector<std::string> &hosts() const
    {
        return m_hosts;
    }

private:
    struct pause_row
    {
        int failures = 0;
        time_point until;
    };

    job_host_selector_options m_options;
    std::map<std::string, job_host, std::less<>> m_nodes;
    std::vector<std::string> m_hosts;
    std::map<std::string, pause_row, std::less<>> m_pauses;
};

} // namespace reedtrail
