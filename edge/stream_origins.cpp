#include "edge/stream_origins.h"

#include "edge/peer_message.h"
#include "edge/peer_protocol.h"
#include "kernel/log.h"

namespace reedtrail {
namespace {

constexpr duration askTimeout = std::chrono::milliseconds(150); // Fifty times the round trip between zones; the caller waits for the answer.
constexpr duration expiryInterval = std::chrono::seconds(5);

} // namespace

void stream_origin_peer_client::send(const std::string &node, const stream_message &message, std::function<void(peer_ask_end, const stream_reply &)> onEnd)
{
    const auto onAnswer = [node, onEnd = std::move(onEnd)](const peer_ask_result &result, const stream_reply &reply) {
        if (result.end != peer_ask_end::Answered) {
            logLine(log_level::Info, "stream-peer-passed-over", { { "peer", node }, { "reason", result.reason } });
        }
        onEnd(result.end, reply);
    };
    askPeer<stream_reply, stream_message>(m_router, m_peerClient, node, peer_protocol::streamPath, message, askTimeout, onAnswer);
}

stream_origins::stream_origins(edge_context &context, fleet_cache &fleet, store_router &router, http_client &peerClient)
    : m_context(context)
    , m_peers(router, peerClient)
    , m_client(std::make_shared<stream_origin_client<stream_origin_peer_client, asio_loop>>(m_peers, context.loop, context.settings.node, fleet.builds()))
{
    fleet.onBuildsUncertain([client = m_client](const std::string &service) {
        client->sendEntriesOf(service);
    });
    scheduleExpiry();
}

void stream_origins::record(const std::string &stream, const stream_origin &origin, duration keep, duration maximumAge)
{
    if (!stream.empty()) {
        m_client->record(stream, origin, keep, maximumAge);
    }
}

void stream_origins::prepareToLeave()
{
    logLine(log_level::Info, "streams-handed-over", { { "streams", std::to_string(m_client->size()) } });
    m_client->prepareToLeave();
}

void stream_origins::serve(const std::shared_ptr<http_exchange> &exchange)
{
    const std::optional<stream_message> message = decodePeerMessage<stream_message>(exchange->request().body);
    if (!message) {
        exchange->respond(textResponse(http_status::badRequest, "bad message\n"));
        return;
    }
    exchange->respond(peerReply(m_client->serve(*message)));
}

void stream_origins::scheduleExpiry()
{
    m_context.loop.after(expiryInterval, [this] {
        m_client->expire();
        scheduleExpiry();
    });
}

} // namespace reedtrail
