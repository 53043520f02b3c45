#include "fleet/outage_tracker.h"
#include "fleet/route_table.h"
#include "fleet/server_directory.h"
#include "fleet/store_router.h"

#include <gtest/gtest.h>
#include <set>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;

server_entry entryOf(const std::string &id, bool isDraining = false)
{
    server_entry entry;
    entry.id = id;
    entry.service = "shop";
    entry.isDraining = isDraining;
    return entry;
}

TEST(server_directory_test, drainingAndRemovedServersTakeNothingNew)
{
    server_directory directory;
    directory.put(entryOf("a"));
    directory.put(entryOf("b"));
    EXPECT_EQ(directory.usable("shop").size(), 2U);
    directory.put(entryOf("a", true));
    directory.remove(time_point(1s), "b", false);
    EXPECT_TRUE(directory.usable("shop").empty());
}

TEST(server_directory_test, registrationsThatLapsedWithTheStoreHaveTwoSeconds)
{
    server_directory directory;
    directory.put(entryOf("a"));
    directory.put(entryOf("b"));
    directory.put(entryOf("c", true));
    const time_point back{ 10s };
    directory.replaceAll(back, {}, true);
    EXPECT_EQ(directory.usable("shop").size(), 2U);
    EXPECT_EQ(directory.find("c"), nullptr) << "it had said that it leaves";
    directory.put(entryOf("a"));
    EXPECT_FALSE(directory.expire(back + 1900ms));
    EXPECT_TRUE(directory.expire(back + 2s));
    ASSERT_EQ(directory.usable("shop").size(), 1U);
    EXPECT_EQ(directory.usable("shop").front()->id, "a");
}

TEST(server_directory_test, aSecondDisturbanceDoesNotProlongTheTime)
{
    server_directory directory;
    directory.put(entryOf("a"));
    directory.replaceAll(time_point(10s), {}, true);
    directory.replaceAll(time_point(11s), {}, true);
    EXPECT_TRUE(directory.expire(time_point(12s)));
    EXPECT_EQ(directory.size(), 0U);
}

TEST(outage_tracker_test, aCutWatchIsNoOutage)
{
    outage_tracker outages;
    const time_point start{ 10s };
    EXPECT_FALSE(outages.mayHaveLapsed(start));
    outages.recordDisconnect(start);
    outages.recordReconnect(start + 300ms);
    EXPECT_FALSE(outages.mayHaveLapsed(start + 400ms)) << "a server that is missing now has left";
    outages.recordDisconnect(start + 1s);
    EXPECT_FALSE(outages.mayHaveLapsed(start + 1900ms));
    EXPECT_TRUE(outages.mayHaveLapsed(start + 2s));
    outages.recordReconnect(start + 5s);
    EXPECT_TRUE(outages.mayHaveLapsed(start + 7900ms));
    EXPECT_FALSE(outages.mayHaveLapsed(start + 8s));
}

TEST(route_table_test, longestPrefixOfTheHostWins)
{
    route_document document;
    document.version = 1;
    document.routes = { { .name = "short", .host = "Shop.example", .prefix = "/a/" },
                        { .name = "long", .host = "shop.example", .prefix = "/a/b/" },
                        { .name = "other", .host = "other.example", .prefix = "/" } };
    const route_table table(document);
    struct row
    {
        const char *host;
        const char *path;
        const char *expected;
    };
    const row rows[] = { { "shop.example", "/a/x", "short" },  { "SHOP.example:8080", "/a/b/x", "long" }, { "shop.example", "/a", "" },
                         { "shop.example", "/a/bx", "short" }, { "other.example", "/anything", "other" }, { "unknown.example", "/a/", "" } };
    for (const row &each : rows) {
        const route *found = table.match(each.host, each.path);
        EXPECT_EQ(found == nullptr ? "" : found->name, each.expected) << each.host << each.path;
    }
}

