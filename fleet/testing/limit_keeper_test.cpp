#include "fleet/limit_keeper.h"

#include <gtest/gtest.h>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;

constexpr time_point start{ 100s };

std::map<std::string, store_peer> nodesNamed(std::initializer_list<std::pair<const char *, const char *>> namesAndZones)
{
    std::map<std::string, store_peer> nodes;
    for (const auto &[name, zone] : namesAndZones) {
        nodes[name].zone = zone;
    }
    return nodes;
}

limit_ask askFor(double rate, std::int64_t startedAt = 1)
{
    limit_ask ask;
    ask.server = "s";
    ask.startedAt = startedAt;
    ask.rate = rate;
    ask.sentAgeUs = 20;
    ask.receivedAgeUs = 10;
    ask.isUrgent = false;
    return ask;
}

/** Returns how many places the keeper grants within ten seconds. */
int grantsInTenSeconds(limit_keeper &keeper, time_point from, const limit_ask &ask, duration listAge = 0s)
{
    int granted = 0;
    for (int i = 0; i < 1000; ++i) {
        granted += keeper.serve(from + i * 10ms, "zone-1", listAge, ask).isGranted ? 1 : 0;
    }
    return granted;
}

TEST(limit_keeper_test, allNodesChooseSameKeepersInServersZone)
{
    const auto nodes = nodesNamed({ { "a", "zone-1" }, { "b", "zone-1" }, { "c", "zone-2" }, { "d", "zone-1" } });
    std::vector<std::string> first;
    for (const char *self : { "a", "b", "c", "d" }) {
        limit_keeper keeper(self);
        keeper.setNodes(start, nodes, false);
        const std::vector<std::string> &keepers = keeper.keepersOf("s", "zone-1");
        ASSERT_EQ(keepers.size(), 2U);
        EXPECT_NE(keepers[0], "c");
        EXPECT_NE(keepers[1], "c");
        EXPECT_TRUE(first.empty() || first == keepers);
        first = keepers;
        EXPECT_EQ(keeper.keepersOf("s", "zone-2").front(), "c");
        EXPECT_EQ(keeper.keepersOf("s", "zone-3").size(), 2U) << "a zone without nodes";
    }
}

TEST(limit_keeper_test, keeperThatMayNotBeTheOnlyOneHandsOutPartOfPlaces)
{
    struct row
    {
        const char *what;
        bool wasRegistered;
        duration uptime;
        duration listAge;
        int least;
        int most;
    };
    const row rows[] = {
        { "settled", false, 20s, 0s, 38, 42 },
        { "started just now", false, 0s, 0s, 10, 20 },
        { "restarted a while ago", true, 2s, 0s, 38, 42 },
        { "list of nodes too old", false, 20s, 11s, 9, 11 },
    };
    for (const row &each : rows) {
        limit_keeper keeper("a");
        keeper.setNodes(start, nodesNamed({ { "a", "zone-1" } }), each.wasRegistered);
        const int granted = grantsInTenSeconds(keeper, start + each.uptime, askFor(4), each.listAge);
        EXPECT_GE(granted, each.least) << each.what;
        EXPECT_LE(granted, each.most) << each.what;
    }
}

TEST(limit_keeper_test, secondKeeperHandsOutAllPlacesOnlyIfFirstIsGone)
{
    const auto nodes = nodesNamed({ { "a", "zone-1" }, { "b", "zone-1" } });
    limit_keeper probe("a");
    probe.setNodes(start, nodes, false);
    const std::string second = probe.keepersOf("s", "zone-1")[1];
    for (const bool isGone : { false, true }) {
        limit_keeper keeper(second);
        keeper.setNodes(start, nodes, false);
        limit_ask ask = askFor(4);
        ask.isPrimaryGone = isGone;
        const int granted = grantsInTenSeconds(keeper, start + 20s, ask);
        EXPECT_GE(granted, isGone ? 38 : 9);
        EXPECT_LE(granted, isGone ? 42 : 12);
    }
}

TEST(limit_keeper_test, newestLimitAndInstanceHold)
{
    limit_keeper keeper("a");
    keeper.setNodes(start, nodesNamed({ { "a", "zone-1" } }), true);
    limit_ask ask = askFor(4);
    EXPECT_EQ(keeper.serve(start, "zone-1", 0s, ask).rate, 4);
    ask.rate = 2;
    EXPECT_EQ(keeper.serve(start + 1s, "zone-1", 0s, ask).rate, 2);
    ask.rate = 8;
    ask.sentAgeUs = 5000000;
    ask.receivedAgeUs = 4000000;
    EXPECT_EQ(keeper.serve(start + 2s, "zone-1", 0s, ask).rate, 2) << "stated before";
    EXPECT_EQ(keeper.serve(start + 3s, "zone-1", 0s, askFor(8, 2)).rate, 8) << "a later instance";
    EXPECT_EQ(keeper.serve(start + 4s, "zone-1", 0s, askFor(1, 1)).rate, 8) << "an instance that is gone";
    EXPECT_TRUE(keeper.serve(start + 4s, "zone-1", 0s, askFor(0, 2)).isGranted) << "a question without a limit needs no place";
}

} // namespace
} // namespace reedtrail
