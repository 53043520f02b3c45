// Servers that send a second response to a request late, where the response to the next request on the connection is due.

#include "net/testing/doubling_server.h"
#include "platform/testing/node_fixture.h"

namespace reedtrail {
namespace {

using namespace std::chrono_literals;
using testing::doubling_server;
using testing::node_fixture;
using testing::rawResponse;
using testing::recorded_exchange;

constexpr std::uint16_t doublingPort = testing::firstServerPort + 6;

std::string idOf(const http_request &request)
{
    return std::string(platform::requestIdOf(request));
}

std::string signedFields(const http_request &request)
{
    return testing::serverFieldLines(idOf(request), "sig-" + idOf(request));
}

/** Two events that name their request. */
std::string eventsOf(const http_request &request)
{
    const std::string data = "\ndata: " + idOf(request) + "\n\n";
    return "id: 1" + data + "id: 2" + data;
}

/** A node whose only server sends second responses. */
struct foreign_response_fixture : node_fixture
{
    foreign_response_fixture()
        : node_fixture({}, endpoint{ "127.0.0.1", doublingPort })
        , server(io, doublingPort, [](const http_request &request) {
            return rawResponse(200, signedFields(request), eventsOf(request));
        })
    {
        useAllKinds("i-1");
    }
    std::shared_ptr<recorded_exchange> answered(const std::string &path, const std::string &id)
    {
        const auto exchange = startRequest("body", path, testing::namedRequest(id));
        EXPECT_TRUE(runUntil([&] {
            return exchange->isDone;
        }));
        return exchange;
    }

