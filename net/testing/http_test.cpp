#include "base/check.h"
#include "net/http_client.h"
#include "net/http_server.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;

/** A client and the address of a server on the same event loop. */
struct http_fixture
{
    boost::asio::io_context io;
    endpoint where{ "127.0.0.1", 29872 };
    http_client client{ io, {} };
};

// Guards against a connection that is not reused after a complete response.
TEST(http, servesCompleteAndStreamedResponseOnOneConnection)
{
    http_fixture fixture;
    http_server server(fixture.io, { .address = fixture.where }, [](std::shared_ptr<http_exchange> exchange) {
        if (exchange->request().path() == "/whole") {
            exchange->respond(textResponse(201, exchange->request().body + exchange->request().query("q").value_or("")));
            return;
        }
        exchange->startStream({ 200, { { "Content-Type", "text/event-stream" } }, "" });
        exchange->write("one");
        exchange->write("two");
        exchange->finishStream();
    });
    ASSERT_TRUE(server.start());
    std::vector<std::string> bodies;
    fixture.client.call(fixture.where, { "POST", "/whole?q=a%20b", {}, "body" }, {}, [&](const http_call_end &end, const http_response &response) {
        EXPECT_EQ(end.error, error_kind::None);
        EXPECT_EQ(response.status, 201);
        bodies.push_back(response.body);
        EXPECT_EQ(server.exchangesInFlight(), 0U);
        fixture.client.call(fixture.where, { "GET", "/stream", {}, "" }, {}, [&](const http_call_end &streamEnd, const http_response &streamed) {
            EXPECT_EQ(streamEnd.error, error_kind::None) << streamEnd.detail;
            bodies.push_back(streamed.body);
            EXPECT_EQ(server.connections(), 1U);
            fixture.io.stop();
        });
    });
    fixture.io.run_for(20s);
    EXPECT_EQ(bodies, (std::vector<std::string>{ "bodya b", "onetwo" }));
}

// Guards against a second answer whose bytes the caller takes for a part of the first one.
TEST(http, secondAnswerIsWrittenIntoStream)
{
    const bool abortedBefore = setAbortOnFailedCheck(false);
    for (const bool isAnsweredInStream : { true, false }) {
        SCOPED_TRACE(isAnsweredInStream);
        http_fixture fixture;
        http_server server(fixture.io, { .address = fixture.where }, [&](const std::shared_ptr<http_exchange> &exchange) {
            exchange->startStream({ 200, { { "Content-Type", "text/event-stream" } }, "" });
            exchange->write("one");
            if (isAnsweredInStream) {
                exchange->respond(textResponse(500, "second answer"));
            } // Else the exchange is released with its stream open.
        });
        ASSERT_TRUE(server.start());
        bool hasEnded = false;
        fixture.client.call(fixture.where, { "GET", "/", {}, "" }, { .silenceTimeout = 5s }, [&](const http_call_end &end, const http_response &response) {
            EXPECT_EQ(end.error, error_kind::ServerFailed) << "a part must not look complete: " << response.body;
            EXPECT_EQ(response.body.find("second"), std::string::npos) << response.body;
            hasEnded = true;
            fixture.io.stop();
        });
        fixture.io.run_for(20s);
        EXPECT_TRUE(hasEnded);
    }
    setAbortOnFailedCheck(abortedBefore);
}

// Guards against a response to an earlier request whose head or connection is used.
TEST(http, foreignResponseIsSeenByHandler)
{
    http_fixture fixture;
    http_server server(fixture.io, { .address = fixture.where }, [](const std::shared_ptr<http_exchange> &exchange) {
        exchange->respond({ 200, { { "Id", std::string(exchange->request().fields.get("Sent-Id")) } }, "body" });
    });
    ASSERT_TRUE(server.start());
    for (const bool isOwn : { false, true }) {
        SCOPED_TRACE(isOwn);
        bool isHeadSeen = false;
        bool hasEnded = false;
        http_call_options options;
        options.isOwnResponse = [&](const http_response &head) {
            return (head.fields.get("Id") == "7") == isOwn;
        };
        http_call_handlers handlers;
        handlers.onHead = [&](const http_response &) {
            isHeadSeen = true;
        };
        handlers.onEnd = [&](const http_call_end &end) {
            EXPECT_EQ(end.error, isOwn ? error_kind::None : error_kind::ServerFailed);
            EXPECT_EQ(end.isForeignResponse, !isOwn);
            EXPECT_EQ(end.hasHead, isOwn);
            hasEnded = true;
            fixture.io.stop();
        };
        fixture.client.start(fixture.where, { "GET", "/", { { "Sent-Id", "7" } }, "" }, options, std::move(handlers));
        fixture.io.restart();
        fixture.io.run_for(20s);
        EXPECT_TRUE(hasEnded);
        EXPECT_EQ(isHeadSeen, isOwn);
        EXPECT_EQ(fixture.client.idleConnections(), isOwn ? 1U : 0U);
    }
}

