// Load: a load report is a sum over all gates and some time old. This gate's part of the sum is known exactly for any recent instant (open_request_history), so
// it is subtracted and replaced by the current number. What the other gates did since the report remains unknown, for all servers alike. The selection of a
// server (server_selector.h) is randomized enough that gates with the same reports do not all select the same server.
//
// Health: slow and dead servers are handled differently. A dead server fails or stops reporting, and is ejected for a time that doubles with each consecutive
// ejection. A slow server still answers, so it stays in service with a speed below 1. The speed compares the server's mean service time with the pool's median,
// so a single slow prompt or a slow moment of the whole pool has no effect. A minimum share of a pool is never ejected, because when most of a pool fails the
// cause is rarely the servers, and the remaining ones could not carry the load.
//
// Cost: O(1) per event and O(servers) per refresh. Memory: a row of about 500 bytes per server, at most maximumServers rows.

#include "routing/server_table.h"

#include <algorithm>
#include <cmath>

namespace reedtrail {

namespace {

constexpr double serviceTimeGain = 0.1; ///< Weight of a new sample in a server's relative service time.
constexpr std::uint32_t minimumServiceTimeSamples = 5; ///< Samples without which a server counts as of normal speed.
constexpr double meanGain = 0.02; ///< Weight of a new sample in a pool's mean service time.
constexpr double rateGain = 0.03; ///< Weight of the rate since the last refresh in the gate's mean send rate.
constexpr double minimumAffinityFactor = 1.1; ///< Lower bound of the affinity rate, as a multiple of the server's share of the gate's send rate.
constexpr double minimumConfidence = 0.1; ///< Acceptance factor at the begin of a slow start and while reports are overdue.
constexpr double minimumSpeed = 0.05;
constexpr duration reportTimeout = std::chrono::seconds(3); ///< Age of the last report from which reports are overdue, if other servers' reports arrive.

/** Returns the exponential moving average @p mean updated with @p sample. */
double smoothed(double mean, double sample, double gain)
{
    return mean == 0 ? sample : mean + gain * (sample - mean);
}

} // namespace

void open_request_history::note(time_point now, std::int32_t open)
{
    if (m_samples[m_newest].at != now) {
        m_newest = (m_newest + 1) % m_samples.size();
    }
    m_samples[m_newest] = { now, open };
}

std::int32_t open_request_history::at(time_point when) const
{
    std::uint32_t index = m_newest;
    for (std::size_t steps = 1; steps < m_samples.size() && m_samples[index].at > when; ++steps) {
        index = (index + m_samples.size() - 1) % m_samples.size();
    }
    return m_samples[index].open;
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
        // The table is full: reuses the row of a server that is no longer listed and has no open requests.
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
        pool.available.clear();
        pool.isListed = false;
    }
    for (server_row &row : m_servers) {
        row.isListed = false;
        row.availablePosition = noIndex;
    }
    for (const pool_settings &poolSettings : document.pools) {
        const std::uint32_t poolIndex = addPool(poolSettings.id);
        m_pools[poolIndex].kind = poolSettings.kind;
        m_pools[poolIndex].isListed = true;
        for (const server_settings &settings : poolSettings.servers) {
            const std::uint32_t index = addServer(settings.id);
            if (index == noIndex) {
                continue;
            }
            server_row &row = m_servers[index];
            if (row.pool == noIndex) {
                row.affinityTokens = m_options.affinityBurst * m_random.unit();
                row.affinityRefilledAt = now;
            }
            row.pool = poolIndex;
            row.isListed = true;
            row.isOwnZone = settings.zone == ownZone;
            row.slots = row.hasReport ? row.slots : static_cast<double>(settings.slots);
            row.isMarkedLeaving = settings.isLeaving || std::ranges::find(leaving, settings.id) != leaving.end();
            m_pools[poolIndex].servers.push_back(index);
        }
    }
    for (std::size_t pool = 0; pool < m_pools.size(); ++pool) {
        isChanged = isChanged || pool >= before.size() || before[pool] != m_pools[pool].servers;
        m_pools[pool].available.reserve(m_pools[pool].servers.size());
    }
    refresh(now);
    return isChanged;
}

void server_table::updateAvailability(std::uint32_t index)
{
    server_row &row = m_servers[index];
    if (row.pool == noIndex) {
        return;
    }
    std::vector<std::uint32_t> &available = m_pools[row.pool].available;
    const bool isAvailable = isUsable(row) && row.load() + 1 <= limit(row);
    if (isAvailable && row.availablePosition == noIndex) {
        row.availablePosition = static_cast<std::uint32_t>(available.size());
        available.push_back(index);
    } else if (!isAvailable && row.availablePosition != noIndex) {
        m_servers[available.back()].availablePosition = row.availablePosition;
        available[row.availablePosition] = available.back();
        available.pop_back();
        row.availablePosition = noIndex;
    }
}