    doubling_server server;
};

/** A stream's caller got the whole stream of the request before it on the same connection. */
TEST(foreign_response_test, callerGetsStreamOfAnotherRequest)
{
    struct row
    {
        const char *what;
        const char *path;
        std::function<std::string(const http_request &)> late;
        std::uint16_t status; ///< Of the answer to the second request.
    };
    const auto sameAgain = [](const http_request &request) {
        return rawResponse(200, signedFields(request), eventsOf(request));
    };
    const auto failed = [](const http_request &request) {
        return rawResponse(500, signedFields(request), "failed");
    };
    const auto withoutId = [](const http_request &request) {
        return rawResponse(200, testing::signatureLine("sig"), eventsOf(request));
    };
    const row rows[] = {
        { "stream that may not be resumed", "/u/1", sameAgain, http_status::badGateway },
        { "stream that may be resumed", "/t/1", sameAgain, http_status::ok },
        { "failure", "/u/1", failed, http_status::badGateway },
        { "success without an id", "/u/1", withoutId, http_status::badGateway },
        { "plain request", "/p/1", sameAgain, http_status::ok },
        { "plain request that may run once", "/n/1", sameAgain, http_status::badGateway },
    };
    for (const row &each : rows) {
        SCOPED_TRACE(each.what);
        foreign_response_fixture fixture;
        fixture.server.late = [&each](const http_request &request) {
            return idOf(request) == "a" ? each.late(request) : "";
        };
        EXPECT_EQ(fixture.answered(each.path, "a")->response.status, http_status::ok);
        const auto second = fixture.answered(each.path, "b");
        EXPECT_EQ(fixture.server.doubled, 1U) << "the connection was used again";
        EXPECT_EQ(second->response.status, each.status);
        EXPECT_EQ(second->response.body.find("data: a"), std::string::npos) << second->response.body;
        EXPECT_NE(platform::decodeAnswer(second->response).signature, "sig-a");
        const std::size_t connections = fixture.server.connections;
        const auto third = fixture.answered(each.path, "c");
        EXPECT_EQ(third->response.status, http_status::ok);
        EXPECT_NE(third->response.body.find("data: c"), std::string::npos) << third->response.body;
        EXPECT_EQ(fixture.server.connections, connections + (each.status == http_status::ok ? 0 : 1)) << "a connection out of step is not used again";
    }
}

/** A late rejection of another request was believed before its id was compared, so a request that may run once ran at two servers. */
TEST(foreign_response_test, requestRunsTwiceAfterLateRejection)
{
    for (const char *path : { "/n/1", "/p/1" }) {
        SCOPED_TRACE(path);
        foreign_response_fixture fixture;
        fixture.server.late = [](const http_request &request) {
            return idOf(request) == "a" ? rawResponse(503, signedFields(request) + testing::rejectionLine + testing::leavingLine + testing::limitLine, "") : "";
        };
        EXPECT_EQ(fixture.answered(path, "a")->response.status, http_status::ok);
        const auto second = fixture.answered(path, "b");
        EXPECT_EQ(fixture.server.doubled, 1U);
        EXPECT_EQ(second->response.status, path == std::string("/n/1") ? http_status::badGateway : http_status::ok);
        EXPECT_EQ(std::ranges::count(fixture.server.requests, "b", idOf), path == std::string("/n/1") ? 1 : 2);
        EXPECT_EQ(fixture.answered(path, "c")->response.status, http_status::ok) << "the server neither leaves nor has a limit";
    }
}

/** A server rejects a request, is asked again and sends its rejection a second time, while the second try runs. */
TEST(foreign_response_test, secondRejectionOfSameRequestIsTakenForThatOfNextTry)
{
    foreign_response_fixture fixture;
    int tries = 0;
    doubling_server server(fixture.io, doublingPort + 2, [&tries](const http_request &request) {
        return ++tries == 1 ? rawResponse(503, signedFields(request) + testing::rejectionLine, "") : rawResponse(200, signedFields(request), "done");
    });
    server.late = [&tries](const http_request &request) {
        return tries == 0 ? rawResponse(503, signedFields(request) + testing::rejectionLine, "") : "";
    };
    fixture.enter("i-2", { "127.0.0.1", doublingPort + 2 }, "ready", 200);
    fixture.readAgain();
    EXPECT_EQ(fixture.answered("/n/1", "a")->response.status, http_status::ok);
    EXPECT_EQ(tries, 2) << "rejected once and run once";
    EXPECT_EQ(server.doubled, 0U) << "the second try has a connection of its own";
}

/** Items, calls of scorers and orders take a late response to another request for their own. */
TEST(foreign_response_test, itemTakesResponseOfAnotherRequest)
{
    struct row
    {
        const char *what;
        int status;
        std::string fields;
    };
    const row rows[] = {
        { "rejection", 503, std::string(testing::rejectionLine) + testing::leavingLine },
        { "other instance", 421, testing::rejectionLine },
        { "failure", 500, "" },
        { "permanent failure", 422, "" },
        { "success", 200, std::string(testing::newVersionLine) + testing::leavingLine },
    };
    for (const row &each : rows) {
        SCOPED_TRACE(each.what);
        foreign_response_fixture fixture;
        fixture.server.late = [&each](const http_request &request) {
            return idOf(request) == "a" ? rawResponse(each.status, signedFields(request) + each.fields, eventsOf(request)) : "";
        };
        EXPECT_EQ(fixture.answered("/p/1", "a")->response.status, http_status::ok);
        const auto worker = fixture.startJob(1);
        EXPECT_TRUE(fixture.runUntil([&] {
            worker->advance();
            return worker->progress().count(item_stage::Recording) == 1;
        }));
        EXPECT_EQ(fixture.server.doubled, 1U);
        EXPECT_EQ(worker->progress().state(0).text, "item-0\nitem-0");
        EXPECT_FALSE(worker->progress().state(0).isGivenUp);
        EXPECT_EQ(worker->progress().state(0).failures, 0);
        EXPECT_EQ(std::ranges::count(fixture.server.requests, "item-0", idOf), 2);
        worker->stop();
        EXPECT_EQ(fixture.answered("/p/1", "c")->response.status, http_status::ok) << "the server does not leave";
    }
}

/** A server fails an item once and sends that response a second time, where the response to the next run is due. It counted as a second failure. */
TEST(foreign_response_test, secondResponseToSameItemCountsAsFailureOfNextRun)
{
    foreign_response_fixture fixture;
    fixture.putConfiguration(3, { { "j", "/j/", route_kind::Batch, true, 2 } });
    fixture.readAgain();
    int runs = 0;
    const auto failed = [](const http_request &request) {
        return rawResponse(500, signedFields(request), "failed");
    };
    doubling_server server(fixture.io, doublingPort + 3, [&](const http_request &request) {
        return ++runs == 1 ? failed(request) : rawResponse(200, signedFields(request), eventsOf(request));
    });
    server.late = [&](const http_request &request) {
        return runs == 0 ? failed(request) : "";
    };
    fixture.enter("i-2", { "127.0.0.1", doublingPort + 3 }, "ready", 200);
    fixture.readAgain();
    const auto worker = fixture.startJob(1);
    EXPECT_TRUE(fixture.runUntil([&] {
        worker->advance();
        return worker->progress().count(item_stage::Recording) == 1;
    }));
    EXPECT_FALSE(worker->progress().state(0).isGivenUp) << "it failed once, where two failures are allowed";
    EXPECT_EQ(runs, 2);
    EXPECT_EQ(server.doubled, 0U) << "the second run has a connection of its own";
    worker->stop();
}

/** A success without a server's signature was passed on as the begin of a stream. */
TEST(foreign_response_test, streamWithoutSignatureIsNotPassedOn)
{
    foreign_response_fixture fixture;
    doubling_server unsignedServer(fixture.io, doublingPort + 1, [](const http_request &request) {
        return rawResponse(200, testing::requestLine(idOf(request)), eventsOf(request));
    });
    fixture.enter("i-2", { "127.0.0.1", doublingPort + 1 }, "ready", 200);
    fixture.readAgain();
    const auto exchange = fixture.answered("/u/1", "a");
    EXPECT_EQ(exchange->response.status, http_status::badGateway);
    EXPECT_EQ(exchange->response.body.find("data:"), std::string::npos);
}

} // namespace
} // namespace reedtrail