// Guards against a broken stream that looks complete to a caller without chunks, whose stream ends with the connection.
TEST(http, brokenStreamLooksCompleteToCallerWithoutChunks)
{
    for (const bool isBroken : { false, true }) {
        SCOPED_TRACE(isBroken);
        http_fixture fixture;
        std::shared_ptr<http_exchange> open;
        http_server server(fixture.io, { .address = fixture.where }, [&](std::shared_ptr<http_exchange> exchange) {
            open = std::move(exchange);
            open->startStream({ 200, {}, "" });
            open->write("one");
        });
        ASSERT_TRUE(server.start());
        boost::asio::ip::tcp::socket caller(fixture.io);
        caller.connect({ boost::asio::ip::make_address(fixture.where.ip), fixture.where.port });
        boost::asio::write(caller, boost::asio::buffer(std::string("GET / HTTP/1.0\r\nHost: h\r\n\r\n")));
        std::string seen;
        boost::system::error_code readError;
        std::array<char, 4096> buffer{};
        std::function<void()> readNext = [&] {
            caller.async_read_some(boost::asio::buffer(buffer), [&](const boost::system::error_code &error, std::size_t count) {
                seen.append(buffer.data(), count);
                if (error) {
                    readError = error;
                    fixture.io.stop();
                    return;
                }
                if (seen.ends_with("one")) {
                    isBroken ? open->abort() : open->finishStream();
                }
                readNext();
            });
        };
        readNext();
        fixture.io.run_for(20s);
        EXPECT_TRUE(seen.ends_with("one")) << seen;
        EXPECT_EQ(readError == boost::asio::error::connection_reset, isBroken) << readError.message();
        EXPECT_EQ(readError == boost::asio::error::eof, !isBroken) << readError.message();
    }
}

// Guards against a field or a target with line ends, which a server would read as the begin of another request.
TEST(http, requestWithLineEndsIsWritten)
{
    http_fixture fixture;
    int requests = 0;
    http_server server(fixture.io, { .address = fixture.where }, [&](const std::shared_ptr<http_exchange> &exchange) {
        ++requests;
        exchange->respond(textResponse(200, ""));
    });
    ASSERT_TRUE(server.start());
    const http_request odd[] = {
        { "GET", "/", { { "X", "y\r\n\r\nGET /other HTTP/1.1" } }, "" },
        { "GET", "/", { { "X", "y\n" } }, "" },
        { "GET", "/", { { "X", std::string(1, '\0') } }, "" },
        { "GET", "/", { { "X y", "z" } }, "" },
        { "GET", "/", { { "", "z" } }, "" },
        { "GET", "/p q", {}, "" },
        { "GET", "/\r\n", {}, "" },
        { "GET", "", {}, "" },
        { "G ET", "/", {}, "" },
    };
    for (const http_request &each : odd) {
        SCOPED_TRACE(each.target);
        bool hasEnded = false;
        fixture.client.call(fixture.where, each, {}, [&](const http_call_end &end, const http_response &) {
            EXPECT_EQ(end.error, error_kind::NoServer);
            EXPECT_FALSE(end.isHandedOver);
            hasEnded = true;
            fixture.io.stop();
        });
        fixture.io.restart();
        fixture.io.run_for(20s);
        EXPECT_TRUE(hasEnded);
    }
    EXPECT_EQ(requests, 0);
}

