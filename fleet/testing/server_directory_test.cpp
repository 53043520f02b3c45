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

TEST(server_directory_test, drainingAndRemovedServersAreNotUsable)
{
    server_directory directory;
    directory.put(entryOf("a"));
    directory.put(entryOf("b"));
    EXPECT_EQ(directory.usable("shop").size(), 2U);
    directory.put(entryOf("a", true));
    directory.remove(time_point(1s), "b", std::nullopt);
    EXPECT_TRUE(directory.usable("shop").empty());
}

TEST(server_directory_test, lapsedRegistrationsAreKeptForTwoSeconds)
{
    server_directory directory;
    directory.put(entryOf("a"));
    directory.put(entryOf("b"));
    directory.put(entryOf("c", true));
    const time_point back{ 10s };
    for (const char *id : { "a", "b", "c" }) {
        directory.remove(back, id, back + 2s);
    }
    EXPECT_EQ(directory.usable("shop").size(), 2U);
    EXPECT_EQ(directory.find("c"), nullptr) << "a draining server has no grace period";
    directory.put(entryOf("a"));
    EXPECT_FALSE(directory.expire(back + 1900ms));
    EXPECT_TRUE(directory.expire(back + 2s));
    ASSERT_EQ(directory.usable("shop").size(), 1U);
    EXPECT_EQ(directory.usable("shop").front()->id, "a");
}

TEST(server_directory_test, secondOutageDoesNotExtendGracePeriod)
{
    server_directory directory;
    directory.put(entryOf("a"));
    directory.remove(time_point(10s), "a", time_point(12s));
    directory.remove(time_point(11s), "a", time_point(13s));
    EXPECT_TRUE(directory.expire(time_point(12s)));
    EXPECT_EQ(directory.size(), 0U);
}

/** The time until which registrations are back counts from the store's return, not from the moment at which this node reads that one is missing. */
TEST(server_directory_test, registrationReadAsMissingLateIsKeptNoLonger)
{
    server_directory directory;
    directory.put(entryOf("a"));
    directory.put(entryOf("b"));
    directory.remove(time_point(11900ms), "a", time_point(12s));
    directory.remove(time_point(12s), "b", time_point(12s));
    EXPECT_EQ(directory.usable("shop").size(), 1U);
    EXPECT_TRUE(directory.expire(time_point(12s)));
    EXPECT_TRUE(directory.usable("shop").empty());
}

TEST(server_directory_test, registrationMissingAfterLapsesAreBackIsGone)
{
    server_directory directory;
    directory.put(entryOf("a"));
    directory.put(entryOf("b"));
    directory.remove(time_point(10s), "a", time_point(12s));
    EXPECT_TRUE(directory.dropLapsed(time_point(11s)));
    EXPECT_FALSE(directory.dropLapsed(time_point(11s)));
    ASSERT_EQ(directory.usable("shop").size(), 1U);
    EXPECT_EQ(directory.usable("shop").front()->id, "b");
}

server_entry instanceOf(const std::string &id, std::int64_t startedAt)
{
    server_entry entry = entryOf(id);
    entry.startedAt = startedAt;
    return entry;
}

TEST(server_directory_test, serverThatSaysItLeavesIsNotUsable)
{
    server_directory directory;
    directory.put(instanceOf("a", 100));
    directory.put(instanceOf("b", 100));
    const std::uint64_t changes = directory.changes();
    EXPECT_TRUE(directory.recordLeaving(time_point(5s), "a"));
    EXPECT_FALSE(directory.recordLeaving(time_point(6s), "a")) << "it has said so before";
    EXPECT_GT(directory.changes(), changes);
    ASSERT_EQ(directory.allUsable().size(), 1U);
    EXPECT_EQ(directory.allUsable().front()->id, "b");
    EXPECT_EQ(directory.leavingSince("a"), time_point(5s));
    EXPECT_NE(directory.find("a"), nullptr);
}

