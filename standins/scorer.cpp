// The score is a hash of prompt and text, so that it can be checked against the sample, and does not depend on its length.

#include "base/hash.h"
#include "standins/plain_service.h"
#include "standins/subcommands.h"

namespace reedtrail {
namespace {

/** Returns a score from 0 to 1 for @p body, the body of a request. */
double scoreOf(const std::string &body)
{
    constexpr std::uint64_t steps = 10000;
    const nlohmann::json object = nlohmann::json::parse(body, nullptr, false);
    const std::string text = object.is_object() ? object.value("prompt", "") + "\n" + object.value("text", "") : body;
    return static_cast<double>(stableHash(text) % steps) / static_cast<double>(steps);
}

} // namespace

int runScorer(int argc, char **argv)
{
    command_line line("reedtrail-standin scorer", "Stands in for a service that scores samples: POST /v1/score {\"prompt\", \"text\"}.");
    addServiceOptions(line);
    return runStandIn(line, argc, argv, [](stand_in_context &context) {
        return std::make_unique<plain_service>(context, [](const http_request &request) {
            return nlohmann::json{ { "score", scoreOf(request.body) } };
        });
    });
}

} // namespace reedtrail
