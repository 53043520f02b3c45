/**
 * @file
 * The requests under way on one gate, found by id.
 *
 * Rows are reused and the index is a flat table, so that a request that comes and goes allocates nothing once the table has grown to its working size.
 */
#pragma once

#include "routing/request_list.h"
#include "routing/request_scheduler.h"

#include <array>
#include <cstdint>
#include <vector>

namespace reedtrail {

/** Most servers that are remembered as having refused or failed one request. */
inline constexpr std::size_t maxTriedServers = 4;

/** One request. */
struct request_row
{
    arriving_request request;
    std::uint64_t idHash = 0;
    std::uint32_t pool = noIndex;
    std::uint32_t flow = noIndex; ///< Index of the customer's queue in its pool.
    std::uint32_t run = noIndex; ///< Index of the run's queue in the flow; noIndex for interactive requests.
    std::uint32_t server = noIndex; ///< Of the open attempt.
    std::uint32_t attempt = 0; ///< Number of the newest attempt; 0 before the first.
    std::uint32_t generation = 0; ///< Rises with each reuse of the row.
    time_point arrivedAt;
    time_point sentAt;
    bool isUsed = false;
    bool isWaiting = false;
    bool hasToken = false;
    bool mayHaveRun = false; ///< Whether any attempt may have run.
    bool isOverShare = false; ///< Whether it was sent while its customer was above its share.
    std::array<std::uint32_t, maxTriedServers> tried{ noIndex, noIndex, noIndex, noIndex };
};

/** The table. */
class request_table
{
public:
    /** @param bound most requests at once */
    explicit request_table(std::size_t maxRequests);

    /** Adds a request. @return its index, or noIndex if the table is full or the id is in use */
    std::uint32_t add(arriving_request request);
    /** Returns the index of @p id, or noIndex. */
    std::uint32_t find(const request_id &id) const;
    /** Forgets a request. */
    void remove(std::uint32_t index);
    request_row &operator[](std::uint32_t index)
    {
        return m_rows[index];
    }
    const request_row &operator[](std::uint32_t index) const
    {
        return m_rows[index];
    }
    /** Returns the number of requests. */
    std::size_t size() const
    {
        return m_size;
    }
    /** Returns one more than the highest index ever used. */
    std::size_t rowCount() const
    {
        return m_rows.size();
    }

private:
    std::size_t homeBucket(std::uint64_t hash) const
    {
        return hash & (m_index.size() - 1);
    }
    std::size_t bucketOf(std::uint32_t index) const;

    std::size_t m_maxRequests;
    std::size_t m_size = 0;
    std::vector<request_row> m_rows;
    std::vector<std::uint32_t> m_free;
    std::vector<std::uint32_t> m_index; ///< Open addressing, linear probing; at most half full.
};

} // namespace reedtrail