bool server_table::onLoad(time_point now, std::uint32_t index, const server_load &load, duration reportLag)
{
    server_row &row = m_servers[index];
    // Drops reordered old reports. A server that restarts counts from the start again; its reports are accepted once the previous ones are overdue.
    if (row.hasReport && load.sequence <= row.sequence && now - row.reportedAt < reportTimeout) {
        return false;
    }
    const bool wasOverdue = row.hasReport && now - row.reportedAt >= reportTimeout;
    row.hasReport = true;
    row.sequence = load.sequence;
    row.reportedAt = now;
    row.slots = load.slots > 0 ? static_cast<double>(load.slots) : row.slots;
    row.version = load.version;
    row.isVersionUnknown = load.isVersionUnknown;
    const auto total = static_cast<double>(load.waiting + load.running);
    if (!hasFreshOpenTotal(now, row)) {
        setTotalLoad(now, row, total, reportLag);
    }
    const bool hasReturned = wasOverdue && row.isEjected;
    if (wasOverdue) {
        row.isEjected = false;
        row.ejectionsInRow = 0;
        row.failuresInRow = 0;
        row.returnedAt = now;
    }
    row.isReportedLeaving = load.isLeaving;
    if (row.pool != noIndex) {
        m_pools[row.pool].newestReport = now;
    }
    updateAvailability(index);
    return hasReturned;
}

bool server_table::hasFreshOpenTotal(time_point now, const server_row &row) const
{
    return row.openTotalAt != time_point{} && now - row.openTotalAt < m_options.openTotalLifetime;
}

void server_table::setTotalLoad(time_point now, server_row &row, double total, duration lag)
{
    row.ownOpenAtReport = row.history.at(now - lag);
    row.othersLoad = std::max(0.0, total - row.ownOpenAtReport);
    row.randomRounding = m_random.unit();
}

void server_table::onOpenTotal(time_point now, std::uint32_t index, double total)
{
    server_row &row = m_servers[index];
    row.openTotalAt = now;
    setTotalLoad(now, row, total, m_options.openTotalLag);
    updateAvailability(index);
}

void server_table::onRequestSent(time_point now, std::uint32_t index)
{
    server_row &row = m_servers[index];
    ++row.ownOpen;
    row.history.note(now, row.ownOpen);
    refillAffinityTokens(now, row);
    row.affinityTokens = std::max(-2 * m_options.affinityBurst, row.affinityTokens - 1);
    ++m_pools[row.pool].sentSinceRefresh;
    updateAvailability(index);
}

void server_table::onRequestEnded(time_point now, std::uint32_t index)
{
    server_row &row = m_servers[index];
    REEDTRAIL_CHECK(row.ownOpen > 0, "a request that ends must have been open");
    --row.ownOpen;
    row.history.note(now, row.ownOpen);
    updateAvailability(index);
}

void server_table::onAnswer(time_point now, std::uint32_t index, double seconds, double expectedTokens)
{
    server_row &row = m_servers[index];
    row.failuresInRow = 0;
    row.ejectionsInRow = now - row.returnedAt > m_options.slowStartDuration ? 0 : row.ejectionsInRow;
    if (row.pool == noIndex) {
        return;
    }
    pool_row &pool = m_pools[row.pool];
    pool.serviceSeconds = smoothed(pool.serviceSeconds, seconds, meanGain);
    double expected = pool.serviceSeconds;
    if (expectedTokens > 0) {
        pool.secondsPerToken = smoothed(pool.secondsPerToken, seconds / expectedTokens, meanGain);
        expected = expectedTokens * pool.secondsPerToken;
    }
    row.relativeServiceTime = smoothed(row.relativeServiceTime, seconds / std::max(expected, 1e-6), serviceTimeGain);
    ++row.serviceTimeSamples;
}

bool server_table::mayEject(const pool_row &pool) const
{
    const auto total = static_cast<double>(pool.servers.size());
    double unusable = 1;
    for (const std::uint32_t index : pool.servers) {
        unusable += isUsable(m_servers[index]) ? 0 : 1;
    }
    return total - unusable >= std::max(1.0, total * m_options.minimumUsableShare - 1e-9);
}

bool server_table::isReportOverdue(time_point now, const server_row &row) const
{
    return row.hasReport && now - row.reportedAt > reportTimeout && now - m_pools[row.pool].newestReport < reportTimeout;
}

bool server_table::onFailure(time_point now, std::uint32_t index)
{
    server_row &row = m_servers[index];
    ++row.failuresInRow;
    const bool isSuspect = row.pool != noIndex && isReportOverdue(now, row);
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
    updateAvailability(index);
    return true;
}

