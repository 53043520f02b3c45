// Requests under which backend servers end.

#include "platform/testing/node_fixture.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;
using testing::node_fixture;
using testing::recorded_exchange;

constexpr std::uint16_t firstCrashingPort = 28821;
constexpr duration timeToCrash = 15ms;
constexpr duration timeToRestart = 120ms;
constexpr duration contactTime = 3s; // After the third end, within which all nodes have to know.
constexpr int allowedRetries = 3; // Of a request that has crashed three servers, over all nodes.

/** Lets new connections to an address hang, as a machine without power does. */
class full_listener
{
public:
    full_listener(boost::asio::io_context &io, const endpoint &address)
        : m_acceptor(io)
    {
        const boost::asio::ip::tcp::endpoint local(boost::asio::ip::make_address(address.ip), address.port);
        m_acceptor.open(local.protocol());
        m_acceptor.set_option(boost::asio::socket_base::reuse_address(true));
        m_acceptor.bind(local);
        m_acceptor.listen(0);
        for (int i = 0; i < 4; ++i) { // More than the queue of new connections takes.
            m_queued.emplace_back(io);
            m_queued.back().async_connect(local, [](const boost::system::error_code &) {});
        }
    }
    void close()
    {
        m_acceptor.close();
        m_queued.clear();
    }

private:
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::vector<boost::asio::ip::tcp::socket> m_queued;
};

/** Servers that end at bodies that begin with "crash", and start again a moment later as other instances. */
class crashing_servers
{
public:
    crashing_servers(node_fixture &fixture, int count)
        : m_fixture(fixture)
    {
        for (int i = 0; i < count; ++i) {
            m_servers.push_back({ endpoint{ "127.0.0.1", static_cast<std::uint16_t>(firstCrashingPort + i) }, "", nullptr });
            start(m_servers.size() - 1);
        }
        m_fixture.removeServer("i-1");
        m_fixture.removeServer("i-2");
        m_fixture.run(1300ms); // The state at hand becomes too old, so the next request reads the registrations again.
    }

    int ends = 0; ///< Servers that have ended.
    int runs = 0; ///< Requests that servers began to run.
    int runsAfterThirdEnd = 0; ///< Of the bodies that crash servers.
    int items = 0; ///< Items of jobs that servers completed.
    bool crashesAtItems = false;
    duration unresponsiveFor{}; ///< For how long a server that ends leaves its connections open and takes no new ones; zero: it closes them at once.
    bool beginsStreams = false; ///< Sends the first event of a stream before it ends.
    /** What a body that crashes servers has done. */
    struct crashing_body
    {
        int ends = 0;
        time_point thirdEndAt;
        std::set<std::string> requestsAfterContact; ///< Ids of those that reached a server later than contactTime after the third end.
    };
    std::map<std::string, crashing_body> bodies;
    bool answersUnsigned = false; ///< After two ends, such bodies get a success without a signature in place of another end.
    int unsignedAnswers = 0;
    std::function<void()> onRun = [] {}; ///< Runs when a server begins to run a request.

private:
    struct crashing_server
    {
        endpoint address;
        std::string id;
        std::unique_ptr<http_server> server;
    };

