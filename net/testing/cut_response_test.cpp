// Servers that stop somewhere in their response and close the connection.

#include "net/http_client.h"
#include "net/testing/doubling_server.h"

#include <gtest/gtest.h>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;
using testing::doubling_server;

constexpr std::uint16_t port = 29875;

/** Guards against a response that is taken for a whole one although its server stopped in the middle, also in the middle of its head. */
TEST(cut_response_test, cutResponseIsTakenForWhole)
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Short: 1\r\nX-Long: " + std::string(40, 'x') + "\r\n";
    const std::string whole[] = {
        head + "\r\n", // Its body ends with the connection.
        head + "Content-Length: 4\r\n\r\nbody",
        head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Trailer: 1\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 4\r\n\r\nbody",
    };
    boost::asio::io_context io;
    std::string bytes;
    doubling_server server(io, port, [&](const http_request &) {
        return bytes;
    });
    server.closesAfterResponse = true;
    http_client client(io, {});
    for (const std::string &each : whole) {
        for (std::size_t sent = 0; sent <= each.size(); ++sent) {
            bytes = each.substr(0, sent);
            std::optional<error_kind> end;
            client.call({ "127.0.0.1", port }, {}, { .silenceTimeout = 5s, .deadline = 5s }, [&](const http_call_end &ended, const http_response &) {
                end = ended.error;
                io.stop();
            });
            io.restart();
            io.run_for(10s);
            ASSERT_TRUE(end.has_value());
            EXPECT_EQ(*end, sent == each.size() ? error_kind::None : error_kind::ServerFailed) << sent << " of " << each.size() << " bytes of " << each;
        }
    }
}

} // namespace
} // namespace reedtrail
