#include "fleet/call_budget.h"

#include <gtest/gtest.h>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;

/** Takes tokens until one is refused, and returns how many were granted. */
int countGranted(call_budget &budget, time_point now, store_priority priority)
{
    int granted = 0;
    while (budget.take(now, priority)) {
        ++granted;
    }
    return granted;
}

TEST(call_budget, lowerPriorityLeavesReserveForHigher)
{
    call_budget budget({ .callsPerSecond = 10, .burst = 100, .commitReserve = 0.1, .backgroundReserve = 0.5 });
    const time_point now(1s);
    EXPECT_EQ(countGranted(budget, now, store_priority::Background), 50);
    EXPECT_EQ(countGranted(budget, now, store_priority::Commit), 40);
    EXPECT_EQ(countGranted(budget, now, store_priority::Lease), 10);
    EXPECT_EQ(budget.refused(store_priority::Background), 1U);
    EXPECT_EQ(countGranted(budget, now + 3s, store_priority::Background), 0);
    EXPECT_EQ(countGranted(budget, now + 3s, store_priority::Lease), 30);
    EXPECT_EQ(countGranted(budget, now + 1h, store_priority::Lease), 100);
}

} // namespace
} // namespace reedtrail
