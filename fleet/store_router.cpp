#include "fleet/store_router.h"

#include "base/hash.h"

#include <algorithm>

namespace reedtrail {

void store_router::setPeers(std::map<std::string, store_peer> peers)
{
    m_peers = std::move(peers);
    const auto isUnknown = [this](const std::string &name) {
        return !m_peers.contains(name);
    };
    std::erase_if(m_reachedAt, [&](const auto &each) {
        return isUnknown(each.first);
    });
    std::erase_if(m_unreachable, isUnknown);
    m_readers.keepOnly(m_peers);
}

std::optional<std::pair<std::string, endpoint>> store_router::choose(time_point now)
{
    return isFailedOver(now) ? fallback(now) : std::nullopt;
}

std::optional<std::pair<std::string, endpoint>> store_router::fallback(time_point now)
{
    const std::vector<std::string> usable = usablePeers(now);
    if (usable.empty()) {
        return std::nullopt;
    }
    if (std::find(usable.begin(), usable.end(), m_failoverPeer) == usable.end()) {
        m_failoverPeer = usable[m_random.below(usable.size())];
    }
    return std::pair(m_failoverPeer, m_peers.at(m_failoverPeer).address);
}

std::optional<std::pair<std::string, endpoint>> store_router::zoneReader(time_point now) const
{
    const auto *best = &m_ownName;
    for (const auto &[name, peer] : m_peers) {
        const bool isUsable = peer.zone == m_ownZone && !m_readers.isMissing(now, name);
        if (isUsable && rendezvousRank(m_ownZone, name) > rendezvousRank(m_ownZone, *best)) {
            best = &name;
        }
    }
    return best == &m_ownName ? std::nullopt : std::optional(std::pair(*best, m_peers.at(*best).address));
}

void store_router::recordReaderFailure(time_point now, const std::string &peer)
{
    m_readers.recordSilence(now, peer);
}

void store_router::recordReaderSuccess(const std::string &peer)
{
    m_readers.recordAnswer(peer);
}

std::vector<endpoint> store_router::witnesses() const
{
    constexpr std::size_t witnessesPerZone = 2;
    std::map<std::string_view, std::vector<std::string_view>> zones;
    const bool hasOtherZones = std::ranges::any_of(m_peers, [this](const auto &each) {
        return isInOtherZone(each.second);
    });
    for (const auto &[name, peer] : m_peers) {
        if (!hasOtherZones || isInOtherZone(peer)) {
            zones[peer.zone].push_back(name);
        }
    }
    std::vector<endpoint> found;
    for (auto &[zone, names] : zones) {
        std::ranges::sort(names, [zone = zone](std::string_view left, std::string_view right) {
            return rendezvousRank(zone, left) > rendezvousRank(zone, right);
        });
        for (std::size_t i = 0; i < std::min(names.size(), witnessesPerZone); ++i) {
            found.push_back(m_peers.at(std::string(names[i])).address);
        }
    }
    return found;
}

std::optional<endpoint> store_router::peerAddress(const std::string &peer) const
{
    const auto found = m_peers.find(peer);
    return found == m_peers.end() ? std::nullopt : std::optional(found->second.address);
}

void store_router::recordDirectResult(time_point now, bool isServed)
{
    if (isServed) {
        m_directFailures = 0;
        m_servedAt = now;
        m_failoverUntil = {};
        recordServed();
        return;
    }
    recordFailed(now);
    ++m_directFailures;
    if (m_directFailures >= m_options.failuresBeforeFailover && !usablePeers(now).empty()) {
        m_failoverUntil = now + m_options.failoverTime;
    }
}

void store_router::recordFailoverResult(time_point now, const std::string &peer, bool isServed, bool isReached)
{
    recordReachability(now, peer, isReached);
    if (isServed) {
        m_pausedUntil.erase(peer);
        recordServed();
        return;
    }
    recordFailed(now);
    m_pausedUntil[peer] = now + m_options.peerPause;
    if (usablePeers(now).empty()) {
        m_failoverUntil = {};
    }
}

bool store_router::isIsolated(time_point now) const
{
    if (m_lostAt == timeNever || now - m_lostAt < m_options.isolationTime) {
        return false;
    }
    std::size_t otherZonePeers = 0;
    std::size_t unreachable = 0;
    for (const auto &[name, peer] : m_peers) {
        if (!isInOtherZone(peer)) {
            continue;
        }
        ++otherZonePeers;
        const auto lastReached = m_reachedAt.find(name);
        if (lastReached != m_reachedAt.end() && now - lastReached->second < m_options.reachableTime) {
            return false;
        }
        unreachable += m_unreachable.contains(name) ? 1 : 0;
    }
    return otherZonePeers > 0 && unreachable >= std::min(otherZonePeers, m_options.isolationPeers);
}

std::vector<std::pair<std::string, endpoint>> store_router::pingTargets()
{
    std::map<std::string_view, std::vector<std::string_view>> zones;
    for (const auto &[name, peer] : m_peers) {
        if (isInOtherZone(peer)) {
            zones[peer.zone].push_back(name);
        }
    }
    std::vector<std::pair<std::string, endpoint>> targets;
    if (zones.empty()) {
        return targets;
    }
    const auto addRandomPeer = [&](const std::vector<std::string_view> &names) {
        const std::string name(names[m_random.below(names.size())]);
        targets.emplace_back(name, m_peers.at(name).address);
    };
    if (m_hasMissedPing) {
        for (const auto &[zone, names] : zones) {
            addRandomPeer(names);
        }
        // If there is just one other zone, a second peer tells a partition from a failed peer.
        addRandomPeer(zones.begin()->second);
        return targets;
    }
    const auto pingPeer = m_peers.find(m_pingPeer);
    if (pingPeer != m_peers.end() && isInOtherZone(pingPeer->second)) {
        targets.emplace_back(pingPeer->first, pingPeer->second.address);
    } else {
        addRandomPeer(std::next(zones.begin(), static_cast<std::ptrdiff_t>(m_random.below(zones.size())))->second);
        m_pingPeer = targets.front().first;
    }
    return targets;
}

bool store_router::recordPing(time_point now, const std::string &peer, bool isReached)
{
    recordReachability(now, peer, isReached);
    if (isReached) {
        m_hasMissedPing = false;
        return false;
    }
    m_hasMissedPing = true;
    m_pingPeer.clear();
    return m_lostAt == timeNever;
}

void store_router::recordReachability(time_point now, const std::string &peer, bool isReached)
{
    if (isReached) {
        m_reachedAt[peer] = now;
        m_unreachable.erase(peer);
    } else {
        m_unreachable.insert(peer);
    }
}

void store_router::recordServed()
{
    m_lostAt = timeNever;
    m_unreachable.clear();
}

void store_router::recordFailed(time_point now)
{
    m_lostAt = std::min(m_lostAt, now);
}

std::vector<std::string> store_router::usablePeers(time_point now) const
{
    std::vector<std::string> otherZonePeers;
    std::vector<std::string> own;
    for (const auto &[name, peer] : m_peers) {
        const auto pause = m_pausedUntil.find(name);
        if (pause == m_pausedUntil.end() || pause->second <= now) {
            (peer.zone == m_ownZone ? own : otherZonePeers).push_back(name);
        }
    }
    return otherZonePeers.empty() ? own : otherZonePeers;
}

} // namespace reedtrail
