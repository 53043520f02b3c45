// The gate on real sockets against backend servers that fail in every way of the table. What is checked of each case: the caller's answer, and that it is
// true: "not run" only if the server ran nothing, and a non-idempotent request never more than once.

#include "base/check.h"
#include "gate/testing/gate_fixture.h"
#include "gate/testing/raw_server.h"

#include <gtest/gtest.h>

namespace reedtrail {
namespace {

using testing::caller_answer;
using testing::callGate;
using testing::raw_connection;
using testing::raw_request;
using testing::raw_server;

std::string event(const std::string &text, int offset, int version, bool isLast = false)
{
    return R"(data: {"id":"x","choices":[{"text":")" + text + R"(","index":0,"finish_reason":)" + (isLast ? R"("stop")" : "null") + R"(}],"weight_version":)"
        + std::to_string(version) + R"(,"offset":)" + std::to_string(offset) + "}\n\n";
}

/** Streams tokens "a" to "e" from @p from on; versions change after the third. */
void streamTokens(raw_connection &connection, int from, int to)
{
    for (int token = from; token < to; ++token) {
        connection.chunk(event(std::string(1, static_cast<char>('a' + token)), token + 1, token < 3 ? 7 : 8, token == 4));
    }
}

void streamWhole(raw_connection &connection, int from)
{
    connection.beginStream();
    streamTokens(connection, from, 5);
    connection.chunk("data: [DONE]\n\n");
    connection.endStream();
}

/** One way in which a plain service answers its first request. */
struct service_case
{
    std::string name;
    raw_server::script script;
    int runs = 0; ///< How often the first attempt runs, 0 or 1.
    int status = 0; ///< What a caller of a non-idempotent request gets.
    std::string outcome;
};

std::vector<service_case> serviceCases()
{
    return {
        { "answers",
          [](raw_connection &c, const raw_request &) {
              c.respond(200, "fine");
          },
          1,
          200,
          "done" },
        { "answers an error of its own",
          [](raw_connection &c, const raw_request &) {
              c.respond(422, "no");
          },
          1,
          422,
          "done" },
        { "closes before the head",
          [](raw_connection &c, const raw_request &) {
              c.close();
          },
          1,
          502,
          "unknown" },
        { "closes within the head",
          [](raw_connection &c, const raw_request &) {
              c.write("HTTP/1.1 200 OK\r\nContent-Le");
              c.close();
          },
          1,
          502,
          "unknown" },
        { "closes after the head",
          [](raw_connection &c, const raw_request &) {
              c.write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n");
              c.close();
          },
          1,
          502,
          "unknown" },
        { "closes within the body",
          [](raw_connection &c, const raw_request &) {
              c.write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
              c.close();
          },
          1,
          502,
          "unknown" },
        { "goes silent before the head",
          [](raw_connection &c, const raw_request &) {
              c.goSilent();
          },
          1,
          504,
          "unknown" },
        { "goes silent within the body",
          [](raw_connection &c, const raw_request &) {
              c.write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
              c.goSilent();
          },
          1,
          504,
          "unknown" },
        { "sends no HTTP",
          [](raw_connection &c, const raw_request &) {
              c.write("\x01\x02 what is this\r\n\r\n");
          },
          1,
          502,
          "unknown" },
        { "sends a head too large",
          [](raw_connection &c, const raw_request &) {
              c.write("HTTP/1.1 200 OK\r\nX: " + std::string(1 << 20, 'x') + "\r\n\r\n");
              c.close();
          },
          1,
          502,
          "unknown" },
        { "answers 503",
          [](raw_connection &c, const raw_request &) {
              c.respond(503, "busy");
          },
          1,
          502,
          "unknown" },
    };
}

class GateContract : public ::testing::Test
{
protected:
    void SetUp() override
    {
        m_checksBefore = failedChecks();
        setAbortOnFailedCheck(false);
    }
    void TearDown() override
    {
        EXPECT_EQ(failedChecks(), m_checksBefore);
    }

private:
    std::uint64_t m_checksBefore = 0;
};

TEST_F(GateContract, NonIdempotentRequestsOnAServiceThatFails)
{
    for (const service_case &each : serviceCases()) {
        SCOPED_TRACE(each.name);
        raw_server server("desk-0", 31010, each.script);
        const node_settings settings = testing::nodeOn("entry-a1", 31000);
        testing::view_steward steward(settings.listen.stewardPeer, testing::viewOf({}, { 31010 }));
        testing::running_gate gate(settings);
        gate.waitForServers(1);
        const caller_answer answer = callGate(31000, "POST", "/svc/desk/orders", "menu");
        EXPECT_EQ(answer.status, each.status) << answer.body;
        EXPECT_EQ(answer.outcome(), each.outcome);
        EXPECT_EQ(server.requests(), static_cast<std::uint64_t>(each.runs)) << "a non-idempotent request is handed over once";
    }
}

TEST_F(GateContract, IdempotentRequestsAreRepeatedOnce)
{
    for (const service_case &each : serviceCases()) {
        SCOPED_TRACE(each.name);
        std::atomic<int> attempts{ 0 };
        const auto failFirst = [&attempts, &each](raw_connection &connection, const raw_request &request) {
            if (++attempts == 1) {
                each.script(connection, request);
            } else {
                connection.respond(200, "second");
            }
        };
        raw_server one("desk-0", 31010, failFirst);
        raw_server other("desk-1", 31011, failFirst);
        const node_settings settings = testing::nodeOn("entry-a1", 31000);
        testing::view_steward steward(settings.listen.stewardPeer, testing::viewOf({}, { 31010, 31011 }));
        testing::running_gate gate(settings);
        gate.waitForServers(2);
        const caller_answer answer = callGate(31000, "GET", "/svc/desk/menu", "");
        EXPECT_EQ(answer.outcome(), "done");
        EXPECT_EQ(attempts, each.outcome == "done" ? 1 : 2);
        EXPECT_EQ(answer.body, each.outcome == "done" ? answer.body : "second");
    }
}

} // namespace
} // namespace reedtrail
