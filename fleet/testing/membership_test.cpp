#include "base/check.h"
#include "fleet/testing/fleet_world.h"

#include <gtest/gtest.h>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;
using testing::fleet_world;
using testing::fleet_world_options;

constexpr duration deathKnownWithin = 5s;
constexpr duration longestHarmlessPause = 1s;

/** Sizes and character of the worlds each rule is tried in. */
struct world_case
{
    const char *name;
    std::size_t nodes;
    std::size_t zones;
    double loss;
};

class membership_in : public ::testing::TestWithParam<world_case>
{
protected:
    void SetUp() override
    {
        m_failedBefore = failedChecks();
        world.run(15s);
        ASSERT_TRUE(world.isAgreed());
    }
    void TearDown() override
    {
        EXPECT_EQ(failedChecks(), m_failedBefore);
    }

    static fleet_world_options optionsOf(const world_case &each)
    {
        fleet_world_options options;
        options.nodes = each.nodes;
        options.zones = each.zones;
        options.regions = each.zones > 3 ? 2 : 1;
        options.loss = each.loss;
        return options;
    }

    fleet_world world{ optionsOf(GetParam()), 11 };

private:
    std::uint64_t m_failedBefore = 0;
};

TEST_P(membership_in, knowsADeathEverywhereInTime)
{
    for (const std::size_t victim : { std::size_t{ 0 }, world.size() / 2, world.size() - 1 }) {
        world.kill(victim);
        world.run(deathKnownWithin);
        EXPECT_EQ(world.believersIn(victim), 0U) << victim;
        world.start(victim);
        world.run(15s);
        EXPECT_TRUE(world.isAgreed()) << victim;
    }
    EXPECT_EQ(world.falseDeaths(), 0U);
}

TEST_P(membership_in, declaresNobodyDeadForShortPauses)
{
    for (std::size_t i = 0; i < world.size(); ++i) {
        world.after(std::chrono::milliseconds(137) * static_cast<std::int64_t>(i), [this, i] {
            world.pause(i, longestHarmlessPause);
        });
    }
    world.run(std::chrono::milliseconds(137) * static_cast<std::int64_t>(world.size()) + 10s);
    EXPECT_EQ(world.falseDeaths(), 0U);
    EXPECT_TRUE(world.isAgreed());
}

TEST_P(membership_in, joinsAgainAfterAPauseLongerThanTheSuspicion)
{
    world.pause(1, 20s);
    world.run(10s);
    EXPECT_EQ(world.believersIn(1), 0U);
    world.run(25s);
    EXPECT_TRUE(world.isAgreed());
}

TEST_P(membership_in, blamesNobodyForItsOwnPause)
{
    const std::uint64_t before = world.suspicionsBy(1);
    world.pause(1, 2s);
    world.run(2500ms);
    EXPECT_EQ(world.suspicionsBy(1), before);
}

TEST_P(membership_in, killsNobodyForAOneWayLink)
{
    for (std::size_t other = 1; other < world.size(); other += 2) {
        world.cut(0, other, true);
    }
    world.run(30s);
    EXPECT_EQ(world.believersIn(0), world.size() - 1);
    EXPECT_EQ(world.falseDeaths(), 0U);
}

TEST_P(membership_in, agreesAfterAllNodesRestartAtOnce)
{
    for (std::size_t i = 0; i < world.size(); ++i) {
        world.kill(i);
    }
    world.run(3s);
    for (std::size_t i = 0; i < world.size(); ++i) {
        world.start(i);
    }
    world.run(15s);
    EXPECT_TRUE(world.isAgreed());
}

TEST_P(membership_in, judgesACutZoneAsAWholeAndFindsItAgain)
{
    world.cutZone(1, true);
    world.run(deathKnownWithin + 3s);
    EXPECT_EQ(world.believersIn(1), world.size() / GetParam().zones - 1);
    world.run(1h);
    EXPECT_EQ(world.falseDeaths(), 0U);
    world.cutZone(1, false);
    world.run(10s);
    EXPECT_TRUE(world.isAgreed());
}

