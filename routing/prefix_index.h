/**
 * @file
 * Tells which servers probably hold the prefix cache of a prompt prefix.
 *
 * The index learns from the gate's own requests and from cache events. Both may be wrong or late, so the result is only a hint for routing.
 */
#pragma once

#include "routing/request_list.h"

#include <array>
#include <cstdint>
#include <span>
#include <vector>

namespace reedtrail {

/** Set-associative table of fixed size that evicts the least recently used entry of a set. */
class prefix_index
{
public:
    static constexpr std::size_t holderCount = 4; ///< Most servers kept for one prefix.

    /** Servers of one prefix, most recent first; unused elements are noIndex. */
    using holders = std::array<std::uint32_t, holderCount>;

    /** @param capacity most prefixes kept; rounded down to a power of two, at least one set */
    explicit prefix_index(std::size_t capacity);

    /** Records that @p server holds @p prefix. */
    void add(std::uint64_t prefix, std::uint32_t server);
    /** Records that @p server no longer holds @p prefix. */
    void remove(std::uint64_t prefix, std::uint32_t server);
    /** Discards all entries of @p server. */
    void forget(std::uint32_t server);
    /** Returns the servers that probably hold @p prefix; all noIndex if none is known. */
    holders find(std::uint64_t prefix);
    /** Records a request with @p prefix; to be called once per request, with the prefix that it shares with other requests. */
    void recordUse(std::uint64_t prefix);
    /** Returns the share of recent requests with @p prefix among those recorded by recordUse(). */
    double requestShare(std::uint64_t prefix);

private:
    static constexpr std::size_t ways = 4; ///< Entries per set.
    struct entry
    {
        std::uint64_t prefix = 0;
        holders servers{ noIndex, noIndex, noIndex, noIndex };
        std::array<std::uint32_t, holderCount> generations{}; ///< Generation of each server when it was added.
        std::uint32_t lastUse = 0; ///< Value of m_useCount at the last look-up; 0 if the entry is unused.
        float decayedRequests = 0; ///< Recorded requests, exponentially decayed.
        std::uint32_t lastRequest = 0; ///< Value of m_requestCount at the last recorded request.
    };
    std::span<entry> setFor(std::uint64_t prefix);
    entry *lookUp(std::uint64_t prefix);
    std::uint32_t generationOf(std::uint32_t server) const;

    std::vector<entry> m_entries;
    std::vector<std::uint32_t> m_generations; ///< Current generation of each server; entries of an older one are invalid.
    static float decay(std::uint32_t age);

    std::uint32_t m_useCount = 0;
    std::uint32_t m_requestCount = 0;
};

} // namespace reedtrail
