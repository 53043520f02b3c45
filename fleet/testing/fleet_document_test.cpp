#include "fleet/fleet_document.h"

#include "base/settings_reader.h"
#include "fleet/token_hash.h"

#include <gtest/gtest.h>

namespace reedtrail {
namespace {

std::string errorOf(std::string_view text)
{
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_AUTO(object, parseJsonWithComments(text, "fleet.json"));
        BOOST_LEAF_CHECK(parseFleetDocument(object, "fleet.json"));
        return {};
    });
    return error ? error->detail : "";
}

TEST(fleet_document, duplicateIdsAndMissingReferencesAreRefused)
{
    EXPECT_EQ(errorOf(R"({"customers": [{"id": "a"}], "pools": []})"), "");
    EXPECT_EQ(errorOf(R"({"customers": [{"id": "a"}, {"id": "a"}], "pools": []})"),
              "fleet.json: customers[1].id: must differ from all others; \"a\" is there twice");
    EXPECT_EQ(errorOf(R"({"customers": [{"id": "a"}], "pools": [], "runs": [{"id": "r", "customer": "a", "pool": "p", "scorerPool": "s"}]})"),
              "fleet.json: runs[0].pool: must be the id of a pool of kind \"engine\"");
    EXPECT_EQ(errorOf(R"({"customers": [{"id": "a", "weight": 0}], "pools": []})"), "fleet.json: customers[0].weight: must be a number from 0.001 to 1000");
}

TEST(token_hash, matchesOnlyItsOwnToken)
{
    const std::string stored = hashToken("secret", "salt");
    EXPECT_TRUE(tokenMatches("secret", stored));
    EXPECT_FALSE(tokenMatches("secre", stored));
    EXPECT_FALSE(tokenMatches("secret", "secret"));
    EXPECT_NE(hashToken("secret", "other"), stored);
}

} // namespace
} // namespace reedtrail
