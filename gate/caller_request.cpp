// All errors of the caller are found here, before the request has any effect. Hop-by-hop header fields and the caller's credentials are not sent to servers.

#include "gate/caller_request.h"

#include "base/hash.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace reedtrail {
namespace {

constexpr std::string_view servicePrefix = "/svc/";
constexpr std::string_view completionsPath = "/v1/completions";
constexpr std::size_t prefixBlockBytes = 256;
constexpr std::size_t maximumPrefixBlocks = 32;
constexpr std::size_t maximumNameBytes = 256; ///< Limit for a ticket or an idempotency key.
constexpr std::uint64_t maximumDeadlineMs = 86400000;
constexpr std::array<std::string_view, 10> strippedFields{ "Authorization", "Connection", "Host", "Content-Length", "Transfer-Encoding", "Keep-Alive",
                                                           "Upgrade",       "Trailer",    "TE",   "Expect" };

/** Returns whether a rule "METHOD /path-prefix" of the pool declares the request as non-idempotent. */
bool isNonIdempotent(const pool_settings &pool, std::string_view method, std::string_view path)
{
    return std::ranges::any_of(pool.nonIdempotent, [&](const std::string &rule) {
        const std::size_t space = rule.find(' ');
        return space != std::string::npos && method == std::string_view(rule).substr(0, space) && path.starts_with(std::string_view(rule).substr(space + 1));
    });
}

result<const pool_settings *> findPool(const fleet_snapshot &snapshot, std::string_view name, pool_kind kind)
{
    const pool_settings *pool = snapshot.document.findPool(pool_id(std::string(name)));
    if (pool == nullptr || pool->kind != kind) {
        return fail(error_kind::NotFound, "there is no pool \"" + std::string(name) + "\" of this kind");
    }
    return pool;
}

result<std::string> readNameHeader(const http_request &request, std::string_view name)
{
    const std::string_view value = request.fields.get(name);
    if (value.size() > maximumNameBytes) {
        return fail(error_kind::BadRequest, std::string(name) + " may have at most " + std::to_string(maximumNameBytes) + " characters");
    }
    return std::string(value);
}

/** Reads the header fields that all kinds of requests share. */
result<void> readHeaders(const http_request &request, const pool_settings &pool, time_point now, caller_request &out)
{
    BOOST_LEAF_ASSIGN(out.ticket, readNameHeader(request, "Reedtrail-Ticket"));
    BOOST_LEAF_ASSIGN(out.idempotencyKey, readNameHeader(request, "Idempotency-Key"));
    if (!out.ticket.empty() && !out.idempotencyKey.empty()) {
        return fail(error_kind::BadRequest, "a request has a Reedtrail-Ticket or an Idempotency-Key, not both");
    }
    BOOST_LEAF_AUTO(attempt, headerNumber(request, "Reedtrail-Attempt", 1000000, 0));
    out.attempt = static_cast<std::uint32_t>(attempt);
    const auto defaultMs = std::chrono::duration_cast<std::chrono::milliseconds>(pool.defaultDeadline).count();
    BOOST_LEAF_AUTO(deadlineMs, headerNumber(request, "Reedtrail-Deadline-Ms", maximumDeadlineMs, static_cast<std::uint64_t>(defaultMs)));
    out.broker.routing.deadline = now + std::chrono::milliseconds(deadlineMs);
    const std::string_view priority = request.fields.get("Reedtrail-Priority");
    if (!priority.empty() && priority != "interactive" && priority != "draft") {
        return fail(error_kind::BadRequest, "Reedtrail-Priority must be interactive or draft");
    }
    out.broker.routing.isInteractive = priority != "draft";
    return {};
}

result<void> readCompletion(const http_request &request, const fleet_snapshot &snapshot, time_point now, caller_request &out)
{
    nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
    const auto isString = [&body](const char *key) {
        return body.contains(key) && body.at(key).is_string();
    };
    if (!body.is_object() || !isString("model") || !isString("prompt")) {
        return fail(error_kind::BadRequest, "the body must be a JSON object with the texts \"model\" and \"prompt\"");
    }
    if (body.contains("stream") && !body.at("stream").is_boolean()) {
        return fail(error_kind::BadRequest, "\"stream\" must be true or false");
    }
    if (body.contains("n") && body.at("n") != 1) {
        return fail(error_kind::BadRequest, "\"n\" must be 1");
    }
    BOOST_LEAF_AUTO(pool, findPool(snapshot, body.at("model").get<std::string>(), pool_kind::Engine));
    BOOST_LEAF_CHECK(readHeaders(request, *pool, now, out));
    out.isStream = body.value("stream", false);
    out.broker.isCompletion = true;
    out.broker.routing.pool = pool->id;
    out.broker.routing.isIdempotent = !out.isNamed() && !isNonIdempotent(*pool, request.method, completionsPath);
    out.broker.routing.prefixHashes = prefixHashes(body.at("prompt").get_ref<const std::string &>());
    if (body.contains("max_tokens") && body.at("max_tokens").is_number_unsigned()) {
        out.broker.routing.expectedTokens = body.at("max_tokens").get<double>();
    }
    out.broker.completion = std::move(body);
    return {};
}

result<void> readServiceCall(const http_request &request, const fleet_snapshot &snapshot, time_point now, caller_request &out)
{
    std::string_view rest = std::string_view(request.target).substr(servicePrefix.size());
    const std::size_t end = rest.find_first_of("/?");
    BOOST_LEAF_AUTO(pool, findPool(snapshot, rest.substr(0, end), pool_kind::Service));
    BOOST_LEAF_CHECK(readHeaders(request, *pool, now, out));
    rest.remove_prefix(std::min(rest.size(), end));
    out.broker.upstream = { request.method, rest.starts_with('/') ? std::string(rest) : "/" + std::string(rest), {}, request.body };
    for (const http_field &field : request.fields.all()) {
        out.broker.upstream.fields.set(field.name, field.value);
    }
    for (const std::string_view name : strippedFields) {
        out.broker.upstream.fields.remove(name);
    }
    out.broker.routing.pool = pool->id;
    out.broker.routing.isIdempotent = !out.isNamed() && !isNonIdempotent(*pool, request.method, out.broker.upstream.path());
    return {};
}

} // namespace

