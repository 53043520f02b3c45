// Nodes stand in the store under keys without a lease: a peer that is gone is found out by the first call through it, which costs less than renewing a key of
// each node all day.

#include "edge/peer_transport_service.h"

#include "kernel/log.h"
#include "net/http_status.h"

#include <algorithm>
#include <sstream>

namespace reedtrail {
namespace {

constexpr std::string_view nodesPrefix = "reedtrail/node/";
constexpr std::string_view pingPath = "/ping";
constexpr std::string_view storePath = "/store";
constexpr std::string_view methodField = "Reedtrail-Method";
constexpr std::string_view targetField = "Reedtrail-Target";
constexpr std::string_view timeoutField = "Reedtrail-Timeout-Ms";
constexpr std::string_view followPath = "/follow";
constexpr std::string_view prefixField = "Reedtrail-Prefix";
constexpr std::string_view afterField = "Reedtrail-After";
constexpr std::string_view moreField = "Reedtrail-More";
constexpr std::string_view generationField = "Reedtrail-Generation";

constexpr std::uint16_t statusLost = http_status::gone; // Of a hub: its poll has failed, so everything is to be read again.
constexpr std::uint16_t statusTooOld = http_status::conflict; // Of a hub: it no longer has what came after that revision.
constexpr std::uint16_t statusUnchanged = http_status::noContent; // Of a hub: nothing has changed within its hold.
constexpr std::uint16_t statusNoAnswer = http_status::gatewayTimeout; // Of a peer: the store may or may not have done the call.
constexpr std::uint16_t statusNotDone = http_status::badGateway; // Of a peer: the call certainly did not reach the store.

constexpr duration directPatience = std::chrono::milliseconds(700); // Twice what the slowest store that was seen takes; beyond it the lease would lapse.
constexpr duration detourAllowance = std::chrono::milliseconds(300); // For the way to the peer and back.
constexpr duration pingInterval = std::chrono::milliseconds(500); // Half of the time between two questions of the ingress whether this node is ready.
constexpr duration probeLimit = std::chrono::milliseconds(450); // Of a question whether the store is back: shorter than the time to the next one.
constexpr duration pingLimit = std::chrono::milliseconds(300); // A hundred times the way between zones.
constexpr duration detourWait = std::chrono::milliseconds(1000); // Of a waiting read through a peer, after which it is sent anew by the way that is best
                                                                 // then: the peer's own trouble must not last longer here than this node's own would.
constexpr duration inTouchTime = std::chrono::milliseconds(850); // A renewal of the lease, each 0.6 s, and its way to a store that takes its time.
constexpr double hubHoldShare = 0.25; // Of the bound for draining servers. A reader that stands still costs its followers the hold and the allowance for the
                                      // way, one that has lost the store costs them inTouchTime and the hold; with the pause between two reports, 0.45 of the
                                      // bound, the first stays within it, and the second within that for configurations.
constexpr duration peersMemory = std::chrono::seconds(3); // Peers that follow ask every half second.
constexpr duration hubPollWait = std::chrono::seconds(15); // Of the reader's own poll of the store; silent connections are found by TCP's probes.
constexpr duration hubPollTimeout = std::chrono::seconds(17);
constexpr unsigned generationShift = 16; // Room for the failed polls of a process before its hub's numbers could meet those of the next.
constexpr duration announceRetry = std::chrono::seconds(1);

bool isTurnedAway(const platform::store_transport::reply &answer)
{
    return !answer.isAnswered || answer.status == http_status::tooMany || answer.status == http_status::unavailable;
}

std::uint64_t numberField(const http_fields &fields, std::string_view name)
{
    return std::strtoull(std::string(fields.get(name)).c_str(), nullptr, 10);
}

} // namespace

/** A call on its way. */
struct detour_transport::pending
{
    std::string method;
    std::string target;
    std::string body;
    duration timeout{};
    reply_handler onReply;
    cancel_action cancel;
    bool isCancelled = false;
    bool hasFailedDirectly = false;