    void start(std::size_t index)
    {
        crashing_server &each = m_servers[index];
        each.id = "c-" + std::to_string(++m_starts);
        each.server = std::make_unique<http_server>(
            m_fixture.io, http_server_options{ .address = each.address }, [this, index, id = each.id](const std::shared_ptr<http_exchange> &exchange) {
                serve(index, id, exchange);
            });
        EXPECT_TRUE(each.server->start());
        m_fixture.enter(each.id, each.address, "ready", 100 + m_starts);
    }
    void serve(std::size_t index, const std::string &id, const std::shared_ptr<http_exchange> &exchange)
    {
        ++runs;
        onRun();
        if (exchange->request().body.starts_with("crash") || (crashesAtItems && exchange->request().path().starts_with("/j/"))) {
            runsAfterThirdEnd += ends >= 3 ? 1 : 0;
            crashing_body &body = bodies[exchange->request().body];
            if (body.ends >= 3 && m_fixture.loop.now() > body.thirdEndAt + contactTime) {
                body.requestsAfterContact.insert(std::string(platform::requestIdOf(exchange->request())));
            }
            if (answersUnsigned && ends >= 2) {
                ++unsignedAnswers;
                exchange->respond({ http_status::ok, testing::namedRequest(std::string(platform::requestIdOf(exchange->request()))), "id: 1\ndata: a\n\n" });
                return;
            }
            if (unresponsiveFor > duration::zero()) {
                m_unanswered.push_back(exchange);
            }
            if (beginsStreams) {
                exchange->startStream({ http_status::ok, testing::serverFields(exchange->request()), "" });
                exchange->write("id: 1\ndata: a\n\n");
            }
            m_fixture.loop.after(timeToCrash, [this, index, id, exchange] {
                end(index, id, exchange->request().body);
            });
            return;
        }
        if (exchange->request().body.starts_with("cut")) {
            exchange->abort();
            return;
        }
        if (exchange->request().body.starts_with("garble")) {
            http_response response;
            response.fields = testing::serverFields(http_request{ "GET", "/", { { "Request-Id", "of another request" } }, "" });
            response.body = "not the answer";
            exchange->respond(std::move(response));
            return;
        }
        if (exchange->request().body.starts_with("hang")) {
            m_unanswered.push_back(exchange);
            return;
        }
        if (exchange->request().path().starts_with("/j/")) {
            ++items;
        }
        m_fixture.loop.after(timeToCrash * 2, [exchange] {
            http_response response;
            response.fields = testing::serverFields(exchange->request());
            response.body = "ok";
            exchange->respond(std::move(response));
        });
    }
    void end(std::size_t index, const std::string &id, const std::string &causedBy)
    {
        if (m_servers[index].id != id || !m_servers[index].server) {
            return;
        }
        ++ends;
        crashing_body &body = bodies[causedBy];
        body.thirdEndAt = ++body.ends == 3 ? m_fixture.loop.now() : body.thirdEndAt;
        if (unresponsiveFor > duration::zero()) {
            stopAnswering(index, id);
            return;
        }
        m_servers[index].server->stop();
        m_servers[index].server.reset();
        m_fixture.loop.after(timeToRestart, [this, index, id] {
            m_fixture.removeServer(id);
            start(index);
        });
    }
    /** Leaves the connections of a server open without an answer, and lets new ones hang, as a machine without power does. */
    void stopAnswering(std::size_t index, const std::string &id)
    {
        const std::shared_ptr<http_server> server = std::move(m_servers[index].server);
        server->stopAccepting();
        const auto full = std::make_shared<full_listener>(m_fixture.io, m_servers[index].address);
        m_fixture.loop.after(unresponsiveFor, [this, index, id, server, full] {
            full->close();
            server->stop();
            m_fixture.removeServer(id);
            start(index);
        });
    }

    node_fixture &m_fixture;
    std::vector<crashing_server> m_servers;
    std::vector<std::shared_ptr<http_exchange>> m_unanswered;
    int m_starts = 0;
};

/** Sends a request again and again for @p time, under a new id each time after the last response. */
void repeat(node_fixture &fixture, const std::string &body, duration time)
{
    const time_point end = fixture.loop.now() + time;
    for (int i = 1; fixture.loop.now() < end; ++i) {
        const auto exchange = fixture.startRequest(body, "/p/1", { { "Request-Id", "r-" + std::to_string(i) } });
        EXPECT_TRUE(fixture.runUntil([&] {
            return exchange->isDone;
        }));
        fixture.run(20ms);
    }
}

