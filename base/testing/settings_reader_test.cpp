#include "base/settings_reader.h"

#include <gtest/gtest.h>

namespace reedtrail {
namespace {

/** One document, and the line it must end in (empty: accepted). */
struct settings_case
{
    std::string_view text;
    std::string_view error;
};

std::string errorOf(std::string_view text)
{
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_AUTO(document, parseJsonWithComments(text, "node.json"));
        settings_reader reader(document, "node.json");
        reader.text("name");
        reader.integer("port", { 1, 65535 }, 80);
        reader.milliseconds("waitMs", { 1, 1000 }, std::chrono::milliseconds(5));
        settings_reader listen = reader.object("listen", false);
        listen.text("callers", "127.0.0.1:1");
        for (settings_reader &pool : reader.objects("pools", false)) {
            constexpr std::array<std::string_view, 2> kinds{ "engine", "service" };
            pool.choice("kind", kinds);
        }
        return reader.finish();
    });
    return error ? error->detail : "";
}

TEST(settings_reader, endsInOneLineNamingFileKeyPathAndWhatIsAllowed)
{
    const settings_case cases[] = {
        { R"({"name": "a" /* comment */})", "" },
        { R"({"name": "a", // comment
             "port": 65535})",
          "" },
        { R"({})", "node.json: name: is missing; must be a text" },
        { R"({"name": 3})", "node.json: name: must be a text" },
        { R"({"name": "a", "port": 0})", "node.json: port: must be a whole number from 1 to 65535" },
        { R"({"name": "a", "port": 18446744073709551615})", "node.json: port: must be a whole number from 1 to 65535" },
        { R"({"name": "a", "port": 1.5})", "node.json: port: must be a whole number from 1 to 65535" },
        { R"({"name": "a", "prot": 1})", "node.json: prot: is not a known setting" },
        { R"({"name": "a", "listen": {"caller": "x"}})", "node.json: listen.caller: is not a known setting" },
        { R"({"name": "a", "listen": []})", "node.json: listen: must be an object" },
        { R"({"name": "a", "pools": [{"kind": "engine"}, {"kind": "other"}]})", "node.json: pools[1].kind: must be one of \"engine\", \"service\"" },
        { R"({"name": "a",
             "port": })",
          "node.json:2: not valid JSON (comments are allowed)" },
        { R"([])", "node.json: (top): must be an object" },
    };
    for (const settings_case &example : cases) {
        EXPECT_EQ(errorOf(example.text), example.error) << example.text;
    }
}

} // namespace
} // namespace reedtrail
