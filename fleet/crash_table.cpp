// Merging takes the union of the ended instances and the maximum of the counts within an era. Both are commutative and idempotent, so nodes that have exchanged
// their records by any way and in any order agree.

#include "fleet/crash_table.h"

#include "base/hash.h"

#include <algorithm>

namespace reedtrail {

const crash_table::row *crash_table::find(const request_identity &identity) const
{
    return find(identity.digest);
}

const crash_table::row *crash_table::find(std::uint64_t digest) const
{
    const auto found = m_rows.find(digest);
    return found == m_rows.end() || found->second.ends.empty() ? nullptr : &found->second;
}

bool crash_table::recordEnd(time_point now, const request_identity &identity, std::uint64_t instance)
{
    row &each = make(now, identity);
    each.seenAt = std::max(each.seenAt, now);
    const bool isNews = each.ends.size() < m_options.maxEndsKept && each.ends.insert(instance).second;
    each.isShared = each.isShared || each.ends.size() >= endsToShare;
    return isNews;
}

bool crash_table::recordSurvival(time_point now, const request_identity &identity)
{
    const auto found = m_rows.find(identity.digest);
    if (found == m_rows.end() || found->second.ends.empty()) {
        return false;
    }
    row &each = found->second;
    ++each.era;
    each.ends.clear();
    each.retries = {};
    each.seenAt = now;
    return true;
}

void crash_table::recordRetry(time_point now, std::uint64_t digest, bool isSecond)
{
    const auto found = m_rows.find(digest);
    if (found != m_rows.end()) {
        ++found->second.retries[isSecond ? 1 : 0];
        found->second.seenAt = now;
    }
}

void crash_table::touch(time_point now, std::uint64_t digest)
{
    const auto found = m_rows.find(digest);
    if (found != m_rows.end()) {
        found->second.seenAt = now;
    }
}

bool crash_table::merge(time_point now, const crash_record &record)
{
    const time_point seenAt = now - duration(std::max<std::int64_t>(0, record.ageUs));
    if (now - seenAt > m_options.lifetime || (record.ends.empty() && record.era == 0)) {
        return false;
    }
    const bool isKnown = m_rows.contains(record.digest);
    row &each = make(now, record.identity());
    if (!isKnown) {
        each.seenAt = seenAt;
    }
    each.seenAt = std::max(each.seenAt, seenAt);
    if (record.era < each.era) {
        return false;
    }
    bool isNews = record.era > each.era;
    if (isNews) {
        each.era = record.era;
        each.ends.clear();
        each.retries = {};
    }
    for (const std::uint64_t instance : record.ends) {
        isNews = (each.ends.size() < m_options.maxEndsKept && each.ends.insert(instance).second) || isNews;
    }
    for (std::size_t i = 0; i < each.retries.size(); ++i) {
        isNews = isNews || record.retries[i] > each.retries[i];
        each.retries[i] = std::max(each.retries[i], record.retries[i]);
    }
    isNews = isNews || (record.isShared && !each.isShared);
    each.isShared = each.isShared || record.isShared || each.ends.size() >= endsToShare;
    return isNews;
}

crash_record crash_table::recordOf(time_point now, std::uint64_t digest) const
{
    const auto found = m_rows.find(digest);
    if (found == m_rows.end()) {
        return {};
    }
    const row &each = found->second;
    crash_record record;
    record.target = each.identity.outline.target;
    record.bodyBytes = each.identity.outline.bodyBytes;
    record.digest = digest;
    record.era = each.era;
    record.ends.assign(each.ends.begin(), each.ends.end());
    record.retries = each.retries;
    record.isShared = each.isShared;
    record.ageUs = (now - each.seenAt).count();
    return record;
}

std::vector<crash_record> crash_table::sharedRecords(time_point now) const
{
    std::vector<crash_record> found;
    for (const auto &[digest, each] : m_rows) {
        if (each.isShared) {
            found.push_back(recordOf(now, digest));
        }
    }
    return found;
}

std::uint64_t crash_table::stateHash() const
{
    std::uint64_t hash = 0;
    for (const auto &[digest, each] : m_rows) {
        if (!each.isShared) {
            continue;
        }
        std::vector<std::uint64_t> numbers{ digest, each.era, each.retries[0], each.retries[1] };
        numbers.insert(numbers.end(), each.ends.begin(), each.ends.end());
        hash = stableHash({ reinterpret_cast<const char *>(numbers.data()), numbers.size() * sizeof(std::uint64_t) }, hash);
    }
    return hash;
}

std::vector<std::uint64_t> crash_table::expire(time_point now)
{
    std::vector<std::uint64_t> old;
    for (const auto &[digest, each] : m_rows) {
        if (now - each.seenAt > m_options.lifetime) {
            old.push_back(digest);
        }
    }
    for (const std::uint64_t digest : old) {
        erase(digest);
    }
    return old;
}

crash_table::row &crash_table::make(time_point now, const request_identity &identity)
{
    const auto found = m_rows.find(identity.digest);
    if (found != m_rows.end()) {
        return found->second;
    }
    makeRoom();
    ++m_outlines[identity.outline];
    row fresh;
    fresh.identity = identity;
    fresh.seenAt = now;
    return m_rows.emplace(identity.digest, std::move(fresh)).first->second;
}

/** Forgets the row under which the fewest servers ended, of these the one that was not seen for the longest time. */
void crash_table::makeRoom()
{
    if (m_rows.size() < m_options.maxRows) {
        return;
    }
    const auto least = std::ranges::min_element(m_rows, {}, [](const auto &each) {
        return std::pair(each.second.ends.size(), each.second.seenAt);
    });
    erase(least->first);
}

void crash_table::erase(std::uint64_t digest)
{
    const auto found = m_rows.find(digest);
    const auto outline = m_outlines.find(found->second.identity.outline);
    if (--outline->second == 0) {
        m_outlines.erase(outline);
    }
    m_rows.erase(found);
}

} // namespace reedtrail
