// Theory. All gates see the same reports, a second old. If each sent to the least loaded server, the one that last reported idle would get everything
// (herding), and the pool's load would swing with a period of a few lags. So no choice follows the reported load steeply: a server accepts a request with a
// probability that falls over a width as large as the load that the pool renews within the age of a report (server_table::acceptance; load interpretation,
// Dahlin, "Interpreting stale load information", ICDCS 1999). Of a few servers that accept, the cheapest is taken (power of d choices, Mitzenmacher 1996); load
// enters the cost only where it would make the request wait.
//
// Prompts that share a prefix should meet on a server that has it cached. A ring names the same few servers on each gate in the same order, so that gates agree
// without a message, and a prefix spreads over as many of them as its load needs (consistent hashing with bounded loads, Mirrokni et al. 2016). Servers known
// from cache events to hold the prefix stand in when none of those accepts.
//
// A request that has waited competes with all other gates' waiting requests for the same little room: there every gate takes only its own part of the room that
// a report shows (server_table::hasOwnRoom).
//
// Cost of a choice: a constant number of draws, a search in a ring (logarithmic) and a few entries of the prefix index; no memory is allocated. Only a request
// that has waited looks through all servers with room.

#include "routing/server_selector.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>

namespace reedtrail {

namespace {

constexpr std::uint32_t pointsPerServer = 64;
constexpr std::uint32_t drawsPerChoice = 6;
constexpr std::uint32_t ringCandidates = 12; ///< Servers of the ring that are asked for one prefix.
constexpr double loadOfOnePart = 0.5; ///< A prefix is spread so that none of its servers gets more than this part of its normal load from it.
constexpr double mostParts = 256;
constexpr std::uint64_t partMultiplier = 0xD6E8FEB86659FD93U; ///< Sends the parts of a prefix to places far apart on the ring.
constexpr double firstTokenSeconds = 0.1; ///< Time to the first token of a prompt on an idle server of normal speed.
constexpr double loadSeconds = 0.02; ///< Cost of a full batch against an empty one.

/** Returns the mean of max(0, x) for x spread normally by @p deviation around @p mean; within a twentieth of the deviation. */
double expectedExcess(double mean, double deviation)
{
    const double above = 2 * deviation - std::abs(mean);
    const double tail = above > 0 ? above * above * above / (20 * deviation * deviation) : 0;
    return std::max(0.0, mean) + tail;
}

} // namespace

server_selector::server_selector(const scheduler_options &options, std::uint64_t seed)
    : m_options(options)
    , m_random(seed)
{
}

void server_selector::rebuild(const server_table &servers)
{
    m_rings.assign(servers.poolCount(), {});
    for (std::uint32_t pool = 0; pool < servers.poolCount(); ++pool) {
        std::vector<ring_point> &ring = m_rings[pool];
        ring.reserve(servers.pool(pool).servers.size() * pointsPerServer);
        for (const std::uint32_t server : servers.pool(pool).servers) {
            // One hash seeds the points: hashes of short ids under several seeds collide.
            random_source points(stableHash(servers.server(server).id.view()));
            for (std::uint32_t point = 0; point < pointsPerServer; ++point) {
                ring.push_back({ points.next(), server });
            }
        }
        std::ranges::sort(ring, {}, &ring_point::hash);
    }
}

bool server_selector::fits(const server_table &servers, const server_row &row, const server_criteria &wish) const
{
    if (wish.minimumVersion > 0 && (row.isVersionUnknown || row.version < wish.minimumVersion)) {
        return false;
    }
    if (row.openPosition == noIndex || (wish.leavesReserve && row.load() + 1 > servers.limitWithReserve(row))) {
        return false;
    }
    if (wish.hasWaited && !servers.hasOwnRoom(row, wish.leavesReserve)) {
        return false;
    }
    return std::ranges::find(wish.tried, static_cast<std::uint32_t>(&row - &servers.server(0))) == wish.tried.end();
}

double server_selector::cost(time_point now, const server_table &servers, const server_row &row, const server_criteria &wish, std::uint32_t cachedBlocks) const
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

void server_selector::consider(
    time_point now, candidate &best, const server_table &servers, const server_criteria &wish, std::uint32_t server, std::uint32_t cachedBlocks) const
{
    const double value = cost(now, servers, servers.server(server), wish, cachedBlocks);
    if (best.server == noIndex || value < best.cost) {
        best = { server, value };
    }
}

bool server_selector::accepts(time_point now, const server_table &servers, std::uint32_t server, const server_criteria &wish, bool isForPrefix)
{
    const server_row &row = servers.server(server);
    return fits(servers, row, wish) && (wish.hasWaited || m_random.unit() < servers.acceptance(now, row, isForPrefix));
}

void server_selector::considerDraws(time_point now, candidate &best, const server_table &servers, const server_criteria &wish)
{
    const std::vector<std::uint32_t> &open = servers.pool(wish.pool).open;
    std::uint32_t accepted = 0;
    for (std::uint32_t draw = 0; draw < m_options.choices * drawsPerChoice && accepted < m_options.choices; ++draw) {
        const std::uint32_t server = open[m_random.below(open.size())];
        if (accepts(now, servers, server, wish, false)) {
            ++accepted;
            consider(now, best, servers, wish, server, 0);
        }
    }
}

server_selector::known_prefix server_selector::findKnown(prefix_index &prefixes, const server_criteria &wish) const
{
    known_prefix known;
    for (std::size_t blocks = wish.prefixHashes.size(); blocks > 0 && known.blocks == 0; --blocks) {
        known.holders = prefixes.find(wish.prefixHashes[blocks - 1]);
        if (std::ranges::any_of(known.holders, [](std::uint32_t server) {
                return server != noIndex;
            })) {
            known.blocks = static_cast<std::uint32_t>(blocks);
        }
    }
    return known;
}

server_selector::ring_start server_selector::startOf(prefix_index &prefixes, const server_table &servers, const server_criteria &wish, const known_prefix &known)
{
    const bool isDeep = known.blocks * 2 > wish.prefixHashes.size();
    ring_start start;
    start.blocks = isDeep ? known.blocks : static_cast<std::uint32_t>(wish.prefixHashes.size());
    start.hash = wish.prefixHashes[start.blocks - 1];
    const double load = prefixes.useShare(start.hash) * static_cast<double>(servers.pool(wish.pool).servers.size());
    const auto parts = static_cast<std::uint64_t>(std::min(load / loadOfOnePart, mostParts));
    start.frequency = std::min(1.0, load / loadOfOnePart);
    start.parts = parts + 1;
    return start;
}

bool server_selector::takesForPrefix(time_point now, server_table &servers, std::uint32_t server, const server_criteria &wish, const ring_start &start)
{
    const bool hasToken = wish.hasWaited || servers.hasAffinityToken(now, server, start.frequency);
    return hasToken && accepts(now, servers, server, wish, true);
}

std::uint32_t server_selector::walkRing(time_point now, server_table &servers, const server_criteria &wish, const ring_start &start)
{
    const std::vector<ring_point> &ring = m_rings[wish.pool];
    std::uint32_t previous = noIndex;
    auto point = ring.end();
    for (std::uint32_t found = 0, steps = 0; found < ringCandidates && steps < pointsPerServer; ++steps) {
        if (found == 0 || start.parts > 1) {
            const std::uint64_t part = m_random.below(start.parts);
            point = std::ranges::lower_bound(ring, start.hash + part * partMultiplier, {}, &ring_point::hash);
        } else {
            ++point;
        }
        point = point == ring.end() ? ring.begin() : point;
        if (point->server == previous) {
            continue;
        }
        previous = point->server;
        ++found;
        if (takesForPrefix(now, servers, previous, wish, start)) {
            return previous;
        }
    }
    return noIndex;
}

std::uint32_t server_selector::chooseByPrefix(time_point now, server_table &servers, prefix_index &prefixes, const server_criteria &wish)
{
    if (wish.prefixHashes.empty() || m_rings[wish.pool].empty()) {
        return noIndex;
    }
    const known_prefix known = findKnown(prefixes, wish);
    return walkRing(now, servers, wish, startOf(prefixes, servers, wish, known));
}

void server_selector::considerPrefix(time_point now, candidate &best, server_table &servers, prefix_index &prefixes, const server_criteria &wish)
{
    if (wish.prefixHashes.empty() || m_rings[wish.pool].empty()) {
        return;
    }
    const known_prefix known = findKnown(prefixes, wish);
    const ring_start start = startOf(prefixes, servers, wish, known);
    prefixes.noteUse(wish.prefixHashes[start.blocks - 1]);
    const std::uint32_t onRing = walkRing(now, servers, wish, start);
    if (onRing != noIndex) {
        consider(now, best, servers, wish, onRing, start.blocks);
        return;
    }
    for (const std::uint32_t server : known.holders) {
        if (server != noIndex && servers.server(server).pool == wish.pool && servers.hasAffinityToken(now, server, start.frequency)
            && accepts(now, servers, server, wish, true)) {
            consider(now, best, servers, wish, server, known.blocks);
        }
    }
}

std::uint32_t server_selector::scan(const server_table &servers, const server_criteria &wish)
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

std::uint32_t server_selector::choose(time_point now, server_table &servers, prefix_index &prefixes, const server_criteria &wish)
{
    if (servers.pool(wish.pool).open.empty()) {
        return noIndex;
    }
    if (wish.hasWaited) {
        return scan(servers, wish);
    }
    candidate best;
    considerPrefix(now, best, servers, prefixes, wish);
    considerDraws(now, best, servers, wish);
    return best.server != noIndex ? best.server : scan(servers, wish);
}

} // namespace reedtrail
