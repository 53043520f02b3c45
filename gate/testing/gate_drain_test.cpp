#include "gate/gate_drain.h"

#include "base/random.h"

#include <gtest/gtest.h>

namespace reedtrail {
namespace {

TEST(GateDrain, PassesThroughAllPhasesInOrder)
{
    gate_drain drain({ std::chrono::milliseconds(500), std::chrono::milliseconds(250) });
    const auto at = [](int milliseconds) {
        return time_point(std::chrono::milliseconds(milliseconds));
    };
    EXPECT_EQ(drain.advance(at(0), 0), drain_phase::Serving);
    drain.begin(at(1000));
    EXPECT_FALSE(drain.acceptsNewRequests());
    EXPECT_EQ(drain.advance(at(1499), 0), drain_phase::Announcing) << "the announcement takes its full time even if no work is open";
    EXPECT_EQ(drain.advance(at(1500), 1), drain_phase::Finishing);
    EXPECT_EQ(drain.advance(at(9000), 1), drain_phase::Finishing) << "finishing open work has no time limit";
    EXPECT_EQ(drain.advance(at(9010), 0), drain_phase::Lingering);
    EXPECT_EQ(drain.advance(at(9020), 1), drain_phase::Finishing) << "a request arrived over an open connection";
    EXPECT_EQ(drain.advance(at(9030), 0), drain_phase::Lingering);
    EXPECT_EQ(drain.advance(at(9279), 0), drain_phase::Lingering);
    EXPECT_EQ(drain.advance(at(9280), 0), drain_phase::Done);
}

/** Guards against a shutdown that cuts off requests or never ends: at random times with random work, Done is reached only when no work is open. */
TEST(GateDrain, IsDoneOnlyWithoutOpenWork)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        random_source random(seed);
        gate_drain drain({});
        time_point now;
        drain.begin(now);
        for (int step = 0; step < 300; ++step) {
            now += duration(static_cast<std::int64_t>(random.below(100000)));
            const std::size_t work = random.chance(0.7) ? random.below(3) : 0;
            const bool isDone = drain.phase() == drain_phase::Done;
            const drain_phase phase = drain.advance(now, work);
            ASSERT_TRUE(isDone || phase != drain_phase::Done || work == 0) << "seed " << seed << " step " << step;
        }
        for (int step = 0; step < 10; ++step) {
            now += std::chrono::seconds(1);
            drain.advance(now, 0);
        }
        ASSERT_EQ(drain.phase(), drain_phase::Done) << "seed " << seed;
    }
}

} // namespace
} // namespace reedtrail