/** Sends requests again and again for @p time, each time under a new id after @p interval, whether or not there was a response. */
void sendEvery(node_fixture &fixture, const std::vector<std::string> &bodies, const std::string &path, duration interval, duration time)
{
    std::vector<std::shared_ptr<recorded_exchange>> exchanges;
    const time_point end = fixture.loop.now() + time;
    for (int i = 1; fixture.loop.now() < end; ++i) {
        for (const std::string &body : bodies) {
            exchanges.push_back(fixture.startRequest(body, path, { { "Request-Id", "r-" + std::to_string(i) + body } }));
        }
        fixture.run(interval);
    }
    EXPECT_TRUE(fixture.runUntil([&] {
        return std::ranges::all_of(exchanges, [](const auto &each) {
            return each->isDone;
        });
    }));
}

/** Checks that each body that crashes servers did so, and was sent no more often than allowed once all nodes have to know. */
void expectFewRequestsAfterContact(const crashing_servers &servers)
{
    EXPECT_FALSE(servers.bodies.empty());
    for (const auto &[text, body] : servers.bodies) {
        EXPECT_GE(body.ends, 3) << text;
        EXPECT_LE(std::ssize(body.requestsAfterContact), allowedRetries) << text << ", " << body.ends << " ends";
    }
}

/** Waits until the node knows a route for the path. */
void awaitRoute(node_fixture &fixture, const char *path)
{
    fixture.run(1300ms); // The configuration at hand becomes too old, so it is read again.
    EXPECT_TRUE(fixture.runUntil([&] {
        fixture.fleet->ensureCurrent([] {});
        return fixture.fleet->routes().match("h", path) != nullptr;
    }));
}

} // namespace

TEST(crashing_request, requestIsSentToServerAfterServerThatEndsUnderIt)
{
    node_fixture fixture;
    crashing_servers servers(fixture, 6);
    repeat(fixture, "crash", 2s);
    EXPECT_GE(servers.ends, 3);
    EXPECT_LE(servers.runsAfterThirdEnd, allowedRetries);
}

/** Guards against requests under which servers stop answering instead of closing connections: they were no suspects and were sent again and again. */
TEST(crashing_request, requestIsSentToServerAfterServerThatStopsAnswering)
{
    for (const duration unresponsiveFor : { 150ms, 900ms, 2500ms }) { // Back before the attempt's time limit, soon after it, and later.
        SCOPED_TRACE(toSeconds(unresponsiveFor));
        node_fixture fixture;
        crashing_servers servers(fixture, 6);
        servers.unresponsiveFor = unresponsiveFor;
        sendEvery(fixture, { "crash" }, "/p/1", 250ms, 7s);
        expectFewRequestsAfterContact(servers);
    }
}

/** Guards against the same on routes whose requests are sent once, in the middle of a stream, and with two such requests at a time. */
TEST(crashing_request, requestsOfAllKindsAreSentToServerAfterUnresponsiveServer)
{
    const struct
    {
        const char *what;
        const char *path;
        std::vector<std::string> bodies;
        bool beginsStreams;
    } cases[] = {
        { "sent once", "/n/1", { "crash" }, false },
        { "stream", "/t/1", { "crash" }, true },
        { "stream that may be resumed", "/u/1", { "crash" }, true },
        { "two requests", "/p/1", { "crash 1", "crash 2" }, false },
    };
    for (const auto &each : cases) {
        SCOPED_TRACE(each.what);
        node_fixture fixture;
        crashing_servers servers(fixture, 9);
        fixture.putConfiguration(2,
                                 { { "r", "/p/", route_kind::Idempotent },
                                   { "n", "/n/", route_kind::NonIdempotent },
                                   { "t", "/t/", route_kind::Streaming },
                                   { "u", "/u/", route_kind::Streaming, true, 3 } });
        awaitRoute(fixture, each.path);
        servers.unresponsiveFor = 2500ms;
        servers.beginsStreams = each.beginsStreams;
        sendEvery(fixture, each.bodies, each.path, 250ms, 8s);
        expectFewRequestsAfterContact(servers);
    }
}

