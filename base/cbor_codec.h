/**
 * @file
 * Typed messages between the system's own processes, in CBOR.
 *
 * A message is a struct with a name and to_json/from_json (NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT: unknown fields are ignored and
 * missing ones take their default, so two releases run side by side):
 *
 *     struct draft_order { static constexpr std::string_view messageName = "draft-order"; ... };
 *     std::vector<std::uint8_t> bytes = encodeMessage(order);
 *     envelope received = decodeEnvelope(bytes).value();
 *     if (received.name == draft_order::messageName) { draft_order order = decodeBody<draft_order>(received); }
 */
#pragma once

#include "base/failure.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <vector>

namespace reedtrail {

/** A received message before its body is read. */
struct envelope
{
    std::string name; ///< Name of the message type.
    std::uint64_t correlation = 0; ///< Of a question and its answer, chosen by the asker; 0 for a message without answer.
    bool isAnswer = false;
    nlohmann::json body;
};

/** Longest message accepted, in bytes. */
inline constexpr std::size_t maximumMessageBytes = 4U << 20U;

/** Encodes an envelope. */
std::vector<std::uint8_t> encodeEnvelope(const envelope &message);

/** Decodes an envelope. @return the envelope, or BadRequest if @p bytes are no valid one */
result<envelope> decodeEnvelope(std::span<const std::uint8_t> bytes);

/** Encodes @p message in an envelope. */
template<class Message>
std::vector<std::uint8_t> encodeMessage(const Message &message, std::uint64_t correlation = 0, bool isAnswer = false)
{
    return encodeEnvelope({ std::string(Message::messageName), correlation, isAnswer, nlohmann::json(message) });
}

/** Reads the body of @p received. @return the message, or BadRequest if a field has the wrong type or the name differs */
template<class Message>
result<Message> decodeBody(const envelope &received)
{
    if (received.name != Message::messageName) {
        return fail(error_kind::BadRequest, "message " + received.name + " where " + std::string(Message::messageName) + " was expected");
    }
    try {
        return received.body.get<Message>();
    } catch (const nlohmann::json::exception &) {
        return fail(error_kind::BadRequest, "message " + received.name + " has a field of the wrong type");
    }
}

} // namespace reedtrail
