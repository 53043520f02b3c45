// The directory has a few hundred rows at most and changes a few times a second, so the lookup cost does not matter. Ordered maps give every listing the same
// order on all nodes.

#include "fleet/server_directory.h"

#include <algorithm>
#include <utility>

namespace reedtrail {

void server_directory::put(server_entry entry)
{
    if (const auto notice = m_leaving.find(entry.id); notice != m_leaving.end() && entry.startedAt > notice->second.startedAt) {
        m_leaving.erase(notice);
    }
    row &entryRow = m_rows[entry.id];
    entryRow.entry = std::move(entry);
    entryRow.graceUntil = timeNever;
    ++m_changes;
}

bool server_directory::recordLeaving(time_point now, std::string_view id)
{
    if (m_leaving.contains(id)) {
        return false;
    }
    const auto registered = m_rows.find(id);
    const auto former = m_former.find(id);
    if (registered != m_rows.end()) {
        m_leaving.emplace(id, leaving_notice{ registered->second.entry.startedAt, now });
        ++m_changes;
    } else if (former != m_former.end()) {
        m_leaving.emplace(id, leaving_notice{ former->second.startedAt, now });
    }
    return m_leaving.contains(id);
}

std::optional<time_point> server_directory::leavingSince(std::string_view id) const
{
    const auto notice = m_leaving.find(id);
    return notice == m_leaving.end() ? std::nullopt : std::optional(notice->second.since);
}

void server_directory::remove(time_point now, std::string_view id, std::optional<time_point> mayReturnUntil)
{
    const auto found = m_rows.find(id);
    if (found == m_rows.end()) {
        return;
    }
    if (mayReturnUntil && *mayReturnUntil > now && !found->second.entry.isDraining) {
        found->second.graceUntil = std::min(found->second.graceUntil, *mayReturnUntil);
        return;
    }
    m_former[found->first] = { found->second.entry.startedAt, now };
    m_rows.erase(found);
    ++m_changes;
}

void server_directory::limitGrace(time_point end)
{
    for (auto &[id, entryRow] : m_rows) {
        if (entryRow.graceUntil != timeNever) {
            entryRow.graceUntil = std::min(entryRow.graceUntil, end);
        }
    }
}

void server_directory::setGraceUsable(bool isUsable)
{
    m_changes += std::exchange(m_isGraceUsable, isUsable) != isUsable ? 1 : 0;
}

bool server_directory::dropLapsed(time_point now)
{
    return dropGraceEndingBy(now, timeNever - duration(1));
}

bool server_directory::expire(time_point now)
{
    std::erase_if(m_leaving, [&](const auto &notice) {
        return now - notice.second.since > leavingMemory && !m_rows.contains(notice.first);
    });
    std::erase_if(m_former, [&](const auto &former) {
        return now - former.second.goneAt > leavingMemory;
    });
    return dropGraceEndingBy(now, now);
}

std::optional<time_point> server_directory::nextExpiry() const
{
    time_point next = timeNever;
    for (const auto &[id, entryRow] : m_rows) {
        next = std::min(next, entryRow.graceUntil);
    }
    return next == timeNever ? std::nullopt : std::optional(next);
}

/** Drops the servers whose grace period ends at @p end or before. */
bool server_directory::dropGraceEndingBy(time_point now, time_point end)
{
    const std::size_t dropped = std::erase_if(m_rows, [&](const auto &entryRow) {
        const bool isDropped = entryRow.second.graceUntil <= end;
        if (isDropped) {
            m_former[entryRow.first] = { entryRow.second.entry.startedAt, now };
        }
        return isDropped;
    });
    m_changes += dropped > 0 ? 1 : 0;
    return dropped > 0;
}

std::vector<const server_entry *> server_directory::usable(std::string_view service) const
{
    std::vector<const server_entry *> found;
    for (const auto &[id, entryRow] : m_rows) {
        if (isUsable(entryRow) && entryRow.entry.service == service) {
            found.push_back(&entryRow.entry);
        }
    }
    return found;
}

std::vector<const server_entry *> server_directory::allUsable() const
{
    std::vector<const server_entry *> found;
    for (const auto &[id, entryRow] : m_rows) {
        if (isUsable(entryRow)) {
            found.push_back(&entryRow.entry);
        }
    }
    return found;
}

std::vector<const server_entry *> server_directory::all() const
{
    std::vector<const server_entry *> found;
    for (const auto &[id, entryRow] : m_rows) {
        found.push_back(&entryRow.entry);
    }
    return found;
}

bool server_directory::isUsable(std::string_view id, std::int64_t startedAt) const
{
    const auto found = m_rows.find(id);
    return found != m_rows.end() && found->second.entry.startedAt == startedAt && isUsable(found->second);
}

const server_entry *server_directory::find(std::string_view id) const
{
    const auto found = m_rows.find(id);
    return found == m_rows.end() ? nullptr : &found->second.entry;
}

} // namespace reedtrail
