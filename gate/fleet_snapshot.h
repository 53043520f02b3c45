/**
 * @file
 * The fleet as the traffic thread sees it: the settings in force and hints about servers, owners, spools and nodes. A snapshot is immutable and is replaced as
 * a whole at each change.
 *
 *     BOOST_LEAF_AUTO(snapshot, makeSnapshot(view));
 *     const server_target *target = snapshot->findServer(server_id("engine-3"));
 */
#pragma once

#include "base/failure.h"
#include "fleet/fleet_document.h"
#include "fleet/peer_messages.h"
#include "net/endpoint.h"

#include <map>
#include <memory>
#include <vector>

namespace reedtrail {

/** A backend server and how it is reached. */
struct server_target
{
    server_id server;
    pool_id pool;
    zone_id zone;
    endpoint address;
    duration silenceTimeout{}; ///< A connection without a byte for this long is considered dead.
    bool isLeaving = false; ///< Whether the settings or a hint say that the server takes no new requests.
};

/** The fleet as one gate knows it. */
struct fleet_snapshot
{
    std::uint64_t revision = 0; ///< Revision of the settings.
    fleet_document document; ///< The settings.
    std::vector<server_id> leavingServers; ///< Servers that a hint, such as the VM list, reports as leaving.
    std::vector<run_owner_view> owners;
    std::vector<spool_view> spools;
    std::vector<node_view> nodes;
    std::map<server_id, server_target> servers;

    /** Returns the server, or null if it is not in the settings. */
    const server_target *findServer(const server_id &server) const;
    /** Returns the owner of @p run, or null if none is known. */
    const run_owner_view *findOwner(const run_id &run) const;
    /** Returns the node, or null if it is not known to be alive. */
    const node_view *findNode(const node_id &node) const;
};

using snapshot_pointer = std::shared_ptr<const fleet_snapshot>;

/** Makes a snapshot from a fleet view. @return the snapshot, or BadSettings if the document or an address in it is invalid */
result<snapshot_pointer> makeSnapshot(const fleet_view &view);

} // namespace reedtrail
