/**
 * @file
 * Connects fleet/stream_origin_client.h with the callers' requests and the other nodes.
 */
#pragma once

#include "edge/asio_loop.h"
#include "edge/edge_context.h"
#include "edge/fleet_cache.h"
#include "fleet/stream_origin_client.h"
#include "net/http_client.h"
#include "net/http_server.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace reedtrail {

/** Sends messages on origins of streams to other nodes; satisfies stream_origin_peers. */
class stream_origin_peer_client
{
public:
    /** @param router knows the addresses of other nodes */
    stream_origin_peer_client(store_router &router, http_client &peerClient)
        : m_router(router)
        , m_peerClient(peerClient)
    {
    }

    void send(const std::string &node, const stream_message &message, std::function<void(peer_ask_end, const stream_reply &)> onEnd);

private:
    store_router &m_router;
    http_client &m_peerClient;
};

/** Knows which build began a caller's stream. */
class stream_origins
{
public:
    stream_origins(edge_context &context, fleet_cache &fleet, store_router &router, http_client &peerClient);

    /** Replaces the list of all nodes, by name, this node included. */
    void setNodes(const std::map<std::string, store_peer> &nodes)
    {
        m_client->setNodes(nodes);
    }
    /** Enters the origin of a stream, as stream_origin_client::record(). */
    void record(const std::string &stream, const stream_origin &origin, duration keep, duration maximumAge);
    /** Hands all entries over to other nodes, as stream_origin_client::prepareToLeave(). */
    void prepareToLeave();
    /** Finds the origin of a stream, as stream_origin_client::find(). */
    void find(const std::string &stream, const std::string &service, duration maximumAge, std::function<void(const found_origin &)> onEnd)
    {
        m_client->find(stream, service, maximumAge, std::move(onEnd));
    }
    /** Tells whether an inferred origin still holds, as stream_origin_client::isSoleBuildStill(). */
    bool isSoleBuildStill(const stream_origin &inferred, time_point takenUpAt) const
    {
        return m_client->isSoleBuildStill(inferred, takenUpAt);
    }
    /** Answers a message of another node. */
    void serve(const std::shared_ptr<http_exchange> &exchange);
    /** Returns how many streams this node knows. */
    std::size_t size() const
    {
        return m_client->size();
    }

private:
    void scheduleExpiry();

    edge_context &m_context;
    stream_origin_peer_client m_peers;
    std::shared_ptr<stream_origin_client<stream_origin_peer_client, asio_loop>> m_client;
};

} // namespace reedtrail
