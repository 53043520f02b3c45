// Theory. A load report is a sum over all gates, some time old. This gate's part of that sum is known exactly for any recent instant (open_history), so it is
// taken out and replaced by what is open now. What remains unknown is what the other gates did since, and that is the same unknown for all servers; the choice
// of a server (server_choice.h) is random enough that gates with the same report do not all choose alike.
//
// Slow and dead are different things. A dead server fails or falls silent, and is ejected for a span that doubles. A slow one answers: it keeps its place with
// a speed below 1, measured as its mean service time against the pool's median, so that one slow prompt or one slow moment of the whole pool says nothing.
// Ejection stops at a floor, because when most of a pool fails the cause is rarely the servers, and the rest could not carry the load.
//
// Cost: O(1) an event, O(servers) a refresh. Memory: a row of about 500 bytes a server, at most maximumServers rows.

#include "routing/server_table.h"

#include <algorithm>
#include <cmath>

namespace reedtrail {

namespace {

constexpr double paceGain = 0.1; ///< Weight of a new sample in the mean pace.
constexpr std::uint32_t paceSamplesNeeded = 5;
constexpr double meanGain = 0.02; ///< Weight of a new sample in a pool's mean service time.
constexpr double rateGain = 0.03; ///< Weight of the rate since the last refresh in the gate's mean rate.
constexpr double leastAffinityFactor = 1.1;
constexpr double leastTrust = 0.1;
constexpr double leastSpeed = 0.05;
constexpr duration quietAfter = std::chrono::seconds(3); ///< A server whose reports stay away this long, while others' arrive, is suspected.

double blend(double mean, double sample, double gain)
{
    return mean == 0 ? sample : mean + gain * (sample - mean);
}

} // namespace

void open_history::note(time_point now, std::int32_t open)
{
    if (m_samples[m_newest].at != now) {
        m_newest = (m_newest + 1) % m_samples.size();
    }
    m_samples[m_newest] = { now, open };
}

std::int32_t open_history::at(time_point when) const
{
    std::uint32_t place = m_newest;
    for (std::size_t steps = 1; steps < m_samples.size() && m_samples[place].at > when; ++steps) {
        place = (place + m_samples.size() - 1) % m_samples.size();
    }
    return m_samples[place].open;
}

server_table::server_table(const scheduler_options &options, std::uint64_t seed)
    : m_options(options)
    , m_random(seed)
{
}

std::uint32_t server_table::findServer(const server_id &id) const
{
    const auto found = m_serverIndex.find(id);
    return found == m_serverIndex.end() ? noIndex : found->second;
}

std::uint32_t server_table::findPool(const pool_id &id) const
{
    const auto found = m_poolIndex.find(id);
    return found == m_poolIndex.end() ? noIndex : found->second;
}

std::uint32_t server_table::addPool(const pool_id &id)
{
    const auto [found, isNew] = m_poolIndex.try_emplace(id, static_cast<std::uint32_t>(m_pools.size()));
    if (isNew) {
        m_pools.emplace_back().id = id;
    }
    return found->second;
}

std::uint32_t server_table::addServer(const server_id &id)
{
    const std::uint32_t known = findServer(id);
    if (known != noIndex) {
        return known;
    }
    if (m_servers.size() >= m_options.maximumServers) {
        // A row that is no longer listed and has nothing open gives its place to the new server.
        const auto idle = std::ranges::find_if(m_servers, [](const server_row &row) {
            return !row.isListed && row.ownOpen == 0;
        });
        if (idle == m_servers.end()) {
            return noIndex;
        }
        m_serverIndex.erase(idle->id);
        *idle = server_row{};
        idle->id = id;
        const auto index = static_cast<std::uint32_t>(idle - m_servers.begin());
        m_serverIndex.emplace(id, index);
        return index;
    }
    m_servers.emplace_back().id = id;
    const auto index = static_cast<std::uint32_t>(m_servers.size() - 1);
    m_serverIndex.emplace(id, index);
    return index;
}

bool server_table::applyDocument(time_point now, const fleet_document &document, std::span<const server_id> leaving, const zone_id &ownZone)
{
    bool isChanged = false;
    std::vector<std::vector<std::uint32_t>> before;
    for (pool_row &pool : m_pools) {
        before.push_back(std::move(pool.servers));
        pool.servers.clear();
        pool.open.clear();
        pool.isListed = false;
    }
    for (server_row &row : m_servers) {
        row.isListed = false;
        row.openPosition = noIndex;
    }
    for (const pool_settings &wanted : document.pools) {
        const std::uint32_t poolIndex = addPool(wanted.id);
        m_pools[poolIndex].kind = wanted.kind;
        m_pools[poolIndex].isListed = true;
        for (const server_settings &settings : wanted.servers) {
            const std::uint32_t index = addServer(settings.id);
            if (index == noIndex) {
                continue;
            }
            server_row &row = m_servers[index];
            if (row.pool == noIndex) {
                row.affinityTokens = m_options.affinityBurst * m_random.unit();
                row.affinityAt = now;
            }
            row.pool = poolIndex;
            row.isListed = true;
            row.isOwnZone = settings.zone == ownZone;
            row.slots = row.hasReport ? row.slots : static_cast<double>(settings.slots);
            row.isHintedLeaving = settings.isLeaving || std::ranges::find(leaving, settings.id) != leaving.end();
            m_pools[poolIndex].servers.push_back(index);
        }
    }
    for (std::size_t pool = 0; pool < m_pools.size(); ++pool) {
        isChanged = isChanged || pool >= before.size() || before[pool] != m_pools[pool].servers;
        m_pools[pool].open.reserve(m_pools[pool].servers.size());
    }
    refresh(now);
    return isChanged;
}

void server_table::updateOpen(std::uint32_t index)
{
    server_row &row = m_servers[index];
    if (row.pool == noIndex) {
        return;
    }
    std::vector<std::uint32_t> &open = m_pools[row.pool].open;
    const bool wanted = isUsable(row) && row.load() + 1 <= limit(row);
    if (wanted && row.openPosition == noIndex) {
        row.openPosition = static_cast<std::uint32_t>(open.size());
        open.push_back(index);
    } else if (!wanted && row.openPosition != noIndex) {
        m_servers[open.back()].openPosition = row.openPosition;
        open[row.openPosition] = open.back();
        open.pop_back();
        row.openPosition = noIndex;
    }
}

bool server_table::onLoad(time_point now, std::uint32_t index, const server_load &load, duration reportLag)
{
    server_row &row = m_servers[index];
    // A number below the last one is an old report that was overtaken, or the first ones of a server that started anew after a silence.
    if (row.hasReport && load.sequence <= row.sequence && now - row.reportedAt < quietAfter) {
        return false;
    }
    const bool wasQuiet = row.hasReport && now - row.reportedAt >= quietAfter;
    row.hasReport = true;
    row.sequence = load.sequence;
    row.reportedAt = now;
    row.slots = load.slots > 0 ? static_cast<double>(load.slots) : row.slots;
    row.version = load.version;
    row.isVersionUnknown = load.isVersionUnknown;
    const auto total = static_cast<double>(load.waiting + load.running);
    if (!isCounted(now, row)) {
        setTotal(now, row, total, reportLag);
    }
    const bool isBack = wasQuiet && row.isEjected;
    if (wasQuiet) {
        row.isEjected = false;
        row.ejectionsInRow = 0;
        row.failuresInRow = 0;
        row.returnedAt = now;
    }
    row.isReportedLeaving = load.isLeaving;
    if (row.pool != noIndex) {
        m_pools[row.pool].newestReport = now;
    }
    updateOpen(index);
    return isBack;
}

bool server_table::isCounted(time_point now, const server_row &row) const
{
    return row.countedAt != time_point{} && now - row.countedAt < m_options.openTotalLifetime;
}

void server_table::setTotal(time_point now, server_row &row, double total, duration lag)
{
    row.ownReported = row.history.at(now - lag);
    row.othersLoad = std::max(0.0, total - row.ownReported);
    row.drawnPart = m_random.unit();
}

void server_table::onOpenTotal(time_point now, std::uint32_t index, double total)
{
    server_row &row = m_servers[index];
    row.countedAt = now;
    setTotal(now, row, total, m_options.openTotalLag);
    updateOpen(index);
}

void server_table::onSent(time_point now, std::uint32_t index)
{
    server_row &row = m_servers[index];
    ++row.ownOpen;
    row.history.note(now, row.ownOpen);
    refillAffinity(now, row);
    row.affinityTokens = std::max(-2 * m_options.affinityBurst, row.affinityTokens - 1);
    ++m_pools[row.pool].sentSinceRefresh;
    updateOpen(index);
}

void server_table::onOver(time_point now, std::uint32_t index)
{
    server_row &row = m_servers[index];
    REEDTRAIL_CHECK(row.ownOpen > 0, "a request that is over was open");
    --row.ownOpen;
    row.history.note(now, row.ownOpen);
    updateOpen(index);
}

void server_table::onAnswer(time_point now, std::uint32_t index, double seconds, double expectedTokens)
{
    server_row &row = m_servers[index];
    row.failuresInRow = 0;
    row.ejectionsInRow = now - row.returnedAt > m_options.returnTime ? 0 : row.ejectionsInRow;
    if (row.pool == noIndex) {
        return;
    }
    pool_row &pool = m_pools[row.pool];
    pool.serviceSeconds = blend(pool.serviceSeconds, seconds, meanGain);
    double expected = pool.serviceSeconds;
    if (expectedTokens > 0) {
        pool.secondsPerToken = blend(pool.secondsPerToken, seconds / expectedTokens, meanGain);
        expected = expectedTokens * pool.secondsPerToken;
    }
    row.pace = blend(row.pace, seconds / std::max(expected, 1e-6), paceGain);
    ++row.paceSamples;
}

bool server_table::mayEject(const pool_row &pool) const
{
    const auto total = static_cast<double>(pool.servers.size());
    double away = 1;
    for (const std::uint32_t index : pool.servers) {
        away += isUsable(m_servers[index]) ? 0 : 1;
    }
    return total - away >= std::max(1.0, total * m_options.ejectionFloor - 1e-9);
}

bool server_table::isQuiet(time_point now, const server_row &row) const
{
    return row.hasReport && now - row.reportedAt > quietAfter && now - m_pools[row.pool].newestReport < quietAfter;
}

bool server_table::onFailure(time_point now, std::uint32_t index)
{
    server_row &row = m_servers[index];
    ++row.failuresInRow;
    const bool isSuspect = row.pool != noIndex && isQuiet(now, row);
    const std::int32_t needed = isSuspect || row.ejectionsInRow > 0 ? 1 : m_options.failuresToEject;
    if (row.isEjected || row.pool == noIndex || row.failuresInRow < needed || !mayEject(m_pools[row.pool])) {
        return false;
    }
    duration span = m_options.ejectionTime * (std::int64_t{ 1 } << std::min(row.ejectionsInRow, 10));
    span = std::min(span, m_options.maximumEjectionTime);
    row.isEjected = true;
    row.ejectedAt = now;
    row.ejectedUntil = now + span;
    ++row.ejectionsInRow;
    updateOpen(index);
    return true;
}

double server_table::trust(time_point now, const server_row &row) const
{
    double share = 1;
    const duration away = now - row.returnedAt;
    if (row.returnedAt != time_point{} && away < m_options.returnTime) {
        share = leastTrust + (1 - leastTrust) * toSeconds(away) / toSeconds(m_options.returnTime);
    }
    return isQuiet(now, row) ? leastTrust : share;
}

double server_table::uncertainty(time_point now, const server_row &row) const
{
    const double age = toSeconds(isCounted(now, row) ? now - row.countedAt + m_options.openTotalLag : now - row.reportedAt + m_options.reportLag);
    const double service = m_pools[row.pool].serviceSeconds;
    const double renewed = service > 0 ? std::min(1.0, age / service) : 1.0;
    return std::sqrt(2 * row.othersLoad * renewed);
}

double server_table::renewedLoad(time_point now, const server_row &row) const
{
    const double age = toSeconds(isCounted(now, row) ? m_options.openTotalLag : m_options.reportLag + m_options.reportPeriod / 2);
    const double service = m_pools[row.pool].serviceSeconds;
    return row.slots * (service > 0 ? std::min(1.0, age / service) : 1.0);
}

double server_table::acceptance(time_point now, const server_row &row, bool isForPrefix) const
{
    const double width = std::max(1.0, renewedLoad(now, row));
    const double highest = isForPrefix ? row.slots + width : row.slots;
    const double ceiling = std::min(highest, m_pools[row.pool].meanLoad * row.slots + width);
    const double byLoad = std::clamp((ceiling - row.load()) / width, 0.0, 1.0);
    return byLoad * row.speed * row.speed * row.speed * trust(now, row);
}

void server_table::refillAffinity(time_point now, server_row &row) const
{
    const pool_row &pool = m_pools[row.pool];
    const double headroom = std::clamp(1 / std::max(pool.meanLoad, 0.01), leastAffinityFactor, m_options.affinityRateBound);
    const double rate = pool.usableSpeed > 0 ? headroom * pool.sendRate * row.slots * row.speed / pool.usableSpeed : 0;
    row.affinityTokens = std::min(m_options.affinityBurst, row.affinityTokens + rate * toSeconds(now - row.affinityAt));
    row.affinityAt = now;
}

bool server_table::hasAffinityToken(time_point now, std::uint32_t index, double frequency)
{
    refillAffinity(now, m_servers[index]);
    return m_servers[index].affinityTokens >= m_options.affinityBurst * (1.5 * frequency - 1);
}

bool server_table::hasOwnRoom(const server_row &row, bool leavesReserve) const
{
    const double room = (leavesReserve ? limitWithReserve(row) : limit(row)) - row.othersLoad - row.ownReported;
    const double taken = row.ownOpen - row.ownReported;
    return taken + row.drawnPart < room / m_gates;
}

void server_table::refreshSpeeds(pool_row &pool)
{
    m_paces.clear();
    for (const std::uint32_t index : pool.servers) {
        if (m_servers[index].paceSamples >= paceSamplesNeeded) {
            m_paces.push_back(m_servers[index].pace);
        }
    }
    if (m_paces.empty()) {
        return;
    }
    const auto middle = m_paces.begin() + static_cast<std::ptrdiff_t>(m_paces.size() / 2);
    std::ranges::nth_element(m_paces, middle);
    const double median = *middle;
    for (const std::uint32_t index : pool.servers) {
        server_row &row = m_servers[index];
        row.speed = row.paceSamples < paceSamplesNeeded ? 1 : std::clamp(median / std::max(row.pace, 1e-9), leastSpeed, 1.0);
    }
}

void server_table::refreshPool(time_point now, pool_row &pool)
{
    pool.usable = 0;
    pool.usableSlots = 0;
    pool.usableSpeed = 0;
    pool.sendRate += rateGain * (pool.sentSinceRefresh / std::max(toSeconds(now - pool.refreshedAt), 1e-3) - pool.sendRate);
    pool.sentSinceRefresh = 0;
    pool.refreshedAt = now;
    double load = 0;
    double others = 0;
    double reports = 0;
    for (const std::uint32_t index : pool.servers) {
        server_row &row = m_servers[index];
        if (row.isEjected && now >= row.ejectedUntil) {
            row.isEjected = false;
            row.returnedAt = now;
        }
        if (row.hasReport && now - row.reportedAt < m_options.reportLifetime) {
            others += row.othersLoad;
            reports += 1;
        }
        if (isUsable(row)) {
            ++pool.usable;
            pool.usableSlots += row.slots;
            pool.usableSpeed += row.slots * row.speed;
            load += row.load();
        }
    }
    pool.meanOthers = reports > 0 ? others / reports : 0;
    pool.meanLoad = pool.usableSlots > 0 ? load / pool.usableSlots : 0;
    for (const std::uint32_t index : pool.servers) {
        server_row &row = m_servers[index];
        if (!row.hasReport || now - row.reportedAt >= m_options.reportLifetime) {
            row.othersLoad = pool.meanOthers;
        }
        updateOpen(index);
    }
    refreshSpeeds(pool);
}

void server_table::refresh(time_point now)
{
    for (pool_row &pool : m_pools) {
        refreshPool(now, pool);
    }
}

} // namespace reedtrail
