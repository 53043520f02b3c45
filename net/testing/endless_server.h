/**
 * @file
 * A server whose bytes never end, for tests of what a client makes of it. It sends as fast as its peer reads, until the peer closes.
 */
#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace reedtrail::testing {

/** What the server sends: a beginning once, then a part again and again. */
struct endless_bytes
{
    const char *what;
    std::string begin;
    std::function<std::string(std::uint64_t number)> part; ///< Returns the part with a number from 1 on.
};

/** Returns the kinds of endless bytes, in heads and bodies. @param fields header lines of each response, with their line ends */
inline std::vector<endless_bytes> endlessKinds(const std::string &fields)
{
    const auto same = [](std::string text) {
        return [text = std::move(text)](std::uint64_t) {
            return text;
        };
    };
    const std::string head = "HTTP/1.1 200 OK\r\n" + fields;
    const std::string filler(16 << 10, 'x');
    return {
        { "no protocol", "", same(filler) },
        { "line feeds before the status line", "", same(std::string(16 << 10, '\n')) },
        { "status line", "HTTP/1.1 200 ", same(filler) },
        { "header field", head + "X-Fill: ", same(filler) },
        { "header fields", head, same("X-Fill: " + std::string(1000, 'x') + "\r\n") },
        { "interim responses", "", same("HTTP/1.1 100 Continue\r\n\r\n") },
        { "body without length", head + "\r\n", same(filler) },
        { "body with a length beyond all bounds", head + "Content-Length: 9000000000000\r\n\r\n", same(filler) },
        { "chunks", head + "Transfer-Encoding: chunked\r\n\r\n", same("4000\r\n" + filler + "\r\n") },
        { "chunk size", head + "Transfer-Encoding: chunked\r\n\r\n", same(std::string(16 << 10, '0')) },
        { "chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n1;x=", same(filler) },
        { "trailer fields", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", same("X-Fill: " + std::string(1000, 'x') + "\r\n") },
        { "failure", "HTTP/1.1 500 Error\r\n" + fields + "\r\n", same(filler) },
        { "one event", head + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", same(filler) },
        { "events",
          head + "Content-Type: text/event-stream\r\n\r\n",
          [](std::uint64_t number) {
              return "id: " + std::to_string(number) + "\ndata: " + std::string(4096, 'x') + "\n\n";
          } },
    };
}

/** Accepts any number of connections, reads a part of a request on each, and sends without end. */
class endless_server
{
public:
    endless_server(boost::asio::io_context &io, std::uint16_t port, endless_bytes bytes)
        : m_bytes(std::move(bytes))
        , m_acceptor(io, { boost::asio::ip::make_address("127.0.0.1"), port })
    {
        accept();
    }
    /** Returns the most bytes that one connection took. */
    std::uint64_t mostSent() const
    {
        return m_mostSent;
    }
    /** Returns the bytes that all connections took. */
    std::uint64_t sent() const
    {
        return m_sent;
    }
    std::size_t connections() const
    {
        return m_connections;
    }
    std::size_t openConnections() const
    {
        return m_open;
    }

private:
    struct connection
    {
        explicit connection(boost::asio::ip::tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }
        boost::asio::ip::tcp::socket socket;
        std::string request = std::string(1 << 16, ' ');
        std::string out;
        std::uint64_t sent = 0;
        std::uint64_t parts = 0;
    };

    void accept()
    {
        m_acceptor.async_accept([this](const boost::system::error_code &error, boost::asio::ip::tcp::socket socket) {
            if (error) {
                return;
            }
            const auto accepted = std::make_shared<connection>(std::move(socket));
            ++m_connections;
            ++m_open;
            accepted->socket.async_read_some(boost::asio::buffer(accepted->request), [this, accepted](const boost::system::error_code &readError, std::size_t) {
                readError ? void(--m_open) : sendNext(accepted);
            });
            accept();
        });
    }
    void sendNext(const std::shared_ptr<connection> &to)
    {
        to->out = to->parts == 0 ? m_bytes.begin : "";
        to->out += m_bytes.part(++to->parts);
        boost::asio::async_write(to->socket, boost::asio::buffer(to->out), [this, to](const boost::system::error_code &error, std::size_t count) {
            to->sent += count;
            m_sent += count;
            m_mostSent = std::max(m_mostSent, to->sent);
            error ? void(--m_open) : sendNext(to);
        });
    }

    endless_bytes m_bytes;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::uint64_t m_sent = 0;
    std::uint64_t m_mostSent = 0;
    std::size_t m_connections = 0;
    std::size_t m_open = 0;
};

} // namespace reedtrail::testing
