// Idle connections of a client to servers, most of which are gone for good.

#include "net/http_client.h"
#include "net/testing/doubling_server.h"

#include <gtest/gtest.h>
#include <thread>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;
using testing::doubling_server;

constexpr std::uint16_t firstPort = 29880;
constexpr std::size_t serverCount = 6;

endpoint addressOf(std::size_t server)
{
    return { "127.0.0.1", static_cast<std::uint16_t>(firstPort + server) };
}

/** Servers at different addresses, and a client that leaves an idle connection to each one that it calls. */
struct idle_fixture
{
    explicit idle_fixture(http_client_options options)
        : client(io, std::move(options))
    {
        for (std::size_t i = 0; i < serverCount; ++i) {
            servers.push_back(std::make_unique<doubling_server>(io, addressOf(i).port, [](const http_request &) {
                return testing::rawResponse(200, "", "ok");
            }));
        }
    }
    void call(std::size_t server)
    {
        bool hasEnded = false;
        client.call(addressOf(server), {}, {}, [&](const http_call_end &end, const http_response &) {
            hasEnded = end.error == error_kind::None;
            io.stop();
        });
        io.restart();
        io.run_for(10s);
        ASSERT_TRUE(hasEnded);
    }

    boost::asio::io_context io;
    std::vector<std::unique_ptr<doubling_server>> servers;
    http_client client;
};

/** Guards against descriptors that run out, because connections to servers that never come back stay open. */
TEST(idle_connection_test, connectionsToServersThatAreGoneStayOpen)
{
    idle_fixture fixture({ .idleTimeout = 100ms });
    for (std::size_t i = 0; i + 1 < serverCount; ++i) {
        fixture.call(i);
    }
    std::this_thread::sleep_for(1200ms);
    fixture.call(serverCount - 1);
    EXPECT_EQ(fixture.client.idleConnections(), 1U);
}

/** Guards against the same within the time for which an idle connection may be used. */
TEST(idle_connection_test, idleConnectionsToAllServersHaveNoCommonBound)
{
    constexpr std::size_t bound = 3;
    idle_fixture fixture({ .maximumIdle = bound });
    for (std::size_t i = 0; i < serverCount; ++i) {
        fixture.call(i);
        EXPECT_LE(fixture.client.idleConnections(), bound);
        EXPECT_TRUE(fixture.client.hasIdle(addressOf(i)));
    }
    EXPECT_FALSE(fixture.client.hasIdle(addressOf(0))) << "the one that has been idle for longest is closed";
    fixture.call(serverCount - 1);
    EXPECT_EQ(fixture.servers.back()->connections, 1U) << "a connection that is kept is used again";
}

TEST(idle_connection_test, connectionsToOneServerAreClosed)
{
    idle_fixture fixture({});
    fixture.call(0);
    fixture.call(1);
    fixture.client.closeIdle(addressOf(0));
    fixture.client.closeIdle(addressOf(2));
    EXPECT_EQ(fixture.client.idleConnections(), 1U);
    EXPECT_FALSE(fixture.client.hasIdle(addressOf(0)));
    fixture.call(0);
    EXPECT_EQ(fixture.servers.front()->connections, 2U);
}

} // namespace
} // namespace reedtrail
