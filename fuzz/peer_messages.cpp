// Any bytes may come over a link. An envelope that decodes must encode to one that decodes to the same, and every message type must take its body or
// refuse it.

#include "fuzz/targets.h"

#include "base/cbor_codec.h"
#include "base/check.h"
#include "fleet/explain_messages.h"
#include "fleet/membership_messages.h"
#include "fleet/peer_messages.h"
#include "gate/gate_messages.h"
#include "sampling/run_messages.h"
#include "weights/weight_messages.h"

namespace reedtrail {
namespace {

/** Reads the body as @p Message whatever its name says, and writes it again. */
template<class Message>
void tryBody(envelope received)
{
    received.name = std::string(Message::messageName);
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_AUTO(message, decodeBody<Message>(received));
        const std::vector<std::uint8_t> bytes = encodeMessage(message);
        BOOST_LEAF_AUTO(again, decodeEnvelope(bytes));
        return decodeBody<Message>(again) ? result<void>{} : fail(error_kind::Internal, "");
    });
    REEDTRAIL_CHECK(!error || error->kind != error_kind::Internal, "a message that was read can be written and read again");
}

template<class... Messages>
void tryBodies(const envelope &received)
{
    (tryBody<Messages>(received), ...);
}

} // namespace

void fuzzPeerMessages(std::string_view bytes)
{
    const std::span<const std::uint8_t> data(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
    envelope received;
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_ASSIGN(received, decodeEnvelope(data));
        return {};
    });
    if (error) {
        REEDTRAIL_CHECK(error->kind == error_kind::BadRequest, "bytes that are no envelope are refused as a bad request");
        return;
    }
    tryBodies<hello,
              heartbeat,
              settings_question,
              settings_record,
              fleet_view,
              draft_order,
              draft_result,
              draft_progress,
              draft_cancel,
              draft_move,
              payload_missing>(received);
    tryBodies<pull_question, pull_answer, store_payload, payload_stored, read_payload, payload_read, release_payloads>(received);
    tryBodies<explain_question, explain_answer, forwarded_request, forwarded_answer, weight_order, weight_report>(received);
}

} // namespace reedtrail
