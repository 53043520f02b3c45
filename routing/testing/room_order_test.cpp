#include "base/random.h"
#include "routing/return_schedule.h"
#include "routing/room_order.h"

#include <algorithm>
#include <cstdio>
#include <gtest/gtest.h>
#include <numeric>
#include <vector>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;

const time_point start(100s);

work_claim claim(duration due, duration work, double value = 1, int priority = 0, duration waited = 0s)
{
    return { priority, start + due, work, value, start - waited };
}

std::vector<std::size_t> indexes(const std::vector<room_place> &order)
{
    std::vector<std::size_t> result;
    result.reserve(order.size());
    for (const room_place &each : order) {
        result.push_back(each.claim);
    }
    return result;
}

// Guards against an order by arrival, by size alone or by due time alone.
TEST(room_order_test, whatCostsLeastIsPutOff)
{
    struct test_case
    {
        const char *what;
        std::vector<work_claim> claims;
        std::vector<std::size_t> expected;
    };
    const test_case rows[] = {
        { "nothing waits", {}, {} },
        { "all fits: by due time", { claim(9s, 2s), claim(3s, 2s), claim(6s, 2s) }, { 1, 2, 0 } },
        { "what can't be in time goes last", { claim(1s, 4s), claim(5s, 3s) }, { 1, 0 } },
        { "large work makes two others late", { claim(4s, 4s), claim(5s, 2s), claim(6s, 2s) }, { 1, 2, 0 } },
        { "large work of great value is served", { claim(4s, 4s, 10), claim(5s, 2s), claim(6s, 2s) }, { 0, 2, 1 } },
        { "the more urgent customer's work goes first", { claim(5s, 1s, 1, 3), claim(9s, 1s, 1, 1) }, { 1, 0 } },
        { "work that has waited too long goes first", { claim(5s, 1s), claim(1s, 9s, 1, 0, 4s) }, { 1, 0 } },
        { "a due time claimed lower does not help work that can't keep it", { claim(100ms, 2s), claim(3s, 2s) }, { 1, 0 } },
    };
    for (const test_case &row : rows) {
        EXPECT_EQ(indexes(orderWork(start, row.claims, 1)), row.expected) << row.what;
    }
    const auto order = orderWork(start, rows[3].claims, 2);
    EXPECT_EQ(indexes(order), (std::vector<std::size_t>{ 0, 1, 2 })) << "with two places all fits";
    EXPECT_TRUE(std::ranges::all_of(order, [](const room_place &each) {
        return each.rank == room_rank::InTime;
    }));
}

/** Returns the value of the claims that are in time if they are served one after the other in this order, each on all places. */
double valueInTime(time_point now, std::span<const work_claim> claims, std::span<const std::size_t> order, double places)
{
    double busy = 0;
    double value = 0;
    for (const std::size_t index : order) {
        busy += toSeconds(claims[index].work) / std::max(places, 1.0);
        value += busy <= toSeconds(claims[index].due - now) ? claims[index].value : 0;
    }
    return value;
}

/** Returns the most value that any set of claims can have in time, by trying all. */
double bestValue(std::span<const work_claim> claims)
{
    std::vector<std::size_t> byDue(claims.size());
    std::iota(byDue.begin(), byDue.end(), 0);
    std::ranges::sort(byDue, {}, [&](std::size_t each) {
        return claims[each].due;
    });
    double best = 0;
    for (std::size_t set = 0; set < (std::size_t{ 1 } << claims.size()); ++set) {
        double busy = 0;
        double value = 0;
        for (const std::size_t index : byDue) {
            if ((set >> index & 1U) == 0) {
                continue;
            }
            busy += toSeconds(claims[index].work);
            value += claims[index].value;
            if (busy > toSeconds(claims[index].due - start)) {
                value = 0;
                break;
            }
        }
        best = std::max(best, value);
    }
    return best;
}

/** Shares of the oracle's value over random queues. */
struct oracle_shares
{
    double median = 0;
    double worst = 0;
};

