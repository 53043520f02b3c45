/**
 * @file
 * This node's way to the store: straight, or through a peer while the store does not serve this node; and its hub, through which its zone follows the store.
 */
#pragma once

#include "edge/asio_loop.h"
#include "edge/edge_settings.h"
#include "fleet/store_path.h"
#include "fleet/watch_hub.h"
#include "net/http_client.h"
#include "platform/key_value_store.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace reedtrail {

/** Who waits at this node's hub. */
struct hub_follower
{
    store_revision after = 0;
    platform::store_transport::reply_handler onReply;
    std::uint64_t number = 0;
};

/** A transport that goes straight to the store, or through a peer while the store does not serve this node. */
class detour_transport : public platform::store_transport
{
public:
    detour_transport(asio_loop &loop, http_client &client, const edge_settings &settings);

    cancel_action call(const std::string &method, const std::string &target, std::string body, duration timeout, reply_handler onReply) override;

    /** Follows a shared prefix through the zone's reader, or as the reader. */
    cancel_action pollShared(const shared_watch &watch, reply_handler onReply) override;
    /**
     * Asks this node's hub. @param onReply called with the store's reply, with 409 if the hub no longer has what came after @p after, or unanswered if the
     * store could not be followed
     * @return what withdraws the question
     */
    cancel_action askHub(const std::string &prefix, store_revision after, std::uint64_t generation, reply_handler onReply);
    /** Returns the hub's generation, to go with its answers. */
    std::uint64_t hubGeneration(const std::string &prefix) const
    {
        return m_hub.generation(prefix);
    }
    /** Tells whether the store has served this node directly a moment ago, so that a poll that brings nothing means that nothing has changed. */
    bool isInTouch() const;
    /** Returns how long a question may wait at a hub before it is answered that nothing has changed. */
    duration hubHold() const;
    std::uint64_t directCalls() const
    {
        return m_direct.calls();
    }

    /** Makes a call on the direct way only, for a peer. */
    cancel_action callDirectly(const std::string &method, const std::string &target, std::string body, duration timeout, reply_handler onReply)
    {
        return m_direct.call(method, target, std::move(body), timeout, std::move(onReply));
    }
    /** Sets what runs when the store serves this node again after it was lost. */
    void onRegained(std::function<void()> action)
    {
        m_onRegained = std::move(action);
    }
    /** Asks the store, briefly and on the direct way, whether it is back. */
    void probeStore();
    /** Asks a peer for a sign of life. */
    void ping(const endpoint &peer, std::function<void(bool isReached)> done);
    store_path &path()
    {
        return m_path;
    }

private:
    struct pending;
    struct following;
    void askReader(const std::shared_ptr<following> &question);
    void followDirectly(const std::shared_ptr<following> &question);
    void pollForHub(const std::string &prefix, store_revision after);
    void hubPolled(const std::string &prefix, const reply &answer);
    void tellIfRegained(bool wasLost);
    void dropWaitingCalls();
    void send(const std::shared_ptr<pending> &call);
    void goDirectly(const std::shared_ptr<pending> &call);
    void goThrough(const std::shared_ptr<pending> &call, const std::string &peer, const endpoint &where);
    void directEnded(const std::shared_ptr<pending> &call, const reply &answer);
    void detourEnded(const std::shared_ptr<pending> &call, const std::string &peer, const http_call_end &end, const http_response &response);

    asio_loop &m_loop;
    http_client &m_client;
    const edge_settings &m_settings;
    platform::http_store_transport m_direct;
    store_path m_path;
    watch_hub m_hub;
    std::map<std::string, std::vector<hub_follower>> m_followers; ///< By prefix.
    std::uint64_t m_nextFollower = 1;
    std::map<std::string, std::uint64_t> m_generations; ///< By prefix: of the reader's hub, at its last answer.
    std::function<void()> m_onRegained = [] {};
    std::vector<std::weak_ptr<pending>> m_waitingCalls; ///< On the direct way.
};

} // namespace reedtrail
