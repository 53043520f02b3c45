// Short calls show which path works. When the direct path fails, long polls on it are cancelled, so that their callers read again on a path that works.

#include "edge/failover_store_transport.h"

#include "edge/peer_protocol.h"
#include "kernel/log.h"

#include <algorithm>
#include <random>

namespace reedtrail {

using namespace peer_protocol;

namespace {

constexpr duration directCallTimeout =
    std::chrono::milliseconds(700); // Twice the response time of the slowest store; with a longer timeout the lease would lapse.
constexpr duration peerHopAllowance = std::chrono::milliseconds(300); // Extra time for the hop to the peer and back.
constexpr duration peerPatience = std::chrono::milliseconds(300); // A peer that the store serves answers within this even while the store is slow.
constexpr duration probeTimeout = std::chrono::milliseconds(450); // Shorter than the interval between two probes of the store.
constexpr duration pingTimeout = std::chrono::milliseconds(300); // A hundred times the network latency between zones.
constexpr duration peerLongPollTimeout = std::chrono::milliseconds(1000); // A long poll through a peer is then sent again on the path that is best by then, so
                                                                          // that a fault of the peer lasts no longer here than a fault of this node would.
constexpr duration recentContactTime = std::chrono::milliseconds(850); // The lease is renewed every 0.6 s, and a slow store takes the rest to answer.
constexpr double hubHoldTimeShare = 0.25; // Share of maxDrainDelay, 0.5 s by default: the time in which a node detects that its zone's reader hangs.
constexpr duration hubLongPollTime = std::chrono::seconds(15); // Long-poll time of the hub's own reads; TCP keepalive probes detect dead connections.
constexpr duration hubPollTimeout = std::chrono::seconds(17);
constexpr unsigned generationBits = 16; // Leaves room for the failed polls of one process, so that its hub's generations never reach those of the next process.

bool isStoreUnavailable(const platform::store_transport::reply &answer)
{
    return !answer.isAnswered || answer.status == http_status::tooMany || answer.status == http_status::unavailable;
}

} // namespace

/** A call that has not been answered yet. */
struct failover_store_transport::pending_call
{
    std::string method;
    std::string target;
    std::string body;
    duration timeout{};
    reply_handler onReply;
    cancel_action cancel;
    bool isCancelled = false;
    bool isAnswered = false;
    bool hasSwitchedPath = false; ///< Set when a failed call is sent again on the other path, so that it does not switch back.

