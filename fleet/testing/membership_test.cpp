#include "base/check.h"
#include "fleet/testing/fleet_simulation.h"

#include <gtest/gtest.h>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;
using testing::fleet_simulation;
using testing::fleet_simulation_options;

constexpr duration deathDetectionTimeout = 5s;
constexpr duration harmlessPause = 1s;

/** A simulated fleet in which each of the parameterized tests runs. */
struct fleet_case
{
    const char *name;
    std::size_t nodes;
    std::size_t zones;
    double loss; ///< Probability that a message is lost, from 0 to 1.
};

class membership_under_faults : public ::testing::TestWithParam<fleet_case>
{
protected:
    void SetUp() override
    {
        m_failedChecksBefore = failedChecks();
        fleet.run(15s);
        ASSERT_TRUE(fleet.hasConverged());
    }
    void TearDown() override
    {
        EXPECT_EQ(failedChecks(), m_failedChecksBefore);
    }

    static fleet_simulation_options optionsOf(const fleet_case &parameters)
    {
        fleet_simulation_options options;
        options.nodes = parameters.nodes;
        options.zones = parameters.zones;
        options.regions = parameters.zones > 3 ? 2 : 1;
        options.loss = parameters.loss;
        return options;
    }

    fleet_simulation fleet{ optionsOf(GetParam()), 11 };

private:
    std::uint64_t m_failedChecksBefore = 0;
};

TEST_P(membership_under_faults, allNodesDetectDeathInTime)
{
    for (const std::size_t victim : { std::size_t{ 0 }, fleet.size() / 2, fleet.size() - 1 }) {
        fleet.kill(victim);
        fleet.run(deathDetectionTimeout);
        EXPECT_EQ(fleet.viewsContaining(victim), 0U) << victim;
        fleet.start(victim);
        fleet.run(15s);
        EXPECT_TRUE(fleet.hasConverged()) << victim;
    }
    EXPECT_EQ(fleet.falseDeaths(), 0U);
}

/** A pause shorter than suspectAfter + suspicionTimeout must not lead to a death, even if one node after the other pauses. */
TEST_P(membership_under_faults, shortPausesCauseNoFalseDeaths)
{
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        fleet.after(std::chrono::milliseconds(137) * static_cast<std::int64_t>(i), [this, i] {
            fleet.pause(i, harmlessPause);
        });
    }
    fleet.run(std::chrono::milliseconds(137) * static_cast<std::int64_t>(fleet.size()) + 10s);
    EXPECT_EQ(fleet.falseDeaths(), 0U);
    EXPECT_TRUE(fleet.hasConverged());
}

TEST_P(membership_under_faults, longPausedNodeRejoins)
{
    fleet.pause(1, 20s);
    fleet.run(10s);
    EXPECT_EQ(fleet.viewsContaining(1), 0U);
    fleet.run(25s);
    EXPECT_TRUE(fleet.hasConverged());
}

/** A paused node hears nothing from its neighbours. It must not take its own pause for their silence. */
TEST_P(membership_under_faults, pausedNodeSuspectsNobodyAfterwards)
{
    const std::uint64_t before = fleet.suspicionsBy(1);
    fleet.pause(1, 2s);
    fleet.run(2500ms);
    EXPECT_EQ(fleet.suspicionsBy(1), before);
}

/** Half of the nodes no longer receive messages from node 0. They may suspect it, but it receives the suspicion and refutes it. */
TEST_P(membership_under_faults, oneWayPartitionCausesNoFalseDeaths)
{
    for (std::size_t other = 1; other < fleet.size(); other += 2) {
        fleet.cut(0, other, true);
    }
    fleet.run(30s);
    EXPECT_EQ(fleet.viewsContaining(0), fleet.size() - 1);
    EXPECT_EQ(fleet.falseDeaths(), 0U);
}

TEST_P(membership_under_faults, viewsConvergeAfterFullRestart)
{
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        fleet.kill(i);
    }
    fleet.run(3s);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        fleet.start(i);
    }
    fleet.run(15s);
    EXPECT_TRUE(fleet.hasConverged());
}

/** A partition between zones makes the other zone unreachable as a whole, without a death however long it lasts. */
TEST_P(membership_under_faults, partitionedZoneBecomesUnreachableAndReturns)
{
    fleet.cutZone(1, true);
    fleet.run(deathDetectionTimeout + 3s);
    EXPECT_EQ(fleet.viewsContaining(1), fleet.size() / GetParam().zones - 1);
    fleet.run(1h);
    EXPECT_EQ(fleet.falseDeaths(), 0U);
    fleet.cutZone(1, false);
    fleet.run(10s);
    EXPECT_TRUE(fleet.hasConverged());
}

