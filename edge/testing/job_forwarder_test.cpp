#include "edge/job_forwarder.h"

#include <gtest/gtest.h>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;

/** A caller, the node that it has reached, and the host of its job. */
struct forwarder_fixture
{
    explicit forwarder_fixture(http_server::handler host)
        : hostServer(io, { .address = hostAddress }, std::move(host))
        , nodeServer(io, { .address = nodeAddress }, [this](std::shared_ptr<http_exchange> exchange) {
            forwarder.forward(exchange, "job-1", 0ms, [this, exchange](bool mayBeDone) {
                servedHere.push_back(mayBeDone);
                exchange->respond(textResponse(200, "here"));
            });
        })
    {
        // The host alone, so that the job is its.
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
    std::vector<bool> servedHere;
    http_server hostServer;
    http_server nodeServer;
};

TEST(job_forwarder_test, hostAnswersAndItsAnswerIsPassedOn)
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
    EXPECT_TRUE(fixture.servedHere.empty());
}

TEST(job_forwarder_test, bodyOfASubmissionReachesTheHost)
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

TEST(job_forwarder_test, hostThatIsNotThereIsPassedOverAndNothingWasDone)
{
    forwarder_fixture fixture([](const std::shared_ptr<http_exchange> &) {});
    ASSERT_TRUE(fixture.nodeServer.start());
    EXPECT_EQ(fixture.call().body, "here");
    EXPECT_EQ(fixture.call().body, "here");
    EXPECT_EQ(fixture.servedHere, (std::vector<bool>{ false, false }));
    EXPECT_FALSE(fixture.forwarder.hosts().hostFor(fixture.loop.now(), "job-1"));
}

TEST(job_forwarder_test, silentHostMayHaveDoneWhatItWasSent)
{
    std::vector<std::shared_ptr<http_exchange>> unanswered;
    forwarder_fixture fixture([&](std::shared_ptr<http_exchange> exchange) {
        unanswered.push_back(std::move(exchange));
    });
    ASSERT_TRUE(fixture.hostServer.start());
    ASSERT_TRUE(fixture.nodeServer.start());
    EXPECT_EQ(fixture.call().body, "here");
    EXPECT_EQ(fixture.servedHere, (std::vector<bool>{ true }));
    unanswered.clear();
}

TEST(job_forwarder_test, hostThatDeclinesHasDoneNothing)
{
    forwarder_fixture fixture(&job_forwarder::decline);
    ASSERT_TRUE(fixture.hostServer.start());
    ASSERT_TRUE(fixture.nodeServer.start());
    EXPECT_EQ(fixture.call().body, "here");
    EXPECT_EQ(fixture.servedHere, (std::vector<bool>{ false }));
}

} // namespace
} // namespace reedtrail
