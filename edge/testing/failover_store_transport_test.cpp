#include "edge/failover_store_transport.h"

#include "edge/peer_protocol.h"
#include "net/http_server.h"

#include <gtest/gtest.h>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;

constexpr duration longPoll = 15s;

/** A node that the store refuses to serve, a store, and a peer. */
struct failover_fixture
{
    failover_fixture()
    {
        settings.node = "node-1";
        settings.zone = "zone-1";
        settings.store = store;
    }

    /** Makes the node use the path through the peer, as after two calls that the store has refused. */
    void failDirectPath(failover_store_transport &transport)
    {
        transport.path().setPeers({ { "node-2", { peer, "zone-2" } } });
        transport.path().recordDirectResult(loop.now(), false);
        transport.path().recordDirectResult(loop.now(), false);
        ASSERT_TRUE(transport.path().isFailedOver(loop.now()));
    }

    boost::asio::io_context io;
    asio_loop loop{ io };
    http_client client{ io, {} };
    edge_settings settings;
    endpoint store{ "127.0.0.1", 29891 };
    endpoint peer{ "127.0.0.1", 29892 };
};

// Guards against a long poll that hangs on a peer that stopped answering: it must be sent again after a short timeout, on the path that works by then, and not
// wait for the whole long-poll time.
TEST(failover_store_transport_test, longPollThroughSilentPeerIsRetried)
{
    failover_fixture fixture;
    std::vector<std::shared_ptr<http_exchange>> unanswered;
    http_server peer(fixture.io, { .address = fixture.peer }, [&](std::shared_ptr<http_exchange> exchange) {
        unanswered.push_back(std::move(exchange));
    });
    http_server store(fixture.io, { .address = fixture.store }, [](const std::shared_ptr<http_exchange> &exchange) {
        exchange->respond(textResponse(200, "from the store"));
    });
    ASSERT_TRUE(peer.start());
    ASSERT_TRUE(store.start());
    failover_store_transport transport(fixture.loop, fixture.client, fixture.settings);
    fixture.failDirectPath(transport);
    std::string body;
    transport.call("GET", "/poll", "", longPoll, [&](const platform::store_transport::reply &reply) {
        body = reply.body;
        fixture.io.stop();
    });
    fixture.io.run_for(longPoll / 2);
    EXPECT_EQ(body, "from the store") << "the long poll must not wait for the silent peer during its whole long-poll time";
    EXPECT_FALSE(unanswered.empty());
}

// Guards against a node that waits for a silent peer while the store would serve it again: its knowledge grows old meanwhile, though it is in touch.
TEST(failover_store_transport_test, readWaitsForSilentPeerWhileStoreIsBack)
{
    failover_fixture fixture;
    std::vector<std::shared_ptr<http_exchange>> unanswered;
    http_server peer(fixture.io, { .address = fixture.peer }, [&](std::shared_ptr<http_exchange> exchange) {
        unanswered.push_back(std::move(exchange));
    });
    http_server store(fixture.io, { .address = fixture.store }, [](const std::shared_ptr<http_exchange> &exchange) {
        exchange->respond(textResponse(200, "from the store"));
    });
    ASSERT_TRUE(peer.start());
    ASSERT_TRUE(store.start());
    failover_store_transport transport(fixture.loop, fixture.client, fixture.settings);
    fixture.failDirectPath(transport);
    std::vector<std::string> bodies;
    transport.call("GET", "/read", "", 4900ms, [&](const platform::store_transport::reply &reply) {
        bodies.push_back(reply.body);
    });
    fixture.io.run_for(2500ms);
    EXPECT_EQ(bodies, std::vector<std::string>{ "from the store" });
    EXPECT_EQ(unanswered.size(), 1U);
    EXPECT_FALSE(transport.path().isFailedOver(fixture.loop.now())) << "the direct path is used again";
}

// Guards against a second reply to one call: the peer declines after the read has gone to the store as well, and so it goes there once more.
TEST(failover_store_transport_test, readThatPeerDeclinesLateIsAnsweredTwice)
{
    failover_fixture fixture;
    http_server peer(fixture.io, { .address = fixture.peer }, [&](std::shared_ptr<http_exchange> exchange) {
        fixture.loop.after(600ms, [exchange = std::move(exchange)] {
            exchange->respond(textResponse(peer_protocol::statusNotExecuted, ""));
        });
    });
    std::shared_ptr<http_exchange> slowRead;
    http_server store(fixture.io, { .address = fixture.store }, [&](std::shared_ptr<http_exchange> exchange) {
        if (!slowRead) {
            slowRead = std::move(exchange);
            return;
        }
        exchange->respond(textResponse(200, "second"));
        fixture.loop.after(20ms, [&slowRead] {
            slowRead->respond(textResponse(200, "first"));
        });
    });
    ASSERT_TRUE(peer.start());
    ASSERT_TRUE(store.start());
    failover_store_transport transport(fixture.loop, fixture.client, fixture.settings);
    fixture.failDirectPath(transport);
    std::vector<std::string> bodies;
    transport.call("GET", "/read", "", 4900ms, [&](const platform::store_transport::reply &reply) {
        bodies.push_back(reply.body);
    });
    fixture.io.run_for(2500ms);
    EXPECT_EQ(bodies, std::vector<std::string>{ "second" });
}

// Guards against executing a write twice: a peer that received the write and did not answer may have executed it, so the write must not be sent again and its
// outcome must be reported as unknown.
TEST(failover_store_transport_test, unansweredWriteThroughPeerIsNotRetried)
{
    failover_fixture fixture;
    std::vector<std::shared_ptr<http_exchange>> unanswered;
    int storeCalls = 0;
    http_server peer(fixture.io, { .address = fixture.peer }, [&](std::shared_ptr<http_exchange> exchange) {
        unanswered.push_back(std::move(exchange));
    });
    http_server store(fixture.io, { .address = fixture.store }, [&](const std::shared_ptr<http_exchange> &exchange) {
        ++storeCalls;
        exchange->respond(textResponse(200, ""));
    });
    ASSERT_TRUE(peer.start());
    ASSERT_TRUE(store.start());
    failover_store_transport transport(fixture.loop, fixture.client, fixture.settings);
    fixture.failDirectPath(transport);
    std::optional<platform::store_transport::reply> answer;
    transport.call("POST", "/write", "{}", 500ms, [&](const platform::store_transport::reply &reply) {
        answer = reply;
        fixture.io.stop();
    });
    fixture.io.run_for(10s);
    ASSERT_TRUE(answer);
    EXPECT_FALSE(answer->isAnswered);
    EXPECT_TRUE(answer->isHandedOver);
    EXPECT_EQ(unanswered.size(), 1U);
    EXPECT_EQ(storeCalls, 0);
}

} // namespace
} // namespace reedtrail
