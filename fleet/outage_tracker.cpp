#include "fleet/outage_tracker.h"

namespace reedtrail {
namespace {

constexpr duration contactSpacing = std::chrono::milliseconds(100); // Contacts closer together than this add nothing.

} // namespace

void outage_tracker::recordContact(time_point begunAt, time_point endedAt)
{
    const bool isFirst = m_contacts.empty();
    const time_point before = isFirst ? begunAt : m_contacts.back().begunAt;
    if (begunAt < before) {
        return; // A later call has been answered before.
    }
    if (!isFirst && std::exchange(m_hasFailed, false) && endedAt - before >= m_minOutage) {
        m_doubt = span{ before, endedAt };
        m_isPending = true;
    }
    m_hasFailed = false;
    const std::size_t count = m_contacts.size();
    if (count > 1 && endedAt - m_contacts[count - 2].begunAt < contactSpacing) {
        m_contacts.back() = { begunAt, endedAt };
    } else {
        m_contacts.push_back({ begunAt, endedAt });
    }
    while (m_contacts.size() > 2 && m_contacts[1].begunAt < begunAt - memory) {
        m_contacts.pop_front();
    }
}

void outage_tracker::resolveDoubt(std::optional<duration> longestGap)
{
    m_isPending = false;
    if (longestGap && *longestGap < m_minOutage) {
        m_doubt.reset();
    }
}

std::optional<duration> outage_tracker::longestGap(const span &asked) const
{
    if (m_contacts.empty() || m_contacts.front().begunAt > asked.from) {
        return std::nullopt;
    }
    duration longest{};
    time_point since = m_contacts.front().begunAt;
    for (const contact &each : m_contacts) {
        if (each.begunAt > asked.from) {
            longest = std::max(longest, each.endedAt - std::max(since, asked.from));
        }
        since = each.begunAt;
        if (since > asked.until) {
            return longest;
        }
    }
    return std::max(longest, asked.until - std::max(since, asked.from));
}

} // namespace reedtrail
