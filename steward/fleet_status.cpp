// Each problem names the fault and what the system does about it by itself, so that an operator knows whether manual action is needed.

#include "steward/fleet_status.h"

#include <algorithm>

namespace reedtrail {
namespace {

using nlohmann::json;

void addProblem(json &problems, const std::string &what, const std::string &doing)
{
    problems.push_back({ { "what", what }, { "doing", doing } });
}

json zonesOf(const membership &gossip, json &problems)
{
    json zones = json::array();
    for (const zone_summary &sum : gossip.zoneSummaries()) {
        const bool isReachable = gossip.isZoneReachable(sum.zone);
        const std::optional<node_id> deputy = gossip.deputyOf(sum.zone);
        zones.push_back({ { "zone", sum.zone }, { "reachable", isReachable }, { "nodes", sum.alive }, { "deputy", deputy ? deputy->str() : "" } });
        if (!isReachable) {
            addProblem(problems, "zone " + sum.zone.str() + " is unreachable from here", "serving without it; trying its nodes again each second");
        }
    }
    return zones;
}

json nodesOf(const membership &gossip, json &problems)
{
    json nodes = json::array();
    for (const member_status &member : gossip.allMembers()) {
        static constexpr std::array<const char *, 4> names{ "alive", "suspect", "dead", "left" };
        const char *state = names.at(static_cast<std::size_t>(member.state));
        nodes.push_back({ { "node", member.info.node },
                          { "zone", member.info.zone },
                          { "state", state },
                          { "steward", member.info.stewardAddress },
                          { "storeReachable", member.info.isStoreReachable } });
        if (member.state == member_state::Suspect || member.state == member_state::Dead) {
            addProblem(problems, "node " + member.info.node.str() + " is " + state, "its duties went to others; trying it again each second");
        }
        if (!member.info.isStoreReachable && member.state == member_state::Alive) {
            addProblem(problems, "node " + member.info.node.str() + " does not reach the store", "its duties went to others");
        }
    }
    return nodes;
}

json serversOf(const fleet_document &document, const std::vector<server_id> &leaving)
{
    json servers = json::array();
    for (const pool_settings &pool : document.pools) {
        for (const server_settings &server : pool.servers) {
            const bool isLeaving = std::ranges::find(leaving, server.id) != leaving.end();
            servers.push_back({ { "server", server.id },
                                { "pool", pool.id },
                                { "zone", server.zone },
                                { "address", server.address },
                                { "state", isLeaving ? "leaving" : "in-service" },
                                { "checksFencing", server.checksFencing } });
        }
    }
    return servers;
}

json runsOf(const fleet_document &document, const fleet_service &fleet, json &problems)
{
    json runs = json::array();
    for (const run_settings &run : document.runs) {
        const auto owner = std::ranges::find(fleet.owners(), run.id, &run_owner_view::run);
        const bool isOwned = owner != fleet.owners().end();
        static constexpr std::array<const char *, 3> states{ "open", "paused", "closed" };
        runs.push_back({ { "run", run.id },
                         { "customer", run.customer },
                         { "pool", run.pool },
                         { "state", states.at(static_cast<std::size_t>(run.state)) },
                         { "owner", isOwned ? owner->node.str() : "" },
                         { "epoch", isOwned ? owner->epoch : 0 },
                         { "trainerStep", isOwned ? owner->trainerStep : 0 } });
        if (run.state == run_state::Open && !isOwned) {
            addProblem(problems, "run " + run.id.str() + " has no owner known here", "a node takes it over through the store");
        } else if (isOwned && !fleet.findMember(owner->node)) {
            addProblem(problems, "owner " + owner->node.str() + " of run " + run.id.str() + " is not reachable", "another node takes over when its lease ends");
        }
    }
    return runs;
}

json customersOf(const fleet_document &document)
{
    json customers = json::array();
    double total = 0;
    for (const customer_settings &customer : document.customers) {
        total += customer.weight;
    }
    for (const customer_settings &customer : document.customers) {
        customers.push_back({ { "customer", customer.id }, { "weight", customer.weight }, { "share", customer.weight / total } });
    }
    return customers;
}

} // namespace

json fleetStatus(const fleet_service &fleet, const store_service &store)
{
    json problems = json::array();
    json status{ { "node", fleet.self() },
                 { "revision", fleet.revision() },
                 { "zones", zonesOf(fleet.gossip(), problems) },
                 { "nodes", nodesOf(fleet.gossip(), problems) },
                 { "store", { { "reachable", store.isReachable() } } } };
    if (const auto document = fleet.document()) {
        status["servers"] = serversOf(*document, fleet.leavingServers());
        status["runs"] = runsOf(*document, fleet, problems);
        status["customers"] = customersOf(*document);
    } else {
        addProblem(problems, "no settings are known", "asking peers and the store; confirm a first plan if there never was one");
    }
    status["problems"] = problems;
    return status;
}

} // namespace reedtrail
