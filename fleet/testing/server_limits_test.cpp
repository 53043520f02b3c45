#include "fleet/limited_traffic.h"
#include "fleet/server_limits.h"

#include <gtest/gtest.h>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;
using outcome = server_limits::outcome;

constexpr std::int64_t firstStart = 100;

time_point at(int ms)
{
    return time_point(std::chrono::milliseconds(ms));
}

dated_limit stated(double rate, int sentMs, int receivedMs)
{
    return { rate, at(sentMs), at(receivedMs) };
}

double rateOf(const server_limits &limits, std::int64_t startedAt = firstStart)
{
    const auto limit = limits.find("s", startedAt);
    return limit ? limit->rate : 0;
}

TEST(server_limits_test, limitFallsRisesAndIsLiftedByLaterStatements)
{
    server_limits limits;
    EXPECT_EQ(limits.record("s", firstStart, stated(0, 0, 5)), outcome::Unchanged);
    EXPECT_EQ(limits.record("s", firstStart, stated(4, 10, 15)), outcome::Named);
    EXPECT_EQ(rateOf(limits), 4);
    EXPECT_EQ(limits.record("s", firstStart, stated(4, 20, 25)), outcome::Unchanged);
    EXPECT_EQ(limits.record("s", firstStart, stated(2, 30, 35)), outcome::Changed);
    EXPECT_EQ(limits.record("s", firstStart, stated(8, 40, 45)), outcome::Changed);
    EXPECT_EQ(rateOf(limits), 8);
    EXPECT_EQ(limits.record("s", firstStart, stated(0, 50, 55)), outcome::Lifted);
    EXPECT_EQ(rateOf(limits), 0);
}

TEST(server_limits_test, stricterOfTwoStatementsInUnknownOrderHolds)
{
    struct row
    {
        dated_limit first;
        dated_limit second;
        double expected;
    };
    const row rows[] = {
        { stated(4, 0, 20), stated(0, 10, 30), 4 }, // Sent before the first response arrived: may be the older statement.
        { stated(4, 0, 20), stated(8, 10, 30), 4 }, { stated(4, 0, 20), stated(2, 10, 30), 2 },
        { stated(0, 10, 20), stated(4, 0, 30), 4 }, // Overtaken, and may be the newer statement.
        { stated(4, 20, 30), stated(2, 0, 10), 4 }, // Certainly older, and recorded late.
        { stated(4, 20, 30), stated(0, 0, 10), 4 }, { stated(4, 0, 20), stated(0, 20, 30), 0 }, // Certainly newer.
    };
    for (const row &each : rows) {
        server_limits limits;
        limits.record("s", firstStart, stated(4, -20, -10));
        limits.record("s", firstStart, each.first);
        limits.record("s", firstStart, each.second);
        EXPECT_EQ(rateOf(limits), each.expected) << each.first.rate << " then " << each.second.rate;
    }
}

TEST(server_limits_test, laterInstanceIsNotBoundByEarlierOne)
{
    server_limits limits;
    limits.record("s", firstStart, stated(4, 0, 5));
    EXPECT_EQ(rateOf(limits, firstStart + 1), 0);
    EXPECT_EQ(limits.record("s", firstStart + 1, stated(3, 10, 15)), outcome::Named);
    EXPECT_EQ(limits.record("s", firstStart, stated(1, 12, 20)), outcome::Unchanged) << "a late response of the instance before";
    EXPECT_EQ(rateOf(limits, firstStart + 1), 3);
}

TEST(server_limits_test, malformedStatementIsReportedOnceAndChangesNothing)
{
    server_limits limits;
    EXPECT_TRUE(limits.recordMalformed("s"));
    EXPECT_FALSE(limits.recordMalformed("s"));
    EXPECT_TRUE(limits.recordMalformed("t"));
    EXPECT_EQ(limits.record("s", firstStart, stated(4, 0, 5)), outcome::Named);
    EXPECT_FALSE(limits.recordMalformed("s"));
    EXPECT_EQ(rateOf(limits), 4);
    limits.retainIf([](const std::string &server) {
        return server == "t";
    });
    EXPECT_EQ(rateOf(limits), 0);
}

TEST(limited_traffic_test, countsByServerAndKind)
{
    limited_traffic traffic;
    traffic.recordSend("s", send_kind::Score);
    traffic.recordSend("s", send_kind::Score);
    traffic.recordSend("s", send_kind::Retry);
    traffic.recordDenial("t");
    const auto rows = traffic.take();
    ASSERT_EQ(rows.size(), 2U);
    EXPECT_EQ(describeSends(rows.at("s")), "retry:1,score:2");
    EXPECT_EQ(describeSends(rows.at("t")), "-");
    EXPECT_EQ(rows.at("t").denied, 1U);
    EXPECT_TRUE(traffic.take().empty());
}

} // namespace
} // namespace reedtrail
