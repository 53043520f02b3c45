// The gateway uses the JSON mapping of protocol buffers: it omits fields with their default value, and writes 64-bit integers as strings because JSON numbers
// lose precision beyond 2^53. The decoder accepts a number or a string for each integer and a missing field for its default; the encoder writes only strings.

#include "fleet/store_json.h"

#include "base/bounded_json.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace reedtrail {
namespace {

using nlohmann::json;

template<class... Handlers>
struct overloaded : Handlers...
{
    using Handlers::operator()...;
};
template<class... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

constexpr int leaseNotFoundCode = 5; // The gRPC status NOT_FOUND.

void addRange(json &object, const std::string &key, bool isPrefix)
{
    object["key"] = encodeBase64(key);
    if (isPrefix) {
        object["range_end"] = encodeBase64(prefixEnd(key));
    }
}

json toJson(const store_range &range)
{
    json object;
    addRange(object, range.key, range.isPrefix);
    if (range.limit > 0) {
        object["limit"] = std::to_string(range.limit);
    }
    return object;
}

json toJson(const store_compare &compare)
{
    constexpr std::array<const char *, 3> targets{ "MOD", "VERSION", "VALUE" };
    constexpr std::array<const char *, 4> relations{ "EQUAL", "GREATER", "LESS", "NOT_EQUAL" };
    json object{ { "key", encodeBase64(compare.key) },
                 { "target", targets.at(static_cast<std::size_t>(compare.target)) },
                 { "result", relations.at(static_cast<std::size_t>(compare.relation)) } };
    switch (compare.target) {
    case store_compare_target::ModRevision:
        object["mod_revision"] = std::to_string(compare.number);
        break;
    case store_compare_target::Version:
        object["version"] = std::to_string(compare.number);
        break;
    case store_compare_target::Value:
        object["value"] = encodeBase64(compare.value);
        break;
    }
    return object;
}

json toJson(const store_put &put)
{
    json object{ { "key", encodeBase64(put.key) }, { "value", encodeBase64(put.value) } };
    if (put.lease != 0) {
        object["lease"] = std::to_string(put.lease);
    }
    return object;
}

json toJson(const store_operation &operation)
{
    return std::visit(overloaded{ [](const store_put &put) {
                                     return json{ { "request_put", toJson(put) } };
                                 },
                                  [](const store_delete &deletion) {
                                      json object;
                                      addRange(object, deletion.key, deletion.isPrefix);
                                      return json{ { "request_delete_range", object } };
                                  },
                                  [](const store_range &range) {
                                      return json{ { "request_range", toJson(range) } };
                                  } },
                      operation);
}

template<class Item>
json toJsonList(const std::vector<Item> &items)
{
    json list = json::array();
    for (const Item &item : items) {
        list.push_back(toJson(item));
    }
    return list;
}

json toJson(const store_txn &txn)
{
    return { { "compare", toJsonList(txn.compares) }, { "success", toJsonList(txn.onSuccess) }, { "failure", toJsonList(txn.onFailure) } };
}

json toJson(const store_watch_create &watch)
{
    json object{ { "progress_notify", true } };
    addRange(object, watch.key, watch.isPrefix);
    if (watch.fromRevision != 0) {
        object["start_revision"] = std::to_string(watch.fromRevision);
    }
    return { { "create_request", object } };
}

template<class Number>
Number numberAt(const json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end()) {
        return 0;
    }
    if (found->is_number()) {
        return found->get<Number>();
    }
    const std::string &text = found->get_ref<const std::string &>();
    Number value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

result<std::string> bytesAt(const json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end()) {
        return std::string();
    }
    return decodeBase64(found->get_ref<const std::string &>());
}

result<store_key_value> readItem(const json &object)
{
    store_key_value item;
    BOOST_LEAF_ASSIGN(item.key, bytesAt(object, "key"));
    BOOST_LEAF_ASSIGN(item.value, bytesAt(object, "value"));
    item.createRevision = numberAt<store_revision>(object, "create_revision");
    item.modRevision = numberAt<store_revision>(object, "mod_revision");
    item.version = numberAt<std::uint64_t>(object, "version");
    item.lease = numberAt<store_lease_id>(object, "lease");
    return item;
}

store_revision headerRevision(const json &object)
{
    const auto header = object.find("header");
    return header == object.end() ? 0 : numberAt<store_revision>(*header, "revision");
}

result<store_range_answer> readRange(const json &object)
{
    store_range_answer answer;
    answer.revision = headerRevision(object);
    const auto items = object.find("kvs");
    if (items == object.end()) {
        return answer;
    }
    for (const json &each : *items) {
        BOOST_LEAF_AUTO(item, readItem(each));
        answer.items.push_back(std::move(item));
    }
    return answer;
}

result<store_txn_answer> readTxn(const json &object)
{
    store_txn_answer answer;
    answer.revision = headerRevision(object);
    answer.isSucceeded = object.value("succeeded", false);
    for (const json &each : object.value("responses", json::array())) {
        const auto range = each.find("response_range");
        if (range != each.end()) {
            BOOST_LEAF_AUTO(read, readRange(*range));
            answer.ranges.push_back(std::move(read));
        }
    }
    return answer;
}

