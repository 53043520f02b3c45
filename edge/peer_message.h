/**
 * @file
 * Sends typed messages to other nodes and reads those that come from them.
 */
#pragma once

#include "base/cbor_codec.h"
#include "fleet/peer_ask.h"
#include "fleet/store_router.h"
#include "kernel/log.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/http_status.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace reedtrail {

/** Decodes a message from the body of a request or response. @return nothing, and a log line, if it can't be read */
template<class Message>
std::optional<Message> decodePeerMessage(const std::string &body)
{
    std::optional<Message> decoded;
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_AUTO(message, decodeEnvelope({ reinterpret_cast<const std::uint8_t *>(body.data()), body.size() }));
        BOOST_LEAF_AUTO(content, decodeBody<Message>(message));
        decoded = std::move(content);
        return {};
    });
    if (error) {
        logLine(log_level::Warning,
                "peer-message-unreadable",
                { { "message", std::string(Message::messageName) }, { "reason", error->detail }, { "bytes", std::to_string(body.size()) } });
    }
    return decoded;
}

/** Encodes a message as the body of a request or response. */
template<class Message>
std::string encodePeerMessage(const Message &message)
{
    const std::vector<std::uint8_t> bytes = encodeMessage(message);
    return { bytes.begin(), bytes.end() };
}

/** Makes the response that carries a reply to a peer. */
template<class Message>
http_response peerReply(const Message &message)
{
    http_response response;
    response.status = http_status::ok;
    response.body = encodePeerMessage(message);
    return response;
}

/** How a peer was asked and answered. */
struct peer_ask_result
{
    peer_ask_end end = peer_ask_end::Silent;
    std::string reason; ///< Why there is no answer, for the log.
};

/**
 * Sends a message to another node and reads its reply.
 * @param path of the peer protocol
 * @param timeout of connecting, of silence and of the whole call
 * @param onEnd called once, never from inside this call; the reply is empty unless the node has answered
 */
template<class Reply, class Message>
void askPeer(store_router &router,
             http_client &client,
             const std::string &node,
             std::string_view path,
             const Message &message,
             duration timeout,
             std::function<void(const peer_ask_result &, const Reply &)> onEnd)
{
    const endpoint address = router.peerAddress(node).value_or(endpoint{}); // Without an address the call fails.
    http_request request;
    request.method = "POST";
    request.target = path;
    request.body = encodePeerMessage(message);
    http_call_options options;
    options.connectTimeout = timeout;
    options.silenceTimeout = timeout;
    options.deadline = timeout;
    client.call(address, std::move(request), options, [onEnd = std::move(onEnd)](const http_call_end &end, const http_response &response) {
        std::optional<Reply> answer;
        if (end.error == error_kind::None && response.status == http_status::ok) {
            answer = decodePeerMessage<Reply>(response.body);
        }
        if (answer) {
            onEnd({ peer_ask_end::Answered, "" }, *answer);
            return;
        }
        const bool isDeclined = end.error == error_kind::None && response.status == http_status::unavailable;
        onEnd({ isDeclined || end.isConnectionRefused ? peer_ask_end::Gone : peer_ask_end::Silent, isDeclined ? "declined" : end.detail }, {});
    });
}

} // namespace reedtrail