    /** Whether the call may be sent a second time after one whose outcome is unknown: reads, and renewals, which do the same twice as once. */
    bool mayRepeat() const
    {
        return method == "GET" || body.empty();
    }
    /** Waiting reads are long by design; everything else is short. */
    bool isWaiting() const
    {
        return timeout > std::chrono::seconds(5);
    }
};

detour_transport::detour_transport(asio_loop &loop, http_client &client, const edge_settings &settings)
    : m_loop(loop)
    , m_client(client)
    , m_settings(settings)
    , m_direct(client, settings.store)
    , m_path(settings.node, settings.zone, std::hash<std::string>()(settings.node))
    , m_hub(static_cast<std::uint64_t>(unixMilliseconds()) << generationShift)
{
}

platform::store_transport::cancel_action
detour_transport::call(const std::string &method, const std::string &target, std::string body, duration timeout, reply_handler onReply)
{
    const auto call = std::make_shared<pending>();
    call->method = method;
    call->target = target;
    call->body = std::move(body);
    call->timeout = timeout;
    call->onReply = std::move(onReply);
    send(call);
    return [weak = std::weak_ptr(call)] {
        if (const auto waiting = weak.lock()) {
            waiting->isCancelled = true;
            if (const auto cancel = std::exchange(waiting->cancel, nullptr)) {
                cancel();
            }
        }
    };
}

void detour_transport::send(const std::shared_ptr<pending> &call)
{
    if (const auto peer = m_path.choose(m_loop.now())) {
        goThrough(call, peer->first, peer->second);
    } else {
        goDirectly(call);
    }
}

void detour_transport::goDirectly(const std::shared_ptr<pending> &call)
{
    const duration limit = call->isWaiting() ? call->timeout : std::min(call->timeout, directPatience);
    if (call->isWaiting()) {
        std::erase_if(m_waitingCalls, [](const auto &each) {
            return each.expired();
        });
        m_waitingCalls.push_back(call);
    }
    call->cancel = m_direct.call(call->method, call->target, call->body, limit, [this, call](const reply &answer) {
        if (!call->isCancelled) {
            directEnded(call, answer);
        }
    });
}

void detour_transport::directEnded(const std::shared_ptr<pending> &call, const reply &answer)
{
    const time_point now = m_loop.now();
    const bool isServed = !isTurnedAway(answer);
    if (call->isWaiting() && !isServed) {
        call->onReply(answer); // Waiting reads are cut also by a store that serves this node; short calls tell.
        return;
    }
    const bool wasOnDetour = m_path.isOnDetour(now);
    const bool wasLost = m_path.isStoreLost();
    m_path.directEnded(now, isServed);
    tellIfRegained(wasLost);
    if (!wasOnDetour && m_path.isOnDetour(now)) {
        logLine(log_level::Info, "store-by-peer", { { "last-status", std::to_string(answer.status) }, { "answered", answer.isAnswered ? "yes" : "no" } });
        dropWaitingCalls();
    }
    // Certainly not done, or harmless twice: it can go another way at once.
    const bool isNotDone = answer.isAnswered || !answer.isHandedOver;
    if (!isServed && !call->hasFailedDirectly && (isNotDone || call->mayRepeat())) {
        call->hasFailedDirectly = true;
        if (const auto peer = m_path.fallback(now)) {
            goThrough(call, peer->first, peer->second);
            return;
        }
    }
    call->onReply(answer);
}

/** Calls that wait on a way that fails would wait for nothing; their askers read anew, by a way that works. */
void detour_transport::dropWaitingCalls()
{
    for (const auto &weak : std::exchange(m_waitingCalls, {})) {
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

void detour_transport::tellIfRegained(bool wasLost)
{
    if (wasLost && !m_path.isStoreLost()) {
        m_loop.after(duration::zero(), [this] {
            m_onRegained();
        });
    }
}

void detour_transport::probeStore()
{
    const std::string ownKey = std::string(nodesPrefix) + m_settings.node;
    m_direct.call("GET", platform::readTarget(ownKey), "", probeLimit, [this](const reply &answer) {
        if (!isTurnedAway(answer)) {
            const bool wasLost = m_path.isStoreLost();
            m_path.directEnded(m_loop.now(), true);
            tellIfRegained(wasLost);
        }
    });
}

void detour_transport::ping(const endpoint &peer, std::function<void(bool isReached)> done)
{
    http_request request;
    request.target = pingPath;
    http_call_options options;
    options.connectTimeout = pingLimit;
    options.deadline = pingLimit;
    m_client.call(peer, std::move(request), options, [done](const http_call_end &end, const http_response &) {
        done(end.error == error_kind::None);
    });
}

bool detour_transport::isInTouch() const
{
    return m_path.servedBefore(m_loop.now()) < inTouchTime;
}

void detour_transport::goThrough(const std::shared_ptr<pending> &call, const std::string &peer, const endpoint &where)
{
    http_request request;
    request.method = "POST";
    request.target = storePath;
    request.fields.set(methodField, call->method);
    request.fields.set(targetField, call->target);
    request.fields.set(timeoutField, std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(call->timeout).count()));
    request.body = call->body;
    http_call_options options;
    options.connectTimeout = detourAllowance;
    options.deadline = call->isWaiting() ? detourWait : call->timeout + detourAllowance;
    options.silenceTimeout = options.deadline;
    const auto started = m_client.call(where, std::move(request), options, [this, call, peer](const http_call_end &end, const http_response &response) {
        if (!call->isCancelled) {
            detourEnded(call, peer, end, response);
        }
    });
    call->cancel = [weak = std::weak_ptr(started)] {
        if (const auto running = weak.lock()) {
            running->cancel();
        }
    };
}

void detour_transport::detourEnded(const std::shared_ptr<pending> &call, const std::string &peer, const http_call_end &end, const http_response &response)
{
    const time_point now = m_loop.now();
    if (call->isWaiting() && end.isHandedOver && (end.error == error_kind::DeadlineExceeded || end.error == error_kind::ServerSilent)) {
        send(call);
        return;
    }
    const bool isAnswered = end.error == error_kind::None;
    const bool isNotDone = isAnswered ? response.status == statusNotDone : !end.isHandedOver;
    const bool isUnknown = isAnswered ? response.status == statusNoAnswer : end.isHandedOver;
    const bool isRefused = isAnswered && (response.status == http_status::tooMany || response.status == http_status::unavailable);
    const bool wasLost = m_path.isStoreLost();
    m_path.detourEnded(now, peer, !isNotDone && !isUnknown && !isRefused, isAnswered);
    tellIfRegained(wasLost);
    if ((isNotDone || isRefused) && !call->hasFailedDirectly) {
        call->hasFailedDirectly = true;
        goDirectly(call);
        return;
    }
    call->onReply({ !isNotDone && !isUnknown, isUnknown, response.status, response.body });
}

/** A question about a shared prefix on its way. */
struct detour_transport::following
{
    shared_watch watch;
    reply_handler onReply;
    cancel_action cancel;
    bool isCancelled = false;
};

duration detour_transport::hubHold() const
{
    return fromSeconds(toSeconds(m_settings.drainBound) * hubHoldShare);
}

platform::store_transport::cancel_action detour_transport::follow(const shared_watch &watch, reply_handler onReply)
{
    const auto question = std::make_shared<following>(following{ watch, std::move(onReply), nullptr, false });
    askReader(question);
    return [weak = std::weak_ptr(question)] {
        if (const auto waiting = weak.lock()) {
            waiting->isCancelled = true;
            if (const auto cancel = std::exchange(waiting->cancel, nullptr)) {
                cancel();
            }
        }
    };
}

void detour_transport::askReader(const std::shared_ptr<following> &question)
{
    const auto reader = m_path.zoneReader(m_loop.now());
    if (!reader) {
        const std::uint64_t generation = question->watch.isFresh ? 0 : m_generations[question->watch.prefix];
        question->cancel = askHub(question->watch.prefix, question->watch.after, generation, [this, question](const reply &answer) {
            m_generations[question->watch.prefix] = hubGeneration(question->watch.prefix);
            if (question->isCancelled) {
                return;
            }
            if (answer.isAnswered && answer.status == statusTooOld) {
                followDirectly(question);
            } else {
                question->onReply(answer);
            }
        });
        return;
    }
    http_request request;
    request.method = "POST";
    request.target = followPath;
    request.fields.set(prefixField, question->watch.prefix);
    request.fields.set(afterField, std::to_string(question->watch.after));
    request.fields.set(generationField, std::to_string(question->watch.isFresh ? 0 : m_generations[question->watch.prefix]));
    http_call_options options;
    options.connectTimeout = detourAllowance;
    options.silenceTimeout = hubHold() + detourAllowance;
    options.deadline = options.silenceTimeout;
    const auto started = m_client.call(
        reader->second, std::move(request), options, [this, question, name = reader->first](const http_call_end &end, const http_response &response) {
            if (question->isCancelled) {
                return;
            }
            if (end.error == error_kind::None && response.status == statusUnchanged) {
                askReader(question);
                return;
            }
            if (end.error == error_kind::None && response.status == http_status::ok) {
                question->onReply({ true, true, response.status, response.body, response.fields.get(moreField) == "1" });
                return;
            }
            if (end.error == error_kind::None && response.status == statusTooOld) {
                followDirectly(question);
                return;
            }
            if (end.error != error_kind::None || response.status == http_status::unavailable) {
                m_path.readerFailed(m_loop.now(), name);
            }
            // Not asked again from the same revision: the reader's watch may have been cut because the history before it is gone.
            question->onReply({});
        });
    question->cancel = [weak = std::weak_ptr(started)] {
        if (const auto running = weak.lock()) {
            running->cancel();
        }
    };
}

void detour_transport::followDirectly(const std::shared_ptr<following> &question)
{
    question->cancel = call("GET",
                            platform::watchTarget(question->watch.prefix, question->watch.after, question->watch.wait),
                            "",
                            question->watch.timeout,
                            [question](const reply &answer) {
                                if (!question->isCancelled) {
                                    question->onReply(answer);
                                }
                            });
}

platform::store_transport::cancel_action
detour_transport::askHub(const std::string &prefix, store_revision after, std::uint64_t generation, reply_handler onReply)
{
    const hub_decision decision = m_hub.ask(prefix, after, generation);
    if (decision.what != hub_decision::kind::StartPoll && decision.what != hub_decision::kind::Wait) {
        const bool isKnown = decision.what == hub_decision::kind::Reply;
        const bool isLost = decision.what == hub_decision::kind::Lost;
        const auto isWithdrawn = std::make_shared<bool>(false);
        m_loop.after(duration::zero(),
                     [isWithdrawn,
                      onReply,
                      answer = reply{ !isLost, true, isKnown ? http_status::ok : statusTooOld, isKnown ? *decision.reply : "", decision.hasMore }] {
                         if (!*isWithdrawn) {
                             onReply(answer);
                         }
                     });
        return [isWithdrawn] {
            *isWithdrawn = true;
        };
    }
    const std::uint64_t number = m_nextFollower++;
    m_followers[prefix].push_back({ after, std::move(onReply), number });
    if (decision.what == hub_decision::kind::StartPoll) {
        pollForHub(prefix, after);
    }
    return [this, prefix, number] {
        std::erase_if(m_followers[prefix], [number](const hub_follower &each) {
            return each.number == number;
        });
    };
}

void detour_transport::pollForHub(const std::string &prefix, store_revision after)
{
    call("GET", platform::watchTarget(prefix, after, hubPollWait), "", hubPollTimeout, [this, prefix](const reply &answer) {
        hubPolled(prefix, answer);
    });
}

void detour_transport::hubPolled(const std::string &prefix, const reply &answer)
{
    const std::optional<platform::watch_summary> summary =
        answer.isAnswered && answer.status == http_status::ok ? platform::summarizeWatch(answer.body) : std::nullopt;
    if (summary) {
        m_hub.ended(prefix, summary->reached, summary->hasEvents, answer.body);
    } else {
        m_hub.failed(prefix);
    }
    for (const hub_follower &each : std::exchange(m_followers[prefix], {})) {
        each.onReply(summary ? answer : reply{});
    }
}

peer_transport_service::peer_transport_service(
    const edge_settings &settings, asio_loop &loop, platform::key_value_store &store, detour_transport &transport, std::function<void()> keepInTouch)
    : m_settings(settings)
    , m_loop(loop)
    , m_store(store)
    , m_transport(transport)
    , m_keepInTouch(std::move(keepInTouch))
{
}

bool peer_transport_service::servesPeers() const
{
    return m_loop.now() - m_askedAt < peersMemory;
}

result<void> peer_transport_service::start(kernel &)
{
    if (!m_settings.peers) {
        return {};
    }
    http_server_options options;
    options.address = *m_settings.peers;
    options.maximumBodyBytes = largestCallerBody;
    m_server = std::make_unique<http_server>(m_loop.io(), options, [this](std::shared_ptr<http_exchange> exchange) {
        callForPeer(std::move(exchange));
    });
    BOOST_LEAF_CHECK(m_server->start());
    announce();
    prefix_mirror_handlers handlers;
    handlers.onListing = [this](std::span<const store_key_value> items) {
        m_peers.clear();
        for (const store_key_value &item : items) {
            store_watch_event event;
            event.item = item;
            takePeer(event);
        }
    };
    handlers.onEvent = [this](const store_watch_event &event) {
        takePeer(event);
    };
    handlers.onCaughtUp = [this] {
        m_transport.path().setPeers(m_peers);
        m_onPeers(m_peers);
    };
    prefix_mirror_options paced;
    paced.reportInterval = std::chrono::seconds(2); // Nodes come and go in groups, and a peer is needed only when the store is away.
    m_mirror = std::make_shared<prefix_mirror<platform::key_value_store, asio_loop>>(m_store, m_loop, std::string(nodesPrefix), paced, handlers);
    m_mirror->start();
    pingLater();
    return {};
}

void peer_transport_service::pingLater()
{
    m_loop.after(pingInterval, [this] {
        if (m_transport.path().isStoreLost() && m_isUrgent()) {
            m_transport.probeStore();
        }
        if (!m_isLeaving) {
            pingPeers();
        }
        pingLater();
    });
}

void peer_transport_service::pingPeers()
{
    for (const auto &[name, where] : m_transport.path().pingTargets()) {
        m_transport.ping(where, [this, name = name](bool isReached) {
            if (m_transport.path().pinged(m_loop.now(), name, isReached) && !m_isAskingStore) {
                logLine(log_level::Info, "peer-silent", { { "peer", name } });
                pingPeers();
                askStore();
            }
        });
    }
}

/** Whether the store answers is noted by the transport. */
void peer_transport_service::askStore()
{
    m_isAskingStore = true;
    m_store.range({ std::string(nodesPrefix) + m_settings.node, false, 0 }, [this](const store_range_answer &) {
        m_isAskingStore = false;
    });
}

void peer_transport_service::drain(std::function<void()> done)
{
    m_isLeaving = true;
    if (m_settings.peers) {
        store_txn txn;
        txn.onSuccess.push_back(store_delete{ std::string(nodesPrefix) + m_settings.node, false });
        m_store.txn(txn, [](const store_txn_answer &) {});
    }
    done();
}

void peer_transport_service::stop()
{
    if (m_mirror) {
        m_mirror->stop();
    }
    if (m_server) {
        m_server->stop();
    }
}

/** What stands in the store of this node: where it is, its zone, its processor share. */
std::string peer_transport_service::encodeNode() const
{
    return m_settings.peers->text() + " " + m_settings.zone + " " + std::to_string(m_settings.processorShare);
}

void peer_transport_service::announce()
{
    store_txn txn;
    txn.onSuccess.push_back(store_put{ std::string(nodesPrefix) + m_settings.node, encodeNode(), 0 });
    m_store.txn(txn, [this](const store_txn_answer &answer) {
        if (answer.error && !m_isLeaving) {
            m_loop.after(announceRetry, [this] {
                announce();
            });
        }
    });
}

void peer_transport_service::takePeer(const store_watch_event &event)
{
    const std::string name = event.item.key.substr(nodesPrefix.size());
    if (event.type == store_watch_event::kind::Delete) {
        m_peers.erase(name);
        return;
    }
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        std::istringstream words(event.item.value);
        std::string address;
        store_peer peer;
        words >> address >> peer.zone >> peer.processorShare; // What is missing stays unknown.
        BOOST_LEAF_ASSIGN(peer.where, parseEndpoint(address));
        if (name != m_settings.node) {
            m_peers[name] = std::move(peer);
        }
        return {};
    });
    if (error) {
        logLine(log_level::Warning, "peer-entry-unusable", { { "peer", name }, { "reason", error->detail } });
    }
}

