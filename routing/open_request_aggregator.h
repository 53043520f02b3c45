/**
 * @file
 * Sums up, for the servers that a node watches, the requests that all gates have open on them. The sums are about a tenth of a second old, while the servers'
 * own load reports are seconds old. Every message carries the complete counts, so a lost message costs only freshness.
 *
 *     open_request_aggregator aggregator({}, node_id("n1"));
 *     aggregator.onReport(now, report);                  // each gate's counts for the watched servers
 *     open_total total = aggregator.total(now);          // once per period, sent to every gate that reported
 */
#pragma once

#include "base/time.h"
#include "routing/sharing_messages.h"

#include <cstdint>
#include <map>

namespace reedtrail {

/** Options of the aggregator. */
struct open_request_aggregator_options
{
    duration reportLifetime = std::chrono::milliseconds(1000); ///< A gate whose last report is older than this is left out of the sums.
    std::size_t maximumGates = 1024; ///< Reports of further gates are dropped.
};

/** Aggregator of one watching node. */
class open_request_aggregator
{
public:
    open_request_aggregator(open_request_aggregator_options options, node_id node);

    /** Applies a gate's counts, which replace its earlier ones. A report that arrives out of order is dropped. */
    void onReport(time_point now, const open_report &report);
    /** Returns the sums over all gates whose reports have not expired. */
    open_total total(time_point now);

private:
    struct gate_counts
    {
        open_report report;
        time_point at; ///< Arrival of the report.
    };
    open_request_aggregator_options m_options;
    node_id m_node;
    std::map<node_id, gate_counts> m_gates;
    std::uint64_t m_sequence = 0;
};

} // namespace reedtrail
