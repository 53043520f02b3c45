// A flat hash table from request id to row. With linear probing and at most half of the buckets in use, a search visits a few adjacent entries. Removal shifts
// the following entries back, so that no tombstones accumulate over weeks. Memory: up to maxRequests rows, and an index of 8 to 16 bytes per possible request.

#include "routing/request_table.h"

#include "base/hash.h"

#include <bit>
#include <utility>

namespace reedtrail {

request_table::request_table(std::size_t maxRequests)
    : m_maxRequests(maxRequests)
    , m_index(std::bit_ceil(maxRequests * 2 + 2), noIndex)
{
}

std::uint32_t request_table::find(const request_id &id) const
{
    const std::uint64_t hash = stableHash(id.view());
    for (std::size_t bucket = homeBucket(hash); m_index[bucket] != noIndex; bucket = (bucket + 1) & (m_index.size() - 1)) {
        const request_row &row = m_rows[m_index[bucket]];
        if (row.idHash == hash && row.request.id == id) {
            return m_index[bucket];
        }
    }
    return noIndex;
}

std::uint32_t request_table::add(arriving_request request)
{
    if (m_size >= m_maxRequests || find(request.id) != noIndex) {
        return noIndex;
    }
    if (m_free.empty()) {
        m_rows.emplace_back();
        m_free.reserve(m_rows.capacity());
        m_free.push_back(static_cast<std::uint32_t>(m_rows.size() - 1));
    }
    const std::uint32_t index = m_free.back();
    m_free.pop_back();
    request_row &row = m_rows[index];
    const std::uint32_t generation = row.generation + 1;
    row = request_row{};
    row.generation = generation;
    row.idHash = stableHash(request.id.view());
    row.request = std::move(request);
    row.isUsed = true;
    std::size_t bucket = homeBucket(row.idHash);
    while (m_index[bucket] != noIndex) {
        bucket = (bucket + 1) & (m_index.size() - 1);
    }
    m_index[bucket] = index;
    ++m_size;
    return index;
}

std::size_t request_table::bucketOf(std::uint32_t index) const
{
    std::size_t bucket = homeBucket(m_rows[index].idHash);
    while (m_index[bucket] != index) {
        REEDTRAIL_CHECK(m_index[bucket] != noIndex, "every row in use is in the index");
        bucket = (bucket + 1) & (m_index.size() - 1);
    }
    return bucket;
}

void request_table::remove(std::uint32_t index)
{
    REEDTRAIL_CHECK(m_rows[index].isUsed, "only a row in use is removed");
    const std::size_t mask = m_index.size() - 1;
    std::size_t hole = bucketOf(index);
    for (std::size_t next = (hole + 1) & mask; m_index[next] != noIndex; next = (next + 1) & mask) {
        const std::size_t nextHome = homeBucket(m_rows[m_index[next]].idHash);
        // The entry moves into the hole unless that would put it before its home bucket.
        if (((next - nextHome) & mask) >= ((next - hole) & mask)) {
            m_index[hole] = m_index[next];
            hole = next;
        }
    }
    m_index[hole] = noIndex;
    m_rows[index].isUsed = false;
    m_rows[index].request.prefixHashes.clear();
    m_free.push_back(index);
    --m_size;
}

} // namespace reedtrail
