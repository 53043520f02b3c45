#include "base/check.h"
#include "weights/testing/fake_servers.h"

#include <gtest/gtest.h>

namespace reedtrail::harness {
namespace {

TEST(staging_rate_limiter, boundsTheTotalRateOfActiveDownloads)
{
    using namespace std::chrono_literals;
    staging_rate_limiter limiter;
    limiter.setRate(1000, 100);
    EXPECT_TRUE(limiter.mayStart(std::vector<duration>{ 0s }));
    EXPECT_FALSE(limiter.mayStart(std::vector<duration>{ 0s, 0s }));
    limiter.recordStageTime(500ms); // Downloads at 200 bytes per second.
    EXPECT_FALSE(limiter.mayStart(std::vector<duration>(2, 0s))); // One server is measured, so only one unmeasured server may download at a time.
    for (int server = 0; server < 9; ++server) {
        limiter.recordStageTime(600ms);
    }
    EXPECT_TRUE(limiter.mayStart(std::vector<duration>(5, 0s)));
    EXPECT_FALSE(limiter.mayStart(std::vector<duration>(6, 0s)));
    EXPECT_TRUE(limiter.mayStart(std::vector<duration>(10, 1s)));
    EXPECT_FALSE(limiter.mayStart(std::vector<duration>(11, 1s)));
}

TEST(weights, rolloutRespectsRateAndSwapLimits)
{
    fake_servers servers({ .seed = 3, .servers = 40, .zones = 2, .partialFailureShare = 0.05 });
    for (weight_version version = 2; version <= 6; ++version) {
        servers.publish(version);
        servers.runFor(std::chrono::seconds(60));
        EXPECT_EQ(servers.serversAt(version), 40U);
        EXPECT_EQ(servers.unknownInSampling(), 0U);
    }
    EXPECT_LE(servers.peakBytesPerSecond(), 20e9);
    EXPECT_LE(servers.maxSwappingShare(), 0.5);
    EXPECT_EQ(failedChecks(), 0U);
}

TEST(weights, concurrentRunsStayWithinTheSharedRate)
{
    fake_servers servers({ .seed = 4, .servers = 30, .zones = 3, .runs = 3 });
    for (weight_version version = 2; version <= 4; ++version) {
        for (std::size_t run = 0; run < 3; ++run) {
            servers.publish(version, run);
        }
        servers.runFor(std::chrono::seconds(90));
    }
    for (std::size_t run = 0; run < 3; ++run) {
        EXPECT_EQ(servers.serversAt(4, run), 30U);
    }
    EXPECT_LE(servers.peakBytesPerSecond(), 20e9);
}

TEST(weights, partitionedZoneConvergesAfterHealing)
{
    fake_servers servers({ .seed = 5, .servers = 20, .zones = 2 });
    servers.publish(2);
    servers.runFor(std::chrono::seconds(1));
    servers.partitionZone(1, true);
    servers.runFor(std::chrono::seconds(30));
    EXPECT_LT(servers.serversAt(2), 20U);
    servers.publish(3);
    servers.runFor(std::chrono::minutes(5));
    servers.partitionZone(1, false);
    servers.runFor(std::chrono::seconds(60));
    EXPECT_EQ(servers.serversAt(3), 20U);
}

// An owner is paused at different instants of a rollout and resumes after another has taken over. Its pending orders must not reach a server.
TEST(weights, pausedOwnerExecutesNoStaleOrders)
{
    std::uint64_t staleOrders = 0;
    for (int instant = 0; instant < 100; ++instant) {
        SCOPED_TRACE(instant);
        fake_servers servers({ .seed = static_cast<std::uint64_t>(instant), .servers = 16, .zones = 2, .fencingShare = 0.3 });
        servers.publish(2);
        servers.runFor(std::chrono::milliseconds(3000 + 40 * instant));
        servers.pauseOwner(std::chrono::seconds(12));
        servers.takeOver(std::chrono::seconds(5));
        servers.runFor(std::chrono::seconds(6));
        servers.publish(3);
        servers.runFor(std::chrono::seconds(60));
        EXPECT_EQ(servers.serversAt(3), 16U);
        EXPECT_EQ(servers.unknownInSampling(), 0U);
        staleOrders += servers.staleOrdersExecuted();
    }
    EXPECT_EQ(staleOrders, 0U); // The deputies' epoch check and the orders' validity stop all of them.
    EXPECT_EQ(failedChecks(), 0U);
}

// An order of the previous owner reaches a server that checks no fencing token after the takeover, and sets an older version. The new owner must detect this
// from the reported versions and order the server again.
TEST(weights, delayedOrderAfterTakeoverIsCorrected)
{
    std::uint64_t staleOrders = 0;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        SCOPED_TRACE(seed);
        fake_servers servers(
            { .seed = seed, .servers = 16, .zones = 2, .fencingShare = 0, .switchTime = std::chrono::milliseconds(100), .delayedOrderShare = 0.5 });
        servers.publish(2);
        while (!servers.switchStartedAt(2)) {
            servers.runFor(std::chrono::milliseconds(50));
        }
        servers.takeOver(std::chrono::seconds(5));
        servers.publish(3);
        servers.runFor(std::chrono::minutes(3));
        EXPECT_EQ(servers.serversAt(3), 16U);
        EXPECT_EQ(servers.unknownInSampling(), 0U);
        staleOrders += servers.staleOrdersExecuted();
    }
    EXPECT_GT(staleOrders, 0U); // Otherwise the test would exercise no stale order.
}

TEST(weights, restartedServerIsUpdatedAgain)
{
    fake_servers servers({ .seed = 6, .servers = 10, .zones = 2 });
    servers.publish(2);
    servers.runFor(std::chrono::seconds(40));
    ASSERT_EQ(servers.serversAt(2), 10U);
    servers.restartServer(3);
    servers.runFor(std::chrono::seconds(40));
    EXPECT_EQ(servers.serversAt(2), 10U);
    EXPECT_GE(servers.rollout().regressions(), 1U);
}

TEST(weights, randomFaultsConverge)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        SCOPED_TRACE(seed);
        fake_servers_options options{ .seed = seed, .servers = 24, .zones = 3, .partialFailureShare = 0.1 };
        options.network = { .loss = 0.05, .doubled = 0.05, .crossed = 0.05 };
        fake_servers servers(options);
        random_source random(seed);
        for (weight_version version = 2; version <= 8; ++version) {
            servers.publish(version);
            const std::size_t zone = random.below(3);
            servers.runFor(fromSeconds(random.uniform(0, 12)));
            switch (random.below(4)) {
            case 0:
                servers.partitionZone(zone, true);
                servers.world().after(fromSeconds(random.uniform(1, 20)), [&servers, zone] {
                    servers.partitionZone(zone, false);
                });
                break;
            case 1:
                servers.pauseOwner(fromSeconds(random.uniform(1, 15)));
                servers.takeOver(std::chrono::seconds(5));
                break;
            case 2:
                servers.restartServer(random.below(24));
                break;
            default:
                servers.takeOver(fromSeconds(random.uniform(0, 5)));
                break;
            }
            servers.runFor(fromSeconds(random.uniform(6, 40)));
        }
        servers.runFor(std::chrono::minutes(6));
        EXPECT_EQ(servers.serversAt(8), 24U);
        EXPECT_EQ(servers.unknownInSampling(), 0U);
        EXPECT_LE(servers.peakBytesPerSecond(), 20e9);
    }
    EXPECT_EQ(failedChecks(), 0U);
}

} // namespace
} // namespace reedtrail::harness
