// A server in trouble whose answer has a status that no final answer has. The bytes behind it may look like an answer to the request.

#include "net/testing/doubling_server.h"
#include "platform/testing/node_fixture.h"

namespace reedtrail {
namespace {

using testing::doubling_server;
using testing::node_fixture;
using testing::rawResponse;

constexpr std::uint16_t troubledPort = testing::firstServerPort + 7;

/** A node whose only server answers with the status lines of a server in trouble. */
struct troubled_fixture : node_fixture
{
    troubled_fixture()
        : node_fixture({}, endpoint{ "127.0.0.1", troubledPort })
        , server(io, troubledPort, [this](const http_request &request) {
            const std::string id(platform::requestIdOf(request));
            const std::string inside = rawResponse(200, testing::serverFieldLines(id), "id: 1\ndata: inside\n\n");
            return "HTTP/1.1 " + status + " Trouble\r\n" + testing::serverFieldLines(id) + "Content-Length: " + std::to_string(inside.size()) + "\r\n\r\n"
                + inside;
        })
    {
        useAllKinds("i-1");
    }

    std::string status;
    doubling_server server;
};

/** Guards against an answer with a status that is none, or of bytes that belong to no answer, which a caller took for the server's. */
TEST(trouble_status_test, callerGetsStatusThatIsNoneOrBytesBehindIt)
{
    troubled_fixture fixture;
    for (const char *status : { "000", "001", "099", "100", "101", "199", "600", "999" }) {
        fixture.status = status;
        for (const char *path : { "/n/1", "/p/1", "/t/1", "/u/1" }) {
            SCOPED_TRACE(std::string(status) + " on " + path);
            const auto exchange = fixture.startRequest("body", path);
            EXPECT_TRUE(fixture.runUntil([&] {
                return exchange->isDone;
            }));
            EXPECT_EQ(exchange->response.status, http_status::badGateway) << "the server may have run the request";
            EXPECT_EQ(testing::signatureIn(exchange->response), "");
            EXPECT_EQ(exchange->response.body.find("inside"), std::string::npos);
        }
    }
}

/** Guards against an item that is completed with the text behind such a status. */
TEST(trouble_status_test, itemIsCompletedWithBytesBehindStatus)
{
    troubled_fixture fixture;
    fixture.status = "000";
    const auto worker = fixture.startJob(1);
    EXPECT_TRUE(fixture.runUntil([&] {
        worker->advance();
        return fixture.server.requests.size() >= 2;
    }));
    EXPECT_EQ(worker->progress().state(0).lastEvent, 0U);
    EXPECT_EQ(worker->progress().count(item_stage::Finished) + worker->progress().count(item_stage::Recording), 0U);
    worker->stop();
}

} // namespace
} // namespace reedtrail
