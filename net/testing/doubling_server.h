/**
 * @file
 * A server that sends a second response to a request late, in place of the response to the next request on the connection.
 */
#pragma once

#include "net/http_message.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace reedtrail::testing {

/** Returns the bytes of a response. */
inline std::string rawResponse(int status, const std::string &fieldLines, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fieldLines + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** Serves one request after the other on each connection. */
class doubling_server
{
public:
    /** Returns the bytes of the response to a request. */
    using answerer = std::function<std::string(const http_request &)>;

    doubling_server(boost::asio::io_context &io, std::uint16_t port, answerer answer)
        : m_answer(std::move(answer))
        , m_acceptor(io, { boost::asio::ip::make_address("127.0.0.1"), port })
    {
        accept();
    }

    std::function<std::string(const http_request &)> late; ///< Returns the second response to a request; none if empty or if it returns nothing.
    std::vector<http_request> requests; ///< All that were read.
    std::size_t connections = 0; ///< Accepted so far.
    std::size_t doubled = 0; ///< Second responses sent so far.
    bool closesAfterResponse = false; ///< Closes each connection after its first response.

private:
    using tcp = boost::asio::ip::tcp;

    struct connection
    {
        explicit connection(tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }
        tcp::socket socket;
        boost::beast::flat_buffer buffer;
        boost::beast::http::request<boost::beast::http::string_body> request;
        std::string pending; ///< The second response to the request before.
        std::string out;
    };

    void accept()
    {
        m_acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
            if (!error) {
                ++connections;
                readNext(std::make_shared<connection>(std::move(socket)));
                accept();
            }
        });
    }
    void readNext(const std::shared_ptr<connection> &on)
    {
        on->request = {};
        boost::beast::http::async_read(on->socket, on->buffer, on->request, [this, on](const boost::system::error_code &error, std::size_t) {
            if (!error) {
                respond(on);
            }
        });
    }
    void respond(const std::shared_ptr<connection> &on)
    {
        http_request request{ std::string(on->request.method_string()), std::string(on->request.target()), {}, on->request.body() };
        for (const auto &field : on->request) {
            request.fields.add(std::string_view(field.name_string().data(), field.name_string().size()), std::string(field.value()));
        }
        doubled += on->pending.empty() ? 0 : 1;
        on->out = std::exchange(on->pending, late ? late(request) : "") + m_answer(request);
        requests.push_back(std::move(request));
        boost::asio::async_write(on->socket, boost::asio::buffer(on->out), [this, on](const boost::system::error_code &error, std::size_t) {
            if (!error && !closesAfterResponse) {
                readNext(on);
            }
        });
    }

    answerer m_answer;
    tcp::acceptor m_acceptor;
};

} // namespace reedtrail::testing