/** @param estimateError factor by which the estimates of the work are off at most */
oracle_shares sharesOfOracle(double estimateError)
{
    std::vector<double> shares;
    for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
        random_source random(seed);
        std::vector<work_claim> estimated;
        std::vector<work_claim> actual;
        for (std::uint64_t i = 0; i < 2 + random.below(9); ++i) {
            work_claim each = claim(fromSeconds(random.uniform(0.5, 8)), fromSeconds(random.uniform(0.2, 3)), random.uniform(1, 10));
            actual.push_back(each);
            each.work = fromSeconds(toSeconds(each.work) * std::exp(random.uniform(-1, 1) * std::log(estimateError)));
            estimated.push_back(each);
        }
        const double best = bestValue(estimated);
        if (best > 0) {
            shares.push_back(valueInTime(start, estimated, indexes(orderWork(start, estimated, 1)), 1) / best);
        }
    }
    std::ranges::sort(shares);
    return { shares[shares.size() / 2], shares.front() };
}

/** Estimates that are off by a factor of 3 don't make the choice on them worse. What the estimates themselves cost is not this decision's. */
TEST(room_order_test, orderIsCloseToThatOfOracle)
{
    for (const double error : { 1.0, 3.0 }) {
        const oracle_shares shares = sharesOfOracle(error);
        EXPECT_GE(shares.median, 0.95) << error;
        EXPECT_GE(shares.worst, 0.85) << error;
        std::printf("estimates off by %.0f: %.3f of the oracle's value on the median queue, %.3f on the worst of 1000\n", error, shares.median, shares.worst);
    }
}

/** New work of greater value keeps coming. No claim waits without a place for longer than the bound and the work that was in places before. */
TEST(room_order_test, largeWorkOfSmallValueStarves)
{
    for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
        random_source random(seed);
        std::vector<work_claim> waiting = { claim(500ms, 4s, 0.1, 9) };
        double longest = 0;
        time_point now = start;
        bool isServed = false;
        for (int i = 0; i < 60 && !isServed; ++i) {
            waiting.push_back({ 0, now + fromSeconds(random.uniform(0.5, 2)), fromSeconds(random.uniform(0.05, 0.3)), 10, now });
            const std::size_t first = orderWork(now, waiting, 1).front().claim;
            isServed = first == 0;
            longest = toSeconds(now - waiting[0].waitingSince);
            now += waiting[first].work;
            waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(first));
        }
        EXPECT_TRUE(isServed) << seed;
        EXPECT_LE(longest, 3.3) << seed;
    }
}

/** A burst that is turned away within a moment came back all at once. */
TEST(room_order_test, callersTurnedAwayComeBackTogether)
{
    return_schedule schedule;
    time_point now = start;
    for (int i = 0; i < 400; ++i) {
        schedule.onAnswered(now);
        now += 10ms; // A hundred a second.
    }
    EXPECT_NEAR(schedule.rateAt(now), 100, 20);
    std::vector<double> returns;
    returns.reserve(50);
    for (int i = 0; i < 50; ++i) {
        returns.push_back(toSeconds(schedule.nextReturn(now, 150ms, 1s)));
    }
    EXPECT_DOUBLE_EQ(returns.front(), 0.15);
    for (std::size_t i = 1; i < returns.size(); ++i) {
        EXPECT_NEAR(returns[i] - returns[i - 1], 0.01, 0.003) << "a place becomes free for each";
    }
    for (int i = 0; i < 1000; ++i) {
        EXPECT_LE(schedule.nextReturn(now, 150ms, 1s), 1s) << "later the caller has no time left";
    }
    now += 10s;
    EXPECT_EQ(schedule.nextReturn(now, 150ms, 1s), 150ms) << "the burst is over";
    return_schedule unknown;
    EXPECT_EQ(unknown.nextReturn(now, 150ms, 1s), 150ms) << "nothing was ever answered";
}

/** A caller with little time left got an early time, and all callers after it got the times again that others had. */
TEST(room_order_test, callerWithLittleTimeTakesBackTimesOfOthers)
{
    return_schedule schedule;
    for (int i = 0; i < 100; ++i) {
        schedule.onAnswered(start + i * 10ms);
    }
    const time_point now = start + 1s;
    duration last{};
    for (int i = 0; i < 10; ++i) {
        last = schedule.nextReturn(now, 150ms, 1s);
    }
    EXPECT_EQ(schedule.nextReturn(now, 10ms, 20ms), 20ms);
    EXPECT_GT(schedule.nextReturn(now, 150ms, 1s), last);
}

} // namespace
} // namespace reedtrail
