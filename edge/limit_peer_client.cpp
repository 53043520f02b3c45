// One message carries all questions that wait for a keeper, and there is one at a time for each keeper, so a burst opens one connection to it.

#include "edge/limit_peer_client.h"

#include "base/cbor_codec.h"
#include "edge/peer_protocol.h"
#include "kernel/log.h"

namespace reedtrail {
namespace {

constexpr duration askTimeout = std::chrono::milliseconds(150); // Fifty times the round trip between zones; interactive callers wait for the answer.

/** Decodes a message from the body of a request or response, and logs one that can't be read. */
template<class Message>
std::optional<Message> decodeMessage(const std::string &body)
{
    std::optional<Message> decoded;
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_AUTO(message, decodeEnvelope({ reinterpret_cast<const std::uint8_t *>(body.data()), body.size() }));
        BOOST_LEAF_AUTO(content, decodeBody<Message>(message));
        decoded = std::move(content);
        return {};
    });
    if (error) {
        logLine(log_level::Warning, "limit-message-unreadable", { { "reason", error->detail }, { "bytes", std::to_string(body.size()) } });
    }
    return decoded;
}

template<class Message>
std::string encodeText(const Message &message)
{
    const std::vector<std::uint8_t> bytes = encodeMessage(message);
    return { bytes.begin(), bytes.end() };
}

} // namespace

void limit_peer_client::ask(const std::string &node, const limit_asks &question, std::function<void(limit_ask_end, const limit_replies &)> onEnd)
{
    const endpoint address = m_router.peerAddress(node).value_or(endpoint{}); // Without an address the call fails.
    http_request request;
    request.method = "POST";
    request.target = peer_protocol::limitPath;
    request.body = encodeText(question);
    http_call_options options;
    options.connectTimeout = askTimeout;
    options.silenceTimeout = askTimeout;
    options.deadline = askTimeout;
    m_peerClient.call(address, std::move(request), options, [node, onEnd = std::move(onEnd)](const http_call_end &end, const http_response &response) {
        std::optional<limit_replies> answer;
        if (end.error == error_kind::None && response.status == http_status::ok) {
            answer = decodeMessage<limit_replies>(response.body);
        }
        if (answer) {
            onEnd(limit_ask_end::Answered, *answer);
            return;
        }
        const bool isDeclined = end.error == error_kind::None && response.status == http_status::unavailable;
        const bool isGone = isDeclined || end.isConnectionRefused;
        logLine(log_level::Info,
                "limit-keeper-passed-over",
                { { "keeper", node }, { "gone", isGone ? "yes" : "no" }, { "reason", isDeclined ? "declined" : end.detail } });
        onEnd(isGone ? limit_ask_end::Gone : limit_ask_end::Silent, {});
    });
}

std::optional<limit_asks> decodeLimitAsks(const http_request &request)
{
    return decodeMessage<limit_asks>(request.body);
}

http_response encodeLimitReplies(const limit_replies &answer)
{
    http_response response;
    response.status = http_status::ok;
    response.body = encodeText(answer);
    return response;
}

} // namespace reedtrail