TEST(route_table_test, servicesAreDrawnByWeight)
{
    route where;
    where.services = { { "a", 90 }, { "b", 10 }, { "c", 0 } };
    random_source random(5);
    std::map<std::string, int> counts;
    for (int i = 0; i < 10000; ++i) {
        ++counts[chooseService(where, random)];
    }
    EXPECT_NEAR(counts["a"], 9000, 200);
    EXPECT_NEAR(counts["b"], 1000, 200);
    EXPECT_EQ(counts["c"], 0);
}

TEST(store_router_test, twoFailuresLeadToAPeerAndBackAgain)
{
    store_router path("n0", "a", 3);
    time_point now{ 10s };
    path.setPeers({ { "n1", { { "127.0.0.1", 1 }, "b" } }, { "n2", { { "127.0.0.1", 2 }, "c" } } });
    path.recordDirectResult(now, false);
    EXPECT_FALSE(path.choose(now)) << "one failure may be a lost answer";
    path.recordDirectResult(now, false);
    const auto first = path.choose(now);
    ASSERT_TRUE(first);
    EXPECT_EQ(path.choose(now)->first, first->first) << "a peer that works is kept";
    path.recordDetourResult(now, first->first, false, true);
    const auto second = path.choose(now);
    ASSERT_TRUE(second);
    EXPECT_NE(second->first, first->first);
    now += 2s;
    EXPECT_FALSE(path.choose(now)) << "the direct way is tried again";
    path.recordDirectResult(now, true);
    path.recordDirectResult(now, false);
    EXPECT_FALSE(path.choose(now));
}

TEST(store_router_test, aStoreThatServesNobodyIsAskedDirectly)
{
    store_router path("n0", "a", 3);
    const time_point now{ 10s };
    path.setPeers({ { "n1", { { "127.0.0.1", 1 }, "b" } } });
    path.recordDirectResult(now, false);
    path.recordDirectResult(now, false);
    ASSERT_TRUE(path.choose(now));
    path.recordDetourResult(now, "n1", false, true);
    EXPECT_FALSE(path.choose(now));
    EXPECT_FALSE(path.fallback(now));
    EXPECT_FALSE(path.isIsolated(now + 5s)) << "the peer answered, so it is the store that is away";
}

/** Load pattern: a zone is cut off while callers still reach its nodes. */
TEST(store_router_test, aNodeOfACutZoneKnowsThatItIsIsolated)
{
    store_router path("n0", "a", 3);
    const time_point lost{ 10s };
    path.setPeers({ { "n1", { { "127.0.0.1", 1 }, "a" } },
                    { "n2", { { "127.0.0.1", 2 }, "b" } },
                    { "n3", { { "127.0.0.1", 3 }, "b" } },
                    { "n4", { { "127.0.0.1", 4 }, "c" } } });
    path.recordDirectResult(lost, false);
    path.recordDetourResult(lost + 300ms, "n1", false, true);
    path.recordDetourResult(lost + 600ms, "n2", false, false);
    EXPECT_FALSE(path.isIsolated(lost + 2s)) << "one peer may be down by itself";
    path.recordDetourResult(lost + 900ms, "n3", false, false);
    EXPECT_TRUE(path.isIsolated(lost + 900ms));
    path.recordDirectResult(lost + 6s, true);
    EXPECT_FALSE(path.isIsolated(lost + 6s));
    path.recordDirectResult(lost + 7s, false);
    EXPECT_FALSE(path.isIsolated(lost + 9s)) << "what was out of reach before the store served again does not count";
    path.recordDirectResult(lost + 10s, true);
    path.recordDirectResult(lost + 11s, false);
    path.recordDetourResult(lost + 11s, "n2", false, false);
    path.recordDetourResult(lost + 11s, "n3", false, false);
    EXPECT_FALSE(path.isIsolated(lost + 11s + 199ms)) << "answers of other peers may be on their way";
    EXPECT_TRUE(path.isIsolated(lost + 11s + 200ms));
}

