/**
 * @file
 * Hash table of the requests in progress on one gate.
 *
 * Rows are reused and the index is a flat table, so adding and removing a request allocates no memory once the table has reached its working size.
 */
#pragma once

#include "routing/request_list.h"
#include "routing/request_scheduler.h"

#include <array>
#include <cstdint>
#include <vector>

namespace reedtrail {

/** Number of servers remembered per request that refused or failed it. */
inline constexpr std::size_t maxTriedServers = 4;

/** State of one request. */
struct request_row
{
    arriving_request request;
    std::uint64_t idHash = 0;
    std::uint32_t pool = noIndex;
    std::uint32_t flow = noIndex; ///< Index of the customer's flow in its pool's fair_queue.
    std::uint32_t run = noIndex; ///< Index of the run's queue in the flow; noIndex for an interactive request.
    std::uint32_t server = noIndex; ///< Server of the current attempt.
    std::uint32_t attempt = 0; ///< Number of the last attempt, from 1; 0 before the first.
    std::uint32_t generation = 0; ///< Increases with each reuse of the row.
    time_point arrivedAt;
    time_point sentAt; ///< Time of the last attempt.
    bool isUsed = false;
    bool isWaiting = false;
    bool hasFirstToken = false; ///< Whether a server has returned the first token; such a request is not retried.
    bool mayHaveRun = false; ///< Whether a server may have started any attempt.
    bool isOverShare = false; ///< Whether it was dispatched while its customer was above its fair share.
    std::array<std::uint32_t, maxTriedServers> tried{ noIndex, noIndex, noIndex, noIndex };
};

/** Table of requests. */
class request_table
{
public:
    /** @param maxRequests capacity of the table */
    explicit request_table(std::size_t maxRequests);

    /** Adds a request. @return its index; noIndex if the table is full or the id is in use */
    std::uint32_t add(arriving_request request);
    /** Returns the index of the request with @p id; noIndex if there is none. */
    std::uint32_t find(const request_id &id) const;
    /** Removes a request. */
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
    /** Returns the number of rows, used or free: one more than the highest index so far. */
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
    std::vector<std::uint32_t> m_index; ///< Row by bucket: open addressing with linear probing, at most half full.
};

} // namespace reedtrail
