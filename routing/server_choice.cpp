// Theory. All gates see the same reports, a second old. If each sent to the least loaded server, the one that last reported idle would get everything
// (herding). So servers are drawn at random with a probability that falls with their load (load interpretation, Dahlin, "Interpreting stale load information",
// ICDCS 1999) and rises with their speed, and the best of a few draws is taken (power of d choices, Mitzenmacher 1996).
//
// Prompts that share a prefix should meet on a server that has it cached. Servers known to hold the longest known prefix join the draws as long as their load
// stays near the pool's mean (consistent hashing with bounded loads, Mirrokni et al. 2016). If no holder is known, a ring names the same server on each gate,
// so that gates agree without a message.
//
// Cost of a choice: a constant number of draws, a search in a ring (logarithmic) and a few entries of the prefix index; no memory is allocated.

#include "routing/server_choice.h"

#include "base/hash.h"

#include <algorithm>

namespace reedtrail {

namespace {

constexpr std::uint32_t pointsPerServer = 32;
constexpr std::uint32_t drawsPerChoice = 6; ///< Draws until one is accepted; the last is taken anyway.
constexpr std::uint32_t ringCandidates = 2;
constexpr double leastAcceptance = 0.05;
constexpr double firstTokenSeconds = 0.1; ///< Time to the first token of a prompt on an idle server of normal speed.
constexpr double loadSeconds = 0.02; ///< Cost of a full batch against an empty one.

/** Returns the mean of max(0, x) for x spread by @p deviation around @p mean: a parabola between two deviations below and above, which is within a tenth of the
 * normal distribution's. */
double expectedExcess(double mean, double deviation)
{
    if (mean >= 2 * deviation) {
        return std::max(0.0, mean);
    }
    if (mean <= -2 * deviation) {
        return 0;
    }
    const double above = mean + 2 * deviation;
    return above * above / (8 * deviation);
}

} // namespace

server_choice::server_choice(const scheduler_options &options, std::uint64_t seed)
    : m_options(options)
    , m_random(seed)
{
}

void server_choice::rebuild(const server_table &servers)
{
    m_rings.assign(servers.poolCount(), {});
    for (std::uint32_t pool = 0; pool < servers.poolCount(); ++pool) {
        std::vector<ring_point> &ring = m_rings[pool];
        ring.reserve(servers.pool(pool).servers.size() * pointsPerServer);
        for (const std::uint32_t server : servers.pool(pool).servers) {
            for (std::uint32_t point = 0; point < pointsPerServer; ++point) {
                ring.push_back({ stableHash(servers.server(server).id.view(), point + 1), server });
            }
        }
        std::ranges::sort(ring, {}, &ring_point::hash);
    }
}

bool server_choice::fits(const server_table &servers, const server_row &row, const server_wish &wish) const
{
    if (wish.minimumVersion > 0 && (row.isVersionUnknown || row.version < wish.minimumVersion)) {
        return false;
    }
    const double limit = wish.leavesReserve ? row.slots * (1 - m_options.reservedShare) : servers.limit(row);
    return row.openPosition != noIndex && row.load() + 1 <= limit
        && std::ranges::find(wish.tried, static_cast<std::uint32_t>(&row - &servers.server(0))) == wish.tried.end();
}

double server_choice::cost(time_point now, const server_table &servers, const server_row &row, const server_wish &wish, std::uint32_t cachedBlocks) const
{
    const pool_row &pool = servers.pool(row.pool);
    const double ahead = expectedExcess(row.load() + 1 - row.slots, servers.uncertainty(now, row));
    const double wait = ahead * pool.serviceSeconds / row.slots;
    const double batch = loadSeconds * row.load() / row.slots;
    const double saving = cachedBlocks * m_options.prefixSavingSeconds;
    const double zone = row.isOwnZone ? 0 : m_options.otherZoneSeconds;
    const double late = std::max(0.0, wish.expectedSeconds / row.speed - wish.secondsLeft);
    return (wait + batch + firstTokenSeconds - saving) / row.speed + zone + late;
}

void server_choice::consider(time_point now,
                             candidate &best,
                             const server_table &servers,
                             const server_wish &wish,
                             std::uint32_t server,
                             std::uint32_t cachedBlocks) const
{
    const double value = cost(now, servers, servers.server(server), wish, cachedBlocks);
    if (best.server == noIndex || value < best.cost) {
        best = { server, value };
    }
}

std::uint32_t server_choice::sample(time_point now, const server_table &servers, const server_wish &wish)
{
    const std::vector<std::uint32_t> &open = servers.pool(wish.pool).open;
    std::uint32_t last = noIndex;
    for (std::uint32_t draw = 0; draw < drawsPerChoice; ++draw) {
        const std::uint32_t server = open[m_random.below(open.size())];
        const server_row &row = servers.server(server);
        if (!fits(servers, row, wish)) {
            continue;
        }
        last = server;
        const double headroom = 1 - row.load() / servers.limit(row);
        const double acceptance = std::max(leastAcceptance, headroom) * servers.trust(now, row) * row.speed;
        if (m_random.unit() < acceptance) {
            return server;
        }
    }
    return last;
}

bool server_choice::isWithinBound(time_point now, const server_table &servers, const server_row &row, const server_wish &wish) const
{
    const double bound = std::max(m_options.affinityLoadBound * servers.pool(row.pool).meanLoad * row.slots, 1.0);
    return fits(servers, row, wish) && row.load() < bound && servers.trust(now, row) >= 1;
}

void server_choice::considerHolders(time_point now, candidate &best, const server_table &servers, prefix_index &prefixes, const server_wish &wish)
{
    for (std::size_t blocks = wish.prefixHashes.size(); blocks > 0; --blocks) {
        bool isKnown = false;
        for (const std::uint32_t server : prefixes.find(wish.prefixHashes[blocks - 1])) {
            if (server == noIndex || servers.server(server).pool != wish.pool) {
                continue;
            }
            isKnown = true;
            if (isWithinBound(now, servers, servers.server(server), wish)) {
                consider(now, best, servers, wish, server, static_cast<std::uint32_t>(blocks));
            }
        }
        if (isKnown) {
            return;
        }
    }
}

void server_choice::considerRing(time_point now, candidate &best, const server_table &servers, const server_wish &wish)
{
    const std::vector<ring_point> &ring = m_rings[wish.pool];
    if (ring.empty() || wish.prefixHashes.empty()) {
        return;
    }
    auto point = std::ranges::lower_bound(ring, wish.prefixHashes.front(), {}, &ring_point::hash);
    std::uint32_t previous = noIndex;
    for (std::uint32_t found = 0, steps = 0; found < ringCandidates && steps < pointsPerServer; ++steps, ++point) {
        point = point == ring.end() ? ring.begin() : point;
        if (point->server == previous) {
            continue;
        }
        previous = point->server;
        ++found;
        if (isWithinBound(now, servers, servers.server(previous), wish)) {
            consider(now, best, servers, wish, previous, 1);
        }
    }
}

std::uint32_t server_choice::scan(const server_table &servers, const server_wish &wish)
{
    const std::vector<std::uint32_t> &open = servers.pool(wish.pool).open;
    const std::size_t start = m_random.below(open.size());
    for (std::size_t step = 0; step < open.size(); ++step) {
        const std::uint32_t server = open[(start + step) % open.size()];
        if (fits(servers, servers.server(server), wish)) {
            return server;
        }
    }
    return noIndex;
}

std::uint32_t server_choice::choose(time_point now, const server_table &servers, prefix_index &prefixes, const server_wish &wish)
{
    if (servers.pool(wish.pool).open.empty()) {
        return noIndex;
    }
    candidate best;
    for (std::uint32_t choice = 0; choice < m_options.choices; ++choice) {
        const std::uint32_t server = sample(now, servers, wish);
        if (server != noIndex) {
            consider(now, best, servers, wish, server, 0);
        }
    }
    considerHolders(now, best, servers, prefixes, wish);
    considerRing(now, best, servers, wish);
    return best.server != noIndex ? best.server : scan(servers, wish);
}

} // namespace reedtrail