    /** Passes the first reply on. A call that went both ways gets two. */
    void answer(const reply &first)
    {
        if (!isCancelled && !std::exchange(isAnswered, true)) {
            onReply(first);
        }
    }
    /** Tells whether the call may be sent again after an unknown outcome. That holds for reads and for lease renewals, which are idempotent. */
    bool isRetrySafe() const
    {
        return method == "GET" || body.empty();
    }
    /** Tells whether the call is a long poll; all other calls have short timeouts. */
    bool isLongPoll() const
    {
        return timeout > std::chrono::seconds(5);
    }
};

failover_store_transport::failover_store_transport(asio_loop &loop, http_client &client, const edge_settings &settings)
    : m_loop(loop)
    , m_client(client)
    , m_settings(settings)
    , m_direct(client, settings.store)
    , m_path(settings.node, settings.zone, std::hash<std::string>()(settings.node))
    , m_hub((std::uint64_t{ std::random_device()() } << generationBits) + 1)
{
}

platform::store_transport::cancel_action
failover_store_transport::call(const std::string &method, const std::string &target, std::string body, duration timeout, reply_handler onReply)
{
    const auto call = std::make_shared<pending_call>();
    call->method = method;
    call->target = target;
    call->body = std::move(body);
    call->timeout = timeout;
    call->onReply = std::move(onReply);
    send(call);
    return [weak = std::weak_ptr(call)] {
        if (const auto pending = weak.lock()) {
            pending->isCancelled = true;
            if (const auto cancel = std::exchange(pending->cancel, nullptr)) {
                cancel();
            }
        }
    };
}

void failover_store_transport::send(const std::shared_ptr<pending_call> &call)
{
    if (const auto peer = m_path.choose(m_loop.now())) {
        sendThroughPeer(call, peer->first, peer->second);
    } else {
        sendDirectly(call);
    }
}

void failover_store_transport::sendDirectly(const std::shared_ptr<pending_call> &call)
{
    const duration limit = call->isLongPoll() ? call->timeout : std::min(call->timeout, directCallTimeout);
    if (call->isLongPoll()) {
        std::erase_if(m_longPolls, [](const auto &longPoll) {
            return longPoll.expired();
        });
        m_longPolls.push_back(call);
    }
    call->cancel = m_direct.call(call->method, call->target, call->body, limit, [this, call](const reply &answer) {
        if (!call->isCancelled) {
            onDirectReply(call, answer);
        }
    });
}

void failover_store_transport::onDirectReply(const std::shared_ptr<pending_call> &call, const reply &answer)
{
    const time_point now = m_loop.now();
    const bool isServed = !isStoreUnavailable(answer);
    if (call->isLongPoll() && !isServed) {
        call->answer(answer); // A store that serves this node cuts long polls as well, so their failure says nothing about the path.
        return;
    }
    const bool wasUsingPeer = m_path.isFailedOver(now);
    const bool wasLost = m_path.isStoreLost();
    m_path.recordDirectResult(now, isServed);
    notifyIfRecovered(wasLost);
    if (!wasUsingPeer && m_path.isFailedOver(now)) {
        logLine(log_level::Info, "store-by-peer", { { "last-status", std::to_string(answer.status) }, { "answered", answer.isAnswered ? "yes" : "no" } });
        cancelLongPolls();
    }
    // A call that was certainly not executed, or that is idempotent, is sent through a peer at once.
    const bool isNotExecuted = answer.isAnswered || !answer.isHandedOver;
    if (!isServed && !call->hasSwitchedPath && (isNotExecuted || call->isRetrySafe())) {
        call->hasSwitchedPath = true;
        if (const auto peer = m_path.fallback(now)) {
            sendThroughPeer(call, peer->first, peer->second);
            return;
        }
    }
    call->answer(answer);
}

/** Cancels the long polls on the direct path, which would wait in vain while it fails; their callers read again through a peer. */
void failover_store_transport::cancelLongPolls()
{
    for (const auto &weak : std::exchange(m_longPolls, {})) {
        const auto call = weak.lock();
        if (!call || call->isCancelled || !call->cancel) {
            continue;
        }
        call->isCancelled = true;
        std::exchange(call->cancel, nullptr)();
        m_loop.after(duration::zero(), [call] {
            call->onReply({});
        });
    }
}

void failover_store_transport::notifyIfRecovered(bool wasLost)
{
    if (wasLost && !m_path.isStoreLost()) {
        m_loop.after(duration::zero(), [this] {
            m_onStoreRecovered();
        });
    }
}

void failover_store_transport::probeStore()
{
    const std::string ownKey = std::string(nodesPrefix) + m_settings.node;
    m_direct.call("GET", platform::readTarget(ownKey), "", probeTimeout, [this](const reply &answer) {
        if (!isStoreUnavailable(answer)) {
            const bool wasLost = m_path.isStoreLost();
            m_path.recordDirectResult(m_loop.now(), true);
            notifyIfRecovered(wasLost);
        }
    });
}

void failover_store_transport::ping(const endpoint &peer, std::function<void(bool isReached, const http_response &answer)> done)
{
    http_request request;
    request.target = pingPath;
    http_call_options options;
    options.connectTimeout = pingTimeout;
    options.deadline = pingTimeout;
    m_client.call(peer, std::move(request), options, [done](const http_call_end &end, const http_response &answer) {
        done(end.error == error_kind::None, answer);
    });
}

bool failover_store_transport::hasRecentStoreContact() const
{
    return m_path.timeSinceServed(m_loop.now()) < recentContactTime;
}

void failover_store_transport::sendThroughPeer(const std::shared_ptr<pending_call> &call, const std::string &peer, const endpoint &address)
{
    http_request request;
    request.method = "POST";
    request.target = storePath;
    request.fields.set(methodField, call->method);
    request.fields.set(targetField, call->target);
    request.fields.set(timeoutField, std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(call->timeout).count()));
    request.body = call->body;
    http_call_options options;
    options.connectTimeout = peerHopAllowance;
    options.deadline = call->isLongPoll() ? peerLongPollTimeout : call->timeout + peerHopAllowance;
    options.silenceTimeout = options.deadline;
    if (call->isRetrySafe() && !call->isLongPoll()) {
        m_loop.after(peerPatience, [this, weak = std::weak_ptr(call)] {
            if (const auto pending = weak.lock()) {
                hedgeDirectly(pending);
            }
        });
    }
    const auto httpCall = m_client.call(address, std::move(request), options, [this, call, peer](const http_call_end &end, const http_response &response) {
        if (!call->isCancelled) {
            onPeerReply(call, peer, end, response);
        }
    });
    call->cancel = [weak = std::weak_ptr(httpCall)] {
        if (const auto activeCall = weak.lock()) {
            activeCall->cancel();
        }
    };
}

