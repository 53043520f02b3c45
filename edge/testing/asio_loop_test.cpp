#include "edge/asio_loop.h"

#include "net/http_client.h"
#include "net/http_server.h"

#include <gtest/gtest.h>
#include <stdexcept>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;

/** An exception that left a handler ended the process, and with it all requests under way. */
TEST(asio_loop_test, exceptionOfHandlerEndsProcess)
{
    boost::asio::io_context io;
    asio_loop loop(io);
    const endpoint where{ "127.0.0.1", 28830 };
    http_server server(io, { .address = where }, [](const std::shared_ptr<http_exchange> &exchange) {
        if (exchange->request().target == "/bad") {
            throw std::runtime_error("bad bytes");
        }
        exchange->respond(textResponse(200, ""));
    });
    ASSERT_TRUE(server.start());
    http_client client(io, {});
    std::vector<int> statuses;
    client.call(where, { "GET", "/bad", {}, "" }, {}, [&](const http_call_end &, const http_response &first) {
        statuses.push_back(first.status);
        client.call(where, { "GET", "/", {}, "" }, {}, [&](const http_call_end &, const http_response &second) {
            statuses.push_back(second.status);
            io.stop();
        });
    });
    std::vector<std::string> reasons;
    loop.run([&](const char *reason) {
        reasons.emplace_back(reason);
    });
    EXPECT_EQ(statuses, (std::vector<int>{ 500, 200 }));
    EXPECT_EQ(reasons, std::vector<std::string>{ "bad bytes" });
}

} // namespace
} // namespace reedtrail