/** The word of the server is about this instance, so only a registration that shows a later start ends it. */
TEST(server_directory_test, onlyLaterInstanceIsUsableAfterServerSaidItLeaves)
{
    struct row
    {
        const char *what;
        std::int64_t startedAt; ///< In the registration read after the word.
        bool isUsable;
    };
    const row rows[] = { { "a registration read late that says the server is ready", 100, false },
                         { "a registration of an earlier instance", 90, false },
                         { "a registration without a start time", 0, false },
                         { "a restart under the same id", 101, true } };
    for (const row &each : rows) {
        server_directory directory;
        directory.put(instanceOf("a", 100));
        directory.recordLeaving(time_point(5s), "a");
        directory.put(instanceOf("a", each.startedAt));
        EXPECT_EQ(directory.usable("shop").size(), each.isUsable ? 1U : 0U) << each.what;
        directory.remove(time_point(6s), "a", std::nullopt);
        directory.put(instanceOf("a", each.startedAt));
        EXPECT_EQ(directory.usable("shop").size(), each.isUsable ? 1U : 0U) << each.what << ", after its registration was missing";
    }
}

/** A server that is cut off from the store loses its registration, says in an answer that it leaves, and registers again when the cut heals. */
TEST(server_directory_test, wordOfUnregisteredServerHoldsWhenItRegistersAgain)
{
    server_directory directory;
    directory.put(instanceOf("a", 100));
    directory.remove(time_point(5s), "a", std::nullopt);
    EXPECT_TRUE(directory.recordLeaving(time_point(6s), "a"));
    directory.put(instanceOf("a", 100));
    EXPECT_TRUE(directory.usable("shop").empty());
    EXPECT_FALSE(directory.recordLeaving(time_point(7s), "never-seen")) << "nothing is known of a server with this id";
}

/** A server's word is dropped a while after its registration is gone, so that the table does not grow for good. */
TEST(server_directory_test, wordIsForgottenAfterServerIsGone)
{
    server_directory directory;
    directory.put(instanceOf("a", 100));
    directory.recordLeaving(time_point(5s), "a");
    directory.expire(time_point(5s) + server_directory::leavingMemory + 1s);
    EXPECT_TRUE(directory.leavingSince("a")) << "it is still registered";
    directory.remove(time_point(6s), "a", std::nullopt);
    directory.expire(time_point(5s) + server_directory::leavingMemory);
    EXPECT_TRUE(directory.leavingSince("a"));
    directory.expire(time_point(5s) + server_directory::leavingMemory + 1s);
    EXPECT_FALSE(directory.leavingSince("a"));
}

TEST(route_table_test, longestPathPrefixOfHostMatches)
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

TEST(route_table_test, servicesAreChosenByWeight)
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

TEST(store_router_test, twoFailuresStartFailoverThatExpires)
{
    store_router router("n0", "a", 3);
    time_point now{ 10s };
    router.setPeers({ { "n1", { { "127.0.0.1", 1 }, "b" } }, { "n2", { { "127.0.0.1", 2 }, "c" } } });
    router.recordDirectResult(now, false);
    EXPECT_FALSE(router.choose(now)) << "a single failure may be a lost answer";
    router.recordDirectResult(now, false);
    const auto first = router.choose(now);
    ASSERT_TRUE(first);
    EXPECT_EQ(router.choose(now)->first, first->first) << "the chosen peer is kept while it works";
    router.recordFailoverResult(now, first->first, false, true);
    const auto second = router.choose(now);
    ASSERT_TRUE(second);
    EXPECT_NE(second->first, first->first);
    now += 2s;
    EXPECT_FALSE(router.choose(now)) << "the direct path is tried again";
    router.recordDirectResult(now, true);
    router.recordDirectResult(now, false);
    EXPECT_FALSE(router.choose(now));
}

