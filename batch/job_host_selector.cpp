#include "batch/job_host_selector.h"

#include "fleet/node_ranking.h"

#include <algorithm>

namespace reedtrail {
namespace {

constexpr int maximumDoublings = 8; // Limits the shift; by then the backoff has reached its maximum.

} // namespace

void job_host_selector::setNodes(std::map<std::string, job_host> nodes)
{
    m_nodes = std::map<std::string, job_host, std::less<>>(nodes.begin(), nodes.end());
    m_hosts.clear();
    for (const auto &[zone, names] : rankNodesByZone(m_nodes)) {
        const std::size_t hostCount = (names.size() + m_options.nodesPerHost - 1) / m_options.nodesPerHost;
        m_hosts.insert(m_hosts.end(), names.begin(), names.begin() + static_cast<std::ptrdiff_t>(hostCount));
    }
    std::ranges::sort(m_hosts);
    std::erase_if(m_backoffs, [this](const auto &entry) {
        return !m_nodes.contains(entry.first);
    });
}

std::optional<std::string> job_host_selector::hostFor(time_point now, std::string_view job) const
{
    const std::string *best = nullptr;
    for (const std::string &host : m_hosts) {
        const auto backoff = m_backoffs.find(host);
        const bool isBackingOff = backoff != m_backoffs.end() && backoff->second.until > now;
        if (!isBackingOff && (best == nullptr || rendezvousRank(job, host) > rendezvousRank(job, *best))) {
            best = &host;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(*best);
}

std::optional<endpoint> job_host_selector::addressOf(std::string_view node) const
{
    const auto found = m_nodes.find(node);
    return found == m_nodes.end() ? std::nullopt : std::optional(found->second.address);
}

void job_host_selector::recordFailure(time_point now, const std::string &host)
{
    backoff_state &backoff = m_backoffs[host];
    backoff.until = now + std::min(m_options.initialBackoff * (1 << std::min(backoff.failures, maximumDoublings)), m_options.maximumBackoff);
    ++backoff.failures;
}

void job_host_selector::recordSuccess(const std::string &host)
{
    m_backoffs.erase(host);
}

} // namespace reedtrail
