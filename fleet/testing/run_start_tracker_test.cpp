#include "fleet/run_start_tracker.h"

#include <gtest/gtest.h>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;

const time_point start(100s);

// Guards against requests that are counted twice, not at all, or in the window of another attempt.
TEST(run_start_tracker_test, answeredRequestCountsOnce)
{
    run_start_tracker tracker;
    tracker.onAttempt();
    tracker.onHandedOver(start);
    EXPECT_EQ(tracker.onAnswered(), start);
    EXPECT_EQ(tracker.onAnswered(), std::nullopt);
    EXPECT_EQ(tracker.onEnd(), std::nullopt);
}

TEST(run_start_tracker_test, answeredAttemptCountsBeforeUnansweredOne)
{
    run_start_tracker tracker;
    tracker.onAttempt();
    tracker.onHandedOver(start);
    tracker.onUnanswered();
    tracker.onAttempt();
    tracker.onHandedOver(start + 1s);
    EXPECT_EQ(tracker.onAnswered(), start + 1s);
    EXPECT_EQ(tracker.onEnd(), std::nullopt);
}

TEST(run_start_tracker_test, requestThatMayHaveRunCountsAtItsEnd)
{
    run_start_tracker tracker;
    tracker.onAttempt();
    tracker.onHandedOver(start);
    tracker.onUnanswered();
    tracker.onAttempt();
    tracker.onHandedOver(start + 1s);
    tracker.onUnanswered();
    EXPECT_EQ(tracker.onEnd(), start);
}

TEST(run_start_tracker_test, requestThatReachedNoServerCounts)
{
    run_start_tracker tracker;
    EXPECT_EQ(tracker.onEnd(), std::nullopt) << "refused before any attempt";
    tracker.onAttempt();
    tracker.onUnanswered();
    EXPECT_EQ(tracker.onEnd(), std::nullopt) << "no connection";
    tracker.onAttempt();
    tracker.onHandedOver(start);
    tracker.onAttempt(); // The server has rejected it.
    EXPECT_EQ(tracker.onEnd(), std::nullopt);
}

} // namespace
} // namespace reedtrail
