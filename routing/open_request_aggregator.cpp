// Each report replaces the previous counts of its gate as a whole, so sums cannot drift when a message is lost or a gate dies: the counts of a dead gate
// expire. A server without open requests is still listed, with 0, as long as any gate lists it.

#include "routing/open_request_aggregator.h"

namespace reedtrail {

open_request_aggregator::open_request_aggregator(open_request_aggregator_options options, node_id node)
    : m_options(options)
    , m_node(std::move(node))
{
}

void open_request_aggregator::onReport(time_point now, const open_report &report)
{
    const auto found = m_gates.find(report.node);
    if (found == m_gates.end() && m_gates.size() >= m_options.maximumGates) {
        return;
    }
    if (found != m_gates.end() && report.sequence <= found->second.report.sequence && now - found->second.at < m_options.reportLifetime) {
        return;
    }
    m_gates[report.node] = { report, now };
}

open_total open_request_aggregator::total(time_point now)
{
    std::erase_if(m_gates, [&](const auto &entry) {
        return now - entry.second.at > m_options.reportLifetime;
    });
    std::map<server_id, std::int64_t> sums;
    for (const auto &[node, counts] : m_gates) {
        for (const server_open &each : counts.report.open) {
            sums[each.server] += each.open;
        }
    }
    open_total total{ m_node, ++m_sequence, {} };
    for (const auto &[server, open] : sums) {
        total.open.push_back({ server, open });
    }
    return total;
}

} // namespace reedtrail
