#include "batch/job_host_selector.h"

#include "base/hash.h"

#include <algorithm>

namespace reedtrail {
namespace {

constexpr int doublingsMost = 8; // Beyond them the longest pause holds; keeps the shift small.

} // namespace

void job_host_selector::setNodes(std::map<std::string, job_host> nodes)
{
    m_nodes = std::map<std::string, job_host, std::less<>>(nodes.begin(), nodes.end());
    std::map<std::string_view, std::vector<std::string_view>> zones;
    for (const auto &[name, node] : m_nodes) {
        zones[node.zone].push_back(name);
    }
    m_hosts.clear();
    for (auto &[zone, names] : zones) {
        std::ranges::sort(names, [this, zone = zone](std::string_view left, std::string_view right) {
            const double leftShare = m_nodes.find(left)->second.processorShare;
            const double rightShare = m_nodes.find(right)->second.processorShare;
            return leftShare != rightShare ? leftShare > rightShare : rendezvousRank(zone, left) > rendezvousRank(zone, right);
        });
        const std::size_t wanted = (names.size() + m_options.nodesPerHost - 1) / m_options.nodesPerHost;
        m_hosts.insert(m_hosts.end(), names.begin(), names.begin() + static_cast<std::ptrdiff_t>(wanted));
    }
    std::ranges::sort(m_hosts);
    std::erase_if(m_pauses, [this](const auto &row) {
        return !m_nodes.contains(row.first);
    });
}

std::optional<std::string> job_host_selector::hostFor(time_point now, std::string_view job) const
{
    const std::string *best = nullptr;
    for (const std::string &host : m_hosts) {
        const auto pause = m_pauses.find(host);
        const bool isPaused = pause != m_pauses.end() && pause->second.until > now;
        if (!isPaused && (best == nullptr || rendezvousRank(job, host) > rendezvousRank(job, *best))) {
            best = &host;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(*best);
}

std::optional<endpoint> job_host_selector::addressOf(std::string_view node) const
{
    const auto found = m_nodes.find(node);
    return found == m_nodes.end() ? std::nullopt : std::optional(found->second.where);
}

void job_host_selector::recordFailure(time_point now, const std::string &host)
{
    pause_row &row = m_pauses[host];
    row.until = now + std::min(m_options.firstPause * (1 << std::min(row.failures, doublingsMost)), m_options.longestPause);
    ++row.failures;
}

void job_host_selector::recordSuccess(const std::string &host)
{
    m_pauses.erase(host);
}

} // namespace reedtrail
