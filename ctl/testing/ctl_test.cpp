#include "ctl/commands.h"
#include "ctl/text_table.h"

#include <gtest/gtest.h>

namespace reedtrail {
namespace {

/** Words of a command line, and the error that they must cause before any call. */
struct usage_case
{
    std::vector<std::string> words;
    std::string error;
};

TEST(commands, wrongArgumentsFailBeforeAnyCall)
{
    const usage_case cases[] = {
        { {}, "missing or unknown command; must be one of plan, confirm, status, settings, history, explain, dump, watch, report or completion" },
        { { "plant" }, "missing or unknown command; must be one of plan, confirm, status, settings, history, explain, dump, watch, report or completion" },
        { { "plan" }, "plan takes either FILE or --patch FILE" },
        { { "plan", "a", "b" }, "plan takes: FILE | --patch FILE" },
        { { "confirm" }, "confirm takes: PLAN" },
        { { "status", "x" }, "status takes: no arguments" },
        { { "plan", "/nowhere/file" }, "/nowhere/file: cannot be read" },
    };
    for (const usage_case &example : cases) {
        steward_client client({}, "", {});
        command_context context{ client, "" };
        const std::optional<failure> error = failureOf([&]() -> result<void> {
            BOOST_LEAF_CHECK(runCommand(context, example.words));
            return {};
        });
        ASSERT_TRUE(error);
        EXPECT_EQ(error->detail, example.error);
    }
}

TEST(readable_text, showsTablesAndNestedObjects)
{
    const nlohmann::json value{ { "nodes", { { { "id", "a" }, { "zone", "z1" } }, { { "id", "long" }, { "zone", "z2" } } } },
                                { "revision", 3 },
                                { "sums", { { "live", 2 } } } };
    EXPECT_EQ(readableText(value),
              "nodes:\n"
              "  id    zone\n"
              "  a     z1\n"
              "  long  z2\n"
              "revision: 3\n"
              "sums:\n"
              "  live: 2\n");
}

} // namespace
} // namespace reedtrail
