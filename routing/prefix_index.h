/**
 * @file
 * Which servers probably hold the prefix cache of which prompt prefix.
 *
 * Learned from own sends and from cache events; both may be wrong or late, so it is a hint for routing and nothing else.
 */
#pragma once

#include "routing/request_list.h"

#include <array>
#include <cstdint>
#include <span>
#include <vector>

namespace reedtrail {

/** The index: a set-associative table of fixed size, in which the least recently used entry of a set gives way. */
class prefix_index
{
public:
    static constexpr std::size_t holderCount = 4; ///< Servers remembered for one prefix.

    /** Servers of one prefix, newest first; unused places are noIndex. */
    using holders = std::array<std::uint32_t, holderCount>;

    /** @param bound most prefixes remembered */
    explicit prefix_index(std::size_t bound);

    /** Notes that @p server holds @p prefix. */
    void add(std::uint64_t prefix, std::uint32_t server);
    /** Notes that @p server no longer holds @p prefix. */
    void remove(std::uint64_t prefix, std::uint32_t server);
    /** Forgets all that was known of @p server. */
    void forget(std::uint32_t server);
    /** Returns the servers that hold @p prefix; all noIndex if none is known. */
    holders find(std::uint64_t prefix);
    /** Notes a request with @p prefix; to be called with the prefix that requests share, once a request. */
    void noteUse(std::uint64_t prefix);
    /** Returns the share of recent requests that had @p prefix, as far as noted. */
    double useShare(std::uint64_t prefix);

private:
    static constexpr std::size_t ways = 4;
    struct entry
    {
        std::uint64_t prefix = 0;
        holders servers{ noIndex, noIndex, noIndex, noIndex };
        std::array<std::uint32_t, holderCount> generations{};
        std::uint32_t usedAt = 0;
        float requests = 0; ///< Noted ones; older ones count less.
        std::uint32_t requestAt = 0; ///< Number of the last one noted.
    };
    std::span<entry> setOf(std::uint64_t prefix);
    entry *lookUp(std::uint64_t prefix);
    std::uint32_t generationOf(std::uint32_t server) const;

    std::vector<entry> m_entries;
    std::vector<std::uint32_t> m_generations; ///< Of each server; what was learned under an older one is void.
    static float fade(std::uint32_t age);

    std::uint32_t m_uses = 0;
    std::uint32_t m_requests = 0;
};

} // namespace reedtrail
