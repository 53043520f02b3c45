// A server that stops in the middle of its answer's head, or later, and closes the connection.

#include "net/testing/doubling_server.h"
#include "platform/testing/node_fixture.h"

namespace reedtrail {
namespace {

using testing::doubling_server;
using testing::node_fixture;
using testing::rawResponse;

constexpr std::uint16_t cuttingPort = testing::firstServerPort + 8;

/** A node whose only server sends a part of each answer. */
struct cutting_fixture : node_fixture
{
    cutting_fixture()
        : node_fixture({}, endpoint{ "127.0.0.1", cuttingPort })
        , server(io, cuttingPort, [this](const http_request &request) {
            return answer(std::string(platform::requestIdOf(request))).substr(0, sent);
        })
    {
        server.closesAfterResponse = true;
        useAllKinds("i-1");
    }
    static std::string answer(const std::string &id)
    {
        return rawResponse(200, testing::serverFieldLines(id), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    }

    std::size_t sent = 0; ///< Bytes of each answer.
    doubling_server server;
};

/** Guards against a caller that gets a 200 with an empty or short body, framed as whole, though its server stopped in the head or the body. */
TEST(cut_answer_test, callerGetsCutAnswerAsWhole)
{
    cutting_fixture fixture;
    const std::string whole = fixture.answer("r");
    const std::size_t head = whole.find("\r\n\r\n") + 4;
    for (std::size_t sent : { std::size_t{ 0 },
                              std::size_t{ 8 },
                              std::size_t{ 12 },
                              std::size_t{ 17 },
                              std::size_t{ 30 },
                              head - 20,
                              head - 4,
                              head - 3,
                              head - 2,
                              head - 1,
                              head,
                              head + 3,
                              whole.size() - 1 }) {
        fixture.sent = sent;
        for (const char *path : { "/n/1", "/p/1", "/t/1", "/u/1" }) {
            SCOPED_TRACE(std::to_string(sent) + " of " + std::to_string(whole.size()) + " bytes on " + path);
            const auto exchange = fixture.startRequest("body", path);
            EXPECT_TRUE(fixture.runUntil([&] {
                return exchange->isDone;
            }));
            EXPECT_TRUE(exchange->response.status == http_status::badGateway || exchange->isAborted) << exchange->response.status;
        }
    }
    fixture.sent = whole.size();
    for (const char *path : { "/n/1", "/p/1", "/t/1", "/u/1" }) {
        const auto exchange = fixture.startRequest("body", path);
        EXPECT_TRUE(fixture.runUntil([&] {
            return exchange->isDone;
        }));
        EXPECT_EQ(exchange->response.status, http_status::ok) << path;
        EXPECT_FALSE(exchange->isAborted);
    }
}

} // namespace
} // namespace reedtrail
