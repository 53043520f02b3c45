/**
 * @file
 * Counts the requests that all gates have open on the servers a node watches: a load that is a tenth of a second old where the servers' own reports are seconds
 * old. Sent whole each time, so a lost message only costs freshness.
 *
 *     open_sums watch({}, node_id("n1"));
 *     watch.onReport(now, report);                  // each gate's counts for the watched servers
 *     open_total total = watch.total(now);          // each period, to every gate that reported
 */
#pragma once

#include "base/time.h"
#include "routing/sharing_messages.h"

#include <cstdint>
#include <map>

namespace reedtrail {

/** Options of the sums. */
struct open_request_aggregator_options
{
    duration reportLifetime = std::chrono::milliseconds(1000); ///< A gate that says nothing this long no longer counts.
    std::size_t maximumGates = 1024;
};

/** The sums of one watcher. */
class open_request_aggregator
{
public:
    open_request_aggregator(open_request_aggregator_options options, node_id node);

    /** Takes a gate's counts; they replace its earlier ones. */
    void onReport(time_point now, const open_report &report);
    /** Returns the sums over the gates that reported lately. */
    open_total total(time_point now);

private:
    struct gate_counts
    {
        open_report report;
        time_point at;
    };
    open_request_aggregator_options m_options;
    node_id m_node;
    std::map<node_id, gate_counts> m_gates;
    std::uint64_t m_sequence = 0;
};

} // namespace reedtrail