void peer_transport_service::callForPeer(std::shared_ptr<http_exchange> exchange)
{
    const http_request &request = exchange->request();
    if (job_forwarder::isForwarded(request)) {
        m_onForwarded(std::move(exchange));
        return;
    }
    const std::string method(request.fields.get(methodField));
    const std::string target(request.fields.get(targetField));
    const long timeoutMs = std::strtol(std::string(request.fields.get(timeoutField)).c_str(), nullptr, 10);
    if (request.path() == pingPath) {
        exchange->respond(textResponse(http_status::ok, ""));
        return;
    }
    if (request.path() == followPath) {
        followForPeer(std::move(exchange));
        return;
    }
    if (request.path() != storePath || method.empty() || target.empty() || timeoutMs <= 0) {
        exchange->respond(textResponse(http_status::badRequest, "bad request\n"));
        return;
    }
    const auto cancel = m_transport.callDirectly(
        method, target, request.body, std::chrono::milliseconds(timeoutMs), [exchange](const platform::store_transport::reply &answer) {
            if (!answer.isAnswered) {
                exchange->respond(textResponse(answer.isHandedOver ? statusNoAnswer : statusNotDone, ""));
                return;
            }
            http_response response;
            response.status = answer.status;
            response.body = answer.body;
            exchange->respond(std::move(response));
        });
    exchange->onGone(cancel);
}

