#include "fleet/limit_schedule.h"

#include "base/random.h"

#include <gtest/gtest.h>
#include <vector>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;

constexpr time_point start{ 100s };
constexpr limit_demand urgent{ true, 100ms };
constexpr limit_demand deferrable{ false, 1s };

/** Returns the most places within four seconds. */
std::size_t mostInWindow(std::vector<time_point> places)
{
    std::ranges::sort(places);
    std::size_t most = 0;
    for (std::size_t first = 0; first < places.size(); ++first) {
        std::size_t end = first;
        while (end < places.size() && places[end] < places[first] + 4s) {
            ++end;
        }
        most = std::max(most, end - first);
    }
    return most;
}

TEST(limit_schedule_test, randomDemandNeverExceedsRateAndBurst)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        random_source random(seed);
        limit_schedule schedule;
        const double rate = random.uniform(0.3, 30);
        std::vector<time_point> places;
        time_point now = start;
        while (now < start + 60s) {
            now += fromSeconds(random.chance(0.02) ? random.uniform(1, 6) : random.exponential(0.3 / rate));
            const limit_grant grant = schedule.request(now, rate, random.chance(0.5) ? urgent : deferrable);
            EXPECT_GE(grant.wait, duration::zero());
            if (grant.isGranted) {
                places.push_back(now + grant.wait);
            } else {
                EXPECT_GE(grant.returnAfter, grant.wait) << "seed " << seed;
            }
        }
        EXPECT_LE(static_cast<double>(mostInWindow(places)), 4.25 * rate + 1.001) << "seed " << seed << " rate " << rate;
    }
}

TEST(limit_schedule_test, waitingRequestsGetPlacesInOrderOfAsking)
{
    limit_schedule schedule;
    duration last = -1us;
    for (int i = 0; i < 5; ++i) {
        const limit_grant grant = schedule.request(start, 4, deferrable);
        ASSERT_TRUE(grant.isGranted) << i;
        EXPECT_GT(grant.wait, last);
        last = grant.wait;
    }
    EXPECT_EQ(last, 1s);
    EXPECT_FALSE(schedule.request(start, 4, deferrable).isGranted);
}

TEST(limit_schedule_test, burstOfOthersLeavesPlacesToUrgentRequests)
{
    limit_schedule schedule;
    std::size_t urgentPlaces = 0;
    std::size_t otherPlaces = 0;
    for (int i = 0; i < 6000; ++i) {
        const time_point now = start + i * 10ms;
        otherPlaces += schedule.request(now, 2, deferrable).isGranted ? 1 : 0;
        otherPlaces += schedule.request(now, 2, deferrable).isGranted ? 1 : 0;
        urgentPlaces += i % 10 == 0 && schedule.request(now, 2, urgent).isGranted ? 1 : 0;
    }
    EXPECT_GE(urgentPlaces, 55U) << "about half of 120 places";
    EXPECT_GE(otherPlaces, 55U);
}

TEST(limit_schedule_test, callersTurnedAwayReturnOneByOne)
{
    limit_schedule schedule;
    ASSERT_TRUE(schedule.request(start, 10, urgent).isGranted);
    ASSERT_TRUE(schedule.request(start, 10, urgent).isGranted);
    ASSERT_TRUE(schedule.request(start, 10, urgent).isGranted);
    duration last{};
    for (int i = 0; i < 15; ++i) {
        const limit_grant grant = schedule.request(start, 10, { true, 0ms });
        ASSERT_FALSE(grant.isGranted);
        EXPECT_GT(grant.returnAfter, last) << i;
        EXPECT_LE(grant.returnAfter, 2300ms) << i;
        last = grant.returnAfter;
    }
}

TEST(limit_schedule_test, chargedRequestsUsePlaces)
{
    limit_schedule schedule;
    for (int i = 0; i < 4; ++i) {
        schedule.charge(start, 1);
    }
    EXPECT_FALSE(schedule.request(start + 2500ms, 1, urgent).isGranted);
    EXPECT_TRUE(schedule.request(start + 4000ms, 1, urgent).isGranted);
}

TEST(limit_schedule_test, changedRateCountsFromNextPlace)
{
    limit_schedule schedule;
    ASSERT_TRUE(schedule.request(start, 10, deferrable).isGranted);
    ASSERT_TRUE(schedule.request(start, 1, deferrable).isGranted);
    EXPECT_FALSE(schedule.request(start, 1, { false, 500ms }).isGranted);
    EXPECT_TRUE(schedule.request(start + 1200ms, 10, deferrable).isGranted);
    EXPECT_TRUE(schedule.request(start + 1200ms, 10, deferrable).isGranted);
}

} // namespace
} // namespace reedtrail