TEST(store_router_test, storeOutageEndsFailover)
{
    store_router router("n0", "a", 3);
    const time_point now{ 10s };
    router.setPeers({ { "n1", { { "127.0.0.1", 1 }, "b" } } });
    router.recordDirectResult(now, false);
    router.recordDirectResult(now, false);
    ASSERT_TRUE(router.choose(now));
    router.recordFailoverResult(now, "n1", false, true);
    EXPECT_FALSE(router.choose(now));
    EXPECT_FALSE(router.fallback(now));
    EXPECT_FALSE(router.isIsolated(now + 5s)) << "the peer answered, so the store has an outage";
}

/** Failure pattern: a zone is partitioned from the store and from the other zones while callers still reach its nodes. */
TEST(store_router_test, nodeOfPartitionedZoneIsIsolated)
{
    store_router router("n0", "a", 3);
    const time_point lost{ 10s };
    router.setPeers({ { "n1", { { "127.0.0.1", 1 }, "a" } },
                      { "n2", { { "127.0.0.1", 2 }, "b" } },
                      { "n3", { { "127.0.0.1", 3 }, "b" } },
                      { "n4", { { "127.0.0.1", 4 }, "c" } } });
    router.recordDirectResult(lost, false);
    router.recordFailoverResult(lost + 300ms, "n1", false, true);
    router.recordFailoverResult(lost + 600ms, "n2", false, false);
    EXPECT_FALSE(router.isIsolated(lost + 2s)) << "a single unreachable peer may have failed itself";
    router.recordFailoverResult(lost + 900ms, "n3", false, false);
    EXPECT_TRUE(router.isIsolated(lost + 900ms));
    router.recordDirectResult(lost + 6s, true);
    EXPECT_FALSE(router.isIsolated(lost + 6s));
    router.recordDirectResult(lost + 7s, false);
    EXPECT_FALSE(router.isIsolated(lost + 9s)) << "peers that were unreachable before the store served again do not count";
    router.recordDirectResult(lost + 10s, true);
    router.recordDirectResult(lost + 11s, false);
    router.recordFailoverResult(lost + 11s, "n2", false, false);
    router.recordFailoverResult(lost + 11s, "n3", false, false);
    EXPECT_FALSE(router.isIsolated(lost + 11s + 199ms)) << "answers of other peers may be in flight";
    EXPECT_TRUE(router.isIsolated(lost + 11s + 200ms));
}

/** An idle node of a partitioned zone has no calls in flight that would fail soon, so it must detect the partition by its pings. */
TEST(store_router_test, pingsRevealPartitionToIdleNode)
{
    store_router router("n0", "a", 3);
    router.setPeers({ { "n1", { { "127.0.0.1", 1 }, "a" } },
                      { "n2", { { "127.0.0.1", 2 }, "b" } },
                      { "n3", { { "127.0.0.1", 3 }, "b" } },
                      { "n4", { { "127.0.0.1", 4 }, "c" } } });
    const time_point start{ 10s };
    const auto targets = router.pingTargets();
    ASSERT_EQ(targets.size(), 1U) << "one peer is enough while it answers";
    EXPECT_NE(targets.front().first, "n1") << "a peer of this node's own zone would be partitioned too";
    EXPECT_FALSE(router.recordPing(start, targets.front().first, true));
    EXPECT_EQ(router.pingTargets(), targets) << "the same peer is pinged again, since its connection is open";
    const time_point cut = start + 500ms;
    EXPECT_TRUE(router.recordPing(cut, targets.front().first, false)) << "the store must be called too";
    std::set<std::string> zones;
    for (const auto &[name, where] : router.pingTargets()) {
        zones.insert(name == "n4" ? "c" : "b");
        router.recordPing(cut + 300ms, name, false);
    }
    EXPECT_EQ(zones.size(), 2U);
    EXPECT_FALSE(router.isIsolated(cut + 400ms)) << "the store has not failed";
    router.recordDirectResult(cut + 700ms, false);
    EXPECT_TRUE(router.isIsolated(cut + 1s));
    EXPECT_FALSE(router.recordPing(cut + 5s, "n4", true));
    EXPECT_FALSE(router.isIsolated(cut + 5s));
}

