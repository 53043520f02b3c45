// Contacts are kept for a minute and spaced by a tenth of a second, so there are some hundred of them at most; questions scan them from the newest on.

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

void outage_tracker::resolveDoubt(std::optional<time_point> answersSince)
{
    m_isPending = false;
    if (!m_doubt || !answersSince) {
        return;
    }
    m_doubt->until = std::min(m_doubt->until, *answersSince);
    if (m_doubt->until - m_doubt->from < m_minOutage) {
        m_doubt.reset();
    }
}

std::optional<time_point> outage_tracker::answersSince(time_point now) const
{
    if (m_contacts.empty() || now - m_contacts.back().begunAt >= m_minOutage) {
        return std::nullopt;
    }
    std::size_t first = m_contacts.size() - 1;
    while (first > 0 && m_contacts[first].endedAt - m_contacts[first - 1].begunAt < m_minOutage) {
        --first;
    }
    return m_contacts[first].endedAt;
}

} // namespace reedtrail