/** Sends a call that its peer does not answer in time on the direct path too. A failure there says nothing new. */
void failover_store_transport::hedgeDirectly(const std::shared_ptr<pending_call> &call)
{
    if (call->isCancelled || call->isAnswered || call->hasSwitchedPath) {
        return;
    }
    m_direct.call(call->method, call->target, call->body, directCallTimeout, [this, call](const reply &answer) {
        if (isStoreUnavailable(answer)) {
            return;
        }
        const bool wasLost = m_path.isStoreLost();
        m_path.recordDirectResult(m_loop.now(), true);
        notifyIfRecovered(wasLost);
        const auto cancelOther = std::exchange(call->cancel, nullptr);
        call->answer(answer);
        call->isCancelled = true; // The end of the other way says nothing of the peer.
        if (cancelOther) {
            cancelOther();
        }
    });
}

void failover_store_transport::onPeerReply(const std::shared_ptr<pending_call> &call,
                                           const std::string &peer,
                                           const http_call_end &end,
                                           const http_response &response)
{
    const time_point now = m_loop.now();
    if (call->isLongPoll() && end.isHandedOver && (end.error == error_kind::DeadlineExceeded || end.error == error_kind::ServerSilent)) {
        send(call);
        return;
    }
    const bool isAnswered = end.error == error_kind::None;
    const bool isNotExecuted = isAnswered ? response.status == statusNotExecuted : !end.isHandedOver;
    const bool isOutcomeUnknown = isAnswered ? response.status == statusOutcomeUnknown : end.isHandedOver;
    const bool isRejected = isAnswered && (response.status == http_status::tooMany || response.status == http_status::unavailable);
    const bool wasLost = m_path.isStoreLost();
    m_path.recordFailoverResult(now, peer, !isNotExecuted && !isOutcomeUnknown && !isRejected, isAnswered);
    notifyIfRecovered(wasLost);
    if ((isNotExecuted || isRejected) && !call->hasSwitchedPath) {
        call->hasSwitchedPath = true;
        sendDirectly(call);
        return;
    }
    call->answer({ !isNotExecuted && !isOutcomeUnknown, isOutcomeUnknown, response.status, response.body });
}

/** A shared watch that has not been answered yet. */
struct failover_store_transport::pending_watch
{
    shared_watch watch;
    reply_handler onReply;
    cancel_action cancel;
    bool isCancelled = false;
};

duration failover_store_transport::hubHoldTime() const
{
    return fromSeconds(toSeconds(m_settings.maxDrainDelay) * hubHoldTimeShare);
}

platform::store_transport::cancel_action failover_store_transport::pollShared(const shared_watch &watch, reply_handler onReply)
{
    const auto pendingWatch = std::make_shared<pending_watch>(pending_watch{ watch, std::move(onReply), nullptr, false });
    queryZoneReader(pendingWatch);
    return [weak = std::weak_ptr(pendingWatch)] {
        if (const auto pending = weak.lock()) {
            pending->isCancelled = true;
            if (const auto cancel = std::exchange(pending->cancel, nullptr)) {
                cancel();
            }
        }
    };
}