// Guards against a refused connection that counts as a request that may have run.
TEST(http, refusedConnectionIsNotHandedOver)
{
    http_fixture fixture;
    bool ended = false;
    fixture.client.call(fixture.where, {}, {}, [&](const http_call_end &end, const http_response &) {
        EXPECT_EQ(end.error, error_kind::NoServer);
        EXPECT_FALSE(end.isHandedOver);
        ended = true;
        fixture.io.stop();
    });
    fixture.io.run_for(20s);
    EXPECT_TRUE(ended);
}

// Guards against a silent server that blocks a call, and against a server that does not notice the disconnect of its caller.
TEST(http, silentServerTimesOutAfterHandover)
{
    http_fixture fixture;
    std::shared_ptr<http_exchange> pendingExchange;
    http_server server(fixture.io, { .address = fixture.where }, [&](std::shared_ptr<http_exchange> exchange) {
        pendingExchange = std::move(exchange);
    });
    ASSERT_TRUE(server.start());
    bool isDisconnectReported = false;
    fixture.client.call(fixture.where, {}, { .silenceTimeout = 50ms }, [&](const http_call_end &end, const http_response &) {
        EXPECT_EQ(end.error, error_kind::ServerSilent);
        EXPECT_TRUE(end.isHandedOver);
        pendingExchange->onGone([&] {
            isDisconnectReported = true;
            fixture.io.stop();
        });
    });
    fixture.io.run_for(20s);
    EXPECT_TRUE(isDisconnectReported);
}

// Guards against a plain close on cancellation, after which the operating system still sends the queued bytes of the request.
TEST(http, cancelledCallResetsConnection)
{
    http_fixture fixture;
    namespace asio = boost::asio;
    asio::ip::tcp::acceptor acceptor(fixture.io, { asio::ip::make_address(fixture.where.ip), fixture.where.port });
    asio::ip::tcp::socket accepted(fixture.io);
    std::array<char, 4096> readBuffer{};
    std::shared_ptr<http_call> call;
    boost::system::error_code readError;
    acceptor.async_accept(accepted, [&](const boost::system::error_code &) {
        accepted.async_read_some(asio::buffer(readBuffer), [&](const boost::system::error_code &, std::size_t) {
            call->cancel();
            accepted.async_read_some(asio::buffer(readBuffer), [&](const boost::system::error_code &error, std::size_t) {
                readError = error;
                fixture.io.stop();
            });
        });
    });
    call = fixture.client.call(fixture.where, {}, {}, [](const http_call_end &, const http_response &) {});
    fixture.io.run_for(20s);
    EXPECT_EQ(readError, asio::error::connection_reset) << "queued bytes could still arrive after the call was cancelled";
}

// Guards against oversized or malformed requests that reach the handler or get no error response.
TEST(http, rejectsOversizedBodyAndMalformedRequest)
{
    http_fixture fixture;
    http_server server(fixture.io, { .address = fixture.where, .maximumBodyBytes = 8 }, [](std::shared_ptr<http_exchange> exchange) {
        exchange->respond(textResponse(200, ""));
    });
    ASSERT_TRUE(server.start());
    std::vector<std::string> answers;
    for (const std::string request : { "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n123456789",
                                       "G ET / HTTP/1.1\r\nHost: h\r\n\r\n",
                                       "GET /\xc3\xa9 HTTP/1.1\r\nHost: h\r\n\r\n",
                                       "GET p HTTP/1.1\r\nHost: h\r\n\r\n" }) {
        boost::asio::ip::tcp::socket caller(fixture.io);
        caller.connect({ boost::asio::ip::make_address(fixture.where.ip), fixture.where.port });
        boost::asio::write(caller, boost::asio::buffer(request));
        std::array<char, 4096> buffer{};
        caller.async_read_some(boost::asio::buffer(buffer), [&](const boost::system::error_code &, std::size_t count) {
            answers.emplace_back(buffer.data(), std::min<std::size_t>(count, std::string("HTTP/1.1 400").size()));
            fixture.io.stop();
        });
        fixture.io.restart();
        fixture.io.run_for(20s);
    }
    EXPECT_EQ(answers, (std::vector<std::string>{ "HTTP/1.1 413", "HTTP/1.1 400", "HTTP/1.1 400", "HTTP/1.1 400" }));
}

