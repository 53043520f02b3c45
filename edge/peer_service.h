/**
 * @file
 * This node among its peers: says where it is, learns where they are, asks them for signs of life, and answers what they ask of it.
 */
#pragma once

#include "edge/asio_loop.h"
#include "edge/edge_settings.h"
#include "edge/failover_store_transport.h"
#include "edge/job_forwarder.h"
#include "fleet/prefix_mirror.h"
#include "kernel/service.h"
#include "net/http_server.h"
#include "platform/key_value_store.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace reedtrail {

/** Tells peers where this node is, learns where they are, and makes calls for them. */
class peer_service : public service
{
public:
    /** @param keepInTouch called at each question of a peer: this node must then ask the store something at least each renewal interval of its lease */
    peer_service(const edge_settings &settings,
                 asio_loop &loop,
                 platform::key_value_store &store,
                 failover_store_transport &transport,
                 std::function<void()> keepInTouch);

    /** Sets what tells whether this node has work that waits for the store, so that it should notice at once when the store is back. */
    void setUrgency(std::function<bool()> isUrgent)
    {
        m_isUrgent = std::move(isUrgent);
    }
    /** Sets what takes the peers, by name, whenever they change. */
    void onPeers(std::function<void(const std::map<std::string, store_peer> &)> action)
    {
        m_onPeers = std::move(action);
    }
    /** Sets what answers callers' calls that peers pass on to this node. */
    void onForwarded(std::function<void(std::shared_ptr<http_exchange>)> action)
    {
        m_onForwarded = std::move(action);
    }

    result<void> start(kernel &process) override;
    void drain(std::function<void()> done) override;
    void stop() override;

    /** Tells whether peers have asked this node's hub lately. */
    bool servesPeers() const;

private:
    std::string encodeNode() const;
    void pingPeers();
    void pingLater();
    void askStore();
    void announce();
    void takePeer(const store_watch_event &event);
    void callForPeer(std::shared_ptr<http_exchange> exchange);
    void followForPeer(std::shared_ptr<http_exchange> exchange);

    const edge_settings &m_settings;
    asio_loop &m_loop;
    platform::key_value_store &m_store;
    failover_store_transport &m_transport;
    std::unique_ptr<http_server> m_server;
    std::shared_ptr<prefix_mirror<platform::key_value_store, asio_loop>> m_mirror;
    std::map<std::string, store_peer> m_peers;
    std::function<void()> m_keepInTouch;
    std::function<bool()> m_isUrgent = [] {
        return false;
    };
    std::function<void(const std::map<std::string, store_peer> &)> m_onPeers = [](const auto &) {};
    std::function<void(std::shared_ptr<http_exchange>)> m_onForwarded = &job_forwarder::decline;
    time_point m_askedAt;
    bool m_isLeaving = false;
    bool m_isAskingStore = false;
};

} // namespace reedtrail