void peer_transport_service::followForPeer(std::shared_ptr<http_exchange> exchange)
{
    const std::string prefix(exchange->request().fields.get(prefixField));
    const store_revision after = numberField(exchange->request().fields, afterField);
    if (prefix.empty() || m_isLeaving) {
        exchange->respond(textResponse(http_status::unavailable, ""));
        return;
    }
    m_askedAt = m_loop.now();
    m_keepInTouch();
    const std::uint64_t generation = numberField(exchange->request().fields, generationField);
    const auto isAnswered = std::make_shared<bool>(false);
    const auto respond = [this, exchange, isAnswered, prefix](std::uint16_t status, std::string body, bool hasMore) {
        if (std::exchange(*isAnswered, true)) {
            return;
        }
        http_response response;
        response.status = status;
        response.fields.set(generationField, std::to_string(m_transport.hubGeneration(prefix)));
        response.fields.set(moreField, hasMore ? "1" : "0");
        response.body = std::move(body);
        exchange->respond(std::move(response));
    };
    const auto cancel = m_transport.askHub(prefix, after, generation, [respond](const platform::store_transport::reply &answer) {
        respond(answer.isAnswered ? answer.status : statusLost, answer.body, answer.hasMore);
    });
    m_loop.after(m_transport.hubHold(), [this, isAnswered, respond, cancel] {
        if (!*isAnswered) {
            cancel();
            respond(m_transport.isInTouch() ? statusUnchanged : statusNotDone, "", false);
        }
    });
}

} // namespace reedtrail