/** Guards against requests whose callers always leave before the time limit, so that no node sees their attempts end. */
TEST(crashing_request, requestOfCallersThatLeaveIsSentToServerAfterUnresponsiveServer)
{
    node_fixture fixture;
    crashing_servers servers(fixture, 6);
    servers.unresponsiveFor = 900ms;
    const time_point end = fixture.loop.now() + 7s;
    for (int i = 1; fixture.loop.now() < end; ++i) {
        const auto exchange = fixture.startRequest("crash", "/p/1", { { "Request-Id", "r-" + std::to_string(i) } });
        fixture.run(100ms);
        exchange->leave();
        fixture.run(100ms);
    }
    expectFewRequestsAfterContact(servers);
}

/** Guards against innocent requests that stay suspects after their server was cut off or stood still for a while and goes on. */
TEST(crashing_request, answerOfUnresponsiveServerClearsRequest)
{
    node_fixture fixture;
    backend_choice server;
    server.id = "i-9";
    server.startedAt = 100;
    server.address = { "127.0.0.1", firstCrashingPort };
    full_listener unreachable(fixture.io, server.address);
    const request_identity identity = identify(outlineOf("POST", "h", "/p/1", "cut off"), "cut off");
    std::optional<bool> isRecorded;
    fixture.crashes->onUnanswered(identity, "r", server, true, 1s, [&](bool isEnded) {
        isRecorded = isEnded;
    });
    EXPECT_TRUE(fixture.runUntil([&] {
        return isRecorded.has_value();
    }));
    EXPECT_EQ(isRecorded, true);
    EXPECT_TRUE(fixture.crashes->isSuspect(identity));
    server.startedAt = 101;
    fixture.crashes->onAnswer(server);
    EXPECT_TRUE(fixture.crashes->isSuspect(identity)) << "another instance";
    server.startedAt = 100;
    fixture.crashes->onAnswer(server);
    EXPECT_FALSE(fixture.crashes->isSuspect(identity));
}

/**
 * Guards against requests that end servers and are cleared by a server that has not run them: it was cut off when the request was sent to it, and has answered
 * another one since.
 */
TEST(crashing_request, answerOfServerThatWasCutOffDoesNotClearEndsOfOthers)
{
    node_fixture fixture;
    const request_identity identity = identify(outlineOf("POST", "h", "/p/1", "ends"), "ends");
    int judged = 0;
    const auto count = [&judged](bool isEnded) {
        EXPECT_TRUE(isEnded);
        ++judged;
    };
    for (std::uint16_t i = 1; i <= 2; ++i) { // Nothing listens there.
        backend_choice ended;
        ended.id = "i-" + std::to_string(i + 10);
        ended.startedAt = 100;
        ended.address = { "127.0.0.1", static_cast<std::uint16_t>(firstCrashingPort + i) };
        fixture.crashes->onBroken(identity, "r", ended, true, count);
    }
    backend_choice cutOff;
    cutOff.id = "i-9";
    cutOff.startedAt = 100;
    cutOff.address = { "127.0.0.1", firstCrashingPort };
    full_listener unreachable(fixture.io, cutOff.address);
    fixture.crashes->onUnanswered(identity, "r", cutOff, true, 1s, count);
    EXPECT_TRUE(fixture.runUntil([&] {
        return judged == 3;
    }));
    fixture.crashes->onAnswer(cutOff);
    EXPECT_TRUE(fixture.crashes->isSuspect(identity));
}

/** A request that takes longer than its time limit at every server that runs it. The servers go on. */
TEST(crashing_request, requestThatIsSlowEverywhereIsNoSuspect)
{
    node_fixture fixture;
    crashing_servers servers(fixture, 6);
    repeat(fixture, "hang", 4s);
    EXPECT_EQ(fixture.crashes->dump().at("known"), 0);
}