std::vector<std::uint64_t> prefixHashes(std::string_view prompt)
{
    std::vector<std::uint64_t> hashes;
    for (std::size_t length = prefixBlockBytes; length <= prompt.size() && hashes.size() < maximumPrefixBlocks; length += prefixBlockBytes) {
        hashes.push_back(stableHash(prompt.substr(0, length)));
    }
    return hashes;
}

result<std::uint64_t> headerNumber(const http_request &request, std::string_view name, std::uint64_t maximum, std::uint64_t fallback)
{
    const std::string_view text = request.fields.get(name);
    if (text.empty()) {
        return fallback;
    }
    std::uint64_t value = 0;
    const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || rest != text.data() + text.size() || value > maximum) {
        return fail(error_kind::BadRequest, std::string(name) + " must be a number from 0 to " + std::to_string(maximum));
    }
    return value;
}

result<caller_request> readCallerRequest(const http_request &request, const fleet_snapshot &snapshot, const customer_id &customer, time_point now)
{
    caller_request out;
    if (request.path() == completionsPath && request.method == "POST") {
        BOOST_LEAF_CHECK(readCompletion(request, snapshot, now, out));
    } else if (request.path().starts_with(servicePrefix)) {
        BOOST_LEAF_CHECK(readServiceCall(request, snapshot, now, out));
    } else {
        return fail(error_kind::NotFound, request.method + " " + std::string(request.path()));
    }
    out.broker.routing.customer = customer;
    out.contentHash = stableHash(request.body, stableHash(request.method + " " + request.target));
    return out;
}

} // namespace reedtrail
