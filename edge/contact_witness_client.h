/**
 * @file
 * Asks other nodes whether the store answered them during a time in which it did not answer this node.
 */
#pragma once

#include "edge/asio_loop.h"
#include "fleet/outage_tracker.h"
#include "fleet/store_router.h"
#include "net/http_client.h"
#include "net/http_server.h"

#include <functional>
#include <memory>
#include <optional>

namespace reedtrail {

/** Asks a few nodes of other zones at once. */
class contact_witness_client
{
public:
    /** @param router knows the other nodes */
    contact_witness_client(asio_loop &loop, store_router &router, http_client &peerClient)
        : m_loop(loop)
        , m_router(router)
        , m_peerClient(peerClient)
    {
    }

    /** @param onAnswer called once with the earliest moment since which the store has answered one of the nodes; nothing if none knows */
    void ask(std::function<void(std::optional<time_point>)> onAnswer);
    /** Answers the question of another node. */
    static void serve(const std::shared_ptr<http_exchange> &exchange, const outage_tracker &outages, time_point now);

private:
    asio_loop &m_loop;
    store_router &m_router;
    http_client &m_peerClient;
};

} // namespace reedtrail
