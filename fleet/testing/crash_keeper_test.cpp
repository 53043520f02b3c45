#include "fleet/crash_keeper.h"

#include <gtest/gtest.h>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;

/** A keeper, its table and one suspect request. */
struct keeper_fixture
{
    bool ask(const std::string &asker, bool isSecond = false, std::uint32_t endsElsewhere = 0)
    {
        grant = keeper.serve(now, table, { request.digest, asker, isSecond, false, endsElsewhere });
        return grant.isGranted;
    }
    void end()
    {
        table.recordEnd(now, request, ++instances);
        keeper.onAttemptEnded(now, request.digest);
    }
    duration returnAfter() const
    {
        return duration(grant.returnAfterUs);
    }

    time_point now{ 1h };
    crash_keeper keeper;
    crash_table table;
    request_identity request = identify(outlineOf("POST", "h", "/p/1", "crash"), "crash");
    std::uint64_t instances = 0;
    crash_grant grant;
};

} // namespace

TEST(crash_keeper, requestWithoutEndsIsGranted)
{
    keeper_fixture fixture;
    EXPECT_TRUE(fixture.ask("a"));
    EXPECT_TRUE(fixture.ask("b"));
}

TEST(crash_keeper, oneAttemptIsUnderWayAtATime)
{
    keeper_fixture fixture;
    fixture.end();
    EXPECT_TRUE(fixture.ask("a"));
    EXPECT_FALSE(fixture.ask("b"));
    EXPECT_GT(fixture.returnAfter(), 100ms);
    EXPECT_TRUE(fixture.ask("a")) << "its first attempt found no server";
    fixture.keeper.release(fixture.request.digest, "b");
    EXPECT_FALSE(fixture.ask("b")) << "the attempt of another asker is still under way";
    fixture.keeper.release(fixture.request.digest, "a");
    EXPECT_TRUE(fixture.ask("b"));
}

TEST(crash_keeper, attemptOfWhichNothingIsHeardCountsAsEnd)
{
    keeper_fixture fixture;
    fixture.end();
    fixture.end();
    EXPECT_TRUE(fixture.ask("a"));
    fixture.now += 3s;
    EXPECT_FALSE(fixture.ask("b"));
    EXPECT_TRUE(fixture.table.find(fixture.request)->isCrashing());
}

TEST(crash_keeper, retriesAfterThirdEndAreThreeOverBothKeepers)
{
    keeper_fixture fixture;
    for (int i = 0; i < 3; ++i) {
        fixture.end();
    }
    int granted = 0;
    for (int i = 0; i < 24 * 60; ++i, fixture.now += 1min) {
        for (const bool isSecond : { false, true }) {
            if (fixture.ask("a" + std::to_string(i), isSecond)) {
                ++granted;
                fixture.end();
            }
        }
    }
    EXPECT_EQ(granted, 3);
    EXPECT_GE(fixture.returnAfter(), 10min);
}

TEST(crash_keeper, firstRetryWaitsUnlessServersEndWithoutTheRequest)
{
    const struct
    {
        std::uint32_t endsElsewhere;
        bool isGranted;
    } cases[] = { { 0, false }, { 2, false }, { 3, true }, { 20, true } };
    for (const auto &each : cases) {
        keeper_fixture fixture;
        for (int i = 0; i < 3; ++i) {
            fixture.end();
        }
        EXPECT_EQ(fixture.ask("a", false, each.endsElsewhere), each.isGranted) << each.endsElsewhere;
        EXPECT_EQ(fixture.returnAfter(), each.isGranted ? 0s : 10s);
    }
}

/** A keeper that knows of the third end only by hearsay waits as if it had just been. */
TEST(crash_keeper, newKeeperWaitsBeforeFirstRetry)
{
    keeper_fixture fixture;
    for (std::uint64_t instance = 1; instance <= 3; ++instance) {
        fixture.table.recordEnd(fixture.now - 1min, fixture.request, instance);
    }
    EXPECT_FALSE(fixture.ask("a"));
    fixture.now += 10s;
    EXPECT_TRUE(fixture.ask("a"));
}

} // namespace reedtrail
