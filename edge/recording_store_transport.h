/**
 * @file
 * Passes calls to the store on, and records which of them the store answered.
 */
#pragma once

#include "edge/asio_loop.h"
#include "fleet/outage_tracker.h"
#include "platform/key_value_store.h"

#include <string>
#include <utility>

namespace reedtrail {

/** Decorates another transport. */
class recording_store_transport : public platform::store_transport
{
public:
    recording_store_transport(asio_loop &loop, platform::store_transport &inner, outage_tracker &outages)
        : m_loop(loop)
        , m_inner(inner)
        , m_outages(outages)
    {
    }

    cancel_action call(const std::string &method, const std::string &target, std::string body, duration timeout, reply_handler onReply) override;
    cancel_action pollShared(const shared_watch &watch, reply_handler onReply) override
    {
        return m_inner.pollShared(watch, std::move(onReply)); // Answered by a peer, whose contacts are not this node's.
    }

private:
    asio_loop &m_loop;
    platform::store_transport &m_inner;
    outage_tracker &m_outages;
};

} // namespace reedtrail
