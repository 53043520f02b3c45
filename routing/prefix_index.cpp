// A set-associative table as in a processor cache: a hash selects a set of four entries, and the one unused for longest gives way. A search reads one set, and
// memory is fixed at the bound × 64 bytes. Forgetting a server after a gap in its events costs nothing: its generation rises, and older entries are void.

#include "routing/prefix_index.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace reedtrail {

namespace {
constexpr std::uint64_t setMultiplier = 0x9E3779B97F4A7C15U;
constexpr float memoryRequests = 2000; ///< Requests after which an older one counts 1/e.
} // namespace

prefix_index::prefix_index(std::size_t bound)
    : m_entries(std::max(ways, std::bit_floor(std::max<std::size_t>(bound, 1))))
{
}

std::span<prefix_index::entry> prefix_index::setOf(std::uint64_t prefix)
{
    const std::uint64_t sets = m_entries.size() / ways;
    return std::span(m_entries).subspan(((prefix * setMultiplier) >> 32U) % sets * ways, ways);
}

prefix_index::entry *prefix_index::lookUp(std::uint64_t prefix)
{
    for (entry &candidate : setOf(prefix)) {
        if (candidate.prefix == prefix && candidate.usedAt != 0) {
            candidate.usedAt = ++m_uses;
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
    entry *found = lookUp(prefix);
    if (found == nullptr) {
        const std::span<entry> set = setOf(prefix);
        found = &*std::ranges::min_element(set, {}, &entry::usedAt);
        *found = entry{};
        found->prefix = prefix;
        found->usedAt = ++m_uses;
    }
    // Moves the server to the front, over its own old place or the oldest one.
    std::size_t place = 0;
    while (place + 1 < holderCount && found->servers[place] != server) {
        ++place;
    }
    for (; place > 0; --place) {
        found->servers[place] = found->servers[place - 1];
        found->generations[place] = found->generations[place - 1];
    }
    found->servers[0] = server;
    found->generations[0] = generationOf(server);
}

void prefix_index::remove(std::uint64_t prefix, std::uint32_t server)
{
    entry *found = lookUp(prefix);
    if (found == nullptr) {
        return;
    }
    for (std::size_t place = 0; place < holderCount; ++place) {
        if (found->servers[place] == server) {
            found->servers[place] = noIndex;
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
    const entry *found = lookUp(prefix);
    if (found == nullptr) {
        return result;
    }
    for (std::size_t place = 0; place < holderCount; ++place) {
        const std::uint32_t server = found->servers[place];
        if (server != noIndex && found->generations[place] == generationOf(server)) {
            result[place] = server;
        }
    }
    return result;
}

float prefix_index::fade(std::uint32_t age)
{
    return std::exp(-static_cast<float>(age) / memoryRequests);
}

void prefix_index::noteUse(std::uint64_t prefix)
{
    ++m_requests;
    if (entry *found = lookUp(prefix)) {
        found->requests = found->requests * fade(m_requests - found->requestAt) + 1;
        found->requestAt = m_requests;
    }
}

double prefix_index::useShare(std::uint64_t prefix)
{
    const entry *found = lookUp(prefix);
    if (found == nullptr) {
        return 0;
    }
    const float seen = memoryRequests * (1 - fade(m_requests));
    return found->requests * fade(m_requests - found->requestAt) / std::max(seen, 1.0F);
}

} // namespace reedtrail
