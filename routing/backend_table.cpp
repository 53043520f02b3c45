// Tens of servers, chosen from a few hundred times a second: a scan costs less than keeping an order that every event changes.

#include "routing/backend_table.h"

#include <algorithm>

namespace reedtrail {

void backend_table::refresh(std::span<const server_entry *const> servers)
{
    for (auto &[id, place] : m_rows) {
        place.isListed = false;
    }
    for (const server_entry *entry : servers) {
        row &place = m_rows[entry->id];
        if (place.startedAt != entry->startedAt || place.address != entry->address) {
            const std::uint32_t running = place.running;
            place = row();
            place.running = running;
        }
        place.address = entry->address;
        place.service = entry->service;
        place.zone = entry->zone;
        place.slots = std::max(1U, entry->slots);
        place.startedAt = entry->startedAt;
        place.isListed = true;
        for (const auto &[model, version] : entry->modelVersions) {
            std::uint64_t &known = place.versions[model];
            known = std::max(known, version);
        }
    }
    std::erase_if(m_rows, [](const auto &place) {
        return !place.second.isListed && place.second.running == 0;
    });
}

std::optional<backend_choice> backend_table::choose(time_point now, const backend_wish &wish)
{
    const double typical = std::max(1e-3, toSeconds(typicalPace(now, wish.service)));
    const bool avoidsSuspects = hasFitInSoundZone(now, wish);
    std::optional<backend_choice> best;
    double bestTime = 0;
    for (const auto &[id, place] : m_rows) {
        if (!mayTake(now, id, place, wish) || (avoidsSuspects && isSuspect(now, place))) {
            continue;
        }
        const double time = expectedTime(now, id, place, wish, typical) * m_random.uniform(1, 1 + m_options.drawnPart);
        if (!best || time < bestTime) {
            best = backend_choice{ id, place.address };
            bestTime = time;
        }
    }
    if (best && !wish.model.empty()) {
        // A server that refused this model gets one request until it starts one.
        row &chosen = m_rows.find(best->id)->second;
        if (const auto probe = chosen.probedModels.find(wish.model); probe != chosen.probedModels.end()) {
            probe->second = now + m_options.refusalPause;
        }
    }
    return best;
}

/** Tells whether the server could take the request at some time: it is of the service, and its weights fit. */
bool backend_table::hasFit(const row &place, const backend_wish &wish) const
{
    if (!place.isListed || place.service != wish.service) {
        return false;
    }
    const auto version = place.versions.find(wish.model);
    return wish.model.empty() || (version != place.versions.end() && version->second >= wish.minVersion);
}

/** A node that is cut off itself hears from its own zone only, and with nothing else to choose from suspicion is of no use. */
bool backend_table::hasFitInSoundZone(time_point now, const backend_wish &wish) const
{
    return std::ranges::any_of(m_rows, [&](const auto &each) {
        return hasFit(each.second, wish) && !isSuspect(now, each.second);
    });
}

bool backend_table::isSuspect(time_point now, const row &place) const
{
    const auto zone = m_zones.find(place.zone);
    return zone != m_zones.end() && zone->second.suspectUntil > now;
}

bool backend_table::mayTake(time_point now, std::string_view id, const row &place, const backend_wish &wish) const
{
    const bool isPaused = place.pausedUntil > now && !wish.ignoresPauses;
    if (!hasFit(place, wish) || isPaused || std::ranges::find(wish.avoided, id) != wish.avoided.end()) {
        return false;
    }
    if (!wish.model.empty()) {
        const auto probe = place.probedModels.find(wish.model);
        if (probe != place.probedModels.end() && probe->second > now) {
            return false;
        }
    }
    return wish.mayQueue || load(now, place) < place.slots;
}

double backend_table::load(time_point now, const row &place) const
{
    return place.running + (now - place.loadSeenAt < m_options.loadMemory ? place.othersRunning : 0);
}

double backend_table::expectedTime(time_point now, std::string_view id, const row &place, const backend_wish &wish, double typical) const
{
    const double known = knownPace(now, place);
    const double pace = known > 0 ? known : typical;
    const double fill = (load(now, place) + 1) / place.slots;
    const double waiting = std::max(0.0, fill - 1) * m_options.queueWeight;
    double time = pace * (1 + m_options.fillWeight * std::min(1.0, fill) + waiting);
    time *= id == wish.preferred ? 1 - m_options.preferredBonus : 1;
    time *= place.zone == m_options.ownZone ? 1 : 1 + m_options.otherZonePenalty;
    time *= !m_hasConnection || m_hasConnection(place.address) ? 1 : 1 + m_options.newConnectionPenalty;
    return time;
}

double backend_table::knownPace(time_point now, const row &place) const
{
    return now - place.paceSeenAt < m_options.paceMemory ? place.paceSeconds : 0;
}

bool backend_table::isWorthMoving(time_point now, std::string_view id, const backend_wish &wish) const
{
    const auto here = m_rows.find(id);
    const double pace = here == m_rows.end() ? 0 : knownPace(now, here->second);
    if (pace == 0) {
        return false;
    }
    return std::ranges::any_of(m_rows, [&](const auto &other) {
        const double otherPace = knownPace(now, other.second);
        return other.first != id && otherPace > 0 && otherPace * m_options.moveFactor < pace && mayTake(now, other.first, other.second, wish)
            && !isSuspect(now, other.second);
    });
}

std::size_t backend_table::registered(std::string_view service) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_rows, [&](const auto &place) {
        return place.second.isListed && place.second.service == service;
    }));
}

