/**
 * @file
 * Connects this node to the store: directly, or through a peer while the store does not serve this node. Also hosts the watch hub through which the nodes of
 * a zone share one watch of the store.
 */
#pragma once

#include "edge/asio_loop.h"
#include "edge/edge_settings.h"
#include "fleet/store_router.h"
#include "fleet/watch_hub.h"
#include "net/http_client.h"
#include "platform/key_value_store.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace reedtrail {

/** A watch request that waits at this node's hub for the next change. */
struct hub_subscriber
{
    store_revision after = 0; ///< The request asks for changes after this revision.
    platform::store_transport::reply_handler onReply;
    std::uint64_t id = 0;
};

/** Sends store calls directly, or through a peer while the store does not serve this node. */
class failover_store_transport : public platform::store_transport
{
public:
    failover_store_transport(asio_loop &loop, http_client &client, const edge_settings &settings);

    cancel_action call(const std::string &method, const std::string &target, std::string body, duration timeout, reply_handler onReply) override;

    /** Watches a shared prefix through the zone's reader, or through this node's own hub if this node is the reader. */
    cancel_action pollShared(const shared_watch &watch, reply_handler onReply) override;
    /**
     * Asks this node's hub for changes of @p prefix after revision @p after.
     * @param generation the hub's generation at the requester's last reply; 0 if the requester has read everything since
     * @param onReply called with the store's reply, with status 409 if the hub no longer has the changes after @p after, or without an answer if the hub's poll
     * of the store failed
     * @return cancels the request
     */
    cancel_action queryHub(const std::string &prefix, store_revision after, std::uint64_t generation, reply_handler onReply);
    /** Returns the hub's generation for the prefix, which is sent with each of its replies and changes when a poll fails. */
    std::uint64_t hubGeneration(const std::string &prefix) const
    {
        return m_hub.generation(prefix);
    }
    /** Tells whether the store has served this node directly a moment ago, so that a poll without events means that nothing has changed. */
    bool hasRecentStoreContact() const;
    /** Returns how long a request may wait at a hub before it is answered with "unchanged". */
    duration hubHoldTime() const;
    /** Sets the action that is told of each call that this node sends to the store itself. */
    void onDirectCall(std::function<void(const platform::call_description &)> action)
    {
        m_direct.onCall(std::move(action));
    }

    /** Sends a call for a peer, on the direct path only, so that calls never pass through two peers. */
    cancel_action callDirectly(const std::string &method, const std::string &target, std::string body, duration timeout, reply_handler onReply)
    {
        return m_direct.call(method, target, std::move(body), timeout, std::move(onReply));
    }
    /** Sets the action that runs when the store serves this node again after an outage. */
    void onStoreRecovered(std::function<void()> action)
    {
        m_onStoreRecovered = std::move(action);
    }
    /** Probes on the direct path, with a short timeout, whether the store serves this node again. */
    void probeStore();
    /** Pings a peer. @param done called with whether the peer answered in time */
    void ping(const endpoint &peer, std::function<void(bool isReached, const http_response &answer)> done);
    store_router &path()
    {
        return m_path;
    }

private:
    struct pending_call;
    struct pending_watch;
    void queryZoneReader(const std::shared_ptr<pending_watch> &pendingWatch);
    void watchDirectly(const std::shared_ptr<pending_watch> &pendingWatch);
    void pollForHub(const std::string &prefix, store_revision after);
    void onHubPollEnded(const std::string &prefix, const reply &answer);
    void notifyIfRecovered(bool wasLost);
    void cancelLongPolls();
    void send(const std::shared_ptr<pending_call> &call);
    void sendDirectly(const std::shared_ptr<pending_call> &call);
    void sendThroughPeer(const std::shared_ptr<pending_call> &call, const std::string &peer, const endpoint &address);
    void onDirectReply(const std::shared_ptr<pending_call> &call, const reply &answer);
    void hedgeDirectly(const std::shared_ptr<pending_call> &call);
    void onPeerReply(const std::shared_ptr<pending_call> &call, const std::string &peer, const http_call_end &end, const http_response &response);

    asio_loop &m_loop;
    http_client &m_client;
    const edge_settings &m_settings;
    platform::http_store_transport m_direct;
    store_router m_path;
    watch_hub m_hub;
    std::map<std::string, std::vector<hub_subscriber>> m_subscribers; ///< By prefix.
    std::uint64_t m_nextSubscriber = 1;
    std::map<std::string, std::uint64_t> m_hubGenerations; ///< By prefix: generation in the last reply of the hub that this node reads from.
    std::function<void()> m_onStoreRecovered = [] {};
    std::vector<std::weak_ptr<pending_call>> m_longPolls; ///< Long polls on the direct path.
};

} // namespace reedtrail