double server_table::confidence(time_point now, const server_row &row) const
{
    double share = 1;
    const duration sinceReturn = now - row.returnedAt;
    if (row.returnedAt != time_point{} && sinceReturn < m_options.slowStartDuration) {
        share = minimumConfidence + (1 - minimumConfidence) * toSeconds(sinceReturn) / toSeconds(m_options.slowStartDuration);
    }
    return isReportOverdue(now, row) ? minimumConfidence : share;
}

double server_table::uncertainty(time_point now, const server_row &row) const
{
    const double age = toSeconds(hasFreshOpenTotal(now, row) ? now - row.openTotalAt + m_options.openTotalLag : now - row.reportedAt + m_options.reportLag);
    const double service = m_pools[row.pool].serviceSeconds;
    const double turnover = service > 0 ? std::min(1.0, age / service) : 1.0;
    return std::sqrt(2 * row.othersLoad * turnover);
}

double server_table::loadTurnover(time_point now, const server_row &row) const
{
    const double age = toSeconds(hasFreshOpenTotal(now, row) ? m_options.openTotalLag : m_options.reportLag + m_options.reportPeriod / 2);
    const double service = m_pools[row.pool].serviceSeconds;
    return row.slots * (service > 0 ? std::min(1.0, age / service) : 1.0);
}

double server_table::acceptanceProbability(time_point now, const server_row &row, bool isForPrefix) const
{
    const double width = std::max(1.0, loadTurnover(now, row));
    const double maximumLoad = isForPrefix ? row.slots + width : row.slots;
    const double ceiling = std::min(maximumLoad, m_pools[row.pool].meanLoad * row.slots + width);
    const double byLoad = std::clamp((ceiling - row.load()) / width, 0.0, 1.0);
    return byLoad * row.speed * row.speed * row.speed * confidence(now, row);
}

void server_table::refillAffinityTokens(time_point now, server_row &row) const
{
    const pool_row &pool = m_pools[row.pool];
    const double headroom = std::clamp(1 / std::max(pool.meanLoad, 0.01), minimumAffinityFactor, m_options.affinityRateBound);
    const double rate = pool.effectiveSlots > 0 ? headroom * pool.sendRate * row.slots * row.speed / pool.effectiveSlots : 0;
    row.affinityTokens = std::min(m_options.affinityBurst, row.affinityTokens + rate * toSeconds(now - row.affinityRefilledAt));
    row.affinityRefilledAt = now;
}

bool server_table::hasAffinityToken(time_point now, std::uint32_t index, double frequency)
{
    refillAffinityTokens(now, m_servers[index]);
    return m_servers[index].affinityTokens >= m_options.affinityBurst * (1.5 * frequency - 1);
}

bool server_table::hasRoomInOwnShare(const server_row &row, bool mustLeaveReserve) const
{
    const double room = (mustLeaveReserve ? limitWithReserve(row) : limit(row)) - row.othersLoad - row.ownOpenAtReport;
    const double taken = row.ownOpen - row.ownOpenAtReport;
    return taken + row.randomRounding < room / m_gateCount;
}

void server_table::refreshSpeeds(pool_row &pool)
{
    m_relativeServiceTimes.clear();
    for (const std::uint32_t index : pool.servers) {
        if (m_servers[index].serviceTimeSamples >= minimumServiceTimeSamples) {
            m_relativeServiceTimes.push_back(m_servers[index].relativeServiceTime);
        }
    }
    if (m_relativeServiceTimes.empty()) {
        return;
    }
    const auto middle = m_relativeServiceTimes.begin() + static_cast<std::ptrdiff_t>(m_relativeServiceTimes.size() / 2);
    std::ranges::nth_element(m_relativeServiceTimes, middle);
    const double median = *middle;
    for (const std::uint32_t index : pool.servers) {
        server_row &row = m_servers[index];
        row.speed = row.serviceTimeSamples < minimumServiceTimeSamples ? 1 : std::clamp(median / std::max(row.relativeServiceTime, 1e-9), minimumSpeed, 1.0);
    }
}

void server_table::refreshPool(time_point now, pool_row &pool)
{
    pool.usableCount = 0;
    pool.usableSlots = 0;
    pool.effectiveSlots = 0;
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
            ++pool.usableCount;
            pool.usableSlots += row.slots;
            pool.effectiveSlots += row.slots * row.speed;
            load += row.load();
        }
    }
    pool.meanOthersLoad = reports > 0 ? others / reports : 0;
    pool.meanLoad = pool.usableSlots > 0 ? load / pool.usableSlots : 0;
    for (const std::uint32_t index : pool.servers) {
        server_row &row = m_servers[index];
        if (!row.hasReport || now - row.reportedAt >= m_options.reportLifetime) {
            row.othersLoad = pool.meanOthersLoad;
        }
        updateAvailability(index);
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
