#include "gate/completion_stream.h"

#include "base/random.h"

#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace reedtrail {
namespace {

std::string event(const std::string &text, std::uint64_t offset, weight_version version)
{
    return "data: {\"choices\":[{\"text\":\"" + text + "\",\"finish_reason\":null}],\"weight_version\":" + std::to_string(version)
        + ",\"offset\":" + std::to_string(offset) + "}\n\n";
}

/** Returns the events of tokens @p from to 39, whose weight version changes every 16 tokens, and the end marker. */
std::string streamFrom(std::uint64_t from)
{
    std::string bytes;
    for (std::uint64_t token = from; token < 40; ++token) {
        bytes += event("t" + std::to_string(token) + ";", token + 1, 1 + token / 16);
    }
    return bytes + "data: [DONE]\n\n";
}

/**
 * Tokens must not be lost or duplicated when the bytes of events are split at random places, and connections break at random places and resume at or before the
 * current offset.
 */
TEST(CompletionStream, ResumesWithoutLossOrDuplicates)
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        random_source random(seed);
        completion_stream stream;
        std::string text;
        std::uint64_t tokens = 0;
        while (!stream.isComplete()) {
            const std::uint64_t from = random.chance(0.5) ? stream.offset() : random.below(stream.offset() + 1);
            const std::string bytes = streamFrom(from);
            const std::size_t end = random.chance(0.2) ? bytes.size() : random.below(bytes.size());
            for (std::size_t at = 0; at < end;) {
                const std::size_t length = std::min<std::size_t>(end - at, 1 + random.below(200));
                for (const completion_chunk &chunk : stream.feed(std::string_view(bytes).substr(at, length))) {
                    ASSERT_EQ(chunk.offset - chunk.tokens, tokens) << "seed " << seed;
                    tokens = chunk.offset;
                    text += chunk.text;
                }
                at += length;
            }
            stream.beginResume();
        }
        std::string expected;
        for (int token = 0; token < 40; ++token) {
            expected += "t" + std::to_string(token) + ";";
        }
        ASSERT_EQ(text, expected) << "seed " << seed;
        ASSERT_EQ(stream.versions(), (std::vector<version_range>{ { 0, 16, 1 }, { 16, 32, 2 }, { 32, 40, 3 } })) << "seed " << seed;
    }
}

TEST(CompletionStream, InvalidEventsBreakTheStream)
{
    for (const std::string &bytes :
         std::vector<std::string>{ "data: nonsense\n\n", "data: []\n\n", "data: {\"error\":\"full\"}\n\n", std::string(maximumEventBytes + 1, 'x') }) {
        completion_stream stream;
        EXPECT_TRUE(stream.feed(bytes).empty());
        EXPECT_TRUE(stream.isBroken());
        EXPECT_FALSE(stream.isComplete());
    }
    for (const std::string &bytes :
         std::vector<std::string>{ ": comment\n\n", "event: x\n\n", "\n", "data: {}\n\n", "data: {\"choices\":[],\"offset\":0}\n\n" }) {
        completion_stream stream;
        EXPECT_TRUE(stream.feed(bytes).empty());
        EXPECT_FALSE(stream.isBroken());
    }
}

} // namespace
} // namespace reedtrail
