#include "fleet/limit_client.h"

#include "fleet/testing/limit_simulation.h"

#include <cstdlib>
#include <gtest/gtest.h>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;
using testing::limit_form;
using testing::limit_simulation;

constexpr std::uint64_t defaultSeeds = 40;
constexpr duration simulatedTime = 90s;

/** Returns the number of seeds to play: REEDTRAIL_SEEDS, or a number that is quick enough for each build. */
std::uint64_t seedCount()
{
    const char *text = std::getenv("REEDTRAIL_SEEDS");
    return text == nullptr ? defaultSeeds : std::strtoull(text, nullptr, 10);
}

/** The sum over all nodes counts: nodes that join, are restarted, frozen, or can't reach one another or the keeper. */
TEST(limit_client_test, allNodesTogetherKeepToLimit)
{
    std::size_t checked = 0;
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        limit_simulation simulation(seed, limit_form::OneKeeper, true);
        simulation.run(simulatedTime);
        for (const auto &each : simulation.brokenLimits()) {
            ADD_FAILURE() << "seed " << seed << ": " << each.server << " got " << each.arrived << " from " << toSeconds(each.from.time_since_epoch())
                          << " s on, allowed " << each.allowed;
            break;
        }
        checked += simulation.checkedArrivals();
    }
    EXPECT_GT(checked, seedCount() * 1000) << "the run must check requests of nodes in touch";
}

/** The simulation finds nodes that keep to the limit each by itself. */
TEST(limit_client_test, nodesThatKeepLimitEachByItselfExceedIt)
{
    std::size_t brokenRuns = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        limit_simulation simulation(seed, limit_form::EachByItself, false);
        simulation.run(simulatedTime);
        brokenRuns += simulation.brokenLimits().empty() ? 0 : 1;
    }
    EXPECT_EQ(brokenRuns, 10U);
}

/** Without faults the places of a server in need are used, urgent requests are not starved by bursts of others, nor the others by them. */
TEST(limit_client_test, placesAreUsedAndNeitherKindStarves)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        limit_simulation simulation(seed, limit_form::OneKeeper, false);
        simulation.run(simulatedTime);
        EXPECT_TRUE(simulation.brokenLimits().empty()) << "seed " << seed;
        EXPECT_GT(simulation.usedShare(), 0.5) << "seed " << seed;
        EXPECT_GT(simulation.sent(true) * 2, simulation.turnedAway(true)) << "seed " << seed;
        EXPECT_GT(simulation.sent(false) * 5, simulation.turnedAway(false)) << "seed " << seed;
        EXPECT_LE(simulation.longestUrgentWait(), 120ms) << "seed " << seed << ": the longest wait, and the way to the keeper and back";
    }
}

} // namespace
} // namespace reedtrail
