/**
 * @file
 * Sends questions on the limits of backend servers to other nodes.
 */
#pragma once

#include "edge/asio_loop.h"
#include "fleet/limit_client.h"
#include "fleet/store_router.h"
#include "net/http_client.h"
#include "net/http_server.h"

#include <functional>
#include <memory>
#include <string>

namespace reedtrail {

/** Satisfies limit_peers. */
class limit_peer_client
{
public:
    /** @param router knows the addresses of other nodes */
    limit_peer_client(store_router &router, http_client &peerClient)
        : m_router(router)
        , m_peerClient(peerClient)
    {
    }

    void ask(const std::string &node, const limit_asks &question, std::function<void(limit_ask_end, const limit_replies &)> onEnd);
    /** Sets the function that returns the age of the list of nodes. */
    void setNodeListAge(std::function<duration()> age)
    {
        m_nodeListAge = std::move(age);
    }
    duration nodeListAge() const
    {
        return m_nodeListAge();
    }

private:
    store_router &m_router;
    http_client &m_peerClient;
    std::function<duration()> m_nodeListAge = [] {
        return duration::zero();
    };
};

using edge_limit_client = limit_client<limit_peer_client, asio_loop>;

/** Reads the questions in a peer's request. @return the questions, or nothing if they can't be read */
std::optional<limit_asks> decodeLimitAsks(const http_request &request);
/** Makes the response that carries the answers to a peer's questions. */
http_response encodeLimitReplies(const limit_replies &answer);

} // namespace reedtrail
