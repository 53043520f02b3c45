// The score is derived from a hash of prompt and text, so a test can recompute it from the sample. It does not depend on the length of the text.

#include "base/hash.h"
#include "standins/plain_service.h"
#include "standins/subcommands.h"

namespace reedtrail {
namespace {

/** Returns a score in [0, 1) for the request body @p body. */
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
