#include "fleet/stream_origin_table.h"

#include <algorithm>

namespace reedtrail {

void stream_origin_table::put(time_point now, const std::string &stream, const stream_origin &origin, duration keep)
{
    keep = std::min(keep, maxKeep);
    if (const auto known = m_rows.find(stream); known != m_rows.end() && known->second.keepUntil > now) {
        known->second.keepUntil = std::max(known->second.keepUntil, now + keep);
        const bool isSame = known->second.origin.server == origin.server && known->second.origin.startedAt == origin.startedAt;
        known->second.origin.isProven = known->second.origin.isProven || (isSame && origin.isProven);
        return;
    }
    if (m_rows.size() >= m_capacity) {
        expire(now);
    }
    if (m_rows.size() >= m_capacity) {
        m_rows.erase(std::ranges::min_element(m_rows, {}, [](const auto &each) {
            return each.second.keepUntil;
        }));
    }
    m_rows[stream] = { origin, now - duration(origin.connectionAgeUs), now + keep };
}

const stream_origin_table::row *stream_origin_table::find(time_point now, std::string_view stream) const
{
    const auto found = m_rows.find(stream);
    return found == m_rows.end() || found->second.keepUntil <= now ? nullptr : &found->second;
}

stream_record stream_origin_table::recordOf(time_point now, const std::string &stream, const row &kept)
{
    stream_record record{ stream, kept.origin, (kept.keepUntil - now).count() };
    record.origin.connectionAgeUs = (now - kept.connectedAt).count();
    return record;
}

std::vector<std::string> stream_origin_table::streamsOf(time_point now, std::optional<std::string_view> service) const
{
    std::vector<std::string> streams;
    for (const auto &[stream, kept] : m_rows) {
        if ((!service || kept.origin.service == *service) && kept.keepUntil > now) {
            streams.push_back(stream);
        }
    }
    return streams;
}

void stream_origin_table::expire(time_point now)
{
    std::erase_if(m_rows, [now](const auto &each) {
        return each.second.keepUntil <= now;
    });
}

} // namespace reedtrail
