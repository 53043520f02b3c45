// Documents of other writers on the platform: registrations, configuration, versions, reports of servers, callers' jobs. What is accepted must be safe to use.

#include "fuzz/targets.h"

#include "base/bounded_json.h"
#include "base/check.h"
#include "platform/caller_wire.h"
#include "platform/fleet_wire.h"
#include "platform/server_wire.h"

#include <algorithm>

namespace reedtrail {
namespace {

bool isWritable(const http_request &request)
{
    return isRequestTarget(request.target) && std::ranges::all_of(request.fields.all(), [](const http_field &field) {
               return isFieldName(field.name) && isFieldValue(field.value);
           });
}

void checkJob(std::string_view bytes)
{
    std::optional<job_spec> spec;
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_AUTO(decoded, platform::decodeJob(bytes));
        spec = std::move(decoded);
        return {};
    });
    if (error) {
        const http_response refusal = platform::encodeRefusal(400, error->detail, duration::zero());
        REEDTRAIL_CHECK(parseBoundedJson(refusal.body).is_object(), "a refusal is JSON, whatever the caller sent");
        return;
    }
    for (const job_item &item : spec->items) {
        REEDTRAIL_CHECK(isWritable(platform::itemRequest(item, "h", "i-1", 1)), "an accepted item is one request");
        REEDTRAIL_CHECK(!item.score || isWritable(platform::scoreRequest(*item.score, std::chrono::seconds(1), "i-1")), "so is the call of its scorer");
        REEDTRAIL_CHECK(item.expectedTokens >= 0 && item.totalTokens >= 0, "a number of tokens is a number, and not below zero");
    }
}

} // namespace

void fuzzPlatformDocuments(std::string_view bytes)
{
    if (const std::optional<server_entry> server = platform::decodeServer("i-1", bytes)) {
        REEDTRAIL_CHECK(server->address.port > 0 && !server->service.empty(), "an accepted registration names a server");
    }
    platform::decodeNamedVersion(bytes);
    platform::decodeReport(bytes);
    const std::optional<failure> ignored = failureOf([&]() -> result<void> {
        BOOST_LEAF_CHECK(platform::decodeConfiguration(bytes));
        return {};
    });
    checkJob(bytes);
}

} // namespace reedtrail
