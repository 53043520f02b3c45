// Callers' requests that reach a node while it is being stopped.

#include "edge/caller_service.h"
#include "platform/testing/node_fixture.h"

#include <boost/asio.hpp>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;
using testing::node_fixture;

const endpoint callersAddress{ "127.0.0.1", 28833 };

/** A node that has got the stop signal, and is killed eight seconds after it. */
struct stopping_fixture : node_fixture
{
    stopping_fixture()
    {
        context->settings.callers = callersAddress;
        context->settings.readiness = { "127.0.0.1", 28834 };
        context->settings.shutdownGracePeriod = 8s;
        useAllKinds();
        jobs = std::make_unique<batch_job_service>(*context, *fleet);
        callers = std::make_unique<caller_service>(*context, *fleet, *crashes, *origins, *jobs, forwarder);
        kernel process;
        EXPECT_TRUE(callers->start(process));
        setScript([](const std::shared_ptr<http_exchange> &exchange) {
            exchange->respond({ http_status::ok, testing::serverFields(exchange->request()), "id: 1\ndata: a\n\n" });
        });
        callers->announceShutdown();
    }
    /** Puts the stop signal so far into the past. */
    void stopSince(duration time)
    {
        context->isDraining = true;
        context->drainStartedAt = loop.now() - time;
    }
    http_response answerTo(const std::string &method, const std::string &path, const std::string &deadlineMs, const std::string &body = "")
    {
        http_request request{ method, path, { { "Host", "h" }, { "Request-Id", "r" }, { "Deadline-Ms", deadlineMs } }, body };
        std::optional<http_response> answer;
        callerClient.call(callersAddress, std::move(request), {}, [&](const http_call_end &end, const http_response &response) {
            EXPECT_EQ(end.error, error_kind::None) << end.detail;
            answer = response;
        });
        EXPECT_TRUE(runUntil([&] {
            return answer.has_value();
        }));
        return answer.value_or(http_response{});
    }
    int requestsAtServers() const
    {
        return first.requests + second.requests;
    }

    http_client callerClient{ io, {} };
    job_forwarder forwarder{ loop, client, metrics, "node-1" };
    std::unique_ptr<batch_job_service> jobs;
    std::unique_ptr<caller_service> callers;
};

/** Guards against requests that are passed on late in the grace period and cut at its end, among them those that may run once. */
TEST(late_request_test, requestThatStopMayCutIsPassedOn)
{
    struct row
    {
        const char *path;
        duration since; ///< Time since the stop signal.
        const char *deadlineMs;
        bool isServed;
    };
    const row rows[] = {
        { "/n/1", 1s, "1500", true },      { "/n/1", 5s, "1500", true },  { "/n/1", 6500ms, "1500", false }, { "/n/1", 1s, "20000", false },
        { "/u/1", 1s, "1500", true },      { "/u/1", 6s, "1500", false }, { "/u/1", 1s, "20000", false },    { "/t/1", 1s, "20000", true },
        { "/t/1", 3s, "20000", false },    { "/p/1", 1s, "20000", true }, { "/p/1", 3s, "20000", false },    { "/p/1", 5s, "1500", true },
        { "/p/1", 6500ms, "1500", false },
    };
    stopping_fixture fixture;
    for (const row &each : rows) {
        SCOPED_TRACE(std::string(each.path) + " with " + each.deadlineMs + " ms left, " + std::to_string(toSeconds(each.since)) + " s after the signal");
        const int before = fixture.requestsAtServers();
        fixture.stopSince(each.since);
        const http_response answer = fixture.answerTo("GET", each.path, each.deadlineMs);
        EXPECT_EQ(answer.status, each.isServed ? http_status::ok : http_status::unavailable);
        EXPECT_EQ(fixture.requestsAtServers(), before + (each.isServed ? 1 : 0));
        EXPECT_EQ(answer.fields.get("Connection"), "close");
        EXPECT_EQ(answer.fields.get("Retry-After").empty(), each.isServed);
    }
}

/** Guards against requests in flight that get no answer at all when the process ends, although it knows that they may have run. */
TEST(late_request_test, requestsInFlightAtEndGetNoAnswer)
{
    stopping_fixture fixture;
    std::vector<std::shared_ptr<http_exchange>> held;
    fixture.setScript([&](const std::shared_ptr<http_exchange> &exchange) {
        held.push_back(exchange);
    });
    std::vector<int> statuses;
    for (const char *path : { "/n/1", "/p/1", "/u/1", "/t/1" }) {
        fixture.callerClient.call(callersAddress,
                                  { "POST", path, { { "Host", "h" }, { "Request-Id", path }, { "Deadline-Ms", "20000" } }, "body" },
                                  {},
                                  [&](const http_call_end &end, const http_response &answer) {
                                      statuses.push_back(end.error == error_kind::None ? answer.status : 0);
                                  });
    }
    EXPECT_TRUE(fixture.runUntil([&] {
        return held.size() == 4;
    }));
    fixture.stopSince(7500ms);
    bool isDrained = false;
    fixture.callers->drain([&] {
        isDrained = true;
    });
    EXPECT_TRUE(fixture.runUntil([&] {
        return isDrained && statuses.size() == 4;
    }));
    EXPECT_EQ(statuses, std::vector<int>(4, http_status::badGateway));
}

/** Guards against a request on a connection that is still open when this node waits for its last services only, and is cut by their end. */
TEST(late_request_test, requestAfterDrainIsPassedOn)
{
    stopping_fixture fixture;
    boost::asio::ip::tcp::socket caller(fixture.io);
    caller.connect({ boost::asio::ip::make_address(callersAddress.ip), callersAddress.port });
    fixture.run(50ms);
    fixture.stopSince(3s);
    bool isDrained = false;
    fixture.callers->drain([&] {
        isDrained = true;
    });
    EXPECT_TRUE(fixture.runUntil([&] {
        return isDrained;
    }));
    const std::string request = "GET /p/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nDeadline-Ms: 500\r\n\r\n";
    boost::asio::write(caller, boost::asio::buffer(request));
    std::string answer;
    bool isAnswered = false;
    boost::asio::async_read_until(caller, boost::asio::dynamic_buffer(answer), "\r\n\r\n", [&](const boost::system::error_code &, std::size_t) {
        isAnswered = true;
    });
    EXPECT_TRUE(fixture.runUntil([&] {
        return isAnswered;
    }));
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
    EXPECT_EQ(fixture.requestsAtServers(), 0);
}

/** Guards against a batch job that a node accepts although it is being stopped, after it has given its jobs back. */
TEST(late_request_test, batchJobIsAcceptedByNodeThatStops)
{
    stopping_fixture fixture;
    fixture.stopSince(6s);
    const http_response answer = fixture.answerTo("POST", "/j/1", "1500", R"({"items":[{"id":"i","path":"/j/1/1","headers":{},"body":"","tokens":10}]})");
    EXPECT_EQ(answer.status, http_status::unavailable);
    EXPECT_EQ(fixture.transport.writes, 0);
}

} // namespace
} // namespace reedtrail
