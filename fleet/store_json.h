/**
 * @file
 * The JSON form of store calls, as the gateway of etcd v3 has it: keys and values in base64, 64-bit numbers as texts.
 *
 *     http_request request{"POST", std::string(storePath(call)), {}, encodeStoreCall(call)};
 *     BOOST_LEAF_AUTO(answer, decodeRangeAnswer(response.body));
 */
#pragma once

#include "fleet/store_types.h"

#include <string>
#include <string_view>
#include <variant>

namespace reedtrail {

/** Any call to the store. */
using store_call = std::variant<store_range, store_txn, store_lease_grant, store_lease_keep_alive, store_lease_revoke, store_watch_create>;

/** Returns the HTTP path of @p call. */
std::string_view storePath(const store_call &call);

/** Returns the JSON body of @p call. */
std::string encodeStoreCall(const store_call &call);

/** Reads the answer to a store_range. @return the answer, or StoreUnavailable if @p text is none */
result<store_range_answer> decodeRangeAnswer(std::string_view text);

/** Reads the answer to a store_txn. @return the answer, or StoreUnknown if @p text is none */
result<store_txn_answer> decodeTxnAnswer(std::string_view text);

/** Reads the answer to a call about a lease; a keep-alive of a lapsed lease ends in an answer with error NotFound. */
result<store_lease_answer> decodeLeaseAnswer(std::string_view text, const store_call &call);

/** One line of a watch's stream. */
struct store_watch_line
{
    store_watch_report report;
    std::optional<store_watch_end> end; ///< Set if the store ended the watch.
};

/** Reads one line of a watch's stream. @return the line, or StoreUnavailable if @p text is none */
result<store_watch_line> decodeWatchLine(std::string_view text);

/** Encodes bytes in base64 with padding. */
std::string encodeBase64(std::string_view bytes);

/** Decodes base64 with padding. @return the bytes, or BadRequest */
result<std::string> decodeBase64(std::string_view text);

/** Returns the first key after all those that begin with @p prefix. */
std::string prefixEnd(std::string prefix);

} // namespace reedtrail
