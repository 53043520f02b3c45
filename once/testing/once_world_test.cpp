#include "base/check.h"
#include "once/testing/once_world.h"

#include <gtest/gtest.h>

namespace reedtrail {
namespace {

using testing::once_outcome;
using testing::once_world;
using testing::once_world_options;
using testing::request_way;

constexpr std::uint64_t seeds = 12;

template<class Keys>
void expectPromises(request_way way)
{
    const std::uint64_t checksBefore = failedChecks();
    setAbortOnFailedCheck(false);
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        once_world_options options;
        options.way = way;
        options.requests = 4000;
        options.requestsPerSecond = 100;
        options.seed = seed;
        const once_outcome outcome = once_world<Keys>(options).run();
        EXPECT_EQ(outcome.runTwice, 0U) << outcome.firstViolation;
        EXPECT_EQ(outcome.falseNotRun, 0U) << outcome.firstViolation;
        EXPECT_EQ(outcome.crossed, 0U) << "seed " << seed;
        EXPECT_GT(outcome.answered, 0U) << "seed " << seed;
        EXPECT_GT(outcome.unknown, 0U) << "the faults of seed " << seed << " had no effect";
    }
    EXPECT_EQ(failedChecks(), checksBefore);
}

TEST(OnceWorld, TicketsUnderFaults)
{
    expectPromises<key_records>(request_way::Ticket);
}

TEST(OnceWorld, KeyRecordsUnderFaults)
{
    expectPromises<key_records>(request_way::Key);
}

TEST(OnceWorld, KeyRangesUnderFaults)
{
    expectPromises<key_ranges>(request_way::Key);
}

/** The oracle sees what it is there for: without the blind time after a takeover, ranges run requests twice. */
TEST(OnceWorld, KeyRangesWithoutBlindTimeRunTwice)
{
    std::size_t runTwice = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        once_world_options options;
        options.way = request_way::Key;
        options.requests = 4000;
        options.requestsPerSecond = 100;
        options.seed = seed;
        options.blindTime = duration::zero();
        runTwice += once_world<key_ranges>(options).run().runTwice;
    }
    EXPECT_GT(runTwice, 0U);
}

TEST(OnceWorld, EveryRequestIsAnsweredWithoutFaults)
{
    once_world_options options;
    options.hasFaults = false;
    options.requests = 2000;
    for (const request_way way : { request_way::Ticket, request_way::Key }) {
        options.way = way;
        const once_outcome outcome = once_world<key_records>(options).run();
        EXPECT_EQ(outcome.answered, options.requests);
        EXPECT_EQ(outcome.runTwice, 0U);
    }
}

TEST(OnceWorld, OneSeedGivesOneRun)
{
    once_world_options options;
    options.requests = 1000;
    options.requestsPerSecond = 100;
    const once_outcome first = once_world<key_records>(options).run();
    const once_outcome second = once_world<key_records>(options).run();
    EXPECT_EQ(first.answered, second.answered);
    EXPECT_EQ(first.forwarded, second.forwarded);
    EXPECT_EQ(first.ran, second.ran);
}

} // namespace
} // namespace reedtrail
