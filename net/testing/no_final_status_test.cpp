// Servers in trouble that answer with a status that no final response has.

#include "net/http_client.h"
#include "net/testing/doubling_server.h"

#include <gtest/gtest.h>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;
using testing::doubling_server;
using testing::rawResponse;

constexpr std::uint16_t port = 29874;

struct outcome
{
    http_call_end end;
    http_response response;
    std::size_t heads = 0;
    std::size_t idleConnections = 0;
};

/** Makes a call to a server that answers with these bytes. */
outcome callServerOf(const std::string &bytes)
{
    boost::asio::io_context io;
    doubling_server server(io, port, [&](const http_request &) {
        return bytes;
    });
    http_client client(io, {});
    outcome seen;
    http_call_handlers handlers;
    handlers.onHead = [&](const http_response &head) {
        ++seen.heads;
        seen.response = head;
    };
    handlers.onBody = [&](std::string_view part) {
        seen.response.body.append(part);
    };
    handlers.onEnd = [&](const http_call_end &end) {
        seen.end = end;
        seen.idleConnections = client.idleConnections();
        io.stop();
    };
    client.start({ "127.0.0.1", port }, {}, { .silenceTimeout = 1s, .deadline = 1s }, std::move(handlers));
    io.run_for(10s);
    return seen;
}

/** Guards against a response that is none, and against the bytes behind it being taken for the response. */
TEST(no_final_status_test, bytesBehindStatusAreTakenForResponse)
{
    const std::string smuggled = rawResponse(200, "X-Smuggled: 1\r\n", "from the body of another response");
    const auto headOf = [](const char *status) {
        return std::string("HTTP/1.1 ") + status + " Trouble\r\n";
    };
    const auto withBody = [&](const char *status) {
        return headOf(status) + "Content-Length: " + std::to_string(smuggled.size()) + "\r\n\r\n" + smuggled;
    };
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    for (const std::string &bytes : { withBody("000"),
                                      headOf("000") + "\r\n" + smuggled,
                                      headOf("000") + "Content-Length: 0\r\n\r\n",
                                      headOf("000") + chunked + smuggled,
                                      withBody("001"),
                                      withBody("099"),
                                      headOf("099") + "\r\n" + smuggled,
                                      withBody("100"),
                                      headOf("100") + chunked + smuggled,
                                      withBody("103"),
                                      withBody("101"),
                                      headOf("101") + "Connection: Upgrade\r\nUpgrade: x\r\n\r\n" + smuggled,
                                      withBody("600"),
                                      withBody("999") }) {
        SCOPED_TRACE(bytes);
        const outcome seen = callServerOf(bytes);
        EXPECT_EQ(seen.end.error, error_kind::ServerFailed) << seen.end.detail;
        EXPECT_TRUE(seen.end.isHandedOver) << "the server may have run the request";
        EXPECT_EQ(seen.heads, 0U) << seen.response.status;
        EXPECT_EQ(seen.idleConnections, 0U);
    }
}

/** Interim responses without a body announce the final one. */
TEST(no_final_status_test, responseAfterInterimOnesIsRead)
{
    const std::string last = rawResponse(200, "", "body");
    for (const std::string &interim : { "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" }) {
        const outcome seen = callServerOf(interim + last);
        EXPECT_EQ(seen.end.error, error_kind::None) << seen.end.detail;
        EXPECT_EQ(seen.response.status, 200);
        EXPECT_EQ(seen.response.body, "body");
    }
}

} // namespace
} // namespace reedtrail
