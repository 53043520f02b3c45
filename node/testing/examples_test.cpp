#include "base/settings_reader.h"
#include "fleet/fleet_document.h"
#include "node/node_settings.h"

#include <gtest/gtest.h>

namespace reedtrail {
namespace {

const std::string folder = REEDTRAIL_EXAMPLES;

TEST(examples, nodeFilesAreAccepted)
{
    for (const char *name : { "/entoto-node.json", "/consorcio-node.json" }) {
        const std::optional<failure> error = failureOf([&]() -> result<void> {
            BOOST_LEAF_CHECK(loadNodeSettings(folder + name));
            return {};
        });
        EXPECT_FALSE(error) << error->detail;
    }
}

TEST(examples, fleetDocumentsAreAccepted)
{
    for (const char *name : { "/entoto-fleet.json", "/consorcio-fleet.json" }) {
        const std::optional<failure> error = failureOf([&]() -> result<void> {
            BOOST_LEAF_AUTO(object, readJsonFile(folder + name));
            BOOST_LEAF_CHECK(parseFleetDocument(object, name));
            return {};
        });
        EXPECT_FALSE(error) << error->detail;
    }
}

} // namespace
} // namespace reedtrail
