// The directory has a few hundred rows at most and changes a few times a second, so the lookup cost does not matter. Ordered maps give every listing the same
// order on all nodes.

#include "fleet/server_directory.h"

#include <algorithm>
#include <set>

namespace reedtrail {

void server_directory::put(server_entry entry)
{
    row &entryRow = m_rows[entry.id];
    entryRow.entry = std::move(entry);
    entryRow.graceUntil = timeNever;
    ++m_changes;
}

void server_directory::remove(time_point now, std::string_view id, bool afterOutage)
{
    const auto found = m_rows.find(id);
    if (found == m_rows.end()) {
        return;
    }
    if (afterOutage && !found->second.entry.isDraining) {
        found->second.graceUntil = std::min(found->second.graceUntil, now + lapseGracePeriod);
        return;
    }
    m_rows.erase(found);
    ++m_changes;
}

void server_directory::replaceAll(time_point now, std::vector<server_entry> entries, bool afterOutage)
{
    std::set<std::string, std::less<>> listed;
    for (server_entry &entry : entries) {
        listed.insert(entry.id);
        put(std::move(entry));
    }
    std::vector<std::string> gone;
    for (const auto &[id, entryRow] : m_rows) {
        if (!listed.contains(id)) {
            gone.push_back(id);
        }
    }
    for (const std::string &id : gone) {
        remove(now, id, afterOutage);
    }
}

bool server_directory::expire(time_point now)
{
    const std::size_t dropped = std::erase_if(m_rows, [&](const auto &entryRow) {
        return entryRow.second.graceUntil <= now;
    });
    m_changes += dropped > 0 ? 1 : 0;
    return dropped > 0;
}

std::vector<const server_entry *> server_directory::usable(std::string_view service) const
{
    std::vector<const server_entry *> found;
    for (const auto &[id, entryRow] : m_rows) {
        if (!entryRow.entry.isDraining && entryRow.entry.service == service) {
            found.push_back(&entryRow.entry);
        }
    }
    return found;
}

std::vector<const server_entry *> server_directory::allUsable() const
{
    std::vector<const server_entry *> found;
    for (const auto &[id, entryRow] : m_rows) {
        if (!entryRow.entry.isDraining) {
            found.push_back(&entryRow.entry);
        }
    }
    return found;
}

const server_entry *server_directory::find(std::string_view id) const
{
    const auto found = m_rows.find(id);
    return found == m_rows.end() ? nullptr : &found->second.entry;
}

} // namespace reedtrail