void failover_store_transport::queryZoneReader(const std::shared_ptr<pending_watch> &pendingWatch)
{
    const auto zoneReader = m_path.zoneReader(m_loop.now());
    if (!zoneReader) {
        const std::uint64_t generation = pendingWatch->watch.isFirstPoll ? 0 : m_hubGenerations[pendingWatch->watch.prefix];
        pendingWatch->cancel = queryHub(pendingWatch->watch.prefix, pendingWatch->watch.after, generation, [this, pendingWatch](const reply &answer) {
            m_hubGenerations[pendingWatch->watch.prefix] = hubGeneration(pendingWatch->watch.prefix);
            if (pendingWatch->isCancelled) {
                return;
            }
            if (answer.isAnswered && answer.status == statusRevisionTooOld) {
                watchDirectly(pendingWatch);
            } else {
                pendingWatch->onReply(answer);
            }
        });
        return;
    }
    http_request request;
    request.method = "POST";
    request.target = followPath;
    request.fields.set(prefixField, pendingWatch->watch.prefix);
    request.fields.set(afterField, std::to_string(pendingWatch->watch.after));
    request.fields.set(generationField, std::to_string(pendingWatch->watch.isFirstPoll ? 0 : m_hubGenerations[pendingWatch->watch.prefix]));
    http_call_options options;
    options.connectTimeout = peerHopAllowance;
    options.silenceTimeout = hubHoldTime() + peerHopAllowance;
    options.deadline = options.silenceTimeout;
    const auto httpCall = m_client.call(zoneReader->second,
                                        std::move(request),
                                        options,
                                        [this, pendingWatch, name = zoneReader->first](const http_call_end &end, const http_response &response) {
                                            if (pendingWatch->isCancelled) {
                                                return;
                                            }
                                            if (end.error == error_kind::None && response.status == statusUnchanged) {
                                                queryZoneReader(pendingWatch);
                                                return;
                                            }
                                            if (end.error == error_kind::None && response.status == http_status::ok) {
                                                pendingWatch->onReply({ true, true, response.status, response.body, response.fields.get(moreField) == "1" });
                                                return;
                                            }
                                            if (end.error == error_kind::None && response.status == statusRevisionTooOld) {
                                                watchDirectly(pendingWatch);
                                                return;
                                            }
                                            if (end.error != error_kind::None || response.status == http_status::unavailable) {
                                                m_path.recordReaderFailure(m_loop.now(), name);
                                            }
                                            // Not retried from the same revision: the reader's watch may have ended because the store compacted the history
                                            // after that revision.
                                            pendingWatch->onReply({});
                                        });
    pendingWatch->cancel = [weak = std::weak_ptr(httpCall)] {
        if (const auto activeCall = weak.lock()) {
            activeCall->cancel();
        }
    };
}

void failover_store_transport::watchDirectly(const std::shared_ptr<pending_watch> &pendingWatch)
{
    pendingWatch->cancel = call("GET",
                                platform::watchTarget(pendingWatch->watch.prefix, pendingWatch->watch.after, pendingWatch->watch.wait),
                                "",
                                pendingWatch->watch.timeout,
                                [pendingWatch](const reply &answer) {
                                    if (!pendingWatch->isCancelled) {
                                        pendingWatch->onReply(answer);
                                    }
                                });
}

platform::store_transport::cancel_action
failover_store_transport::queryHub(const std::string &prefix, store_revision after, std::uint64_t generation, reply_handler onReply)
{
    const hub_decision decision = m_hub.ask(prefix, after, generation);
    if (decision.action != hub_decision::kind::StartPoll && decision.action != hub_decision::kind::Wait) {
        const bool hasReply = decision.action == hub_decision::kind::Reply;
        const bool isPollFailed = decision.action == hub_decision::kind::Resync;
        const auto isQueryCancelled = std::make_shared<bool>(false);
        m_loop.after(
            duration::zero(),
            [isQueryCancelled,
             onReply,
             answer = reply{ !isPollFailed, true, hasReply ? http_status::ok : statusRevisionTooOld, hasReply ? *decision.reply : "", decision.hasMore }] {
                if (!*isQueryCancelled) {
                    onReply(answer);
                }
            });
        return [isQueryCancelled] {
            *isQueryCancelled = true;
        };
    }
    const std::uint64_t id = m_nextSubscriber++;
    m_subscribers[prefix].push_back({ after, std::move(onReply), id });
    if (decision.action == hub_decision::kind::StartPoll) {
        pollForHub(prefix, after);
    }
    return [this, prefix, id] {
        std::erase_if(m_subscribers[prefix], [id](const hub_subscriber &subscriber) {
            return subscriber.id == id;
        });
    };
}

void failover_store_transport::pollForHub(const std::string &prefix, store_revision after)
{
    call("GET", platform::watchTarget(prefix, after, hubLongPollTime), "", hubPollTimeout, [this, prefix](const reply &answer) {
        onHubPollEnded(prefix, answer);
    });
}

void failover_store_transport::onHubPollEnded(const std::string &prefix, const reply &answer)
{
    const std::optional<platform::watch_summary> summary =
        answer.isAnswered && answer.status == http_status::ok ? platform::summarizeWatchReply(answer.body) : std::nullopt;
    if (summary) {
        m_hub.pollSucceeded(prefix, summary->reached, summary->hasEvents, answer.body);
    } else {
        m_hub.pollFailed(prefix);
    }
    for (const hub_subscriber &subscriber : std::exchange(m_subscribers[prefix], {})) {
        subscriber.onReply(summary ? answer : reply{});
    }
}

} // namespace reedtrail
