#include "node/node_settings.h"

#include "base/settings_reader.h"

#include <gtest/gtest.h>

namespace reedtrail {
namespace {

constexpr std::string_view minimalSettings = R"({"node": "n", "zone": "z", "seeds": [], "stores": ["127.0.0.1:1"], "listen": {
    "callers": "127.0.0.1:1", "gatePeer": "127.0.0.1:2", "gateAdmin": "127.0.0.1:3", "stewardPeer": "127.0.0.1:4", "operators": "127.0.0.1:5"}})";

/** Returns the error that parsing @p object causes, or an empty text. */
std::string errorOf(const nlohmann::json &object)
{
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_CHECK(parseNodeSettings(object, "node.json"));
        return {};
    });
    return error ? error->detail : "";
}

TEST(node_settings, errorNamesFieldAndRequirement)
{
    nlohmann::json object = nlohmann::json::parse(minimalSettings);
    EXPECT_EQ(errorOf(object), "");
    object["listen"]["callers"] = "localhost:80";
    EXPECT_EQ(errorOf(object), "node.json: listen.callers: \"localhost:80\" must be an IP number and a port from 1 to 65535, as 127.0.0.1:8000");
    object["listen"]["callers"] = "127.0.0.1:80";
    object["listen"]["spoolPeer"] = "127.0.0.1:6";
    EXPECT_EQ(errorOf(object), "node.json: dataFolder: must be set where listen.spoolPeer is");
}

} // namespace
} // namespace reedtrail
