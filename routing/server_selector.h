/**
 * @file
 * Chooses a server for one request.
 *
 *     server_choice choice(options, seed);
 *     std::uint32_t server = choice.choose(now, servers, prefixes, wish);      // noIndex if none has room
 */
#pragma once

#include "base/random.h"
#include "routing/prefix_index.h"
#include "routing/server_table.h"

#include <cstdint>
#include <span>
#include <vector>

namespace reedtrail {

/** What a request needs of a server. */
struct server_criteria
{
    std::uint32_t pool = noIndex;
    weight_version minimumVersion = 0;
    std::span<const std::uint64_t> prefixHashes; ///< Longest last.
    std::span<const std::uint32_t> tried; ///< Servers that already refused or failed it.
    bool leavesReserve = false; ///< Whether a server's reserve must stay free.
    bool hasWaited = false; ///< Whether other gates' requests wait for the same room.
    double expectedSeconds = 0; ///< Time to answer on a server of normal speed; 0 if not known.
    double secondsLeft = 0; ///< Until the deadline.
};

/** The choice, with its own seeded random source and a ring for each pool. */
class server_selector
{
public:
    server_selector(const scheduler_options &options, std::uint64_t seed);

    /** Rebuilds the rings after the pools' servers changed. */
    void rebuild(const server_table &servers);
    /** Chooses a server. @return its index, or noIndex if no server that may serve the request has room */
    std::uint32_t choose(time_point now, server_table &servers, prefix_index &prefixes, const server_criteria &wish);
    /** Chooses among the servers where the request's prefix belongs. @return its index, or noIndex if none of them accepts it */
    std::uint32_t chooseByPrefix(time_point now, server_table &servers, prefix_index &prefixes, const server_criteria &wish);

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
    /** What the index knows of a request's prefix. */
    struct known_prefix
    {
        std::uint32_t blocks = 0; ///< Of the longest prefix that some server holds.
        prefix_index::holders holders{ noIndex, noIndex, noIndex, noIndex };
    };
    /** Where on the ring the search for a prefix starts. */
    struct ring_start
    {
        std::uint64_t hash = 0;
        std::uint32_t blocks = 0; ///< Length of the prefix that is searched for.
        std::uint64_t parts = 1; ///< Places on the ring among which the prefix is spread.
        double frequency = 0; ///< 0 for a rare prefix to 1 for one so frequent that several servers hold it.
    };
    bool fits(const server_table &servers, const server_row &row, const server_criteria &wish) const;
    double cost(time_point now, const server_table &servers, const server_row &row, const server_criteria &wish, std::uint32_t cachedBlocks) const;
    void
    consider(time_point now, candidate &best, const server_table &servers, const server_criteria &wish, std::uint32_t server, std::uint32_t cachedBlocks) const;
    bool accepts(time_point now, const server_table &servers, std::uint32_t server, const server_criteria &wish, bool isForPrefix);
    known_prefix findKnown(prefix_index &prefixes, const server_criteria &wish) const;
    void considerPrefix(time_point now, candidate &best, server_table &servers, prefix_index &prefixes, const server_criteria &wish);
    ring_start startOf(prefix_index &prefixes, const server_table &servers, const server_criteria &wish, const known_prefix &known);
    bool takesForPrefix(time_point now, server_table &servers, std::uint32_t server, const server_criteria &wish, const ring_start &start);
    std::uint32_t walkRing(time_point now, server_table &servers, const server_criteria &wish, const ring_start &start);
    void considerDraws(time_point now, candidate &best, const server_table &servers, const server_criteria &wish);
    std::uint32_t scan(const server_table &servers, const server_criteria &wish);

    const scheduler_options &m_options;
    random_source m_random;
    std::vector<std::vector<ring_point>> m_rings; ///< By pool.
};

} // namespace reedtrail
