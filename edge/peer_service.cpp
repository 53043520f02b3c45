// Nodes register under store keys without a lease. A peer that is gone is detected by the first call through it, which costs less than renewing one key per
// node all the time. The registration of one that stays away is removed by the node that watches it.

#include "edge/peer_service.h"

#include "edge/listener_limits.h"
#include "edge/peer_protocol.h"
#include "kernel/log.h"

#include <sstream>

namespace reedtrail {

using namespace peer_protocol;

namespace {

constexpr duration pingInterval = std::chrono::milliseconds(500); // Half of the interval between two readiness probes of the ingress.
constexpr duration watchingPeerMemory = std::chrono::seconds(3); // Watching peers send a request every half second.
constexpr duration registrationRetryDelay = std::chrono::seconds(1);
constexpr duration watchInterval = std::chrono::seconds(4); // A machine that restarts or is cut off for some seconds misses fewer rounds than count.
constexpr duration refreshInterval = std::chrono::seconds(4); // Nodes come and go in groups, and calls to one that is gone find that out at once.
constexpr duration registrationAge = std::chrono::seconds(3); // Greatest age of registrations that a reader passes on.
constexpr duration firstStartDelay = std::chrono::milliseconds(1500); // All nodes of a deployment start within 0.3 s; by then most have registered.
constexpr duration firstPeersPatience = std::chrono::milliseconds(500); // Without the peers, this node reads the store itself.

} // namespace

peer_service::peer_service(const edge_settings &settings,
                           asio_loop &loop,
                           platform::key_value_store &store,
                           failover_store_transport &transport,
                           peer_snapshot_source &source,
                           snapshot_server &snapshots,
                           std::shared_ptr<reception> requests,
                           std::function<void()> maintainStoreContact)
    : m_settings(settings)
    , m_loop(loop)
    , m_store(store)
    , m_transport(transport)
    , m_source(source)
    , m_snapshots(snapshots)
    , m_lostNodes(settings.node)
    , m_requests(std::move(requests))
    , m_maintainStoreContact(std::move(maintainStoreContact))
{
}

bool peer_service::servesWatchingPeers() const
{
    return m_loop.now() - m_lastWatchRequestAt < watchingPeerMemory;
}

duration peer_service::nodeListAge() const
{
    return m_mirror ? m_mirror->age(m_loop.now()) : duration::zero();
}

result<void> peer_service::start(kernel &)
{
    if (!m_settings.peers) {
        m_loop.after(duration::zero(), [this] {
            m_onPeersChanged(m_peers);
            notifyFirstPeers();
        });
        return {};
    }
    http_server_options options;
    options.address = *m_settings.peers;
    options.maximumBodyBytes = maxCallerBodyBytes;
    options.requests = m_requests;
    options.maximumConnections = limitsFor(m_settings).peerConnections;
    m_server = std::make_unique<http_server>(m_loop.io(), options, [this](std::shared_ptr<http_exchange> exchange) {
        handlePeerRequest(std::move(exchange));
    });
    BOOST_LEAF_CHECK(m_server->start());
    startMirror();
    schedulePing();
    scheduleWatchRound();
    return {};
}

/** Follows the registrations of all nodes. Nothing is bounded in time here: a node that is gone is noticed when it does not answer. */
void peer_service::startMirror()
{
    snapshot_mirror_options options;
    options.prefix = nodesPrefix;
    options.allowance = registrationAge;
    options.replyAge = registrationAge;
    options.prefetchAge = registrationAge;
    snapshot_mirror_handlers handlers;
    handlers.onEvent = [this](const store_watch_event &event, bool) {
        applyPeerEvent(event);
    };
    handlers.onCaughtUp = [this](bool) {
        m_transport.path().setPeers(m_peers);
        m_lostNodes.setNodes(m_peers);
        m_onPeersChanged(m_peers);
        registerNode();
        notifyFirstPeers();
    };
    m_mirror = std::make_shared<edge_snapshot_mirror>(m_source, m_loop, options, std::move(handlers));
    m_snapshots.add(options.prefix, m_mirror);
    if (m_settings.isFirstStart) {
        registerNode();
    }
    m_loop.after(m_settings.isFirstStart ? firstStartDelay : duration::zero(), [this] {
        m_mirror->start();
        m_loop.after(firstPeersPatience, [this] {
            notifyFirstPeers();
        });
        scheduleRefresh();
    });
}

/** Reads the registrations again from time to time. */
void peer_service::scheduleRefresh()
{
    m_loop.after(refreshInterval, [this] {
        m_mirror->prefetch();
        scheduleRefresh();
    });
}

void peer_service::notifyFirstPeers()
{
    if (const std::function<void()> action = std::exchange(m_onFirstPeers, nullptr)) {
        action();
    }
}

void peer_service::schedulePing()
{
    m_loop.after(pingInterval, [this] {
        if (m_transport.path().isStoreLost() && m_hasUrgentStoreWork()) {
            m_transport.probeStore();
        }
        if (!m_isDraining) {
            pingPeers();
        }
        schedulePing();
    });
}

void peer_service::pingPeers()
{
    for (const auto &[name, address] : m_transport.path().pingTargets()) {
        m_transport.ping(address, [this, name = name](bool isReached, const http_response &answer) {
            if (isReached && m_crashes != nullptr) {
                m_crashes->onPingAnswer(name, answer.fields.get(crashStateField));
            }
            if (m_transport.path().recordPing(m_loop.now(), name, isReached) && !m_isCheckingStore) {
                logLine(log_level::Info, "peer-silent", { { "peer", name } });
                pingPeers();
                checkStore();
            }
        });
    }
}

/** Sends the store a read; the transport records whether it was answered. */
void peer_service::checkStore()
{
    m_isCheckingStore = true;
    m_store.range({ std::string(nodesPrefix) + m_settings.node, false, 0 }, [this](const store_range_answer &) {
        m_isCheckingStore = false;
    });
}

void peer_service::scheduleWatchRound()
{
    m_loop.after(watchInterval, [this] {
        if (!m_isDraining && !std::exchange(m_isWatchRoundOpen, true)) {
            pingWatched(m_lostNodes.beginRound());
        }
        scheduleWatchRound();
    });
}

/** Pings the nodes of a round one after the other, until one answers. */
void peer_service::pingWatched(const std::optional<std::string> &node)
{
    const auto known = node ? m_peers.find(*node) : m_peers.end();
    if (known == m_peers.end()) {
        m_isWatchRoundOpen = false; // No node has answered, or the list has changed: the round counts nothing.
        return;
    }
    m_transport.ping(known->second.address, [this](bool isReached, const http_response &) {
        if (!isReached) {
            pingWatched(m_lostNodes.nextAfterSilence());
            return;
        }
        m_isWatchRoundOpen = false;
        m_lostNodes.endRound();
        removeLostNodes();
    });
}

/** Removes the registrations of lost nodes. One that lives sees this when it next reads the list, and registers again. */
void peer_service::removeLostNodes()
{
    if (m_isDraining) {
        return;
    }
    for (const std::string &name : m_lostNodes.lost()) {
        const std::string key = std::string(nodesPrefix) + name;
        store_txn txn;
        txn.compares.push_back(store_compare::unchanged(key, m_peerRevisions[name]));
        txn.onSuccess.push_back(store_delete{ key, false });
        m_store.txn(txn, [this, name](const store_txn_answer &answer) {
            const std::string end = answer.error ? answer.error->detail : answer.isSucceeded ? "removed" : "registered anew";
            logLine(log_level::Info, "peer-lost", { { "peer", name }, { "registration", end } });
            if (!answer.error) {
                m_lostNodes.recordRemoval(name);
            }
        });
    }
}

void peer_service::drain(std::function<void()> done)
{
    m_isDraining = true;
    if (m_settings.peers) {
        store_txn txn;
        txn.onSuccess.push_back(store_delete{ std::string(nodesPrefix) + m_settings.node, false });
        m_store.txn(txn, [](const store_txn_answer &) {});
    }
    done();
}

void peer_service::stop()
{
    if (m_mirror) {
        m_mirror->stop();
    }
    if (m_server) {
        m_server->stop();
    }
}

/** Returns this node's registration: address, zone and processor share, separated by spaces. */
std::string peer_service::encodeOwnEntry() const
{
    return m_settings.peers->text() + " " + m_settings.zone + " " + std::to_string(m_settings.processorShare);
}

/** Registers this node unless the store has its registration, which it keeps when the machine fails. */
void peer_service::registerNode()
{
    const std::string entry = encodeOwnEntry();
    if (m_isRegistering || m_isDraining || m_registeredEntry == entry) {
        return;
    }
    m_isRegistering = true;
    store_txn txn;
    txn.onSuccess.push_back(store_put{ std::string(nodesPrefix) + m_settings.node, entry, 0 });
    m_store.txn(txn, [this, entry](const store_txn_answer &answer) {
        m_isRegistering = false;
        if (!answer.error) {
            m_registeredEntry = entry;
        } else if (!m_isDraining) {
            m_loop.after(registrationRetryDelay, [this] {
                registerNode();
            });
        }
    });
}

void peer_service::applyPeerEvent(const store_watch_event &event)
{
    const std::string name = event.item.key.substr(nodesPrefix.size());
    if (name.starts_with(crash_guard::keyPart)) {
        if (m_crashes != nullptr) {
            m_crashes->onStored(name, event.item.value, event.type == store_watch_event::kind::Delete);
        }
        return;
    }
    if (name == m_settings.node) {
        m_registeredEntry = event.type == store_watch_event::kind::Put ? event.item.value : "";
        m_wasRegistered = m_wasRegistered || (!m_isRegistering && !m_settings.isFirstStart && !m_registeredEntry.empty());
        return;
    }
    if (event.type == store_watch_event::kind::Delete) {
        m_peers.erase(name);
        m_peerRevisions.erase(name);
        return;
    }
    m_peerRevisions[name] = event.item.modRevision;
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        std::istringstream entryFields(event.item.value);
        std::string address;
        store_peer peer;
        entryFields >> address >> peer.zone >> peer.processorShare; // Missing fields keep the values for "unknown".
        BOOST_LEAF_ASSIGN(peer.address, parseEndpoint(address));
        m_peers[name] = std::move(peer);
        return {};
    });
    if (error) {
        logLine(log_level::Warning, "peer-entry-unusable", { { "peer", name }, { "reason", error->detail } });
    }
}

