// A set-associative table as in a processor cache: a hash selects a set of four entries, and the least recently used one is evicted. A look-up reads one set,
// and memory is fixed at capacity × 64 bytes. Discarding a server's entries after lost cache events costs O(1): the server's generation is incremented, which
// invalidates all older entries.

#include "routing/prefix_index.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace reedtrail {

namespace {
constexpr std::uint64_t setMultiplier = 0x9E3779B97F4A7C15U;
constexpr float decayRequests = 2000; ///< Number of later requests after which a request counts 1/e.
} // namespace

prefix_index::prefix_index(std::size_t capacity)
    : m_entries(std::max(ways, std::bit_floor(std::max<std::size_t>(capacity, 1))))
{
}

std::span<prefix_index::entry> prefix_index::setFor(std::uint64_t prefix)
{
    const std::uint64_t sets = m_entries.size() / ways;
    return std::span(m_entries).subspan(((prefix * setMultiplier) >> 32U) % sets * ways, ways);
}

prefix_index::entry *prefix_index::lookUp(std::uint64_t prefix)
{
    for (entry &candidate : setFor(prefix)) {
        if (candidate.prefix == prefix && candidate.lastUse != 0) {
            candidate.lastUse = ++m_useCount;
            return &candidate;
        }
    }
    return nullptr;
}

std::uint32_t prefix_index::generationOf(std::uint32_t server) const
{
    return server < m_generations.size() ? m_generations[server] : 0;
}

void prefix_index::add(std::uint64_t prefix, std::uint32_t server)
{
    entry *match = lookUp(prefix);
    if (match == nullptr) {
        const std::span<entry> set = setFor(prefix);
        match = &*std::ranges::min_element(set, {}, &entry::lastUse);
        *match = entry{};
        match->prefix = prefix;
        match->lastUse = ++m_useCount;
    }
    // Moves the server to the front, overwriting its previous element or, if it is new, the oldest one.
    std::size_t position = 0;
    while (position + 1 < holderCount && match->servers[position] != server) {
        ++position;
    }
    for (; position > 0; --position) {
        match->servers[position] = match->servers[position - 1];
        match->generations[position] = match->generations[position - 1];
    }
    match->servers[0] = server;
    match->generations[0] = generationOf(server);
}

void prefix_index::remove(std::uint64_t prefix, std::uint32_t server)
{
    entry *match = lookUp(prefix);
    if (match == nullptr) {
        return;
    }
    for (std::size_t position = 0; position < holderCount; ++position) {
        if (match->servers[position] == server) {
            match->servers[position] = noIndex;
        }
    }
}

void prefix_index::forget(std::uint32_t server)
{
    if (server >= m_generations.size()) {
        m_generations.resize(server + 1, 0);
    }
    ++m_generations[server];
}

prefix_index::holders prefix_index::find(std::uint64_t prefix)
{
    holders result{ noIndex, noIndex, noIndex, noIndex };
    const entry *match = lookUp(prefix);
    if (match == nullptr) {
        return result;
    }
    for (std::size_t position = 0; position < holderCount; ++position) {
        const std::uint32_t server = match->servers[position];
        if (server != noIndex && match->generations[position] == generationOf(server)) {
            result[position] = server;
        }
    }
    return result;
}

float prefix_index::decay(std::uint32_t age)
{
    return std::exp(-static_cast<float>(age) / decayRequests);
}

void prefix_index::recordUse(std::uint64_t prefix)
{
    ++m_requestCount;
    if (entry *match = lookUp(prefix)) {
        match->decayedRequests = match->decayedRequests * decay(m_requestCount - match->lastRequest) + 1;
        match->lastRequest = m_requestCount;
    }
}

double prefix_index::requestShare(std::uint64_t prefix)
{
    const entry *match = lookUp(prefix);
    if (match == nullptr) {
        return 0;
    }
    const float seen = decayRequests * (1 - decay(m_requestCount));
    return match->decayedRequests * decay(m_requestCount - match->lastRequest) / std::max(seen, 1.0F);
}

} // namespace reedtrail
