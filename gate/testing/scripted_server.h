/**
 * @file
 * A backend server for contract tests. Each request is passed, with its raw connection, to a script that answers it correctly or misbehaves.
 */
#pragma once

#include <algorithm>
#include <atomic>
#include <boost/asio.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace reedtrail::testing {

/** A request as the script receives it. */
struct received_request
{
    std::string method;
    std::string target;
    std::string body;
    std::uint64_t number = 0; ///< Sequence number of the request at this server, from 1. GET /load is not counted.
};

/** The connection on which a request arrived. */
class scripted_connection
{
public:
    explicit scripted_connection(boost::asio::ip::tcp::socket socket)
        : m_socket(std::move(socket))
    {
    }
    /** Writes raw bytes. */
    void write(const std::string &bytes)
    {
        boost::system::error_code ignored;
        boost::asio::write(m_socket, boost::asio::buffer(bytes), ignored);
    }
    /** Writes a complete response. */
    void respond(int status, const std::string &body, const std::string &extraFields = "")
    {
        write("HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + extraFields + "\r\n" + body);
    }
    /** Begins a chunked response. */
    void beginStream()
    {
        write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    }
    /** Writes one chunk. */
    void chunk(const std::string &data)
    {
        std::array<char, 24> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
        write(size.data() + data + "\r\n");
    }
    /** Ends a chunked response. */
    void endStream()
    {
        write("0\r\n\r\n");
    }
    /** Keeps the connection open without writing until the peer closes it. */
    void goSilent()
    {
        std::array<char, 256> bytes{};
        boost::system::error_code error;
        while (!error) {
            m_socket.read_some(boost::asio::buffer(bytes), error);
        }
    }
    /** Closes the connection. */
    void close()
    {
        boost::system::error_code ignored;
        m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
        m_socket.close(ignored);
    }
    boost::asio::ip::tcp::socket &socket()
    {
        return m_socket;
    }

private:
    boost::asio::ip::tcp::socket m_socket;
};

/** The server. It uses one thread per connection. */
class scripted_server
{
public:
    using script = std::function<void(scripted_connection &connection, const received_request &request)>;

    /** @param name id of the server in the settings, used in load reports @param handle the script for requests other than GET /load */
    scripted_server(std::string name, std::uint16_t port, script handle)
        : m_name(std::move(name))
        , m_handle(std::move(handle))
        , m_acceptor(m_io, { boost::asio::ip::make_address("127.0.0.1"), port })
        , m_thread([this] {
            acceptAll();
        })
    {
    }
    ~scripted_server()
    {
        m_isStopping = true;
        ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
        m_thread.join();
        {
            const std::lock_guard lock(m_mutex);
            for (scripted_connection *connection : m_open) {
                ::shutdown(connection->socket().native_handle(), SHUT_RDWR);
            }
        }
        for (std::thread &each : m_connections) {
            each.join();
        }
    }
    scripted_server(const scripted_server &) = delete;
    scripted_server &operator=(const scripted_server &) = delete;

    /** Returns the number of requests received. GET /load is not counted. */
    std::uint64_t requests() const
    {
        return m_requests;
    }
    /** Sets the state in load reports. */
    void setState(const std::string &state)
    {
        const std::lock_guard lock(m_mutex);
        m_state = state;
    }

private:
    void acceptAll()
    {
        while (!m_isStopping) {
            boost::system::error_code error;
            boost::asio::ip::tcp::socket socket(m_io);
            m_acceptor.accept(socket, error);
            if (error) {
                return;
            }
            m_connections.emplace_back([this, connection = std::make_shared<scripted_connection>(std::move(socket))] {
                serve(*connection);
            });
        }
    }

    void serve(scripted_connection &connection)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_open.push_back(&connection);
        }
        std::string bytes;
        received_request request;
        while (connection.socket().is_open() && readRequest(connection, bytes, request)) {
            if (request.target == "/load") {
                const std::lock_guard lock(m_mutex);
                connection.respond(200, R"({"server":")" + m_name + R"(","waiting":0,"running":0,"slots":8,"weight_version":1,"state":")" + m_state + R"("})");
                continue;
            }
            request.number = ++m_requests;
            m_handle(connection, request);
        }
        const std::lock_guard lock(m_mutex);
        m_open.remove(&connection);
    }

    static bool readRequest(scripted_connection &connection, std::string &bytes, received_request &request)
    {
        boost::system::error_code error;
        const std::size_t head = boost::asio::read_until(connection.socket(), boost::asio::dynamic_buffer(bytes), "\r\n\r\n", error);
        if (error) {
            return false;
        }
        const std::string text = bytes.substr(0, head);
        bytes.erase(0, head);
        request.method = text.substr(0, text.find(' '));
        const std::size_t begin = text.find(' ') + 1;
        request.target = text.substr(begin, text.find(' ', begin) - begin);
        const std::size_t field = text.find("Content-Length: ");
        const std::size_t length = field == std::string::npos ? 0 : std::stoul(text.substr(field + 16));
        if (bytes.size() < length) {
            boost::asio::read(connection.socket(), boost::asio::dynamic_buffer(bytes), boost::asio::transfer_exactly(length - bytes.size()), error);
        }
        request.body = bytes.substr(0, length);
        bytes.erase(0, length);
        return !error;
    }

    std::string m_name;
    script m_handle;
    boost::asio::io_context m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<bool> m_isStopping{ false };
    std::atomic<std::uint64_t> m_requests{ 0 };
    std::mutex m_mutex;
    std::string m_state = "ready";
    std::list<scripted_connection *> m_open;
    std::list<std::thread> m_connections;
    std::thread m_thread;
};

} // namespace reedtrail::testing
