// Herding: all gates see the same reports, a second old. If each gate sent to the least loaded server, the one that last reported idle would get all requests,
// and the pool's load would oscillate with a period of a few report lags. So no selection follows the reported load steeply: a server accepts a request with a
// probability that falls over a width equal to the load that the pool turns over within the age of a report (server_table::acceptanceProbability; load
// interpretation, Dahlin, "Interpreting stale load information", ICDCS 1999). Of a few servers that accept, the cheapest is taken (power of d choices,
// Mitzenmacher 1996). Load enters the cost only where it would make the request wait.
//
// Prefix affinity: prompts that share a prefix should go to a server that has it cached. A consistent-hashing ring names the same few servers in the same order
// on every gate, so gates agree without a message, and a prefix spreads over as many servers as its load needs (consistent hashing with bounded loads, Mirrokni
// et al. 2016). If none of these servers accepts, the servers that hold the prefix according to the prefix index are tried.
//
// Waiting requests: a request that has waited competes with all other gates' waiting requests for the same few free slots. For such requests every gate takes
// only its own share of the free slots that a report shows (server_table::hasRoomInOwnShare).
//
// Cost of a selection: a constant number of random draws, a logarithmic search in a ring and a few entries of the prefix index. No memory is allocated. Only a
// request that has waited, or that no candidate accepts, scans all servers with room.

#include "routing/server_selector.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>

namespace reedtrail {

namespace {

constexpr std::uint32_t pointsPerServer = 64; ///< Points of each server on the ring of its pool.
constexpr std::uint32_t drawsPerCandidate = 6; ///< Random draws allowed for each candidate that accepts.
constexpr std::uint32_t ringCandidates = 12; ///< Servers on the ring that are asked for one prefix.
constexpr double loadPerPosition = 0.5; ///< A prefix gets enough ring positions that none of its servers gets more than this share of its normal load from it.
constexpr double maximumPositions = 256;
constexpr std::uint64_t positionMultiplier = 0xD6E8FEB86659FD93U; ///< Spreads the positions of a prefix far apart on the ring.
constexpr double firstTokenSeconds = 0.1; ///< Time to the first token of a prompt on an idle server of normal speed.
constexpr double fullBatchSeconds = 0.02; ///< Additional cost of a full batch compared with an empty one.

/** Returns the mean of max(0, x) for a normally distributed x, with an error of at most a twentieth of @p deviation. */
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
            // A random source seeded with one hash makes all points, because hashes of short ids under several seeds collide.
            random_source points(stableHash(servers.server(server).id.view()));
            for (std::uint32_t point = 0; point < pointsPerServer; ++point) {
                ring.push_back({ points.next(), server });
            }
        }
        std::ranges::sort(ring, {}, &ring_point::hash);
    }
}

bool server_selector::isEligible(const server_table &servers, const server_row &row, const server_criteria &criteria) const
{
    if (criteria.minimumVersion > 0 && (row.isVersionUnknown || row.version < criteria.minimumVersion)) {
        return false;
    }
    if (row.availablePosition == noIndex || (criteria.mustLeaveReserve && row.load() + 1 > servers.limitWithReserve(row))) {
        return false;
    }
    if (criteria.hasWaited && !servers.hasRoomInOwnShare(row, criteria.mustLeaveReserve)) {
        return false;
    }
    return std::ranges::find(criteria.tried, static_cast<std::uint32_t>(&row - &servers.server(0))) == criteria.tried.end();
}

double
server_selector::cost(time_point now, const server_table &servers, const server_row &row, const server_criteria &criteria, std::uint32_t cachedBlocks) const
{
    const pool_row &pool = servers.pool(row.pool);
    const double ahead = expectedExcess(row.load() + 1 - row.slots, servers.uncertainty(now, row));
    const double wait = ahead * pool.serviceSeconds / row.slots;
    const double batch = fullBatchSeconds * row.load() / row.slots;
    const double saving = cachedBlocks * m_options.prefixSavingSeconds;
    const double zone = row.isOwnZone ? 0 : m_options.crossZoneSeconds;
    const double late = std::max(0.0, criteria.expectedSeconds / row.speed - criteria.secondsLeft);
    return (wait + batch + firstTokenSeconds - saving) / row.speed + zone + late;
}

void server_selector::consider(
    time_point now, candidate &best, const server_table &servers, const server_criteria &criteria, std::uint32_t server, std::uint32_t cachedBlocks) const
{
    const double value = cost(now, servers, servers.server(server), criteria, cachedBlocks);
    if (best.server == noIndex || value < best.cost) {
        best = { server, value };
    }
}

bool server_selector::accepts(time_point now, const server_table &servers, std::uint32_t server, const server_criteria &criteria, bool isForPrefix)
{
    const server_row &row = servers.server(server);
    return isEligible(servers, row, criteria) && (criteria.hasWaited || m_random.unit() < servers.acceptanceProbability(now, row, isForPrefix));
}

void server_selector::considerRandom(time_point now, candidate &best, const server_table &servers, const server_criteria &criteria)
{
    const std::vector<std::uint32_t> &available = servers.pool(criteria.pool).available;
    std::uint32_t accepted = 0;
    for (std::uint32_t draw = 0; draw < m_options.candidateCount * drawsPerCandidate && accepted < m_options.candidateCount; ++draw) {
        const std::uint32_t server = available[m_random.below(available.size())];
        if (accepts(now, servers, server, criteria, false)) {
            ++accepted;
            consider(now, best, servers, criteria, server, 0);
        }
    }
}