void peer_service::handlePeerRequest(std::shared_ptr<http_exchange> exchange)
{
    const http_request &request = exchange->request();
    if (job_forwarder::isForwarded(request)) {
        m_onForwardedCall(std::move(exchange));
        return;
    }
    const std::string method(request.fields.get(methodField));
    const std::string target(request.fields.get(targetField));
    const long timeoutMs = std::strtol(std::string(request.fields.get(timeoutField)).c_str(), nullptr, 10);
    if (request.path() == pingPath) {
        http_response answer = textResponse(http_status::ok, "");
        if (const std::string state = m_crashes == nullptr ? "" : m_crashes->stateText(); !state.empty()) {
            answer.fields.set(crashStateField, state);
        }
        exchange->respond(std::move(answer));
        return;
    }
    if (request.path() == crashPath && m_crashes != nullptr) {
        m_crashes->serve(exchange);
        return;
    }
    if (request.path() == snapshotPath) {
        m_snapshots.serve(exchange);
        return;
    }
    if (request.path() == contactPath) {
        m_onContactQuestion(std::move(exchange));
        return;
    }
    if (request.path() == limitPath) {
        m_onLimitAsks(std::move(exchange));
        return;
    }
    if ((request.path() == usagePath || request.path() == usageHandoverPath)) {
        m_onUsageMessages(std::move(exchange));
        return;
    }
    if (request.path() == streamPath) {
        m_onStreamMessages(std::move(exchange));
        return;
    }
    if (request.path() == followPath) {
        serveWatchRequest(std::move(exchange));
        return;
    }
    if (request.path() != storePath || method.empty() || target.empty() || timeoutMs <= 0) {
        exchange->respond(textResponse(http_status::badRequest, "bad request\n"));
        return;
    }
    const auto cancel = m_transport.callDirectly(
        method, target, request.body, std::chrono::milliseconds(timeoutMs), [exchange](const platform::store_transport::reply &answer) {
            if (!answer.isAnswered) {
                exchange->respond(textResponse(answer.isHandedOver ? statusOutcomeUnknown : statusNotExecuted, ""));
                return;
            }
            http_response response;
            response.status = answer.status;
            response.body = answer.body;
            exchange->respond(std::move(response));
        });
    exchange->onGone(cancel);
}

void peer_service::serveWatchRequest(std::shared_ptr<http_exchange> exchange)
{
    const std::string prefix(exchange->request().fields.get(prefixField));
    const store_revision after = numberField(exchange->request().fields, afterField);
    if (prefix.empty() || m_isDraining) {
        exchange->respond(textResponse(http_status::unavailable, ""));
        return;
    }
    m_lastWatchRequestAt = m_loop.now();
    m_maintainStoreContact();
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
    const auto cancel = m_transport.queryHub(prefix, after, generation, [respond](const platform::store_transport::reply &answer) {
        respond(answer.isAnswered ? answer.status : statusPollFailed, answer.body, answer.hasMore);
    });
    m_loop.after(m_transport.hubHoldTime(), [this, isAnswered, respond, cancel] {
        if (!*isAnswered) {
            cancel();
            respond(m_transport.hasRecentStoreContact() ? statusUnchanged : statusNotExecuted, "", false);
        }
    });
}

} // namespace reedtrail
