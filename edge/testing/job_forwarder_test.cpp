#include "edge/job_forwarder.h"

#include <gtest/gtest.h>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;

/** A caller, the node that it is connected to, and the host of its job. Records the calls that the node serves locally. */
struct forwarder_fixture
{
    explicit forwarder_fixture(http_server::handler host)
        : hostServer(io, { .address = hostAddress }, std::move(host))
        , nodeServer(io, { .address = nodeAddress }, [this](std::shared_ptr<http_exchange> exchange) {
            forwarder.forward(exchange, "job-1", std::nullopt, 0ms, [this, exchange](bool mayHaveExecuted) {
                localCalls.push_back(mayHaveExecuted);
                exchange->respond(textResponse(200, "here"));
            });
        })
    {
        // The host is the only known node, so every job is assigned to it.
        forwarder.hosts().setNodes({ { "host", { hostAddress, "zone-1", 0.25 } } });
    }

    /** Sends a call and returns its answer. */
    http_response call(http_request request = { "GET", "/job?after=3", { { "Request-Id", "r-1" } }, "" })
    {
        http_response answer;
        client.call(nodeAddress, std::move(request), {}, [&](const http_call_end &end, const http_response &response) {
            EXPECT_EQ(end.error, error_kind::None) << end.detail;
            answer = response;
            io.stop();
        });
        io.restart();
        io.run_for(20s);
        return answer;
    }

    boost::asio::io_context io;
    asio_loop loop{ io };
    http_client client{ io, {} };
    metric_registry metrics;
    endpoint hostAddress{ "127.0.0.1", 29893 };
    endpoint nodeAddress{ "127.0.0.1", 29894 };
    job_forwarder forwarder{ loop, client, metrics, "node" };
    std::vector<bool> localCalls;
    http_server hostServer;
    http_server nodeServer;
};

// Guards against a forwarder that rewrites the call or the response: the host must see the query and the fields of the caller, and the caller must get the
// host's status, body and Retry-After, also for a refusal.
TEST(job_forwarder_test, hostResponseIsReturnedUnchanged)
{
    forwarder_fixture fixture([](const std::shared_ptr<http_exchange> &exchange) {
        EXPECT_TRUE(job_forwarder::isForwarded(exchange->request()));
        EXPECT_EQ(exchange->request().query("after"), "3");
        EXPECT_EQ(exchange->request().fields.get("Request-Id"), "r-1");
        http_response response = textResponse(503, "later");
        response.fields.set("Retry-After", "0.4");
        exchange->respond(std::move(response));
    });
    ASSERT_TRUE(fixture.hostServer.start());
    ASSERT_TRUE(fixture.nodeServer.start());
    const http_response answer = fixture.call();
    EXPECT_EQ(answer.status, 503);
    EXPECT_EQ(answer.body, "later");
    EXPECT_EQ(answer.fields.get("Retry-After"), "0.4");
    EXPECT_TRUE(fixture.localCalls.empty());
}

// Guards against losing the method or the body of a submission when it is forwarded.
TEST(job_forwarder_test, submissionBodyReachesHost)
{
    std::string received;
    forwarder_fixture fixture([&](const std::shared_ptr<http_exchange> &exchange) {
        received = exchange->request().method + " " + exchange->request().body;
        exchange->respond(textResponse(202, ""));
    });
    ASSERT_TRUE(fixture.hostServer.start());
    ASSERT_TRUE(fixture.nodeServer.start());
    EXPECT_EQ(fixture.call({ "POST", "/path/1", { { "Host", "a.example" } }, "document" }).status, 202);
    EXPECT_EQ(received, "POST document");
}

// Guards against reporting a submission as uncertain when no connection to the host came about, and against trying an unreachable host on every call.
TEST(job_forwarder_test, unreachableHostFallsBackAsNotExecuted)
{
    forwarder_fixture fixture([](const std::shared_ptr<http_exchange> &) {});
    ASSERT_TRUE(fixture.nodeServer.start());
    EXPECT_EQ(fixture.call().body, "here");
    EXPECT_EQ(fixture.call().body, "here");
    EXPECT_EQ(fixture.localCalls, (std::vector<bool>{ false, false }));
    EXPECT_FALSE(fixture.forwarder.hosts().hostFor(fixture.loop.now(), "job-1"));
}

// Guards against telling a caller that its call was certainly not executed: a host that received the call and sent no response may have executed it.
TEST(job_forwarder_test, silentHostFallsBackAsMaybeExecuted)
{
    std::vector<std::shared_ptr<http_exchange>> unanswered;
    forwarder_fixture fixture([&](std::shared_ptr<http_exchange> exchange) {
        unanswered.push_back(std::move(exchange));
    });
    ASSERT_TRUE(fixture.hostServer.start());
    ASSERT_TRUE(fixture.nodeServer.start());
    EXPECT_EQ(fixture.call().body, "here");
    EXPECT_EQ(fixture.localCalls, (std::vector<bool>{ true }));
    unanswered.clear();
}

// Guards against treating a host's refusal as an unknown outcome: a host that declines has not executed the call.
TEST(job_forwarder_test, decliningHostFallsBackAsNotExecuted)
{
    forwarder_fixture fixture(&job_forwarder::decline);
    ASSERT_TRUE(fixture.hostServer.start());
    ASSERT_TRUE(fixture.nodeServer.start());
    EXPECT_EQ(fixture.call().body, "here");
    EXPECT_EQ(fixture.localCalls, (std::vector<bool>{ false }));
}

} // namespace
} // namespace reedtrail
