#include "base/random.h"
#include "routing/move_decision.h"
#include "routing/pace_forecast.h"

#include <cmath>
#include <gtest/gtest.h>
#include <vector>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;

// Guards against a text that moves for a gain that the move itself eats up, moves twice, or takes a place that new texts need.
TEST(move_decision_test, movesOnlyForFarMoreThanItCosts)
{
    struct test_case
    {
        const char *what;
        move_question question;
        bool isWorthwhile;
    };
    const test_case rows[] = {
        { "a long text on a slow server", { 40, 90ms, 40ms, 200ms, 0, 0.8 }, true },
        { "few events are left", { 4, 90ms, 40ms, 200ms, 0, 0.8 }, false },
        { "the other server is hardly faster", { 40, 45ms, 40ms, 200ms, 0, 0.8 }, false },
        { "the difference is noise, however long the text", { 4000, 45ms, 40ms, 200ms, 0, 0.8 }, false },
        { "the other server is slower", { 40, 40ms, 90ms, 1ms, 0, 0.8 }, false },
        { "nothing is known of the other server", { 40, 90ms, 0ms, 200ms, 0, 0.8 }, false },
        { "reading the text again takes long", { 40, 90ms, 40ms, 1500ms, 0, 0.8 }, false },
        { "it has moved again and again", { 400, 90ms, 40ms, 200ms, 3, 0.8 }, false },
        { "new texts need the places", { 40, 90ms, 40ms, 200ms, 0, 0.1 }, false },
    };
    for (const test_case &row : rows) {
        EXPECT_EQ(isMoveWorthwhile(row.question), row.isWorthwhile) << row.what;
    }
    EXPECT_EQ(expectedEventsLeft(4, 20), 16);
    EXPECT_EQ(expectedEventsLeft(40, 20), 20);
    EXPECT_EQ(expectedEventsLeft(40, 0), 20);
}

TEST(move_decision_test, movesEndNoMoreThanShareOfRuns)
{
    move_budget budget;
    const move_options options;
    EXPECT_FALSE(budget.allows(options));
    std::size_t moves = 0;
    for (int run = 1; run <= 1000; ++run) {
        budget.onRunStarted();
        while (budget.allows(options)) {
            budget.onMoved();
            ++moves;
        }
        EXPECT_LE(static_cast<double>(moves), options.maxMovedShare * run);
    }
    EXPECT_EQ(moves, 250U);
}

/** A neighbour that comes and goes: how long it stays, and the factor while it is there. */
struct neighbour
{
    double meanStayS = 0;
    double meanPauseS = 0;
    double factor = 1;
};

/** Mean square error of a forecast over reports each 5 to 200 ms, for servers with such neighbours. @param persistence of a fixed rule; below 0 for the
 * forecast */
double errorOf(const neighbour &others, std::uint64_t seed, double persistence)
{
    random_source random(seed);
    pace_forecast forecast;
    double sum = 0;
    int samples = 0;
    bool isThere = false;
    double nextChange = 0;
    double lastReport = 1;
    double at = 0;
    for (int i = 0; i < 20000; ++i) {
        at += random.uniform(0.005, 0.2);
        while (nextChange <= at) {
            isThere = !isThere;
            nextChange += random.exponential(isThere ? others.meanStayS : others.meanPauseS);
        }
        const double truth = isThere ? others.factor : 1;
        const time_point now(fromSeconds(at));
        if (i > 2000) {
            const double predicted = persistence < 0 ? forecast.factor(now, "s") : 1 + (lastReport - 1) * persistence;
            sum += (predicted - truth) * (predicted - truth);
            ++samples;
        }
        forecast.onReport(now, "s", truth);
        lastReport = truth;
    }
    return sum / samples;
}

/** Slowdowns that last seconds, some hundred milliseconds, or an instant. Any fixed rule for how long a report stays valid is wrong for two of the three. */
TEST(move_decision_test, reportOfSlowdownIsUsedTooLongOrTooShort)
{
    const neighbour rows[] = { { 3, 9, 2.5 }, { 0.6, 3, 2.5 }, { 0.02, 0.1, 2.5 } };
    for (const neighbour &row : rows) {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            const double learned = errorOf(row, seed, -1);
            const double best = std::min({ errorOf(row, seed, 0), errorOf(row, seed, 0.3), errorOf(row, seed, 0.6), errorOf(row, seed, 1) });
            EXPECT_LT(learned, best * 1.1) << "stay " << row.meanStayS << " s, seed " << seed;
        }
    }
}

// Guards against reports that make a server seem endlessly fast or slow, or end the process.
TEST(move_decision_test, oddReportsAreClamped)
{
    pace_forecast forecast;
    const time_point now(1s);
    for (const double odd : { 0.0, -3.0, std::nan(""), HUGE_VAL, -HUGE_VAL }) {
        forecast.onReport(now, "s", odd);
        EXPECT_EQ(forecast.factor(now, "s"), 1) << odd;
    }
    forecast.onReport(now, "s", 1e300);
    EXPECT_DOUBLE_EQ(forecast.factor(now, "s"), pace_forecast::maxFactor);
    EXPECT_LT(forecast.factor(now + 10s, "s"), 1.1) << "an old report";
    forecast.onReport(now, "t", 1e-300);
    EXPECT_DOUBLE_EQ(forecast.factor(now, "t"), pace_forecast::minFactor);
    forecast.forget("s");
    EXPECT_EQ(forecast.factor(now, "s"), 1);
}

} // namespace
} // namespace reedtrail
