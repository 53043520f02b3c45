#include "base/time.h"

#include <gtest/gtest.h>
#include <limits>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;

/** A caller names a deadline that no span can hold. */
TEST(time_test, hugeNumberOfSecondsOverflows)
{
    constexpr double infinite = std::numeric_limits<double>::infinity();
    EXPECT_EQ(fromSeconds(1.5), 1500ms);
    EXPECT_EQ(fromSeconds(-0.000002), -2us);
    for (const double huge : { 1e10, 1e300, infinite }) {
        EXPECT_EQ(fromSeconds(huge), maxSpan);
        EXPECT_EQ(fromSeconds(-huge), -maxSpan);
    }
    EXPECT_EQ(fromSeconds(std::numeric_limits<double>::quiet_NaN()), 0us);
    EXPECT_GT(time_point(maxSpan) + maxSpan, time_point(maxSpan));
}

} // namespace
} // namespace reedtrail
