#include "fleet/duty_candidacy.h"

#include "base/random.h"
#include "fleet/store_router.h"

#include <gtest/gtest.h>
#include <set>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;

using node_map = std::map<std::string, store_peer>;

/** Returns @p count nodes in each of three zones, with shares of a core as in a fleet of unequal machines. */
node_map nodesOfThreeZones(std::size_t count)
{
    node_map nodes;
    for (const char *zone : { "a", "b", "c" }) {
        for (std::size_t i = 0; i < count; ++i) {
            nodes[std::string(zone) + std::to_string(i)] = { { "10.0.0.1", 1 }, zone, i % 3 == 0 ? 0.5 : 0.12 };
        }
    }
    return nodes;
}

std::set<std::string> candidatesAmong(const node_map &nodes)
{
    std::set<std::string> candidates;
    for (const auto &[name, node] : nodes) {
        duty_candidacy candidacy;
        if (candidacy.setNodes(nodes, name)) {
            candidates.insert(name);
        }
    }
    return candidates;
}

TEST(duty_candidacy_test, candidatesDoNotGrowWithFleet)
{
    EXPECT_EQ(candidatesAmong(nodesOfThreeZones(2)).size(), 6U) << "in a small deployment all nodes compete";
    EXPECT_EQ(candidatesAmong(nodesOfThreeZones(20)).size(), 9U);
    EXPECT_EQ(candidatesAmong(nodesOfThreeZones(130)).size(), 9U);
}

/** Nodes start together and know different parts of the list. The candidates of the full list compete in each part that contains them. */
TEST(duty_candidacy_test, candidatesOfFullListCompeteWithAnyPart)
{
    const node_map all = nodesOfThreeZones(20);
    const std::set<std::string> candidates = candidatesAmong(all);
    random_source random(5);
    for (int round = 0; round < 100; ++round) {
        for (const std::string &name : candidates) {
            node_map part;
            for (const auto &[other, node] : all) {
                if (other == name || random.chance(0.3)) {
                    part[other] = node;
                }
            }
            duty_candidacy candidacy;
            EXPECT_TRUE(candidacy.setNodes(part, name)) << name;
            EXPECT_FALSE(candidacy.setNodes(all, name)) << "it competes already";
        }
    }
}

/** All candidates are lost. The others see the duty without a holder for longer than a takeover takes, and compete. */
TEST(duty_candidacy_test, othersCompeteOnceDutyStaysFree)
{
    const duty_candidacy_options options;
    duty_candidacy candidacy;
    const node_map nodes = nodesOfThreeZones(20);
    const std::set<std::string> candidates = candidatesAmong(nodes);
    const auto other = std::ranges::find_if(nodes, [&](const auto &node) {
        return !candidates.contains(node.first);
    });
    EXPECT_FALSE(candidacy.setNodes(nodes, other->first));
    time_point now{ 10s };
    EXPECT_FALSE(candidacy.recordObservation(now, true));
    EXPECT_FALSE(candidacy.recordObservation(now += options.checkInterval, false));
    EXPECT_FALSE(candidacy.recordObservation(now += options.checkInterval, true)) << "a takeover among the candidates";
    EXPECT_FALSE(candidacy.recordObservation(now += options.checkInterval, false));
    EXPECT_FALSE(candidacy.recordObservation(now + options.patience - 1ms, false));
    EXPECT_TRUE(candidacy.recordObservation(now + options.patience, false));
    EXPECT_TRUE(candidacy.isCompeting());
    EXPECT_FALSE(candidacy.recordObservation(now + 20s, false)) << "it competes already";
}

} // namespace
} // namespace reedtrail
