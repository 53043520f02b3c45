// Each selection scans all servers. With tens of servers and a few hundred selections a second this costs less than a sorted index that every event changes.

#include "routing/backend_table.h"

#include <algorithm>
#include <cmath>

namespace reedtrail {
namespace {

constexpr duration slowdownLifetime = std::chrono::seconds(10); // Age up to which a reported slowdown counts.
constexpr double unknownLatencySeconds = 1e-3; // While nothing is known of any server; any positive value ranks them by load alone.

} // namespace

void backend_table::refresh(std::span<const server_entry *const> servers)
{
    for (auto &[id, server] : m_servers) {
        server.isRegistered = false;
    }
    for (const server_entry *entry : servers) {
        server_state &server = m_servers[entry->id];
        if (server.startedAt != entry->startedAt || server.address != entry->address) {
            const std::uint32_t running = server.running;
            server = server_state();
            server.running = running;
            m_forecasts[entry->service].forget(entry->id);
        }
        server.address = entry->address;
        server.service = entry->service;
        server.zone = entry->zone;
        server.build = entry->build;
        server.slots = std::max(1U, entry->slots);
        server.startedAt = entry->startedAt;
        server.isRegistered = true;
        for (const auto &[model, version] : entry->modelVersions) {
            std::uint64_t &known = server.versions[model];
            known = std::max(known, version);
        }
    }
    std::erase_if(m_servers, [](const auto &server) {
        return !server.second.isRegistered && server.second.running == 0;
    });
    findSmallerBuilds();
}

/** Marks the servers whose build has fewer servers than another one of the service, so that what goes on there finds a place. */
void backend_table::findSmallerBuilds()
{
    std::map<std::string_view, std::map<std::string_view, std::size_t>> counts;
    for (const auto &[id, server] : m_servers) {
        if (server.isRegistered) {
            ++counts[server.service][server.build];
        }
    }
    for (auto &[id, server] : m_servers) {
        const auto &builds = counts[server.service];
        const auto own = builds.find(server.build);
        server.isOfSmallerBuild = own != builds.end() && std::ranges::any_of(builds, [&](const auto &each) {
                                      return each.second > own->second;
                                  });
    }
}

double backend_table::slotsFor(const server_state &server, const backend_criteria &criteria) const
{
    const bool leavesRoom = server.isOfSmallerBuild && criteria.build.empty();
    return leavesRoom ? std::max(1.0, std::floor(server.slots * (1 - m_options.continuationShare))) : server.slots;
}

double backend_table::places(const backend_criteria &criteria) const
{
    double sum = 0;
    for (const auto &[id, server] : m_servers) {
        sum += isEligible(server, criteria) ? slotsFor(server, criteria) : 0;
    }
    return sum;
}

bool backend_table::hasEligible(const backend_criteria &criteria) const
{
    return std::ranges::any_of(m_servers, [&](const auto &each) {
        return isEligible(each.second, criteria);
    });
}

std::optional<backend_choice> backend_table::choose(time_point now, const backend_criteria &criteria)
{
    const double typical = typicalLatency(now, criteria.service);
    const bool avoidsSuspects = hasEligibleInTrustedZone(now, criteria);
    std::optional<backend_choice> best;
    double bestTime = 0;
    for (const auto &[id, server] : m_servers) {
        if (!mayTake(now, id, server, criteria) || (avoidsSuspects && isSuspect(now, server))) {
            continue;
        }
        const double time = expectedTime(now, id, server, criteria, typical) * m_random.uniform(1, 1 + m_options.tieBreakJitter);
        if (!best || time < bestTime) {
            best = backend_choice{ id, server.address, server.startedAt, server.build };
            bestTime = time;
        }
    }
    if (best && !criteria.model.empty()) {
        // A server that refused this model gets one probe request per backoff until it accepts one.
        server_state &chosen = m_servers.find(best->id)->second;
        if (const auto probe = chosen.modelProbeTimes.find(criteria.model); probe != chosen.modelProbeTimes.end()) {
            probe->second = now + m_options.refusalBackoff;
        }
    }
    return best;
}

/** Tells whether the server offers the service and has the model in a sufficient version, regardless of its load and backoff. */
bool backend_table::isEligible(const server_state &server, const backend_criteria &criteria) const
{
    if (!server.isRegistered || server.service != criteria.service || (!criteria.build.empty() && server.build != criteria.build)) {
        return false;
    }
    const auto version = server.versions.find(criteria.model);
    return criteria.model.empty() || (version != server.versions.end() && version->second >= criteria.minVersion);
}

/**
 * Tells whether an eligible server exists outside the suspect zones. If there is none, suspicion is ignored: this node may itself be cut off and reach only its
 * own zone, and there is no alternative.
 */
bool backend_table::hasEligibleInTrustedZone(time_point now, const backend_criteria &criteria) const
{
    return std::ranges::any_of(m_servers, [&](const auto &each) {
        return isEligible(each.second, criteria) && !isSuspect(now, each.second);
    });
}

bool backend_table::isSuspect(time_point now, const server_state &server) const
{
    const auto zone = m_zones.find(server.zone);
    return zone != m_zones.end() && zone->second.suspectUntil > now;
}

bool backend_table::mayTake(time_point now, std::string_view id, const server_state &server, const backend_criteria &criteria) const
{
    const bool isBackingOff = server.backoffUntil > now && !criteria.ignoresBackoff;
    if (!isEligible(server, criteria) || isBackingOff || std::ranges::find(criteria.excluded, id) != criteria.excluded.end()) {
        return false;
    }
    if (server.limitedUntil > now && !criteria.ignoresLimit) {
        return false;
    }
    if (!criteria.model.empty()) {
        const auto probe = server.modelProbeTimes.find(criteria.model);
        if (probe != server.modelProbeTimes.end() && probe->second > now) {
            return false;
        }
    }
    return criteria.mayQueue || load(now, server) < slotsFor(server, criteria);
}

double backend_table::load(time_point now, const server_state &server) const
{
    return server.running + (now - server.loadUpdatedAt < m_options.loadLifetime ? server.othersRunning : 0);
}

double backend_table::expectedTime(time_point now, std::string_view id, const server_state &server, const backend_criteria &criteria, double typical) const
{
    double latency = knownLatency(now, server);
    if (latency == 0) {
        const double remembered = rememberedLatency(now, server);
        const bool isLasting = std::abs(remembered - typical) <= typical * m_options.paceSpread;
        latency = isLasting ? remembered : typical;
    }
    const double newLoad = load(now, server) + 1;
    const double waiting = std::max(0.0, newLoad / slotsFor(server, criteria) - 1) * m_options.queueWeight;
    double time = latency * machineFactor(now, id, server) * (slowdown(server, newLoad) + waiting);
    time *= id == criteria.preferred ? 1 - m_options.preferredDiscount : 1;
    time *= server.zone == m_options.ownZone ? 1 : 1 + m_options.otherZonePenalty;
    time *= !m_hasConnection || m_hasConnection(server.address) ? 1 : 1 + m_options.newConnectionPenalty;
    time *= m_hasLimit && m_hasLimit(id, server.startedAt) ? 1 + m_options.limitPenalty : 1;
    return time + toSeconds(std::max(duration::zero(), server.limitedUntil - now));
}

double backend_table::knownLatency(time_point now, const server_state &server) const
{
    return now - server.latencyUpdatedAt < m_options.latencyLifetime ? server.latencySeconds : 0;
}

double backend_table::rememberedLatency(time_point now, const server_state &server) const
{
    return now - server.latencyUpdatedAt < m_options.paceMemory ? server.latencySeconds : 0;
}

double backend_table::typicalLatency(time_point now, std::string_view service) const
{
    std::vector<double> remembered;
    for (const auto &[id, server] : m_servers) {
        const double latency = server.service == service ? rememberedLatency(now, server) : 0;
        if (latency > 0) {
            remembered.push_back(latency);
        }
    }
    if (remembered.empty()) {
        return unknownLatencySeconds;
    }
    const auto middle = remembered.begin() + static_cast<std::ptrdiff_t>(remembered.size() / 2);
    std::nth_element(remembered.begin(), middle, remembered.end());
    return *middle;
}

double backend_table::slowdown(const server_state &server, double load) const
{
    return 1 + m_options.utilizationWeight * std::min(1.0, load / server.slots);
}

move_question backend_table::moveProspect(time_point now, std::string_view id, const backend_criteria &criteria) const
{
    move_question prospect;
    double best = 0;
    double places = 0;
    double freePlaces = 0;
    for (const auto &[otherId, other] : m_servers) {
        if (!isEligible(other, criteria)) {
            continue;
        }
        const double otherLoad = load(now, other);
        places += slotsFor(other, criteria);
        freePlaces += std::max(0.0, slotsFor(other, criteria) - otherLoad);
        const double expected = knownLatency(now, other) * machineFactor(now, otherId, other) * slowdown(other, otherLoad + 1) / slowdown(other, otherLoad);
        const bool mayGoThere = otherId != id && expected > 0 && mayTake(now, otherId, other, criteria) && !isSuspect(now, other);
        if (mayGoThere && (best == 0 || expected < best)) {
            best = expected;
        }
    }
    if (const auto current = m_servers.find(id); current != m_servers.end()) {
        prospect.eventTimeHere = fromSeconds(knownLatency(now, current->second) * machineFactor(now, id, current->second));
    }
    prospect.eventTimeThere = fromSeconds(best);
    prospect.freeShare = places > 0 ? freePlaces / places : 0;
    return prospect;
}

double backend_table::machineFactor(time_point now, std::string_view id, const server_state &server) const
{
    if (server.slowdownUntil <= now) {
        return 1; // Most servers, of the thousands that one choice may look at.
    }
    const auto forecast = m_forecasts.find(server.service);
    return forecast == m_forecasts.end() ? 1 : forecast->second.factor(now, id);
}

std::size_t backend_table::registeredCount(std::string_view service) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_servers, [&](const auto &server) {
        return server.second.isRegistered && server.second.service == service;
    }));
}

