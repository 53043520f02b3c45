/**
 * @file
 * What nodes say to each other over HTTP about the store: paths, fields and status codes.
 */
#pragma once

#include "net/http_message.h"
#include "net/http_status.h"

#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

namespace reedtrail::peer_protocol {

inline constexpr std::string_view nodesPrefix = "reedtrail/node/"; ///< Of the store's keys that say where nodes are.

inline constexpr std::string_view pingPath = "/ping"; ///< A sign of life.
inline constexpr std::string_view storePath = "/store"; ///< A call to the store, made for another node.
inline constexpr std::string_view methodField = "Reedtrail-Method";
inline constexpr std::string_view targetField = "Reedtrail-Target";
inline constexpr std::string_view timeoutField = "Reedtrail-Timeout-Ms";

inline constexpr std::string_view followPath = "/follow"; ///< A question to the hub of a zone's reader.
inline constexpr std::string_view prefixField = "Reedtrail-Prefix";
inline constexpr std::string_view afterField = "Reedtrail-After";
inline constexpr std::string_view moreField = "Reedtrail-More";
inline constexpr std::string_view generationField = "Reedtrail-Generation";

inline constexpr std::uint16_t statusLost = http_status::gone; ///< Of a hub: its poll has failed, so everything is to be read again.
inline constexpr std::uint16_t statusTooOld = http_status::conflict; ///< Of a hub: it no longer has what came after that revision.
inline constexpr std::uint16_t statusUnchanged = http_status::noContent; ///< Of a hub: nothing has changed within its hold.
inline constexpr std::uint16_t statusNoAnswer = http_status::gatewayTimeout; ///< Of a peer: the store may or may not have done the call.
inline constexpr std::uint16_t statusNotDone = http_status::badGateway; ///< Of a peer: the call certainly did not reach the store.

/** Returns the number in a field, or 0. */
inline std::uint64_t numberField(const http_fields &fields, std::string_view name)
{
    return std::strtoull(std::string(fields.get(name)).c_str(), nullptr, 10);
}

} // namespace reedtrail::peer_protocol
