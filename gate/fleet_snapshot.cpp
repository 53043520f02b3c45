// A snapshot is made on the control thread and shared with the traffic thread as a pointer to const, so neither thread needs a lock. A view that does not parse
// is rejected as a whole, and the gate keeps its current snapshot.

#include "gate/fleet_snapshot.h"

#include <algorithm>

namespace reedtrail {
namespace {

result<void> addServers(fleet_snapshot &snapshot, const pool_settings &pool)
{
    for (const server_settings &server : pool.servers) {
        BOOST_LEAF_AUTO(address, parseEndpoint(server.address));
        const bool isMarkedLeaving = std::ranges::find(snapshot.leavingServers, server.id) != snapshot.leavingServers.end();
        snapshot.servers[server.id] = { server.id, pool.id, server.zone, address, pool.silenceTimeout, server.isLeaving || isMarkedLeaving };
    }
    return {};
}

template<class Item, class Id>
const Item *findBy(const std::vector<Item> &items, Id Item::*member, const Id &id)
{
    const auto found = std::ranges::find(items, id, member);
    return found == items.end() ? nullptr : &*found;
}

} // namespace

const server_target *fleet_snapshot::findServer(const server_id &server) const
{
    const auto found = servers.find(server);
    return found == servers.end() ? nullptr : &found->second;
}

const run_owner_view *fleet_snapshot::findOwner(const run_id &run) const
{
    return findBy(owners, &run_owner_view::run, run);
}

const node_view *fleet_snapshot::findNode(const node_id &node) const
{
    return findBy(nodes, &node_view::node, node);
}

result<snapshot_pointer> makeSnapshot(const fleet_view &view)
{
    auto snapshot = std::make_shared<fleet_snapshot>();
    snapshot->revision = view.revision;
    if (view.document.is_object()) {
        BOOST_LEAF_ASSIGN(snapshot->document, parseFleetDocument(view.document, "fleet document"));
    }
    snapshot->leavingServers = view.leavingServers;
    snapshot->owners = view.owners;
    snapshot->spools = view.spools;
    snapshot->nodes = view.nodes;
    for (const pool_settings &pool : snapshot->document.pools) {
        BOOST_LEAF_CHECK(addServers(*snapshot, pool));
    }
    return snapshot_pointer(std::move(snapshot));
}

} // namespace reedtrail
