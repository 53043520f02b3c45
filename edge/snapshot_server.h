/**
 * @file
 * Answers peers' queries for snapshots of store prefixes from this node's mirrors.
 */
#pragma once

#include "edge/edge_context.h"
#include "edge/peer_snapshot_source.h"
#include "fleet/snapshot_mirror.h"
#include "net/http_server.h"

#include <map>
#include <memory>
#include <string>

namespace reedtrail {

using edge_snapshot_mirror = snapshot_mirror<peer_snapshot_source, asio_loop>;

/** The mirrors of this node, by prefix. */
class snapshot_server
{
public:
    explicit snapshot_server(const edge_context &context)
        : m_context(context)
    {
    }

    /** Adds the mirror of @p prefix. */
    void add(const std::string &prefix, std::shared_ptr<edge_snapshot_mirror> mirror)
    {
        m_mirrors[prefix] = std::move(mirror);
    }
    /** Answers a query. Refuses it while this node drains, so that the peer chooses another reader. */
    void serve(const std::shared_ptr<http_exchange> &exchange) const;

private:
    const edge_context &m_context;
    std::map<std::string, std::shared_ptr<edge_snapshot_mirror>> m_mirrors;
};

} // namespace reedtrail