TEST(store_router_test, failedPeerIsNoPartition)
{
    store_router router("n0", "a", 3);
    router.setPeers({ { "n2", { { "127.0.0.1", 2 }, "b" } }, { "n3", { { "127.0.0.1", 3 }, "b" } } });
    const time_point start{ 10s };
    router.recordPing(start, "n2", false);
    router.recordDirectResult(start, false);
    router.recordPing(start + 100ms, "n3", true);
    EXPECT_FALSE(router.isIsolated(start + 900ms)) << "the store fails, but another peer is reachable";
    router.recordPing(start + 1s, "n3", false);
    EXPECT_TRUE(router.isIsolated(start + 1200ms)) << "no peer has answered for a second";
}

TEST(store_router_test, zoneNodesAgreeOnReaderAndSkipFailedOne)
{
    const std::map<std::string, store_peer> all{ { "n0", { { "127.0.0.1", 10 }, "a" } },
                                                 { "n1", { { "127.0.0.1", 11 }, "a" } },
                                                 { "n2", { { "127.0.0.1", 12 }, "a" } },
                                                 { "n3", { { "127.0.0.1", 13 }, "b" } } };
    std::map<std::string, int> chosen;
    for (const char *self : { "n0", "n1", "n2" }) {
        store_router router(self, "a", 3);
        std::map<std::string, store_peer> others = all;
        others.erase(self);
        router.setPeers(others);
        const auto reader = router.zoneReader(time_point(1s));
        ++chosen[reader ? reader->first : self];
        if (reader) {
            router.recordReaderFailure(time_point(1s), reader->first);
            const auto next = router.zoneReader(time_point(1s));
            EXPECT_TRUE(!next || next->first != reader->first);
            EXPECT_EQ(router.zoneReader(time_point(9s))->first, reader->first);
        }
    }
    ASSERT_EQ(chosen.size(), 1U);
    EXPECT_FALSE(chosen.contains("n3"));
}

/** A node that is gone for good stays registered, so the pause in which it is not asked grows. */
TEST(store_router_test, readerPauseDoublesUntilItAnswers)
{
    store_router router("n0", "a", 3);
    router.setPeers({ { "n1", { { "127.0.0.1", 1 }, "a" } }, { "n2", { { "127.0.0.1", 2 }, "a" } } });
    router.setPeers({ { "n1", { { "127.0.0.1", 1 }, "a" } }, { "n2", { { "127.0.0.1", 2 }, "a" } }, { "n3", { { "127.0.0.1", 3 }, "a" } } });
    time_point now{ 1s };
    const auto reader = router.zoneReader(now);
    ASSERT_TRUE(reader);
    const std::string name = reader->first;
    const auto isChosen = [&](time_point when) {
        const auto chosen = router.zoneReader(when);
        return chosen && chosen->first == name;
    };
    for (const duration pause : { 3s, 6s, 12s, 24s, 24s }) {
        router.recordReaderFailure(now, name);
        router.recordReaderFailure(now + 10ms, name);
        EXPECT_FALSE(isChosen(now + pause - 1ms)) << toSeconds(pause);
        EXPECT_TRUE(isChosen(now + pause)) << toSeconds(pause);
        now += pause;
    }
    router.recordReaderSuccess(name);
    router.recordReaderFailure(now, name);
    EXPECT_TRUE(isChosen(now + 3s)) << "an answer resets the pause";
    EXPECT_FALSE(router.peerAddress("n9"));
    EXPECT_EQ(router.peerAddress("n2"), (endpoint{ "127.0.0.1", 2 }));
}

TEST(store_router_test, singleZoneDeploymentIsNeverIsolated)
{
    store_router router("n0", "a", 3);
    router.setPeers({ { "n1", { { "127.0.0.1", 1 }, "a" } } });
    router.recordDirectResult(time_point(1s), false);
    router.recordFailoverResult(time_point(1s), "n1", false, false);
    EXPECT_FALSE(router.isIsolated(time_point(9s)));
}

} // namespace
} // namespace reedtrail
