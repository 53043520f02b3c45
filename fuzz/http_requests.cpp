// The input is a simplified HTTP request: a line with method and target, header lines, an empty line, and the body. The target covers this project's parsing of
// the query, header fields, JSON bodies and server-sent events. It does not cover the parsing of HTTP itself, which is left to the HTTP library.

#include "fuzz/targets.h"

#include "base/check.h"
#include "gate/caller_request.h"
#include "standins/load/completion_check.h"

namespace reedtrail {
namespace {

constexpr std::string_view documentText = R"({"customers":[{"id":"c"}],"pools":[
    {"id":"m","kind":"engine","servers":[{"id":"e","address":"127.0.0.1:1","zone":"z"}]},
    {"id":"s","kind":"service","nonIdempotent":["POST /orders"],"servers":[{"id":"p","address":"127.0.0.1:2","zone":"z"}]}]})";

/** Returns the snapshot made from documentText. */
const snapshot_pointer &snapshot()
{
    static const snapshot_pointer pointer = [] {
        snapshot_pointer made;
        fleet_view view;
        view.revision = 1;
        view.document = nlohmann::json::parse(documentText);
        const std::optional<failure> error = failureOf([&]() -> result<void> {
            BOOST_LEAF_ASSIGN(made, makeSnapshot(view));
            return {};
        });
        REEDTRAIL_CHECK(!error, "the fleet document of the fuzz target is valid");
        return made;
    }();
    return pointer;
}

/** Removes the first line with its line end from @p rest. @return the line without its line end */
std::string_view takeLine(std::string_view &rest)
{
    const std::size_t end = rest.find('\n');
    const std::string_view line = rest.substr(0, end);
    rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
    return line;
}

/** Parses the simplified request. Header lines without a colon and a space are ignored. */
http_request requestFrom(std::string_view bytes)
{
    http_request request;
    const std::string_view first = takeLine(bytes);
    const std::size_t space = first.find(' ');
    request.method = std::string(first.substr(0, space));
    request.target = space == std::string_view::npos ? "/" : std::string(first.substr(space + 1));
    for (std::string_view line = takeLine(bytes); !line.empty(); line = takeLine(bytes)) {
        const std::size_t colon = line.find(": ");
        if (colon != std::string_view::npos) {
            request.fields.set(line.substr(0, colon), std::string(line.substr(colon + 2)));
        }
    }
    request.body = std::string(bytes);
    return request;
}

} // namespace

void fuzzHttpRequests(std::string_view bytes)
{
    const http_request request = requestFrom(bytes);
    static_cast<void>(request.query("number"));
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_AUTO(read, readCallerRequest(request, *snapshot(), customer_id("c"), time_point{}));
        REEDTRAIL_CHECK(read.ticket.empty() || read.idempotencyKey.empty(), "a request has either a ticket or an idempotency key, not both");
        return {};
    });
    if (error) {
        REEDTRAIL_CHECK(answerFor(error->kind).outcome == request_outcome::NotRun, "a request that is refused by the parser is reported as not run");
    }
    completion_check check("prompt");
    check.add(request.body);
}

} // namespace reedtrail
