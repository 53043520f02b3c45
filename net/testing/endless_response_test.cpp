#include "net/http_client.h"
#include "net/testing/doubling_server.h"
#include "net/testing/endless_server.h"

#include <gtest/gtest.h>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;
using testing::doubling_server;
using testing::endless_bytes;
using testing::endless_server;

constexpr std::uint16_t port = 29873;
constexpr std::size_t bodyLimit = 1 << 20;
constexpr std::uint64_t onTheWay = 16 << 20; // Buffers of both ends on loopback, and one part.

/** Bytes that never end are given up by their number, not when the time of the call is over. */
TEST(endless_response_test, endlessBytesAreTakenUntilTheDeadline)
{
    for (const endless_bytes &kind : testing::endlessKinds("")) {
        SCOPED_TRACE(kind.what);
        boost::asio::io_context io;
        endless_server server(io, port, kind);
        http_client client(io, { .maximumBodyBytes = bodyLimit });
        bool hasEnded = false;
        client.call({ "127.0.0.1", port }, {}, { .silenceTimeout = 25s, .deadline = 25s }, [&](const http_call_end &end, const http_response &response) {
            hasEnded = true;
            EXPECT_EQ(end.error, error_kind::ServerFailed) << end.detail;
            EXPECT_LE(response.body.size(), bodyLimit + (64U << 10U));
            io.stop();
        });
        io.run_for(30s);
        ASSERT_TRUE(hasEnded);
        io.restart();
        io.run_for(100ms);
        EXPECT_EQ(server.openConnections(), 0U) << "the connection is closed";
        EXPECT_EQ(client.idleConnections(), 0U);
        EXPECT_LE(server.mostSent(), bodyLimit + onTheWay);
    }
}

/** Many endless responses at once take no more memory than a bound for all of them. */
TEST(endless_response_test, manyEndlessResponsesAddUp)
{
    constexpr std::size_t callCount = 40;
    constexpr std::size_t sumLimit = 4 << 20;
    const endless_bytes kind = testing::endlessKinds("")[6];
    boost::asio::io_context io;
    endless_server server(io, port, kind);
    http_client client(io, { .maximumBodyBytes = bodyLimit, .maximumBytesInFlight = sumLimit });
    std::size_t ended = 0;
    std::size_t held = 0;
    std::size_t mostHeld = 0;
    for (std::size_t i = 0; i < callCount; ++i) {
        const auto own = std::make_shared<std::size_t>(0);
        http_call_handlers handlers;
        handlers.onBody = [&held, &mostHeld, own](std::string_view part) {
            *own += part.size();
            held += part.size();
            mostHeld = std::max(mostHeld, held);
        };
        handlers.onEnd = [&, own](const http_call_end &end) {
            EXPECT_EQ(end.error, error_kind::ServerFailed) << end.detail;
            held -= *own;
            if (++ended == callCount) {
                io.stop();
            }
        };
        client.start({ "127.0.0.1", port }, {}, { .silenceTimeout = 25s, .deadline = 25s }, std::move(handlers));
    }
    io.run_for(30s);
    EXPECT_EQ(ended, callCount);
    EXPECT_LE(mostHeld, sumLimit + (64U << 10U));
}

/** Guards against a response that is given up because another server's body, which never ends, has taken the room for all of them. */
TEST(endless_response_test, shortResponseFailsBesideLongOnes)
{
    constexpr std::size_t sumLimit = 1 << 20;
    const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 40000\r\n\r\n" + std::string(40000, 'x');
    boost::asio::io_context io;
    // Stops before the end of its body and keeps the connection, so that what it has sent stays in flight.
    doubling_server stalling(io, port, [](const http_request &) {
        return "HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n" + std::string(sumLimit - 20000, 'x');
    });
    doubling_server healthy(io, port + 1, [&](const http_request &) {
        return whole;
    });
    http_client client(io, { .maximumBodyBytes = 16 << 20, .maximumBytesInFlight = sumLimit });
    std::optional<error_kind> longEnd;
    client.call({ "127.0.0.1", port }, {}, { .silenceTimeout = 25s, .deadline = 25s }, [&](const http_call_end &end, const http_response &) {
        longEnd = end.error;
    });
    io.run_for(300ms);
    ASSERT_FALSE(longEnd);
    std::optional<error_kind> shortEnd;
    client.call({ "127.0.0.1", port + 1 }, {}, { .silenceTimeout = 25s, .deadline = 25s }, [&](const http_call_end &end, const http_response &response) {
        shortEnd = end.error;
        EXPECT_EQ(response.body.size(), 40000U);
        io.stop();
    });
    io.restart();
    io.run_for(20s);
    EXPECT_EQ(shortEnd, error_kind::None);
    EXPECT_EQ(longEnd, error_kind::ServerFailed);
}

} // namespace
} // namespace reedtrail
