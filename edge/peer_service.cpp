// Nodes stand in the store under keys without a lease: a peer that is gone is found out by the first call through it, which costs less than renewing a key of
// each node all day.

#include "edge/peer_service.h"

#include "edge/peer_protocol.h"
#include "kernel/log.h"

#include <sstream>

namespace reedtrail {

using namespace peer_protocol;

namespace {

constexpr duration pingInterval = std::chrono::milliseconds(500); // Half of the time between two questions of the ingress whether this node is ready.
constexpr duration peersMemory = std::chrono::seconds(3); // Peers that follow ask every half second.
constexpr duration announceRetry = std::chrono::seconds(1);

} // namespace

peer_service::peer_service(
    const edge_settings &settings, asio_loop &loop, platform::key_value_store &store, failover_store_transport &transport, std::function<void()> keepInTouch)
    : m_settings(settings)
    , m_loop(loop)
    , m_store(store)
    , m_transport(transport)
    , m_keepInTouch(std::move(keepInTouch))
{
}

bool peer_service::servesPeers() const
{
    return m_loop.now() - m_askedAt < peersMemory;
}

result<void> peer_service::start(kernel &)
{
    if (!m_settings.peers) {
        return {};
    }
    http_server_options options;
    options.address = *m_settings.peers;
    options.maximumBodyBytes = maxCallerBodyBytes;
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

void peer_service::pingLater()
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

void peer_service::pingPeers()
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
void peer_service::askStore()
{
    m_isAskingStore = true;
    m_store.range({ std::string(nodesPrefix) + m_settings.node, false, 0 }, [this](const store_range_answer &) {
        m_isAskingStore = false;
    });
}

void peer_service::drain(std::function<void()> done)
{
    m_isLeaving = true;
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

/** What stands in the store of this node: where it is, its zone, its processor share. */
std::string peer_service::encodeNode() const
{
    return m_settings.peers->text() + " " + m_settings.zone + " " + std::to_string(m_settings.processorShare);
}

void peer_service::announce()
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

void peer_service::takePeer(const store_watch_event &event)
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

void peer_service::callForPeer(std::shared_ptr<http_exchange> exchange)
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

void peer_service::followForPeer(std::shared_ptr<http_exchange> exchange)
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
