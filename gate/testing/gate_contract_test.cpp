// Runs a gate on real sockets against backend servers that fail in each way of a table. Each case checks the caller's answer and that it is true: "not run" is
// reported only if the server ran nothing, and a non-idempotent request runs at most once.

#include "base/check.h"
#include "gate/testing/gate_fixture.h"
#include "gate/testing/scripted_server.h"

#include <gtest/gtest.h>

namespace reedtrail {
namespace {

using testing::caller_answer;
using testing::callGate;
using testing::received_request;
using testing::scripted_connection;
using testing::scripted_server;

std::string event(const std::string &text, int offset, int version, bool isLast = false)
{
    return R"(data: {"id":"x","choices":[{"text":")" + text + R"(","index":0,"finish_reason":)" + (isLast ? R"("stop")" : "null") + R"(}],"weight_version":)"
        + std::to_string(version) + R"(,"offset":)" + std::to_string(offset) + "}\n\n";
}

/** Streams the tokens with numbers @p from to @p to - 1 of the five tokens "a" to "e". The weight version is 7 for the first three and 8 after them. */
void streamTokens(scripted_connection &connection, int from, int to)
{
    for (int token = from; token < to; ++token) {
        connection.chunk(event(std::string(1, static_cast<char>('a' + token)), token + 1, token < 3 ? 7 : 8, token == 4));
    }
}

void streamAll(scripted_connection &connection, int from)
{
    connection.beginStream();
    streamTokens(connection, from, 5);
    connection.chunk("data: [DONE]\n\n");
    connection.endStream();
}

/** One way in which a service answers its first request. */
struct service_case
{
    std::string name;
    scripted_server::script script;
    int runs = 0; ///< How often the first attempt runs: 0 or 1.
    int status = 0; ///< HTTP status that the caller of a non-idempotent request gets.
    std::string outcome; ///< Header Reedtrail-Outcome that this caller gets.
};

std::vector<service_case> serviceCases()
{
    return {
        { "answers",
          [](scripted_connection &c, const received_request &) {
              c.respond(200, "fine");
          },
          1,
          200,
          "done" },
        { "answers with an application error",
          [](scripted_connection &c, const received_request &) {
              c.respond(422, "no");
          },
          1,
          422,
          "done" },
        { "closes before the head",
          [](scripted_connection &c, const received_request &) {
              c.close();
          },
          1,
          502,
          "unknown" },
        { "closes within the head",
          [](scripted_connection &c, const received_request &) {
              c.write("HTTP/1.1 200 OK\r\nContent-Le");
              c.close();
          },
          1,
          502,
          "unknown" },
        { "closes after the head",
          [](scripted_connection &c, const received_request &) {
              c.write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n");
              c.close();
          },
          1,
          502,
          "unknown" },
        { "closes within the body",
          [](scripted_connection &c, const received_request &) {
              c.write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
              c.close();
          },
          1,
          502,
          "unknown" },
        { "goes silent before the head",
          [](scripted_connection &c, const received_request &) {
              c.goSilent();
          },
          1,
          504,
          "unknown" },
        { "goes silent within the body",
          [](scripted_connection &c, const received_request &) {
              c.write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
              c.goSilent();
          },
          1,
          504,
          "unknown" },
        { "sends bytes that are not HTTP",
          [](scripted_connection &c, const received_request &) {
              c.write("\x01\x02 what is this\r\n\r\n");
          },
          1,
          502,
          "unknown" },
        { "sends a head that is too large",
          [](scripted_connection &c, const received_request &) {
              c.write("HTTP/1.1 200 OK\r\nX: " + std::string(1 << 20, 'x') + "\r\n\r\n");
              c.close();
          },
          1,
          502,
          "unknown" },
        { "answers 503",
          [](scripted_connection &c, const received_request &) {
              c.respond(503, "busy");
          },
          1,
          502,
          "unknown" },
    };
}

class gate_contract : public ::testing::Test
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

/** A non-idempotent request that may have run must not be sent to a server again, and its caller must not be told "not run". */
TEST_F(gate_contract, NonIdempotentRequestsAreSentOnce)
{
    for (const service_case &each : serviceCases()) {
        SCOPED_TRACE(each.name);
        scripted_server server("desk-0", 31010, each.script);
        const node_settings settings = testing::nodeSettingsOn("entry-a1", 31000);
        testing::fake_steward steward(settings.listen.stewardPeer, testing::fleetViewOf({}, { 31010 }));
        testing::running_gate gate(settings);
        gate.waitForServers(1);
        const caller_answer answer = callGate(31000, "POST", "/svc/desk/orders", "menu");
        EXPECT_EQ(answer.status, each.status) << answer.body;
        EXPECT_EQ(answer.outcome(), each.outcome);
        EXPECT_EQ(server.requests(), static_cast<std::uint64_t>(each.runs)) << "a non-idempotent request is sent to a server once";
    }
}

/** A failed attempt of an idempotent request is retried on another server, so that the caller sees no error. */
TEST_F(gate_contract, IdempotentRequestsAreRetriedOnce)
{
    for (const service_case &each : serviceCases()) {
        SCOPED_TRACE(each.name);
        std::atomic<int> attempts{ 0 };
        const auto failFirst = [&attempts, &each](scripted_connection &connection, const received_request &request) {
            if (++attempts == 1) {
                each.script(connection, request);
            } else {
                connection.respond(200, "second");
            }
        };
        scripted_server one("desk-0", 31010, failFirst);
        scripted_server other("desk-1", 31011, failFirst);
        const node_settings settings = testing::nodeSettingsOn("entry-a1", 31000);
        testing::fake_steward steward(settings.listen.stewardPeer, testing::fleetViewOf({}, { 31010, 31011 }));
        testing::running_gate gate(settings);
        gate.waitForServers(2);
        const caller_answer answer = callGate(31000, "GET", "/svc/desk/menu", "");
        EXPECT_EQ(answer.outcome(), "done");
        EXPECT_EQ(attempts, each.outcome == "done" ? 1 : 2);
        EXPECT_EQ(answer.body, each.outcome == "done" ? answer.body : "second");
    }
}

/** One way in which a model engine answers. */
struct engine_case
{
    std::string name;
    scripted_server::script script;
    bool isWhole = true; ///< Whether the caller gets all tokens and the end marker.
};

std::vector<engine_case> engineCases()
{
    const auto isResume = [](const received_request &request) {
        return request.method == "GET";
    };
    const auto offsetOf = [](const received_request &request) {
        return std::stoi(request.target.substr(request.target.find("offset=") + 7));
    };
    const auto resumeAfter = [isResume, offsetOf](auto interrupt) {
        return [isResume, offsetOf, interrupt](scripted_connection &connection, const received_request &request) {
            if (isResume(request)) {
                streamAll(connection, offsetOf(request));
                return;
            }
            connection.beginStream();
            streamTokens(connection, 0, 2);
            interrupt(connection);
        };
    };
    return {
        { "streams all tokens",
          [](scripted_connection &c, const received_request &) {
              streamAll(c, 0);
          },
          true },
        { "breaks off and resumes",
          resumeAfter([](scripted_connection &c) {
              c.close();
          }),
          true },
        { "goes silent and resumes",
          resumeAfter([](scripted_connection &c) {
              c.goSilent();
          }),
          true },
        { "breaks off within an event and resumes",
          resumeAfter([](scripted_connection &c) {
              c.chunk("data: {\"id\":\"x\",\"choi");
              c.close();
          }),
          true },
        { "ends without the end marker and resumes",
          resumeAfter([](scripted_connection &c) {
              c.endStream();
          }),
          true },
        { "breaks off after each token",
          [isResume, offsetOf](scripted_connection &c, const received_request &request) {
              const int from = isResume(request) ? offsetOf(request) : 0;
              c.beginStream();
              streamTokens(c, from, from + 1);
              if (from + 1 == 5) {
                  c.chunk("data: [DONE]\n\n");
                  c.endStream();
              } else {
                  c.close();
              }
          },
          true },
        { "repeats tokens on resume",
          [isResume](scripted_connection &c, const received_request &request) {
              if (isResume(request)) {
                  streamAll(c, 0);
                  return;
              }
              c.beginStream();
              streamTokens(c, 0, 2);
              c.close();
          },
          true },
        { "forgets the stream",
          [isResume](scripted_connection &c, const received_request &request) {
              if (isResume(request)) {
                  c.respond(404, "{}");
                  return;
              }
              c.beginStream();
              streamTokens(c, 0, 2);
              c.close();
          },
          false },
        { "sends an invalid event",
          [](scripted_connection &c, const received_request &) {
              c.beginStream();
              streamTokens(c, 0, 2);
              c.chunk("data: nonsense\n\n");
              c.goSilent();
          },
          false },
    };
}

std::string textOf(const std::string &stream)
{
    std::string text;
    std::size_t at = 0;
    while ((at = stream.find("data: {", at)) != std::string::npos) {
        const nlohmann::json event = nlohmann::json::parse(stream.substr(at + 6, stream.find('\n', at) - at - 6), nullptr, false);
        if (event.is_object() && event.contains("choices") && !event.at("choices").empty()) {
            text += event.at("choices").front().value("text", "");
        }
        ++at;
    }
    return text;
}

/** When an engine's connection breaks, the gate resumes the stream at its offset. The caller must get each token once, or an error event and no end marker. */
TEST_F(gate_contract, StreamsLoseAndDuplicateNoToken)
{
    const std::string body = R"({"model":"model","prompt":"repair note","max_tokens":5,"stream":true})";
    for (const engine_case &each : engineCases()) {
        SCOPED_TRACE(each.name);
        scripted_server engine("engine-0", 31012, each.script);
        const node_settings settings = testing::nodeSettingsOn("entry-a1", 31000);
        testing::fake_steward steward(settings.listen.stewardPeer, testing::fleetViewOf({ 31012 }, {}));
        testing::running_gate gate(settings);
        gate.waitForServers(1);
        const caller_answer answer = callGate(31000, "POST", "/v1/completions", body);
        EXPECT_EQ(answer.status, 200);
        EXPECT_EQ(textOf(answer.body), each.isWhole ? "abcde" : "ab");
        EXPECT_EQ(answer.body.find("[DONE]") != std::string::npos, each.isWhole) << "an incomplete stream must not have the end marker";
        EXPECT_EQ(answer.body.find("event: error") != std::string::npos, !each.isWhole);
        if (each.isWhole) {
            EXPECT_NE(answer.body.find(R"("weight_versions":[{"from":0,"to":3,"version":7},{"from":3,"to":5,"version":8}])"), std::string::npos) << answer.body;
        }
    }
}

/** If the caller has no token yet, a completion that cannot be resumed restarts on another engine. Tokens of the first attempt must not reach the answer. */
TEST_F(gate_contract, BufferedCompletionsRestartOnAnotherEngine)
{
    std::atomic<int> attempts{ 0 };
    const auto breakFirst = [&attempts](scripted_connection &connection, const received_request &request) {
        if (request.method != "POST") {
            connection.respond(404, "{}");
        } else if (++attempts == 1) {
            connection.beginStream();
            streamTokens(connection, 0, 2);
            connection.close();
        } else {
            streamAll(connection, 0);
        }
    };
    scripted_server one("engine-0", 31012, breakFirst);
    scripted_server other("engine-1", 31013, breakFirst);
    const node_settings settings = testing::nodeSettingsOn("entry-a1", 31000);
    testing::fake_steward steward(settings.listen.stewardPeer, testing::fleetViewOf({ 31012, 31013 }, {}));
    testing::running_gate gate(settings);
    gate.waitForServers(2);
    const caller_answer answer = callGate(31000, "POST", "/v1/completions", R"({"model":"model","prompt":"p"})");
    EXPECT_EQ(answer.status, 200) << answer.body;
    const nlohmann::json body = nlohmann::json::parse(answer.body);
    EXPECT_EQ(body.at("choices").front().at("text"), "abcde");
    EXPECT_EQ(body.at("weight_versions").size(), 2U);
    EXPECT_EQ(attempts, 2);
}

/** A gate that stops must not cut open streams: drain waits for them while new requests are refused. */
TEST_F(gate_contract, DrainWaitsForOpenStreams)
{
    std::promise<void> begun;
    std::promise<void> goOn;
    std::shared_future<void> mayGoOn = goOn.get_future().share();
    scripted_server engine("engine-0", 31012, [&](scripted_connection &connection, const received_request &) {
        connection.beginStream();
        streamTokens(connection, 0, 2);
        begun.set_value();
        mayGoOn.wait();
        streamTokens(connection, 2, 5);
        connection.chunk("data: [DONE]\n\n");
        connection.endStream();
    });
    const node_settings settings = testing::nodeSettingsOn("entry-a1", 31000);
    fleet_view view = testing::fleetViewOf({ 31012 }, {});
    view.document["pools"][0]["silenceTimeoutMs"] = 20000;
    view.document["pools"][0]["defaultDeadlineMs"] = 30000;
    testing::fake_steward steward(settings.listen.stewardPeer, view);
    testing::running_gate gate(settings);
    gate.waitForServers(1);
    std::future<caller_answer> answer = std::async(std::launch::async, [] {
        return callGate(31000, "POST", "/v1/completions", R"({"model":"model","prompt":"p","stream":true})");
    });
    begun.get_future().wait();
    testing::keep_alive_client kept(31000);
    EXPECT_EQ(kept.call("GET", "/svc/desk/menu", "").fields["Reedtrail-Error"], "no-server");
    std::future<void> drained = gate.drain();
    gate.waitUntil([](const nlohmann::json &state) {
        return state.at("traffic").at("drain") != "serving";
    });
    EXPECT_EQ(kept.call("GET", "/svc/desk/menu", "").fields["Reedtrail-Error"], "draining");
    EXPECT_EQ(drained.wait_for(std::chrono::seconds(0)), std::future_status::timeout);
    goOn.set_value();
    EXPECT_EQ(textOf(answer.get().body), "abcde");
    drained.wait();
}

/** A server that is about to leave must get no new request, whichever of the three sources reports it first. */
TEST_F(gate_contract, LeavingServersGetNoNewRequests)
{
    const auto answer = [](scripted_connection &connection, const received_request &) {
        connection.respond(200, "fine");
    };
    const std::vector<std::string> hints{ "settings", "VM list", "load report" };
    for (const std::string &hint : hints) {
        SCOPED_TRACE(hint);
        scripted_server leaving("desk-0", 31010, answer);
        scripted_server staying("desk-1", 31011, answer);
        const node_settings settings = testing::nodeSettingsOn("entry-a1", 31000);
        fleet_view view = testing::fleetViewOf({}, { 31010, 31011 });
        testing::fake_steward steward(settings.listen.stewardPeer, view);
        testing::running_gate gate(settings);
        gate.waitForServers(2);
        view.revision = 2;
        if (hint == "settings") {
            view.document["pools"][1]["servers"][0]["isLeaving"] = true;
        } else if (hint == "VM list") {
            view.leavingServers = { server_id("desk-0") };
        } else {
            leaving.setState("leaving");
        }
        steward.publishView(view);
        gate.waitUntil([](const nlohmann::json &state) {
            return state.at("traffic").at("broker").dump().find(R"("leaving":true)") != std::string::npos;
        });
        const std::uint64_t before = leaving.requests();
        for (int request = 0; request < 20; ++request) {
            EXPECT_EQ(callGate(31000, "GET", "/svc/desk/menu", "").status, 200);
        }
        EXPECT_EQ(leaving.requests(), before);
    }
}

} // namespace
} // namespace reedtrail
