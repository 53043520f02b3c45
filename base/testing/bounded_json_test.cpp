#include "base/bounded_json.h"

#include "base/random.h"

#include <cstdint>
#include <gtest/gtest.h>
#include <limits>
#include <string>

namespace reedtrail {
namespace {

std::string nested(std::size_t depth, const std::string &open = "[", const std::string &close = "]")
{
    std::string text;
    for (std::size_t i = 0; i < depth; ++i) {
        text += open;
    }
    text += "1";
    for (std::size_t i = 0; i < depth; ++i) {
        text += close;
    }
    return text;
}

/** Copying a tree calls itself for each level, which ended the process. */
TEST(bounded_json_test, deepTextIsBuiltIntoTree)
{
    EXPECT_TRUE(parseBoundedJson(nested(maxJsonDepth)).is_array());
    for (const std::size_t depth : { maxJsonDepth + 1, std::size_t{ 1000 }, std::size_t{ 400000 } }) {
        EXPECT_TRUE(parseBoundedJson(nested(depth)).is_discarded()) << depth;
        EXPECT_TRUE(parseBoundedJson(nested(depth, R"({"a":)", "}")).is_discarded()) << depth;
        EXPECT_TRUE(parseBoundedJson(std::string(depth, '[')).is_discarded()) << depth;
    }
}

TEST(bounded_json_test, bracketsInStringsDoNotCount)
{
    const std::string brackets(1000, '[');
    EXPECT_EQ(parseBoundedJson("\"" + brackets + "\""), brackets);
    EXPECT_EQ(parseBoundedJson(R"(["\"[[\\",["\\"]])", 2).size(), 2U);
    EXPECT_TRUE(parseBoundedJson(R"(["\"[[\\",["\\"]])", 1).is_discarded());
    for (const char *malformed : { "", "\"", "\"\\", "[\"", "]]]]", "{]", "[1", "nul", "[1]]", "\xff" }) {
        EXPECT_TRUE(parseBoundedJson(malformed).is_discarded()) << malformed;
    }
}

/** Returns the depth of a value, by following its tree. */
std::size_t depthOf(const nlohmann::json &value)
{
    std::size_t deepest = 0;
    for (const nlohmann::json &each : value) {
        deepest = std::max(deepest, value.is_structured() ? depthOf(each) : 0);
    }
    return deepest + (value.is_structured() ? 1 : 0);
}

/** Random texts against the parser alone: the same value if it is not too deep, and nothing otherwise. */
TEST(bounded_json_test, randomTextsAreParsedAsWithoutBound)
{
    constexpr std::string_view alphabet = "[[{{]]}}\"\"\\,:1a ";
    random_source random(7);
    int parsed = 0;
    for (int i = 0; i < 200000; ++i) {
        std::string text;
        for (std::size_t length = random.below(12); text.size() < length;) {
            text += alphabet[random.below(alphabet.size())];
        }
        const nlohmann::json whole = nlohmann::json::parse(text, nullptr, false);
        const nlohmann::json bounded = parseBoundedJson(text, 2);
        if (whole.is_discarded() || depthOf(whole) > 2) {
            ASSERT_TRUE(bounded.is_discarded()) << text;
        } else {
            ASSERT_EQ(bounded, whole) << text;
            ++parsed;
        }
    }
    EXPECT_GT(parsed, 1000);
}

TEST(bounded_json_test, numbersAreNarrowedWithoutCheck)
{
    const auto slots = [](const char *text) {
        return wholeNumber<std::uint32_t>(nlohmann::json::parse(text), 1, 100);
    };
    EXPECT_EQ(slots("1"), 1U);
    EXPECT_EQ(slots("100"), 100U);
    for (const char *odd :
         { "0", "-1", "101", "4294967297", "18446744073709551615", "18446744073709551616", "-9223372036854775808", "1.0", "1e300", "\"5\"", "null", "[5]" }) {
        EXPECT_FALSE(slots(odd)) << odd;
    }
    constexpr std::int64_t most = std::numeric_limits<std::int64_t>::max();
    EXPECT_EQ(wholeNumber<std::int64_t>(nlohmann::json::parse("9223372036854775807"), 0, most), most);
    EXPECT_FALSE(wholeNumber<std::int64_t>(nlohmann::json::parse("9223372036854775808"), 0, most));
    EXPECT_EQ(wholeNumber<std::int64_t>(nlohmann::json::parse("-3"), -5, 5), -3);
}

} // namespace
} // namespace reedtrail
