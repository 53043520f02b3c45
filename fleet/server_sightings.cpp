#include "fleet/server_sightings.h"

#include <algorithm>

namespace reedtrail {

void server_sightings::onGone(std::string_view id, std::int64_t startedAt)
{
    if (!m_stateAskedAt) {
        return;
    }
    if (m_gone.size() >= maxEndedInstances) {
        m_gone.erase(std::ranges::min_element(m_gone, {}, [](const auto &each) {
            return each.second;
        }));
    }
    m_gone.emplace(instance(id, startedAt), *m_stateAskedAt); // Keeps the earlier time if the instance is gone already.
}

void server_sightings::onShown(std::string_view id, std::int64_t startedAt)
{
    m_gone.erase(instance(id, startedAt));
}

std::optional<time_point> server_sightings::lastShown(std::string_view id, std::int64_t startedAt, bool isRegistered) const
{
    const auto found = m_gone.find(instance(id, startedAt));
    if (found != m_gone.end()) {
        return found->second;
    }
    return isRegistered ? m_stateAskedAt : std::nullopt;
}

contact_proof server_sightings::proofOf(const server_contact &contact, bool isRegistered) const
{
    if (contact.startedAt == 0) {
        return contact_proof::Certain; // Where registrations name no start, each start of a server has an id of its own.
    }
    const std::optional<time_point> shownAt = lastShown(contact.server, contact.startedAt, isRegistered);
    if (shownAt && *shownAt >= contact.connectedAt + registrationTime) {
        return contact_proof::Certain;
    }
    const bool isGone = m_gone.contains(instance(contact.server, contact.startedAt));
    return isRegistered && !isGone ? contact_proof::Pending : contact_proof::Impossible;
}

} // namespace reedtrail