TEST_P(membership_in, keepsAZoneReachableWhileItsDeputyDies)
{
    const std::uint64_t before = world.zoneLosses();
    for (std::size_t zone = 0; zone < GetParam().zones; ++zone) {
        const std::optional<node_id> deputy = world.gossip(0).deputyOf(zone_id("zone-" + std::to_string(zone)));
        ASSERT_TRUE(deputy);
        const std::size_t index = std::stoul(deputy->str().substr(std::string("node-").size()));
        if (index != 0) {
            world.kill(index);
            world.run(10s);
            world.start(index);
            world.run(10s);
        }
    }
    EXPECT_EQ(world.zoneLosses(), before);
}

TEST_P(membership_in, findsBothRegionsAgain)
{
    world.cutRegion(0, true);
    world.run(10min);
    world.cutRegion(0, false);
    world.run(10s);
    EXPECT_TRUE(world.isAgreed());
    EXPECT_EQ(world.falseDeaths(), 0U);
}

TEST_P(membership_in, learnsOfALeavingNodeAtOnce)
{
    world.leave(2);
    world.run(2s);
    EXPECT_EQ(world.believersIn(2), 0U);
}

TEST_P(membership_in, takesAReplacedVmForANewNode)
{
    world.replace(3, "newcomer");
    world.run(10s);
    EXPECT_TRUE(world.isAgreed());
    EXPECT_EQ(world.believersIn(3), world.size() - 1);
}

TEST_P(membership_in, learnsOfADeathInAZoneThatWasCutOff)
{
    world.cutZone(1, true);
    world.run(20s);
    world.kill(1 + GetParam().zones);
    world.run(20s);
    world.cutZone(1, false);
    world.run(15s);
    EXPECT_TRUE(world.isAgreed());
}

INSTANTIATE_TEST_SUITE_P(worlds,
                         membership_in,
                         ::testing::Values(world_case{ "eight", 8, 4, 0 },
                                           world_case{ "eightWithLoss", 8, 4, 0.01 },
                                           world_case{ "fortyWithLoss", 40, 5, 0.01 }),
                         [](const auto &each) {
                             return each.param.name;
                         });

TEST(membership, joinsAgainThoughBothSidesHeldEachOtherForDead)
{
    fleet_world_options options;
    options.nodes = 6;
    options.zones = 1;
    fleet_world world(options, 21);
    world.run(10s);
    const auto cutOff = [&](bool isCut) {
        for (std::size_t other = 0; other + 1 < world.size(); ++other) {
            world.cut(other, 5, isCut);
            world.cut(5, other, isCut);
        }
    };
    cutOff(true);
    world.run(1min);
    EXPECT_EQ(world.believersIn(5), 0U);
    EXPECT_EQ(world.gossip(5).reachable().size(), 1U);
    cutOff(false);
    world.run(10s);
    EXPECT_TRUE(world.isAgreed());
}

TEST(membership, agreesAfterRandomFaults)
{
    const std::uint64_t failedBefore = failedChecks();
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        fleet_world_options options;
        options.nodes = 24;
        options.zones = 4;
        options.regions = 2;
        options.loss = 0.01;
        fleet_world world(options, seed);
        random_source random(seed);
        world.run(10s);
        for (int round = 0; round < 12; ++round) {
            const std::size_t node = random.below(world.size());
            switch (random.below(5)) {
            case 0:
                world.kill(node);
                break;
            case 1:
                world.pause(node, std::chrono::milliseconds(random.below(8000)));
                break;
            case 2:
                world.cutZone(random.below(4), random.chance(0.5));
                break;
            case 3:
                world.cut(node, random.below(world.size()), random.chance(0.7));
                break;
            default:
                world.kill(node);
                world.start(node);
                break;
            }
            world.run(std::chrono::milliseconds(random.below(6000)));
        }
        for (std::size_t i = 0; i < world.size(); ++i) {
            for (std::size_t j = 0; j < world.size(); ++j) {
                world.cut(i, j, false);
            }
            if (!world.isUp(i)) {
                world.start(i);
            }
        }
        world.run(30s);
        EXPECT_TRUE(world.isAgreed()) << "seed " << seed;
    }
    EXPECT_EQ(failedChecks(), failedBefore);
}

} // namespace
} // namespace reedtrail