void backend_table::started(std::string_view id)
{
    if (row *place = find(id)) {
        ++place->running;
    }
}

void backend_table::ended(std::string_view id)
{
    if (row *place = find(id); place != nullptr && place->running > 0) {
        --place->running;
    }
}

void backend_table::paceSeen(time_point now, std::string_view id, duration time)
{
    if (row *place = find(id)) {
        const double sample = toSeconds(time);
        const bool isFirst = knownPace(now, *place) == 0;
        place->paceSeconds = isFirst ? sample : place->paceSeconds + m_options.paceSmoothing * (sample - place->paceSeconds);
        place->paceSeenAt = now;
        place->breaks = 0;
    }
}

void backend_table::refused(time_point now, std::string_view id, std::string_view model)
{
    if (row *place = find(id)) {
        if (model.empty()) {
            place->pausedUntil = std::max(place->pausedUntil, now + m_options.refusalPause);
        } else {
            place->probedModels[std::string(model)] = now + m_options.refusalPause;
        }
    }
}

void backend_table::accepted(std::string_view id, std::string_view model)
{
    if (row *place = find(id)) {
        if (const auto probe = place->probedModels.find(model); probe != place->probedModels.end()) {
            place->probedModels.erase(probe);
        }
    }
}

void backend_table::broke(time_point now, std::string_view id)
{
    if (row *place = find(id)) {
        const duration pause = m_options.firstPause * (1 << std::min(place->breaks, 4));
        place->pausedUntil = std::max(place->pausedUntil, now + std::min(pause, m_options.longestPause));
        ++place->breaks;
    }
}

void backend_table::fellSilent(time_point now, std::string_view id)
{
    broke(now, id);
    if (const row *place = find(id)) {
        zone_row &zone = m_zones[place->zone];
        std::erase_if(zone.silent, [&](const auto &each) {
            return each.second + m_options.suspicion < now;
        });
        zone.silent[std::string(id)] = now;
        if (zone.silent.size() >= m_options.silentServers) {
            zone.suspectUntil = now + m_options.suspicion;
        }
    }
}

void backend_table::heard(std::string_view id)
{
    const row *place = find(id);
    const auto zone = place == nullptr ? m_zones.end() : m_zones.find(place->zone);
    if (zone != m_zones.end()) {
        m_zones.erase(zone);
    }
}

bool backend_table::isZoneSuspect(time_point now, std::string_view id) const
{
    const auto found = m_rows.find(id);
    return found != m_rows.end() && isSuspect(now, found->second);
}

void backend_table::versionSeen(std::string_view id, std::string_view model, std::uint64_t version)
{
    if (row *place = find(id)) {
        std::uint64_t &known = place->versions[std::string(model)];
        known = std::max(known, version);
    }
}

void backend_table::loadSeen(time_point now, std::string_view id, std::uint32_t running, std::uint32_t waiting)
{
    if (row *place = find(id)) {
        place->othersRunning = std::max(0.0, static_cast<double>(running) + waiting - place->running);
        place->loadSeenAt = now;
    }
}

duration backend_table::typicalPace(time_point now, std::string_view service) const
{
    double sum = 0;
    std::size_t known = 0;
    for (const auto &[id, place] : m_rows) {
        const double pace = place.service == service ? knownPace(now, place) : 0;
        sum += pace;
        known += pace > 0 ? 1 : 0;
    }
    return known == 0 ? duration::zero() : fromSeconds(sum / static_cast<double>(known));
}

duration backend_table::pace(time_point now, std::string_view id) const
{
    const auto found = m_rows.find(id);
    return found == m_rows.end() ? duration::zero() : fromSeconds(knownPace(now, found->second));
}

std::uint32_t backend_table::running(std::string_view id) const
{
    const auto found = m_rows.find(id);
    return found == m_rows.end() ? 0 : found->second.running;
}

backend_table::row *backend_table::find(std::string_view id)
{
    const auto found = m_rows.find(id);
    return found == m_rows.end() ? nullptr : &found->second;
}

} // namespace reedtrail
