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

/** Events of 40 tokens whose version changes now and then, from token @p from on. */
std::string wholeStream(std::uint64_t from)
{
    std::string bytes;
    for (std::uint64_t token = from; token < 40; ++token) {
        bytes += event("t" + std::to_string(token) + ";", token + 1, 1 + token / 16);
    }
    return bytes + "data: [DONE]\n\n";
}

/** Bytes cut at random places, connections that break at random places and resume at, or before, the offset reached. */
TEST(CompletionStream, LosesAndDoublesNothing)
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        random_source random(seed);
        completion_stream stream;
        std::string text;
        std::uint64_t tokens = 0;
        while (!stream.isComplete()) {
            const std::uint64_t from = random.chance(0.5) ? stream.offset() : random.below(stream.offset() + 1);
            const std::string bytes = wholeStream(from);
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
        std::string wanted;
        for (int token = 0; token < 40; ++token) {
            wanted += "t" + std::to_string(token) + ";";
        }
        ASSERT_EQ(text, wanted) << "seed " << seed;
        ASSERT_EQ(stream.versions(), (std::vector<version_range>{ { 0, 16, 1 }, { 16, 32, 2 }, { 32, 40, 3 } })) << "seed " << seed;
    }
}

TEST(CompletionStream, WhatIsNoEventBreaksIt)
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