// Guards against limits of a changed configuration that do not reach connections already open.
TEST(http, changedLimitsHoldForNextRequestOnOpenConnection)
{
    http_fixture fixture;
    http_server server(fixture.io, { .address = fixture.where, .maximumBodyBytes = 8 }, [](std::shared_ptr<http_exchange> exchange) {
        exchange->respond(textResponse(200, ""));
    });
    ASSERT_TRUE(server.start());
    boost::asio::ip::tcp::socket caller(fixture.io);
    caller.connect({ boost::asio::ip::make_address(fixture.where.ip), fixture.where.port });
    std::vector<std::string> answers;
    const auto send = [&](const std::string &request) {
        boost::asio::write(caller, boost::asio::buffer(request));
        std::array<char, 4096> buffer{};
        caller.async_read_some(boost::asio::buffer(buffer), [&](const boost::system::error_code &, std::size_t count) {
            answers.emplace_back(buffer.data(), std::min<std::size_t>(count, std::string("HTTP/1.1 200").size()));
            fixture.io.stop();
        });
        fixture.io.restart();
        fixture.io.run_for(20s);
    };
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ";
    send(head + "8\r\n\r\n12345678");
    server.setLimits({ 1024, 9, 20s, 20s, 20s });
    send(head + "9\r\n\r\n123456789");
    server.setLimits({ 1024, 8, 20s, 20s, 20s });
    send(head + "9\r\n\r\n123456789");
    EXPECT_EQ(answers, (std::vector<std::string>{ "HTTP/1.1 200", "HTTP/1.1 200", "HTTP/1.1 413" }));
}

// Guards against a new connection that takes the place of one on which a request is under way, also if that request came behind another.
TEST(http, newConnectionEndsRequestUnderWay)
{
    http_fixture fixture;
    std::vector<std::shared_ptr<http_exchange>> held;
    http_server server(fixture.io, { .address = fixture.where, .maximumConnections = 1 }, [&](std::shared_ptr<http_exchange> exchange) {
        if (exchange->request().target == "/first") {
            exchange->respond(textResponse(200, ""));
        } else {
            held.push_back(std::move(exchange));
        }
    });
    ASSERT_TRUE(server.start());
    const auto connect = [&](const std::string &bytes) {
        boost::asio::ip::tcp::socket caller(fixture.io);
        caller.connect({ boost::asio::ip::make_address(fixture.where.ip), fixture.where.port });
        boost::asio::write(caller, boost::asio::buffer(bytes));
        return caller;
    };
    const auto idle = connect("");
    fixture.io.run_for(50ms);
    const auto caller = connect("GET /first HTTP/1.1\r\nHost: h\r\n\r\nGET /second HTTP/1.1\r\nHost: h\r\n\r\n");
    while (held.empty()) {
        fixture.io.run_for(1ms);
    }
    EXPECT_EQ(server.connections(), 1U) << "the idle connection made room";
    const auto another = connect("GET /first HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.io.run_for(50ms);
    EXPECT_FALSE(held.front()->isGone());
}

// Guards against a request whose framing never ends, which would fill the memory of the server.
TEST(http, requestsWithEndlessFramingAreTakenWithoutBound)
{
    constexpr std::size_t bound = 16U << 20U; // Buffers of both ends on loopback.
    for (const char *begin : { "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;x=",
                               "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Fill: " }) {
        http_fixture fixture;
        http_server server(fixture.io, { .address = fixture.where, .maximumBodyBytes = 8 }, [](std::shared_ptr<http_exchange> exchange) {
            exchange->respond(textResponse(200, ""));
        });
        ASSERT_TRUE(server.start());
        boost::asio::ip::tcp::socket caller(fixture.io);
        caller.connect({ boost::asio::ip::make_address(fixture.where.ip), fixture.where.port });
        std::string out = begin;
        std::size_t sent = 0;
        bool isClosed = false;
        std::function<void()> sendNext = [&] {
            out += std::string(16U << 10U, 'x');
            boost::asio::async_write(caller, boost::asio::buffer(out), [&](const boost::system::error_code &error, std::size_t count) {
                sent += count;
                out.clear();
                isClosed = error.failed();
                if (isClosed || sent > 2 * bound) {
                    fixture.io.stop();
                } else {
                    sendNext();
                }
            });
        };
        sendNext();
        fixture.io.run_for(20s);
        EXPECT_TRUE(isClosed) << begin;
        EXPECT_LE(sent, bound) << begin;
    }
}

} // namespace
} // namespace reedtrail
