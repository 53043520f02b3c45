// Requests under which backend servers end.

#include "platform/testing/node_fixture.h"

#include <algorithm>
#include <memory>
#include <vector>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;
using testing::node_fixture;
using testing::recorded_exchange;

constexpr std::uint16_t firstCrashingPort = 28821;
constexpr duration timeToCrash = 15ms;
constexpr duration timeToRestart = 120ms;
constexpr int allowedRetries = 3; // Of a request that has crashed three servers, over all nodes.

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
        if (exchange->request().body.starts_with("crash")) {
            runsAfterThirdEnd += ends >= 3 ? 1 : 0;
            m_fixture.loop.after(timeToCrash, [this, index, id, exchange] {
                end(index, id);
            });
            return;
        }
        m_fixture.loop.after(timeToCrash * 2, [exchange] {
            http_response response;
            response.fields = testing::serverFields(exchange->request());
            response.body = "ok";
            exchange->respond(std::move(response));
        });
    }
    void end(std::size_t index, const std::string &id)
    {
        if (m_servers[index].id != id || !m_servers[index].server) {
            return;
        }
        ++ends;
        m_servers[index].server->stop();
        m_servers[index].server.reset();
        m_fixture.loop.after(timeToRestart, [this, index, id] {
            m_fixture.removeServer(id);
            start(index);
        });
    }

    node_fixture &m_fixture;
    std::vector<crashing_server> m_servers;
    int m_starts = 0;
};

/** Sends a request again and again for @p time, each time after the last response. */
void repeat(node_fixture &fixture, const std::string &body, duration time)
{
    const time_point end = fixture.loop.now() + time;
    while (fixture.loop.now() < end) {
        const auto exchange = fixture.startRequest(body);
        EXPECT_TRUE(fixture.runUntil([&] {
            return exchange->isDone;
        }));
        fixture.run(20ms);
    }
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

} // namespace reedtrail
