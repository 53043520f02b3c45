// Servers that say in their answers that they are about to end, on a node whose knowledge from the store is late or cut off.

#include "platform/testing/node_fixture.h"

namespace reedtrail {
namespace {

using namespace std::chrono_literals;
using testing::node_fixture;
using testing::test_server;

/** The node has lost the store, whose registrations still show the server as ready. */
TEST(leaving_server_test, nodeCutFromStoreObeysServersWord)
{
    node_fixture fixture;
    fixture.requestMany(1);
    fixture.transport.isCut = true;
    test_server &used = fixture.used();
    used.isLeaving = true;
    fixture.requestMany(12);
    EXPECT_EQ(used.requests, 2) << "the answer that says so is the last one";
    EXPECT_EQ(fixture.first.requests + fixture.second.requests, 13);
}

TEST(leaving_server_test, registrationReadLateDoesNotBringServerBack)
{
    node_fixture fixture;
    fixture.requestMany(1);
    test_server &used = fixture.used();
    used.isLeaving = true;
    fixture.requestMany(12);
    fixture.enter(used.id, used.address, "ready", 100);
    fixture.run(1300ms); // The state at hand becomes too old, so the next request reads the registrations again.
    const int calls = fixture.transport.calls;
    fixture.requestMany(12);
    EXPECT_GT(fixture.transport.calls, calls);
    EXPECT_EQ(used.requests, 2);
}

/** The address of a server that has left is used by another server, under another id. */
TEST(leaving_server_test, otherServerAtSameAddressIsUsed)
{
    node_fixture fixture;
    fixture.first.isLeaving = fixture.second.isLeaving = true;
    fixture.requestMany(2);
    EXPECT_EQ(fixture.first.requests, 1);
    EXPECT_EQ(fixture.second.requests, 1);
    EXPECT_EQ(fixture.request(), http_status::unavailable);
    fixture.removeServer("i-1");
    fixture.first.isLeaving = false;
    fixture.enter("i-3", fixture.first.address, "ready", 900);
    fixture.run(1300ms);
    fixture.requestMany(3);
    EXPECT_EQ(fixture.first.requests, 4);
}

/** Requests that wait for a read of the registrations are placed after the server's word, which arrives meanwhile. */
TEST(leaving_server_test, wordThatArrivesWhileRequestWaitsIsObeyed)
{
    node_fixture fixture;
    fixture.run(1300ms);
    bool isCurrent = false;
    ASSERT_FALSE(fixture.fleet->ensureCurrent([&] {
        isCurrent = true;
    })) << "the state is too old by now";
    fixture.fleet->recordLeaving("i-1", "test");
    fixture.requestMany(6);
    EXPECT_TRUE(isCurrent);
    EXPECT_EQ(fixture.first.requests, 0);
}

/** The server's word arrives while the connection for a request that was placed on it is being opened. */
TEST(leaving_server_test, requestIsSentThoughServerLeftWhileItConnected)
{
    node_fixture fixture;
    std::vector<std::shared_ptr<testing::recorded_exchange>> exchanges;
    exchanges.reserve(6);
    for (int i = 0; i < 6; ++i) {
        exchanges.push_back(fixture.startRequest());
    }
    fixture.fleet->recordLeaving("i-1", "test");
    EXPECT_TRUE(fixture.runUntil([&] {
        return std::ranges::all_of(exchanges, &testing::recorded_exchange::isDone);
    }));
    EXPECT_EQ(fixture.first.requests, 0);
    EXPECT_EQ(fixture.second.requests, 6);
}

/** The head of a stream says that its server leaves, while items wait for the places of that server. The stream goes on. */
TEST(leaving_server_test, wordInHeadOfStreamKeepsWaitingItemsAway)
{
    node_fixture fixture;
    fixture.first.isStreaming = fixture.second.isStreaming = true;
    fixture.first.isLeaving = true;
    const auto worker = fixture.startJob(12);
    const int atOnce = 4; // The places of a server.
    EXPECT_TRUE(fixture.runUntil([&] {
        return fixture.first.requests == atOnce && fixture.second.requests == atOnce;
    }));
    EXPECT_TRUE(fixture.runUntil([&] {
        return fixture.fleet->directory().leavingSince("i-1").has_value();
    }));
    for (const auto &stream : std::exchange(fixture.first.streams, {})) {
        stream->write("id: 2\ndata: b\n\n");
        stream->finishStream();
    }
    fixture.run(100ms);
    worker->advance();
    fixture.run(200ms);
    EXPECT_EQ(fixture.first.requests, atOnce) << "its places are free, but it leaves";
    worker->stop();
}

/** The node loses its own way to the store, while the store serves the servers, of which one leaves. */
TEST(leaving_server_test, serverThatLeftWhileNodeHadLostStoreIsUsedAfterwards)
{
    struct row
    {
        duration cut;
        bool hasWitness = false; ///< Another node that the store has served all the while.
    };
    const row rows[] = { { 1700ms, false }, { 3500ms, true } };
    for (const row &each : rows) {
        node_fixture fixture;
        const time_point start = fixture.loop.now();
        fixture.fleet->setWitness([&](const std::function<void(std::optional<time_point>)> &onAnswer) {
            fixture.loop.after(2ms, [&, onAnswer] {
                onAnswer(each.hasWitness ? std::optional(start) : std::nullopt);
            });
        });
        fixture.requestMany(2);
        fixture.transport.isCut = true;
        const time_point end = fixture.loop.now() + each.cut;
        while (fixture.loop.now() < end) {
            fixture.requestMany(1);
            fixture.run(100ms);
        }
        fixture.removeServer("i-2");
        fixture.transport.isCut = false;
        const store_revision left = fixture.transport.revision;
        EXPECT_TRUE(fixture.runUntil([&] {
            fixture.requestMany(1);
            return fixture.fleet->dump()["serverState"]["revision"] == left;
        }));
        fixture.run(50ms);
        const int before = fixture.second.requests;
        fixture.requestMany(12);
        EXPECT_EQ(fixture.second.requests, before) << toSeconds(each.cut) << " s";
    }
}

/** Another node knows that the outage ended a while before this node reached the store again. */
TEST(leaving_server_test, serverMissingTwoSecondsAfterOutageIsKeptAsLongAsFirstThought)
{
    node_fixture fixture;
    fixture.fleet->setWitness([&](const std::function<void(std::optional<time_point>)> &onAnswer) {
        fixture.loop.after(2ms, [&, onAnswer] {
            onAnswer(fixture.loop.now() - 1500ms);
        });
    });
    fixture.requestMany(2);
    fixture.transport.isCut = true;
    const time_point end = fixture.loop.now() + 5s;
    while (fixture.loop.now() < end) {
        fixture.requestMany(1);
        fixture.run(100ms);
    }
    fixture.removeServer("i-2");
    fixture.transport.isCut = false;
    const store_revision left = fixture.transport.revision;
    EXPECT_TRUE(fixture.runUntil([&] {
        fixture.requestMany(1);
        return fixture.fleet->dump()["serverState"]["revision"] == left;
    }));
    fixture.run(50ms);
    EXPECT_TRUE(fixture.fleet->directory().isUsable("i-2", 100)) << "it may still come back";
    fixture.run(700ms); // Without a request nothing is read.
    EXPECT_FALSE(fixture.fleet->directory().isUsable("i-2", 100));
}

/** The store itself was away, so that a registration may have lapsed. The server is back in time, and no caller is refused meanwhile. */
TEST(leaving_server_test, serverWhoseRegistrationLapsedIsKept)
{
    node_fixture fixture;
    fixture.removeServer("i-2");
    fixture.run(1300ms);
    fixture.requestMany(1);
    fixture.transport.isCut = true;
    const time_point end = fixture.loop.now() + 3500ms;
    while (fixture.loop.now() < end) {
        fixture.requestMany(1);
        fixture.run(100ms);
    }
    fixture.removeServer("i-1");
    fixture.transport.isCut = false;
    fixture.run(300ms);
    fixture.requestMany(6);
    fixture.enter("i-1", fixture.first.address, "ready", 100);
    fixture.run(1500ms);
    fixture.requestMany(6);
}

} // namespace
} // namespace reedtrail