server_selector::known_prefix server_selector::findKnownPrefix(prefix_index &prefixes, const server_criteria &criteria) const
{
    known_prefix knownPrefix;
    for (std::size_t blocks = criteria.prefixHashes.size(); blocks > 0 && knownPrefix.blocks == 0; --blocks) {
        knownPrefix.holders = prefixes.find(criteria.prefixHashes[blocks - 1]);
        if (std::ranges::any_of(knownPrefix.holders, [](std::uint32_t server) {
                return server != noIndex;
            })) {
            knownPrefix.blocks = static_cast<std::uint32_t>(blocks);
        }
    }
    return knownPrefix;
}

server_selector::ring_query
server_selector::ringQueryFor(prefix_index &prefixes, const server_table &servers, const server_criteria &criteria, const known_prefix &knownPrefix)
{
    const bool coversMostOfPrompt = knownPrefix.blocks * 2 > criteria.prefixHashes.size();
    ring_query query;
    query.blocks = coversMostOfPrompt ? knownPrefix.blocks : static_cast<std::uint32_t>(criteria.prefixHashes.size());
    query.hash = criteria.prefixHashes[query.blocks - 1];
    const double load = prefixes.requestShare(query.hash) * static_cast<double>(servers.pool(criteria.pool).servers.size());
    const auto positions = static_cast<std::uint64_t>(std::min(load / loadPerPosition, maximumPositions));
    query.frequency = std::min(1.0, load / loadPerPosition);
    query.positions = positions + 1;
    return query;
}

bool server_selector::acceptsForPrefix(time_point now, server_table &servers, std::uint32_t server, const server_criteria &criteria, const ring_query &query)
{
    const bool hasToken = criteria.hasWaited || servers.hasAffinityToken(now, server, query.frequency);
    return hasToken && accepts(now, servers, server, criteria, true);
}

std::uint32_t server_selector::walkRing(time_point now, server_table &servers, const server_criteria &criteria, const ring_query &query)
{
    const std::vector<ring_point> &ring = m_rings[criteria.pool];
    std::uint32_t previous = noIndex;
    auto point = ring.end();
    for (std::uint32_t found = 0, steps = 0; found < ringCandidates && steps < pointsPerServer; ++steps) {
        if (found == 0 || query.positions > 1) {
            const std::uint64_t position = m_random.below(query.positions);
            point = std::ranges::lower_bound(ring, query.hash + position * positionMultiplier, {}, &ring_point::hash);
        } else {
            ++point;
        }
        point = point == ring.end() ? ring.begin() : point;
        if (point->server == previous) {
            continue;
        }
        previous = point->server;
        ++found;
        if (acceptsForPrefix(now, servers, previous, criteria, query)) {
            return previous;
        }
    }
    return noIndex;
}

std::uint32_t server_selector::chooseByPrefix(time_point now, server_table &servers, prefix_index &prefixes, const server_criteria &criteria)
{
    if (criteria.prefixHashes.empty() || m_rings[criteria.pool].empty()) {
        return noIndex;
    }
    const known_prefix knownPrefix = findKnownPrefix(prefixes, criteria);
    return walkRing(now, servers, criteria, ringQueryFor(prefixes, servers, criteria, knownPrefix));
}

void server_selector::considerPrefix(time_point now, candidate &best, server_table &servers, prefix_index &prefixes, const server_criteria &criteria)
{
    if (criteria.prefixHashes.empty() || m_rings[criteria.pool].empty()) {
        return;
    }
    const known_prefix knownPrefix = findKnownPrefix(prefixes, criteria);
    const ring_query query = ringQueryFor(prefixes, servers, criteria, knownPrefix);
    prefixes.recordUse(criteria.prefixHashes[query.blocks - 1]);
    const std::uint32_t ringServer = walkRing(now, servers, criteria, query);
    if (ringServer != noIndex) {
        consider(now, best, servers, criteria, ringServer, query.blocks);
        return;
    }
    for (const std::uint32_t server : knownPrefix.holders) {
        if (server != noIndex && servers.server(server).pool == criteria.pool && servers.hasAffinityToken(now, server, query.frequency)
            && accepts(now, servers, server, criteria, true)) {
            consider(now, best, servers, criteria, server, knownPrefix.blocks);
        }
    }
}

std::uint32_t server_selector::scanAvailable(const server_table &servers, const server_criteria &criteria)
{
    const std::vector<std::uint32_t> &available = servers.pool(criteria.pool).available;
    const std::size_t start = m_random.below(available.size());
    for (std::size_t step = 0; step < available.size(); ++step) {
        const std::uint32_t server = available[(start + step) % available.size()];
        if (isEligible(servers, servers.server(server), criteria)) {
            return server;
        }
    }
    return noIndex;
}

std::uint32_t server_selector::choose(time_point now, server_table &servers, prefix_index &prefixes, const server_criteria &criteria)
{
    if (servers.pool(criteria.pool).available.empty()) {
        return noIndex;
    }
    if (criteria.hasWaited) {
        return scanAvailable(servers, criteria);
    }
    candidate best;
    considerPrefix(now, best, servers, prefixes, criteria);
    considerRandom(now, best, servers, criteria);
    return best.server != noIndex ? best.server : scanAvailable(servers, criteria);
}

} // namespace reedtrail
