/**
 * @file
 * Selects a backend server for one request.
 *
 *     server_selector selector(options, seed);
 *     std::uint32_t server = selector.choose(now, servers, prefixes, criteria);    // noIndex if no eligible server has room
 */
#pragma once

#include "base/random.h"
#include "routing/prefix_index.h"
#include "routing/server_table.h"

#include <cstdint>
#include <span>
#include <vector>

namespace reedtrail {

/** Requirements of one request. */
struct server_criteria
{
    std::uint32_t pool = noIndex; ///< Index of the pool.
    weight_version minimumVersion = 0; ///< Lowest acceptable weight version; 0 for any.
    std::span<const std::uint64_t> prefixHashes; ///< Hashes of the prompt's prefixes, the longest last.
    std::span<const std::uint32_t> tried; ///< Servers that already refused the request or failed it.
    bool mustLeaveReserve = false; ///< Whether the reserve for customers below their share must stay free on the server.
    bool hasWaited = false; ///< Whether the request has waited, so that it competes with other gates' waiting requests for the same room.
    double expectedSeconds = 0; ///< Expected service time on a server of normal speed; 0 if unknown.
    double secondsLeft = 0; ///< Seconds until the request's deadline.
};

/** Selector with its own seeded random source and a consistent-hashing ring for each pool. */
class server_selector
{
public:
    server_selector(const scheduler_options &options, std::uint64_t seed);

    /** Rebuilds the rings; to be called when the servers of any pool have changed. */
    void rebuild(const server_table &servers);
    /** Selects a server by expected cost. @return its index, or noIndex if no eligible server has room */
    std::uint32_t choose(time_point now, server_table &servers, prefix_index &prefixes, const server_criteria &criteria);
    /** Selects among the servers that the ring assigns to the request's prefix. @return its index, or noIndex if none of them accepts the request */
    std::uint32_t chooseByPrefix(time_point now, server_table &servers, prefix_index &prefixes, const server_criteria &criteria);

private:
    struct ring_point
    {
        std::uint64_t hash;
        std::uint32_t server;
    };
    struct candidate
    {
        std::uint32_t server = noIndex;
        double cost = 0;
    };
    /** Longest prefix of a request for which the prefix index knows a server. */
    struct known_prefix
    {
        std::uint32_t blocks = 0; ///< Length of the prefix in blocks; 0 if no server is known to hold any.
        prefix_index::holders holders{ noIndex, noIndex, noIndex, noIndex };
    };
    /** Parameters of the ring search for one prefix. */
    struct ring_query
    {
        std::uint64_t hash = 0;
        std::uint32_t blocks = 0; ///< Length of the prefix in blocks.
        std::uint64_t positions = 1; ///< Number of ring positions among which the requests with this prefix are spread.
        double frequency = 0; ///< From 0 for a rare prefix to 1 for one so frequent that several servers hold it.
    };
    /** Tells whether the server has room for the request, meets its requirements and has not been tried yet. */
    bool isEligible(const server_table &servers, const server_row &row, const server_criteria &criteria) const;
    /** Returns the expected cost in seconds of sending the request to the server. @param cachedBlocks prefix blocks that the server has cached */
    double cost(time_point now, const server_table &servers, const server_row &row, const server_criteria &criteria, std::uint32_t cachedBlocks) const;
    /** Replaces @p best by the server if that is cheaper. */
    void consider(
        time_point now, candidate &best, const server_table &servers, const server_criteria &criteria, std::uint32_t server, std::uint32_t cachedBlocks) const;
    /** Tells whether the server is eligible and accepts the request, by a random draw unless the request has waited. */
    bool accepts(time_point now, const server_table &servers, std::uint32_t server, const server_criteria &criteria, bool isForPrefix);
    known_prefix findKnownPrefix(prefix_index &prefixes, const server_criteria &criteria) const;
    /** Considers servers that probably have the request's prefix cached. */
    void considerPrefix(time_point now, candidate &best, server_table &servers, prefix_index &prefixes, const server_criteria &criteria);
    ring_query ringQueryFor(prefix_index &prefixes, const server_table &servers, const server_criteria &criteria, const known_prefix &knownPrefix);
    bool acceptsForPrefix(time_point now, server_table &servers, std::uint32_t server, const server_criteria &criteria, const ring_query &query);
    /** Returns the first server on the ring that accepts the request, or noIndex. */
    std::uint32_t walkRing(time_point now, server_table &servers, const server_criteria &criteria, const ring_query &query);
    /** Considers servers drawn at random (power of d choices). */
    void considerRandom(time_point now, candidate &best, const server_table &servers, const server_criteria &criteria);
    /** Returns the first eligible server from a random start, or noIndex. */
    std::uint32_t scanAvailable(const server_table &servers, const server_criteria &criteria);

    const scheduler_options &m_options;
    random_source m_random;
    std::vector<std::vector<ring_point>> m_rings; ///< By pool index, sorted by hash.
};

} // namespace reedtrail