/** The deputy increments the counter of its zone. When it dies, the next in rank must take over before zoneTimeout. */
TEST_P(membership_under_faults, zoneStaysReachableWhenItsDeputyDies)
{
    const std::uint64_t before = fleet.zonesLost();
    for (std::size_t zone = 0; zone < GetParam().zones; ++zone) {
        const std::optional<node_id> deputy = fleet.gossip(0).deputyOf(zone_id("zone-" + std::to_string(zone)));
        ASSERT_TRUE(deputy);
        const std::size_t index = std::stoul(deputy->str().substr(std::string("node-").size()));
        if (index != 0) {
            fleet.kill(index);
            fleet.run(10s);
            fleet.start(index);
            fleet.run(10s);
        }
    }
    EXPECT_EQ(fleet.zonesLost(), before);
}

TEST_P(membership_under_faults, regionsMergeAfterPartition)
{
    fleet.cutRegion(0, true);
    fleet.run(10min);
    fleet.cutRegion(0, false);
    fleet.run(10s);
    EXPECT_TRUE(fleet.hasConverged());
    EXPECT_EQ(fleet.falseDeaths(), 0U);
}

TEST_P(membership_under_faults, leavingNodeIsRemovedPromptly)
{
    fleet.leave(2);
    fleet.run(2s);
    EXPECT_EQ(fleet.viewsContaining(2), 0U);
}

TEST_P(membership_under_faults, replacementAtSameAddressIsNewNode)
{
    fleet.replace(3, "newcomer");
    fleet.run(10s);
    EXPECT_TRUE(fleet.hasConverged());
    EXPECT_EQ(fleet.viewsContaining(3), fleet.size() - 1);
}

/** A member dies while its zone is partitioned. Once the partition heals, its death must reach the other zones. */
TEST_P(membership_under_faults, deathDuringZonePartitionIsDetected)
{
    fleet.cutZone(1, true);
    fleet.run(20s);
    fleet.kill(1 + GetParam().zones);
    fleet.run(20s);
    fleet.cutZone(1, false);
    fleet.run(15s);
    EXPECT_TRUE(fleet.hasConverged());
}

INSTANTIATE_TEST_SUITE_P(fleets,
                         membership_under_faults,
                         ::testing::Values(fleet_case{ "eight", 8, 4, 0 },
                                           fleet_case{ "eightWithLoss", 8, 4, 0.01 },
                                           fleet_case{ "fortyWithLoss", 40, 5, 0.01 }),
                         [](const auto &parameters) {
                             return parameters.param.name;
                         });

/** After a long partition each side has declared the other dead and sends it no heartbeats. The probes must reconnect them. */
TEST(membership, mutuallyDeadNodesRejoinAfterPartition)
{
    fleet_simulation_options options;
    options.nodes = 6;
    options.zones = 1;
    fleet_simulation fleet(options, 21);
    fleet.run(10s);
    const auto setPartitioned = [&](bool isCut) {
        for (std::size_t other = 0; other + 1 < fleet.size(); ++other) {
            fleet.cut(other, 5, isCut);
            fleet.cut(5, other, isCut);
        }
    };
    setPartitioned(true);
    fleet.run(1min);
    EXPECT_EQ(fleet.viewsContaining(5), 0U);
    EXPECT_EQ(fleet.gossip(5).reachable().size(), 1U);
    setPartitioned(false);
    fleet.run(10s);
    EXPECT_TRUE(fleet.hasConverged());
}

TEST(membership, viewsConvergeAfterRandomFaults)
{
    const std::uint64_t failedChecksBefore = failedChecks();
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        fleet_simulation_options options;
        options.nodes = 24;
        options.zones = 4;
        options.regions = 2;
        options.loss = 0.01;
        fleet_simulation fleet(options, seed);
        random_source random(seed);
        fleet.run(10s);
        for (int round = 0; round < 12; ++round) {
            const std::size_t node = random.below(fleet.size());
            switch (random.below(5)) {
            case 0:
                fleet.kill(node);
                break;
            case 1:
                fleet.pause(node, std::chrono::milliseconds(random.below(8000)));
                break;
            case 2:
                fleet.cutZone(random.below(4), random.chance(0.5));
                break;
            case 3:
                fleet.cut(node, random.below(fleet.size()), random.chance(0.7));
                break;
            default:
                fleet.kill(node);
                fleet.start(node);
                break;
            }
            fleet.run(std::chrono::milliseconds(random.below(6000)));
        }
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            for (std::size_t j = 0; j < fleet.size(); ++j) {
                fleet.cut(i, j, false);
            }
            if (!fleet.isUp(i)) {
                fleet.start(i);
            }
        }
        fleet.run(30s);
        EXPECT_TRUE(fleet.hasConverged()) << "seed " << seed;
    }
    EXPECT_EQ(failedChecks(), failedChecksBefore);
}

} // namespace
} // namespace reedtrail