/** The answer to a granted attempt is dropped before its first event. The next attempt needs a grant of its own. */
TEST(crashing_request, droppedAnswerLeavesGrantToNextAttempt)
{
    node_fixture fixture;
    crashing_servers servers(fixture, 6);
    fixture.putConfiguration(2, { { "t", "/t/", route_kind::Streaming, true, 6 } });
    fixture.readAgain();
    servers.answersUnsigned = true;
    const auto exchange = fixture.startRequest("crash", "/t/1");
    EXPECT_TRUE(fixture.runUntil([&] {
        return exchange->isDone;
    }));
    EXPECT_EQ(servers.ends, 2);
    EXPECT_EQ(servers.unsignedAnswers, 1) << "of one grant";
}

TEST(crashing_request, suspectRequestIsRefusedAtOnceWithTimeToReturn)
{
    node_fixture fixture;
    crashing_servers servers(fixture, 6);
    repeat(fixture, "crash", 500ms);
    const int runs = servers.runs;
    const time_point start = fixture.loop.now();
    const auto exchange = fixture.startRequest("crash");
    EXPECT_TRUE(fixture.runUntil([&] {
        return exchange->isDone;
    }));
    EXPECT_LT(fixture.loop.now() - start, 100ms);
    EXPECT_EQ(servers.runs, runs);
    EXPECT_EQ(exchange->response.status, http_status::unavailable) << "not run is true";
    EXPECT_GE(std::stod(std::string(exchange->response.fields.get("Retry-After"))), 1.0);
}

/** Requests that were on a server beside one that ends it are sent again, and are no suspects once a server has completed them. */
TEST(crashing_request, requestBesideCrashingOneIsServed)
{
    node_fixture fixture;
    crashing_servers servers(fixture, 4);
    std::vector<std::shared_ptr<recorded_exchange>> others;
    others.reserve(16);
    for (int i = 0; i < 8; ++i) {
        others.push_back(fixture.startRequest("note " + std::to_string(i)));
    }
    const auto crashing = fixture.startRequest("crash");
    for (int i = 8; i < 16; ++i) {
        others.push_back(fixture.startRequest("note " + std::to_string(i)));
    }
    EXPECT_TRUE(fixture.runUntil([&] {
        return crashing->isDone && std::ranges::all_of(others, &recorded_exchange::isDone);
    }));
    EXPECT_GE(servers.ends, 2);
    for (const auto &each : others) {
        EXPECT_EQ(each->response.status, http_status::ok);
    }
    for (int i = 0; i < 16; ++i) {
        const auto again = fixture.startRequest("note " + std::to_string(i));
        EXPECT_TRUE(fixture.runUntil([&] {
            return again->isDone;
        }));
        EXPECT_EQ(again->response.status, http_status::ok);
    }
}

/** Neither a connection that closes, nor an answer that is not the server's, nor none in time is an end of a server. */
TEST(crashing_request, requestThatFailsOnServersThatGoOnIsNoSuspect)
{
    const struct
    {
        const char *body;
        int minRuns;
    } cases[] = { { "cut", 11 }, { "garble", 11 }, { "hang", 3 } };
    for (const auto &each : cases) {
        node_fixture fixture;
        crashing_servers servers(fixture, 3);
        repeat(fixture, each.body, 500ms);
        EXPECT_GE(servers.runs, each.minRuns) << each.body;
        EXPECT_EQ(fixture.crashes->dump().at("known"), 0) << each.body;
    }
}

/** A server that is back is used again as soon as its registration says so, also at the address at which it ended. */
TEST(crashing_request, serverThatIsBackIsNotAvoided)
{
    node_fixture fixture;
    crashing_servers servers(fixture, 1);
    const auto crashing = fixture.startRequest("crash");
    EXPECT_TRUE(fixture.runUntil([&] {
        return servers.ends == 1 && crashing->isDone;
    }));
    fixture.run(timeToRestart + 1300ms); // It is back, and the state at hand becomes too old.
    const auto exchange = fixture.startRequest("note");
    EXPECT_TRUE(fixture.runUntil([&] {
        return exchange->isDone;
    }));
    EXPECT_EQ(exchange->response.status, http_status::ok);
}