void backend_table::onRequestStarted(std::string_view id)
{
    if (server_state *server = find(id)) {
        ++server->running;
    }
}

void backend_table::onRequestEnded(std::string_view id)
{
    if (server_state *server = find(id); server != nullptr && server->running > 0) {
        --server->running;
    }
}

void backend_table::onLatency(time_point now, std::string_view id, duration time)
{
    if (server_state *server = find(id)) {
        const double sample = toSeconds(time) / machineFactor(now, id, *server);
        const bool isFirst = knownLatency(now, *server) == 0;
        server->latencySeconds = isFirst ? sample : server->latencySeconds + m_options.latencySmoothing * (sample - server->latencySeconds);
        server->latencyUpdatedAt = now;
        server->consecutiveFailures = 0;
    }
}

void backend_table::onRefused(time_point now, std::string_view id, std::string_view model)
{
    if (server_state *server = find(id)) {
        if (model.empty()) {
            server->backoffUntil = std::max(server->backoffUntil, now + m_options.refusalBackoff);
        } else {
            server->modelProbeTimes[std::string(model)] = now + m_options.refusalBackoff;
        }
    }
}

void backend_table::onLimited(std::string_view id, time_point until)
{
    if (server_state *server = find(id)) {
        server->limitedUntil = until;
    }
}