/** An idle node of a zone that is cut off: it has no calls under way that would fail soon. */
TEST(store_router_test, signsOfLifeTellAnIdleNodeThatItIsCutOff)
{
    store_router path("n0", "a", 3);
    path.setPeers({ { "n1", { { "127.0.0.1", 1 }, "a" } },
                    { "n2", { { "127.0.0.1", 2 }, "b" } },
                    { "n3", { { "127.0.0.1", 3 }, "b" } },
                    { "n4", { { "127.0.0.1", 4 }, "c" } } });
    const time_point start{ 10s };
    const auto asked = path.pingTargets();
    ASSERT_EQ(asked.size(), 1U) << "one is enough while it answers";
    EXPECT_NE(asked.front().first, "n1") << "a peer of this node's own zone would be cut off too";
    EXPECT_FALSE(path.recordPing(start, asked.front().first, true));
    EXPECT_EQ(path.pingTargets(), asked) << "the same one, whose connection is open";
    const time_point cut = start + 500ms;
    EXPECT_TRUE(path.recordPing(cut, asked.front().first, false)) << "the store is asked too";
    std::set<std::string> zones;
    for (const auto &[name, where] : path.pingTargets()) {
        zones.insert(name == "n4" ? "c" : "b");
        path.recordPing(cut + 300ms, name, false);
    }
    EXPECT_EQ(zones.size(), 2U);
    EXPECT_FALSE(path.isIsolated(cut + 400ms)) << "the store has not failed";
    path.recordDirectResult(cut + 700ms, false);
    EXPECT_TRUE(path.isIsolated(cut + 1s));
    EXPECT_FALSE(path.recordPing(cut + 5s, "n4", true));
    EXPECT_FALSE(path.isIsolated(cut + 5s));
}

TEST(store_router_test, aPeerThatIsDownIsNoCut)
{
    store_router path("n0", "a", 3);
    path.setPeers({ { "n2", { { "127.0.0.1", 2 }, "b" } }, { "n3", { { "127.0.0.1", 3 }, "b" } } });
    const time_point start{ 10s };
    path.recordPing(start, "n2", false);
    path.recordDirectResult(start, false);
    path.recordPing(start + 100ms, "n3", true);
    EXPECT_FALSE(path.isIsolated(start + 900ms)) << "the store serves nobody, but the others are there";
    path.recordPing(start + 1s, "n3", false);
    EXPECT_TRUE(path.isIsolated(start + 1200ms)) << "nobody was heard for a second";
}

TEST(store_router_test, aZoneAgreesOnItsReaderAndPassesOverOneThatFails)
{
    const std::map<std::string, store_peer> all{ { "n0", { { "127.0.0.1", 10 }, "a" } },
                                                 { "n1", { { "127.0.0.1", 11 }, "a" } },
                                                 { "n2", { { "127.0.0.1", 12 }, "a" } },
                                                 { "n3", { { "127.0.0.1", 13 }, "b" } } };
    std::map<std::string, int> chosen;
    for (const char *self : { "n0", "n1", "n2" }) {
        store_router path(self, "a", 3);
        std::map<std::string, store_peer> others = all;
        others.erase(self);
        path.setPeers(others);
        const auto reader = path.zoneReader(time_point(1s));
        ++chosen[reader ? reader->first : self];
        if (reader) {
            path.recordReaderFailure(time_point(1s), reader->first);
            const auto next = path.zoneReader(time_point(1s));
            EXPECT_TRUE(!next || next->first != reader->first);
            EXPECT_EQ(path.zoneReader(time_point(9s))->first, reader->first);
        }
    }
    ASSERT_EQ(chosen.size(), 1U);
    EXPECT_FALSE(chosen.contains("n3"));
}

TEST(store_router_test, deploymentsOfOneZoneAreNeverIsolated)
{
    store_router path("n0", "a", 3);
    path.setPeers({ { "n1", { { "127.0.0.1", 1 }, "a" } } });
    path.recordDirectResult(time_point(1s), false);
    path.recordDetourResult(time_point(1s), "n1", false, false);
    EXPECT_FALSE(path.isIsolated(time_point(9s)));
}

} // namespace
} // namespace reedtrail
