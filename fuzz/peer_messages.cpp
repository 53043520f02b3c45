// A link between processes may deliver any bytes. Every message type must either decode or refuse the body of any envelope, and a body that it decodes must
// encode to bytes that decode again.

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

/** Decodes the body as @p Message regardless of the envelope's name; if that succeeds, encodes it and decodes it again. */
template<class Message>
void checkBodyRoundTrip(envelope received)
{
    received.name = std::string(Message::messageName);
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_AUTO(message, decodeBody<Message>(received));
        const std::vector<std::uint8_t> bytes = encodeMessage(message);
        BOOST_LEAF_AUTO(again, decodeEnvelope(bytes));
        return decodeBody<Message>(again) ? result<void>{} : fail(error_kind::Internal, "");
    });
    REEDTRAIL_CHECK(!error || error->kind != error_kind::Internal, "a decoded message can be encoded and decoded again");
}

/** Runs the round trip with each type of @p Messages. */
template<class... Messages>
void checkBodyRoundTrips(const envelope &received)
{
    (checkBodyRoundTrip<Messages>(received), ...);
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
        REEDTRAIL_CHECK(error->kind == error_kind::BadRequest, "bytes that are not an envelope are refused as a bad request");
        return;
    }
    checkBodyRoundTrips<hello,
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
    checkBodyRoundTrips<pull_question, pull_answer, store_payload, payload_stored, read_payload, payload_read, release_payloads>(received);
    checkBodyRoundTrips<explain_question, explain_answer, forwarded_request, forwarded_answer, weight_order, weight_report>(received);
}

} // namespace reedtrail
