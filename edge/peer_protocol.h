/**
 * @file
 * HTTP protocol between nodes for access to the store: paths, header fields and status codes.
 */
#pragma once

#include "net/http_message.h"
#include "net/http_status.h"

#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

namespace reedtrail::peer_protocol {

inline constexpr std::string_view nodesPrefix = "reedtrail/node/"; ///< Store keys under which nodes register their addresses.

inline constexpr std::string_view pingPath = "/ping"; ///< Answered at once; shows that the node is alive and reachable.
inline constexpr std::string_view storePath = "/store"; ///< Executes a store call on behalf of another node.
inline constexpr std::string_view methodField = "Reedtrail-Method"; ///< HTTP method of the store call.
inline constexpr std::string_view targetField = "Reedtrail-Target"; ///< HTTP target of the store call.
inline constexpr std::string_view timeoutField = "Reedtrail-Timeout-Ms"; ///< Timeout of the store call.

inline constexpr std::string_view snapshotPath = "/snapshot"; ///< Query for a snapshot of a store prefix; bodies are snapshot_query and snapshot_reply.

inline constexpr std::string_view contactPath = "/contact"; ///< Asks since when the store has answered the node without interruption.
inline constexpr std::string_view contactAgeField = "Reedtrail-Contact-Age-Us"; ///< The answer, as an age in microseconds.

inline constexpr std::string_view limitPath = "/limit"; ///< Questions on limits of backend servers; bodies are limit_asks and limit_replies.

inline constexpr std::string_view crashPath = "/crash"; ///< Requests under which servers ended; bodies are crash_message and crash_reply.
inline constexpr std::string_view crashStateField = "Reedtrail-Crash-State"; ///< In a ping's answer: a hash of what all nodes have to know of such requests.

inline constexpr std::string_view streamPath = "/stream"; ///< Origins of callers' streams; bodies are stream_message and stream_reply.

inline constexpr std::string_view usagePath = "/usage"; ///< Asks for requests of customers; bodies are usage_ask and usage_answer.
inline constexpr std::string_view usageHandoverPath = "/usage-handover"; ///< What a node that stops has recorded; bodies are usage_answer and usage_receipt.

inline constexpr std::string_view followPath = "/follow"; ///< Watch request to the hub of the zone's reader.
inline constexpr std::string_view prefixField = "Reedtrail-Prefix"; ///< Watched key prefix.
inline constexpr std::string_view afterField = "Reedtrail-After"; ///< Revision after which changes are requested.
inline constexpr std::string_view moreField = "Reedtrail-More"; ///< "1" if the hub has further changes ready.
inline constexpr std::string_view generationField = "Reedtrail-Generation"; ///< Hub generation: in a request the last one seen, in a response the current one.

inline constexpr std::uint16_t statusPollFailed = http_status::gone; ///< From a hub: its poll failed, so the requester must read the whole prefix again.
inline constexpr std::uint16_t statusRevisionTooOld = http_status::conflict; ///< From a hub: it no longer has the changes after that revision.
inline constexpr std::uint16_t statusUnchanged = http_status::noContent; ///< From a hub: nothing changed within its hold time.
inline constexpr std::uint16_t statusOutcomeUnknown = http_status::gatewayTimeout; ///< From a peer: the store may or may not have executed the call.
inline constexpr std::uint16_t statusNotExecuted = http_status::badGateway; ///< From a peer: the call certainly did not reach the store.

/** Returns the decimal number in a header field; 0 if it is absent or not a number. */
inline std::uint64_t numberField(const http_fields &fields, std::string_view name)
{
    return std::strtoull(std::string(fields.get(name)).c_str(), nullptr, 10);
}

} // namespace reedtrail::peer_protocol
