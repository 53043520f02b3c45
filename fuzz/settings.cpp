// Settings that a parser accepts must still be accepted after they are serialized and parsed again.

#include "fuzz/targets.h"

#include "base/check.h"
#include "base/settings_reader.h"
#include "fleet/fleet_document.h"
#include "node/node_settings.h"

namespace reedtrail {
namespace {

template<class Parse>
bool isAccepted(const nlohmann::json &object, const Parse &parse)
{
    return !failureOf([&]() -> result<void> {
        BOOST_LEAF_CHECK(parse(object, std::string("input")));
        return {};
    });
}

/** Checks that @p parse accepts @p object again after serialization, if it accepts it at all. */
template<class Parse>
void checkRoundTrip(const nlohmann::json &object, const Parse &parse)
{
    if (!isAccepted(object, parse)) {
        return;
    }
    const std::string written = object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    REEDTRAIL_CHECK(isAccepted(nlohmann::json::parse(written), parse), "accepted settings are accepted again after serialization");
}

} // namespace

void fuzzSettings(std::string_view bytes)
{
    nlohmann::json object;
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_ASSIGN(object, parseJsonWithComments(bytes, "input"));
        return {};
    });
    if (error) {
        REEDTRAIL_CHECK(error->kind == error_kind::BadSettings, "text that is not JSON is refused as bad settings");
        return;
    }
    checkRoundTrip(object, parseNodeSettings);
    checkRoundTrip(object, parseFleetDocument);
}

} // namespace reedtrail