/** The end of a server that leaves is nobody's doing. */
TEST(crashing_request, endOfServerThatLeavesDoesNotCount)
{
    node_fixture fixture;
    crashing_servers servers(fixture, 2);
    servers.onRun = [&fixture] {
        for (const char *server : { "c-1", "c-2" }) {
            fixture.fleet->recordLeaving(server, "test");
        }
    };
    const auto exchange = fixture.startRequest("crash");
    EXPECT_TRUE(fixture.runUntil([&] {
        return servers.ends >= 1 && exchange->isDone;
    }));
    EXPECT_EQ(fixture.crashes->dump().at("known"), 0);
}

TEST(crashing_request, requestThatMayRunOnceIsNotSentAgainAndRemembered)
{
    node_fixture fixture;
    crashing_servers servers(fixture, 6);
    fixture.putConfiguration(2, { { "n", "/n/", route_kind::NonIdempotent } });
    awaitRoute(fixture, "/n/1");
    for (int i = 0; i < 12; ++i) {
        const auto exchange = fixture.startRequest("crash", "/n/1");
        EXPECT_TRUE(fixture.runUntil([&] {
            return exchange->isDone;
        }));
        EXPECT_EQ(exchange->response.status, i < 3 ? http_status::badGateway : http_status::unavailable) << "repeat " << i;
    }
    EXPECT_EQ(servers.ends, 3);
}

TEST(crashing_request, streamIsNotResumedOnServerAfterServer)
{
    node_fixture fixture;
    crashing_servers servers(fixture, 6);
    fixture.putConfiguration(2, { { "t", "/t/", route_kind::Streaming } });
    awaitRoute(fixture, "/t/1");
    for (int i = 0; i < 12; ++i) {
        const auto exchange = fixture.startRequest("crash", "/t/1");
        EXPECT_TRUE(fixture.runUntil([&] {
            return exchange->isDone;
        }));
    }
    EXPECT_EQ(servers.ends, 3);
}

/** An item under which servers ended is run again until it is completed. */
TEST(crashing_request, itemIsNeverSuspect)
{
    node_fixture fixture;
    crashing_servers servers(fixture, 3);
    servers.crashesAtItems = true;
    const auto job = fixture.startJob(1);
    const auto advance = [&] {
        fixture.fleet->ensureCurrent([] {});
        job->advance();
    };
    EXPECT_TRUE(fixture.runUntil([&] {
        advance();
        return servers.ends >= 5;
    }));
    servers.crashesAtItems = false;
    EXPECT_TRUE(fixture.runUntil([&] {
        advance();
        return servers.items >= 1;
    }));
    EXPECT_EQ(fixture.crashes->dump().at("known"), 0);
    job->stop();
}

/** The servers end under the request and are back at once, so that their addresses never refuse a connection. Their registrations show it. */
TEST(crashing_request_test, serversThatEndAndAreBackAtOnceAreNotSeenToEnd)
{
    node_fixture fixture;
    std::int64_t startedAt = 100;
    int sent = 0;
    for (testing::test_server *server : { &fixture.first, &fixture.second }) {
        server->script = [&fixture, &startedAt, &sent, server](const std::shared_ptr<http_exchange> &exchange) {
            ++sent;
            exchange->abort();
            fixture.enter(server->id, server->address, "ready", ++startedAt);
        };
    }
    const request_identity identity = identify(outlineOf("POST", "h", "/p/1", "ends"), "ends");
    for (int i = 0; i < 3; ++i) {
        const auto exchange = fixture.startRequest("ends");
        EXPECT_TRUE(fixture.runUntil([&] {
            return exchange->isDone;
        }));
        fixture.run(1300ms); // The registrations are read again before the next request.
    }
    EXPECT_EQ(fixture.request(), http_status::badGateway) << "another request reads the registrations";
    EXPECT_TRUE(fixture.crashes->isSuspect(identity));
    const int before = sent;
    const auto exchange = fixture.startRequest("ends");
    EXPECT_TRUE(fixture.runUntil([&] {
        return exchange->isDone;
    }));
    EXPECT_LE(sent - before, allowedRetries);
}

} // namespace reedtrail
