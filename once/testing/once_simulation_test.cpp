#include "base/check.h"
#include "once/testing/once_simulation.h"

#include <gtest/gtest.h>

namespace reedtrail {
namespace {

using testing::once_simulation;
using testing::once_simulation_options;
using testing::once_simulation_result;
using testing::request_naming;

constexpr std::uint64_t seeds = 12;

template<class Keys>
void expectAtMostOnce(request_naming naming)
{
    const std::uint64_t checksBefore = failedChecks();
    setAbortOnFailedCheck(false);
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        once_simulation_options options;
        options.naming = naming;
        options.requests = 4000;
        options.requestsPerSecond = 100;
        options.seed = seed;
        const once_simulation_result outcome = once_simulation<Keys>(options).run();
        EXPECT_EQ(outcome.runTwice, 0U) << outcome.firstViolation;
        EXPECT_EQ(outcome.falseNotRun, 0U) << outcome.firstViolation;
        EXPECT_EQ(outcome.crossed, 0U) << "seed " << seed;
        EXPECT_GT(outcome.answered, 0U) << "seed " << seed;
        EXPECT_GT(outcome.unknown, 0U) << "the faults of seed " << seed << " had no effect on any request";
    }
    EXPECT_EQ(failedChecks(), checksBefore);
}

/** Crashes, pauses, partitions and store outages must not make a request run twice, or run after its caller was told "not run". */
TEST(OnceSimulation, TicketsRunAtMostOnceUnderFaults)
{
    expectAtMostOnce<key_records>(request_naming::Ticket);
}

TEST(OnceSimulation, KeyRecordsRunAtMostOnceUnderFaults)
{
    expectAtMostOnce<key_records>(request_naming::Key);
}

TEST(OnceSimulation, KeyRangesRunAtMostOnceUnderFaults)
{
    expectAtMostOnce<key_ranges>(request_naming::Key);
}

/** Checks that the simulation detects double runs: without the quarantine after a takeover, the new owner of a range runs retries of keys that already ran. */
TEST(OnceSimulation, KeyRangesWithoutQuarantineRunTwice)
{
    std::size_t runTwice = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        once_simulation_options options;
        options.naming = request_naming::Key;
        options.requests = 4000;
        options.requestsPerSecond = 100;
        options.seed = seed;
        options.takeoverQuarantine = duration::zero();
        runTwice += once_simulation<key_ranges>(options).run().runTwice;
    }
    EXPECT_GT(runTwice, 0U);
}

TEST(OnceSimulation, EveryRequestIsAnsweredWithoutFaults)
{
    once_simulation_options options;
    options.hasFaults = false;
    options.requests = 2000;
    for (const request_naming naming : { request_naming::Ticket, request_naming::Key }) {
        options.naming = naming;
        const once_simulation_result outcome = once_simulation<key_records>(options).run();
        EXPECT_EQ(outcome.answered, options.requests);
        EXPECT_EQ(outcome.runTwice, 0U);
    }
}

TEST(OnceSimulation, SameSeedGivesSameResult)
{
    once_simulation_options options;
    options.requests = 1000;
    options.requestsPerSecond = 100;
    const once_simulation_result first = once_simulation<key_records>(options).run();
    const once_simulation_result second = once_simulation<key_records>(options).run();
    EXPECT_EQ(first.answered, second.answered);
    EXPECT_EQ(first.forwarded, second.forwarded);
    EXPECT_EQ(first.ran, second.ran);
}

} // namespace
} // namespace reedtrail
