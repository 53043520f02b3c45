// Ranking costs a hash for each node of a zone, once per limited server and list of nodes.

#include "fleet/limit_keeper.h"

#include "base/hash.h"

#include <algorithm>

namespace reedtrail {
namespace {

constexpr std::size_t keepersPerServer = 2;

} // namespace

void limit_keeper::setNodes(time_point now, const std::map<std::string, store_peer> &nodes, bool wasRegistered)
{
    std::map<std::string, std::string, std::less<>> zones;
    for (const auto &[name, node] : nodes) {
        zones.emplace(name, node.zone);
    }
    if (m_hasNodes && zones == m_zoneOf) {
        return;
    }
    const bool isRestart = !std::exchange(m_hasNodes, true) && wasRegistered;
    m_changedAt = isRestart ? now - m_options.settleTime + m_options.restartSettleTime : now;
    m_zoneOf = std::move(zones);
    m_keepers.clear();
    for (auto &[id, server] : m_servers) {
        const bool wasFirst = std::exchange(server.isFirst, isFirstKeeper(id, server.zone));
        server.firstSince = wasFirst ? server.firstSince : now;
    }
}

const std::vector<std::string> &limit_keeper::keepersOf(std::string_view server, std::string_view zone)
{
    const std::pair key{ std::string(server), std::string(zone) };
    const auto found = m_keepers.find(key);
    if (found != m_keepers.end()) {
        return found->second;
    }
    std::vector<std::string> ranked;
    for (const auto &[name, nodeZone] : m_zoneOf) {
        ranked.push_back(name);
    }
    // Nodes of the server's zone come first.
    std::ranges::sort(ranked, [&](const std::string &left, const std::string &right) {
        const bool isLeftNear = m_zoneOf.find(left)->second == zone;
        const bool isRightNear = m_zoneOf.find(right)->second == zone;
        return isLeftNear != isRightNear ? isLeftNear : rendezvousRank(server, left) > rendezvousRank(server, right);
    });
    ranked.resize(std::min(ranked.size(), keepersPerServer));
    return m_keepers.emplace(key, std::move(ranked)).first->second;
}

bool limit_keeper::isFirstKeeper(std::string_view server, std::string_view zone)
{
    const std::vector<std::string> &keepers = keepersOf(server, zone);
    return !keepers.empty() && keepers.front() == m_ownNode;
}

limit_reply limit_keeper::serve(time_point now, std::string_view zone, duration listAge, const limit_ask &ask)
{
    if (!(ask.rate > 0)) {
        return { true, 0, 0, 0, 0, 0 };
    }
    kept_server &server = find(now, zone, ask);
    limit_grant grant{ true, {}, {} };
    if (ask.isCharge) {
        server.places.charge(now, server.limit.rate);
    } else {
        const double share = isOnlyKeeper(now, server, listAge, ask) ? 1 : m_options.doubtfulShare;
        grant = server.places.request(now, server.limit.rate * share, { ask.isUrgent, duration(ask.maxWaitUs) });
    }
    return { grant.isGranted,
             grant.wait.count(),
             grant.returnAfter.count(),
             server.limit.rate,
             (now - server.limit.sentAt).count(),
             (now - server.limit.receivedAt).count() };
}

/** Returns the server's row, with the newest known limit. */
limit_keeper::kept_server &limit_keeper::find(time_point now, std::string_view zone, const limit_ask &ask)
{
    const dated_limit told{ ask.rate, now - duration(ask.sentAgeUs), now - duration(ask.receivedAgeUs) };
    auto found = m_servers.find(ask.server);
    if (found == m_servers.end()) {
        std::erase_if(m_servers, [&](const auto &each) {
            return now - each.second.lastAskedAt > m_options.memory;
        });
        kept_server fresh;
        fresh.zone = zone;
        fresh.startedAt = ask.startedAt;
        fresh.limit = told;
        fresh.isFirst = isFirstKeeper(ask.server, zone);
        fresh.firstSince = m_changedAt;
        found = m_servers.emplace(ask.server, std::move(fresh)).first;
    }
    kept_server &server = found->second;
    server.lastAskedAt = now;
    if (ask.startedAt > server.startedAt) {
        server.startedAt = ask.startedAt;
        server.limit = told;
        server.places = limit_schedule();
    } else if (ask.startedAt == server.startedAt && told.supersedes(server.limit)) {
        server.limit = told;
    }
    return server;
}

bool limit_keeper::isOnlyKeeper(time_point now, const kept_server &server, duration listAge, const limit_ask &ask) const
{
    if (!server.isFirst) {
        return ask.isPrimaryGone;
    }
    return m_hasNodes && now - server.firstSince >= m_options.settleTime && listAge <= m_options.maxListAge;
}

} // namespace reedtrail
