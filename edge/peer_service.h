/**
 * @file
 * Connects this node with its peers: registers its address in the store, discovers the other nodes, pings them, and serves their requests.
 */
#pragma once

#include "edge/asio_loop.h"
#include "edge/crash_guard.h"
#include "edge/edge_settings.h"
#include "edge/failover_store_transport.h"
#include "edge/job_forwarder.h"
#include "edge/snapshot_server.h"
#include "fleet/lost_node_watch.h"
#include "kernel/service.h"
#include "net/http_server.h"
#include "net/reception.h"
#include "platform/key_value_store.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace reedtrail {

/** Registers this node, discovers its peers, and executes store calls and watch requests for them. */
class peer_service : public service
{
public:
    /**
     * @param requests what all listeners of the process hold of requests
     * @param maintainStoreContact called for each watch request of a peer: from then on this node must call the store at least once in each renewal interval of
     * its lease, so that it can tell "unchanged" from "store unreachable"
     */
    peer_service(const edge_settings &settings,
                 asio_loop &loop,
                 platform::key_value_store &store,
                 failover_store_transport &transport,
                 peer_snapshot_source &source,
                 snapshot_server &snapshots,
                 std::shared_ptr<reception> requests,
                 std::function<void()> maintainStoreContact);

    /** Sets the predicate that tells whether this node has work that waits for the store. While it holds, the store is probed during an outage. */
    void setHasUrgentStoreWork(std::function<bool()> hasUrgentStoreWork)
    {
        m_hasUrgentStoreWork = std::move(hasUrgentStoreWork);
    }
    /** Sets the action that receives all peers, by name, whenever they change. */
    void onPeersChanged(std::function<void(const std::map<std::string, store_peer> &)> action)
    {
        m_onPeersChanged = std::move(action);
    }
    /** Sets the handler of callers' batch job calls that peers forward to this node. */
    void onForwardedCall(std::function<void(std::shared_ptr<http_exchange>)> action)
    {
        m_onForwardedCall = std::move(action);
    }

    /** Sets the handler of peers' questions on this node's contacts with the store. */
    void onContactQuestion(std::function<void(std::shared_ptr<http_exchange>)> action)
    {
        m_onContactQuestion = std::move(action);
    }
    /** Sets the handler of peers' questions on limits of backend servers. */
    void onLimitAsks(std::function<void(std::shared_ptr<http_exchange>)> action)
    {
        m_onLimitAsks = std::move(action);
    }

    /** Sets the handler of peers' messages on the use of customers. */
    void onUsageMessages(std::function<void(std::shared_ptr<http_exchange>)> action)
    {
        m_onUsageMessages = std::move(action);
    }

    /** Sets the handler of peers' messages on origins of callers' streams. */
    void onStreamMessages(std::function<void(std::shared_ptr<http_exchange>)> action)
    {
        m_onStreamMessages = std::move(action);
    }

    /** Sets the component that shares suspect requests with peers: by its own messages, with pings, and through entries beside the registrations of nodes. */
    void setCrashGuard(crash_guard &crashes)
    {
        m_crashes = &crashes;
    }

    /** Sets the action that runs once, when the peers have been read for the first time or the store has not answered for a while. */
    void onFirstPeers(std::function<void()> action)
    {
        m_onFirstPeers = std::move(action);
    }

    result<void> start(kernel &process) override;
    void drain(std::function<void()> done) override;
    void stop() override;

    /** Tells whether peers have sent watch requests to this node's hub recently. */
    bool servesWatchingPeers() const;
    /** Returns the age of the list of nodes; zero if this process has no peers. */
    duration nodeListAge() const;
    /** Tells whether the store had a registration of this node before its process started. */
    bool wasRegistered() const
    {
        return m_wasRegistered;
    }

private:
    std::string encodeOwnEntry() const;
    void startMirror();
    void scheduleRefresh();
    void notifyFirstPeers();
    void pingPeers();
    void schedulePing();
    void checkStore();
    void scheduleWatchRound();
    void pingWatched(const std::optional<std::string> &node);
    void removeLostNodes();
    void registerNode();
    void applyPeerEvent(const store_watch_event &event);
    void handlePeerRequest(std::shared_ptr<http_exchange> exchange);
    void serveWatchRequest(std::shared_ptr<http_exchange> exchange);

    const edge_settings &m_settings;
    asio_loop &m_loop;
    platform::key_value_store &m_store;
    failover_store_transport &m_transport;
    std::unique_ptr<http_server> m_server;
    peer_snapshot_source &m_source;
    snapshot_server &m_snapshots;
    std::shared_ptr<edge_snapshot_mirror> m_mirror; ///< The registrations of all nodes.
    std::string m_registeredEntry; ///< This node's own registration in the store; empty if there is none.
    bool m_isRegistering = false;
    bool m_wasRegistered = false;
    std::map<std::string, store_peer> m_peers;
    std::map<std::string, store_revision> m_peerRevisions; ///< At which they were registered, by name.
    lost_node_watch m_lostNodes;
    bool m_isWatchRoundOpen = false;
    std::shared_ptr<reception> m_requests; ///< What all listeners of the process hold of requests.
    std::function<void()> m_maintainStoreContact;
    std::function<bool()> m_hasUrgentStoreWork = [] {
        return false;
    };
    std::function<void(const std::map<std::string, store_peer> &)> m_onPeersChanged = [](const auto &) {};
    std::function<void(std::shared_ptr<http_exchange>)> m_onForwardedCall = &job_forwarder::decline;
    std::function<void(std::shared_ptr<http_exchange>)> m_onContactQuestion = &job_forwarder::decline;
    std::function<void(std::shared_ptr<http_exchange>)> m_onLimitAsks = &job_forwarder::decline;
    std::function<void(std::shared_ptr<http_exchange>)> m_onStreamMessages = &job_forwarder::decline;
    std::function<void(std::shared_ptr<http_exchange>)> m_onUsageMessages = &job_forwarder::decline;
    std::function<void()> m_onFirstPeers;
    crash_guard *m_crashes = nullptr;
    time_point m_lastWatchRequestAt;
    bool m_isDraining = false;
    bool m_isCheckingStore = false;
};

} // namespace reedtrail
