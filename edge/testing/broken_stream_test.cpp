// A caller's stream has begun and breaks off, and what servers answer to the request for the rest of it is no stream.

#include "platform/testing/node_fixture.h"
#include "platform/testing/scripted_engine.h"

namespace reedtrail {
namespace {

using namespace std::chrono_literals;
using testing::node_fixture;
using testing::scripted_engine;
using testing::served_run;

constexpr const char *begun = "id: 1\ndata: a\n\n";
constexpr const char *rest = "id: 2\ndata: b\n\n";

const served_run brokenRun{ .parts = { { 0ms, begun } }, .isCut = true };
const served_run restRun{ .parts = { { 0ms, rest } } };

served_run failure(std::uint16_t status)
{
    return { .status = status, .parts = { { 0ms, "data: error text\n\n" } } };
}

/** The text of the error, and at times its head, was written into the stream. */
TEST(broken_stream_test, errorOfNextServerIsWrittenIntoStream)
{
    struct row
    {
        const char *what;
        std::vector<served_run> runs; ///< The last one is repeated.
        std::string body;
        bool isAborted;
    };
    const served_run full{ .status = http_status::unavailable, .isNotExecuted = true };
    const row rows[] = {
        { "failure", { brokenRun, failure(500) }, begun, true },
        { "deadline", { brokenRun, failure(504) }, begun, true },
        { "bad request", { brokenRun, failure(400) }, begun, true },
        { "unknown", { brokenRun, failure(404) }, begun, true },
        { "redirection", { brokenRun, failure(302) }, begun, true },
        { "success without content", { brokenRun, { .status = 204 } }, begun, true },
        { "other success", { brokenRun, { .status = 206, .parts = { { 0ms, rest } } } }, begun, true },
        { "full", { brokenRun, full }, begun, true },
        { "failure, then the rest", { brokenRun, failure(500), restRun }, std::string(begun) + rest, false },
        { "bad request, then the rest", { brokenRun, failure(400), restRun }, std::string(begun) + rest, false },
        { "full, then the rest", { brokenRun, full, full, restRun }, std::string(begun) + rest, false },
        { "broken again, then failure", { brokenRun, { .parts = { { 0ms, rest } }, .isCut = true }, failure(500) }, std::string(begun) + rest, true },
    };
    for (const row &each : rows) {
        SCOPED_TRACE(each.what);
        node_fixture fixture;
        scripted_engine engine(fixture.loop, each.runs);
        fixture.setScript([&engine](const std::shared_ptr<http_exchange> &exchange) {
            engine.serve(exchange);
        });
        const auto exchange = fixture.startRequest("prompt", "/t/1");
        EXPECT_TRUE(fixture.runUntil([&] {
            return exchange->isDone;
        }));
        EXPECT_EQ(exchange->answers, 1) << "the caller sees one head";
        EXPECT_EQ(exchange->response.status, http_status::ok);
        EXPECT_EQ(exchange->response.body, each.body);
        EXPECT_EQ(exchange->isAborted, each.isAborted) << "what is missing must not look complete";
    }
}

/** Before the first event, a server's failure is the caller's answer, unchanged. */
TEST(broken_stream_test, failureBeforeFirstEventIsPassedOn)
{
    for (const std::uint16_t status : { 400, 422, 500 }) {
        SCOPED_TRACE(status);
        node_fixture fixture;
        scripted_engine engine(fixture.loop, { failure(status) });
        fixture.setScript([&engine](const std::shared_ptr<http_exchange> &exchange) {
            engine.serve(exchange);
        });
        const auto exchange = fixture.startRequest("prompt", "/t/1");
        EXPECT_TRUE(fixture.runUntil([&] {
            return exchange->isDone;
        }));
        EXPECT_EQ(exchange->answers, 1);
        EXPECT_EQ(exchange->response.status, status);
        EXPECT_EQ(platform::decodeAnswer(exchange->response).signature, "sig");
    }
}

} // namespace
} // namespace reedtrail
