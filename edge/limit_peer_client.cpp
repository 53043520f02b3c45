// One message carries all questions that wait for a keeper, and there is one at a time for each keeper, so a burst opens one connection to it.

#include "edge/limit_peer_client.h"

#include "edge/peer_message.h"
#include "edge/peer_protocol.h"
#include "kernel/log.h"

namespace reedtrail {
namespace {

constexpr duration askTimeout = std::chrono::milliseconds(150); // Fifty times the round trip between zones; interactive callers wait for the answer.

} // namespace

void limit_peer_client::ask(const std::string &node, const limit_asks &question, std::function<void(limit_ask_end, const limit_replies &)> onEnd)
{
    const auto onAnswer = [node, onEnd = std::move(onEnd)](const peer_ask_result &result, const limit_replies &answer) {
        if (result.end != peer_ask_end::Answered) {
            logLine(log_level::Info,
                    "limit-keeper-passed-over",
                    { { "keeper", node }, { "gone", result.end == peer_ask_end::Gone ? "yes" : "no" }, { "reason", result.reason } });
        }
        onEnd(result.end, answer);
    };
    askPeer<limit_replies, limit_asks>(m_router, m_peerClient, node, peer_protocol::limitPath, question, askTimeout, onAnswer);
}

std::optional<limit_asks> decodeLimitAsks(const http_request &request)
{
    return decodePeerMessage<limit_asks>(request.body);
}

http_response encodeLimitReplies(const limit_replies &answer)
{
    return peerReply(answer);
}

} // namespace reedtrail
