// Servers that name in their responses how many requests a second they take from all nodes together.

#include "platform/testing/node_fixture.h"

#include <vector>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;
using testing::node_fixture;
using testing::test_server;

constexpr double tolerance = 1.5; // Multiple of its limit that a server in need bears.
constexpr int toleratedRequests = 5; // Requests beyond that.
constexpr duration window = 4s;

/** A node with one server. */
struct single_server_fixture : node_fixture
{
    single_server_fixture()
    {
        removeServer("i-2");
        run(1300ms); // The state at hand becomes too old, so the next request reads the registrations again.
    }
};

/** Notes when requests arrive at a server that names a limit. */
class limited_server
{
public:
    limited_server(node_fixture &fixture, test_server &server, const std::string &limit)
        : m_fixture(fixture)
        , m_server(server)
    {
        server.limit = limit;
        server.script = [this](const std::shared_ptr<http_exchange> &exchange) {
            arrivals.push_back(m_fixture.loop.now());
            http_response response;
            response.fields = testing::serverFields(exchange->request());
            m_server.addLimit(response);
            if (exchange->request().path() == "/p/1") {
                response.body = "ok";
                exchange->respond(std::move(response));
                return;
            }
            ++itemArrivals;
            exchange->startStream(std::move(response));
            exchange->write("id: 1\ndata: a\n\n");
            exchange->finishStream();
        };
    }
    /** Returns the most requests that arrived within a window, the first one of the test left out: it told the node the limit. */
    int mostInWindow() const
    {
        std::size_t most = 0;
        for (std::size_t first = 1; first < arrivals.size(); ++first) {
            std::size_t end = first;
            while (end < arrivals.size() && arrivals[end] < arrivals[first] + window) {
                ++end;
            }
            most = std::max(most, end - first);
        }
        return static_cast<int>(most);
    }

    /** Ends the limit: the server names none from now on. */
    void lift()
    {
        m_server.limit.clear();
    }

    std::vector<time_point> arrivals;
    std::size_t itemArrivals = 0;

private:
    node_fixture &m_fixture;
    test_server &m_server;
};

TEST(limited_server_test, serverInNeedGetsMoreRequestsThanItsLimit)
{
    single_server_fixture fixture;
    limited_server limited(fixture, fixture.first, "2");
    int refused = 0;
    for (int i = 0; i < 40; ++i) {
        refused += fixture.request() == http_status::unavailable ? 1 : 0;
        fixture.run(25ms);
    }
    EXPECT_LE(limited.mostInWindow(), toleratedRequests + 2 * tolerance * 4);
    EXPECT_GE(refused, 40 - toleratedRequests - 2 * tolerance * 4);
}

TEST(limited_server_test, requestIsRefusedAtOnceWithTimeToReturn)
{
    single_server_fixture fixture;
    limited_server limited(fixture, fixture.first, "1");
    fixture.requestMany(1);
    int refused = 0;
    for (int i = 0; i < 6; ++i) {
        const time_point askedAt = fixture.loop.now();
        const http_response response = fixture.responseTo();
        if (response.status == http_status::unavailable) {
            ++refused;
            EXPECT_LT(fixture.loop.now() - askedAt, 500ms) << "half of the least time of a request, for slow machines";
            EXPECT_GT(std::strtod(std::string(response.fields.get("Retry-After")).c_str(), nullptr), 0);
        }
    }
    EXPECT_GE(refused, 3);
}

TEST(limited_server_test, noCallerIsRefusedWhileAnotherServerHasRoom)
{
    node_fixture fixture;
    limited_server first(fixture, fixture.first, "1");
    limited_server second(fixture, fixture.second, "");
    for (int i = 0; i < 60; ++i) {
        EXPECT_EQ(fixture.request(), http_status::ok);
    }
    EXPECT_LE(first.mostInWindow(), toleratedRequests + tolerance * 4);
    EXPECT_GT(second.arrivals.size(), 40U);
}

TEST(limited_server_test, itemsOfJobExceedNamedLimit)
{
    single_server_fixture fixture;
    limited_server limited(fixture, fixture.first, "2");
    fixture.requestMany(1);
    const auto worker = fixture.startJob(30);
    const time_point end = fixture.loop.now() + 4500ms;
    while (fixture.loop.now() < end) {
        fixture.run(100ms);
        worker->advance();
    }
    EXPECT_LE(limited.mostInWindow(), toleratedRequests + 2 * tolerance * 4);
    EXPECT_GE(limited.arrivals.size(), 5U) << "items go on at the pace that the server allows";
    worker->stop();
}

TEST(limited_server_test, limitThatIsNoLongerNamedEnds)
{
    single_server_fixture fixture;
    limited_server limited(fixture, fixture.first, "4");
    fixture.requestMany(1);
    limited.lift();
    fixture.run(300ms); // A place is free by now; its answer names no limit.
    fixture.requestMany(40);
}

TEST(limited_server_test, laterInstanceUnderSameIdIsNotLimited)
{
    single_server_fixture fixture;
    limited_server limited(fixture, fixture.first, "1");
    fixture.requestMany(1);
    limited.lift();
    fixture.enter("i-1", fixture.first.address, "ready", 900);
    fixture.run(1300ms);
    fixture.requestMany(20);
}

TEST(limited_server_test, malformedLimitLosesNoAnswer)
{
    for (const char *value : { "0", "-3", "nan", "inf", "fast", "1,5" }) {
        node_fixture fixture;
        limited_server first(fixture, fixture.first, value);
        limited_server second(fixture, fixture.second, value);
        fixture.requestMany(12);
    }
}

/** The keeper of the limit is another node, which does not answer. */
TEST(limited_server_test, nodeThatReachesNoKeeperSendsNothing)
{
    single_server_fixture fixture;
    limited_server limited(fixture, fixture.first, "5");
    fixture.requestMany(1);
    std::map<std::string, store_peer> others;
    others["other-1"].zone = others["other-2"].zone = "zone-1";
    fixture.fleet->setNodes(others, false);
    const std::size_t before = limited.arrivals.size();
    EXPECT_EQ(fixture.request(), http_status::unavailable);
    EXPECT_EQ(fixture.request(), http_status::unavailable);
    EXPECT_EQ(limited.arrivals.size(), before);
}

/** The route of a job goes while its items wait for places. */
TEST(limited_server_test, itemThatWaitedForPlaceIsSentByFormerConfiguration)
{
    single_server_fixture fixture;
    fixture.run(500ms); // From here on the node hands out all places of the server.
    limited_server limited(fixture, fixture.first, "1.2");
    fixture.requestMany(1);
    const auto worker = fixture.startJob(8);
    fixture.run(650ms); // Some wait for a place, and the configuration is old enough to be read again.
    fixture.putConfiguration(2, { { "r", "/p/", route_kind::Idempotent } });
    EXPECT_TRUE(fixture.runUntil([&] {
        fixture.fleet->ensureCurrent([] {});
        return fixture.fleet->routes().document().version == 2;
    }));
    const std::size_t before = limited.itemArrivals;
    fixture.run(1500ms);
    EXPECT_EQ(limited.itemArrivals, before);
    worker->stop();
}

} // namespace
} // namespace reedtrail
