#include "batch/text_statistics.h"

#include <gtest/gtest.h>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;

// Guards against estimates that rest on nothing, or on the last text alone.
TEST(text_statistics_test, estimatesFollowCompleteTexts)
{
    text_statistics statistics;
    EXPECT_EQ(statistics.expectedEvents(500), 0) << "no text is complete";
    EXPECT_EQ(statistics.textTime(), 1s);
    statistics.onTextComplete(2s, 10, 500);
    statistics.onTextComplete(2s, 30, 500);
    EXPECT_DOUBLE_EQ(statistics.expectedEvents(100), 4) << "40 events for 1,000 tokens";
    EXPECT_GT(statistics.textTime(), 1100ms);
    EXPECT_LT(statistics.textTime(), 1300ms);
    for (int i = 0; i < 100; ++i) {
        statistics.onTextComplete(2s, 0, 0); // A caller that gives no estimate.
        statistics.onContinued(50ms);
    }
    EXPECT_NEAR(toSeconds(statistics.textTime()), 2, 0.01);
    EXPECT_NEAR(toSeconds(statistics.continuationTime()), 0.05, 0.001);
    EXPECT_DOUBLE_EQ(statistics.expectedEvents(100), 4);
}

} // namespace
} // namespace reedtrail
