/**
 * @file
 * Encodes store calls and decodes their answers in the JSON format of the etcd v3 gateway: keys and values are base64, 64-bit integers are strings.
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

/** Any call to the store that has a JSON body. */
using store_call = std::variant<store_range, store_txn, store_lease_grant, store_lease_keep_alive, store_lease_revoke, store_watch_create>;

/** Returns the URL path of @p call. */
std::string_view storePath(const store_call &call);

/** Returns the JSON body of @p call. */
std::string encodeStoreCall(const store_call &call);

/** Decodes the answer to a store_range. @return the answer, or StoreUnavailable if @p text is malformed */
result<store_range_answer> decodeRangeAnswer(std::string_view text);

/** Decodes the answer to a store_txn. @return the answer, or StoreUnknown if @p text is malformed */
result<store_txn_answer> decodeTxnAnswer(std::string_view text);

/**
 * Decodes the answer to the lease call @p call. The keep-alive of a lapsed lease gives an answer whose error is NotFound.
 * @return the answer, or StoreUnknown if @p text is malformed
 */
result<store_lease_answer> decodeLeaseAnswer(std::string_view text, const store_call &call);

/** One line of the response stream of a watch. */
struct store_watch_line
{
    store_watch_report report;
    std::optional<store_watch_end> end; ///< Set if the store ended the watch.
};

/** Decodes one line of the response stream of a watch. @return the line, or StoreUnavailable if @p text is malformed */
result<store_watch_line> decodeWatchLine(std::string_view text);

/** Encodes bytes in base64 with padding. */
std::string encodeBase64(std::string_view bytes);

/** Decodes base64 with padding. @return the bytes, or BadRequest if @p text is malformed */
result<std::string> decodeBase64(std::string_view text);

/** Returns the first key after all keys that begin with @p prefix; one zero byte, which stands for the end of all keys, if there is none. */
std::string prefixEnd(std::string prefix);

} // namespace reedtrail