result<store_watch_line> readWatchLine(const json &object)
{
    store_watch_line line;
    const json &body = object.contains("result") ? object.at("result") : object;
    line.report.revision = headerRevision(body);
    if (object.contains("error")) {
        line.end = store_watch_end{ { error_kind::StoreUnavailable, object.at("error").dump() }, 0 };
        return line;
    }
    if (body.value("canceled", false)) {
        const auto compacted = numberAt<store_revision>(body, "compact_revision");
        line.end =
            store_watch_end{ { compacted != 0 ? error_kind::Stale : error_kind::StoreUnavailable, body.value("cancel_reason", "cancelled") }, compacted };
        return line;
    }
    for (const json &each : body.value("events", json::array())) {
        store_watch_event event;
        event.type = each.value("type", "PUT") == "DELETE" ? store_watch_event::kind::Delete : store_watch_event::kind::Put;
        BOOST_LEAF_ASSIGN(event.item, readItem(each.at("kv")));
        line.report.events.push_back(std::move(event));
    }
    return line;
}

/** Parses @p text and converts it with @p read. @return the answer, or an error of @p kind if the text is malformed */
template<class Answer, class Read>
result<Answer> decode(std::string_view text, error_kind kind, Read read)
{
    try {
        const json object = parseBoundedJson(text);
        if (!object.is_object()) {
            return fail(kind, "the store's answer is no JSON object");
        }
        Answer answer;
        const std::optional<failure> error = failureOf([&]() -> result<void> {
            BOOST_LEAF_ASSIGN(answer, read(object));
            return {};
        });
        if (error) {
            return fail(kind, error->detail);
        }
        return answer;
    } catch (const json::exception &error) {
        return fail(kind, std::string("the store's answer cannot be read: ") + error.what());
    }
}

} // namespace

std::string_view storePath(const store_call &call)
{
    return std::visit(overloaded{ [](const store_range &) {
                                     return std::string_view("/v3/kv/range");
                                 },
                                  [](const store_txn &) {
                                      return std::string_view("/v3/kv/txn");
                                  },
                                  [](const store_lease_grant &) {
                                      return std::string_view("/v3/lease/grant");
                                  },
                                  [](const store_lease_keep_alive &) {
                                      return std::string_view("/v3/lease/keepalive");
                                  },
                                  [](const store_lease_revoke &) {
                                      return std::string_view("/v3/lease/revoke");
                                  },
                                  [](const store_watch_create &) {
                                      return std::string_view("/v3/watch");
                                  } },
                      call);
}

std::string encodeStoreCall(const store_call &call)
{
    const json body = std::visit(overloaded{ [](const store_lease_grant &grant) {
                                                return json{ { "TTL", std::to_string(grant.ttlSeconds) } };
                                            },
                                             [](const store_lease_keep_alive &keepAlive) {
                                                 return json{ { "ID", std::to_string(keepAlive.lease) } };
                                             },
                                             [](const store_lease_revoke &revoke) {
                                                 return json{ { "ID", std::to_string(revoke.lease) } };
                                             },
                                             [](const auto &other) {
                                                 return toJson(other);
                                             } },
                                 call);
    return body.dump();
}

result<store_range_answer> decodeRangeAnswer(std::string_view text)
{
    return decode<store_range_answer>(text, error_kind::StoreUnavailable, readRange);
}

result<store_txn_answer> decodeTxnAnswer(std::string_view text)
{
    return decode<store_txn_answer>(text, error_kind::StoreUnknown, readTxn);
}

result<store_lease_answer> decodeLeaseAnswer(std::string_view text, const store_call &call)
{
    return decode<store_lease_answer>(text, error_kind::StoreUnknown, [&](const json &object) -> result<store_lease_answer> {
        const json &body = object.contains("result") ? object.at("result") : object;
        store_lease_answer answer;
        answer.lease = numberAt<store_lease_id>(body, "ID");
        answer.ttlSeconds = numberAt<std::int64_t>(body, "TTL");
        const bool isMissing = numberAt<int>(object, "code") == leaseNotFoundCode;
        const bool hasLapsed = std::holds_alternative<store_lease_keep_alive>(call) && answer.ttlSeconds <= 0;
        if (isMissing || hasLapsed) {
            answer.error = failure{ error_kind::NotFound, "lease has lapsed" };
        }
        return answer;
    });
}

result<store_watch_line> decodeWatchLine(std::string_view text)
{
    return decode<store_watch_line>(text, error_kind::StoreUnavailable, readWatchLine);
}

std::string encodeBase64(std::string_view bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int length =
        EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()), reinterpret_cast<const unsigned char *>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

result<std::string> decodeBase64(std::string_view text)
{
    if (text.empty()) {
        return std::string();
    }
    std::string bytes(text.size(), '\0');
    const int length =
        EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()), reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    if (length < 0 || text.size() % 4 != 0) {
        return fail(error_kind::BadRequest, "text is no base64");
    }
    const std::size_t padding = text.ends_with("==") ? 2 : text.ends_with('=') ? 1 : 0;
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

std::string prefixEnd(std::string prefix)
{
    while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == 0xFFU) {
        prefix.pop_back();
    }
    if (prefix.empty()) {
        return std::string(1, '\0'); // A range end of one zero byte means all keys.
    }
    prefix.back() = static_cast<char>(static_cast<unsigned char>(prefix.back()) + 1);
    return prefix;
}

} // namespace reedtrail