void backend_table::onAccepted(std::string_view id, std::string_view model)
{
    if (server_state *server = find(id)) {
        if (const auto probe = server->modelProbeTimes.find(model); probe != server->modelProbeTimes.end()) {
            server->modelProbeTimes.erase(probe);
        }
    }
}

void backend_table::onFailure(time_point now, std::string_view id)
{
    if (server_state *server = find(id)) {
        const duration backoff = m_options.initialBackoff * (1 << std::min(server->consecutiveFailures, 4));
        server->backoffUntil = std::max(server->backoffUntil, now + std::min(backoff, m_options.maximumBackoff));
        ++server->consecutiveFailures;
    }
}

void backend_table::onNoResponse(time_point now, std::string_view id)
{
    onFailure(now, id);
    if (const server_state *server = find(id)) {
        zone_state &zone = m_zones[server->zone];
        std::erase_if(zone.unresponsive, [&](const auto &each) {
            return each.second + m_options.suspicionDuration < now;
        });
        zone.unresponsive[std::string(id)] = now;
        if (zone.unresponsive.size() >= m_options.suspicionThreshold) {
            zone.suspectUntil = now + m_options.suspicionDuration;
        }
    }
}

void backend_table::onResponse(std::string_view id)
{
    const server_state *server = find(id);
    const auto zone = server == nullptr ? m_zones.end() : m_zones.find(server->zone);
    if (zone != m_zones.end()) {
        m_zones.erase(zone);
    }
}

bool backend_table::isZoneSuspect(time_point now, std::string_view id) const
{
    const auto found = m_servers.find(id);
    return found != m_servers.end() && isSuspect(now, found->second);
}

void backend_table::onVersion(std::string_view id, std::string_view model, std::uint64_t version)
{
    if (server_state *server = find(id)) {
        std::uint64_t &known = server->versions[std::string(model)];
        known = std::max(known, version);
    }
}

void backend_table::onLoad(time_point now, std::string_view id, std::uint32_t running, std::uint32_t waiting)
{
    if (server_state *server = find(id)) {
        server->othersRunning = std::max(0.0, static_cast<double>(running) + waiting - server->running);
        server->loadUpdatedAt = now;
    }
}

void backend_table::onSlowdown(time_point now, std::string_view id, double factor)
{
    if (server_state *server = find(id)) {
        server->slowdownUntil = factor == 1 ? time_point() : now + slowdownLifetime;
        m_forecasts[server->service].onReport(now, id, factor);
    }
}

duration backend_table::meanLatency(time_point now, std::string_view service) const
{
    double sum = 0;
    std::size_t known = 0;
    for (const auto &[id, server] : m_servers) {
        const double latency = server.service == service ? knownLatency(now, server) : 0;
        sum += latency;
        known += latency > 0 ? 1 : 0;
    }
    return known == 0 ? duration::zero() : fromSeconds(sum / static_cast<double>(known));
}

duration backend_table::latency(time_point now, std::string_view id) const
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? duration::zero() : fromSeconds(knownLatency(now, found->second));
}

std::uint32_t backend_table::running(std::string_view id) const
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? 0 : found->second.running;
}

backend_table::server_state *backend_table::find(std::string_view id)
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : &found->second;
}

} // namespace reedtrail
