// Clients send HEAD requests on kept connections while a server crashes. An answer to HEAD has no body, so what follows its head belongs to the next answer.

#include "review/standins-2/deployment.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>

namespace reedtrail::review {
namespace {

using nlohmann::json;
using tcp = boost::asio::ip::tcp;

constexpr int nodeCount = 2;
constexpr int serverCount = 5; // One of them crashes: a share of 0.2.
constexpr std::size_t clientCount = 40;
constexpr milliseconds workTime(400);
constexpr milliseconds clientsAt(4000);
constexpr milliseconds clientGap(19); // Between the starts of two clients.
constexpr milliseconds crashAt(8000);
constexpr milliseconds endAt(16000);

/** What all clients saw. */
struct seen_answers
{
    std::map<std::string, int> heads; ///< By method and status.
    int strays = 0; ///< Connections on which bytes came that are no answer.
};

/** A client with one kept connection, on which it sends HEAD and GET in turn. */
class head_client : public std::enable_shared_from_this<head_client>
{
public:
    head_client(deployment &fleet, seen_answers &seen, endpoint where)
        : m_fleet(fleet)
        , m_seen(seen)
        , m_where(std::move(where))
        , m_socket(fleet.io())
    {
    }

    void connect()
    {
        m_socket = tcp::socket(m_fleet.io());
        m_input.consume(m_input.size());
        m_isHead = true;
        m_socket.async_connect({ boost::asio::ip::make_address(m_where.ip), m_where.port },
                               [self = shared_from_this()](const boost::system::error_code &error) {
                                   error ? self->reconnect() : self->send();
                               });
    }

private:
    void reconnect()
    {
        m_fleet.after(milliseconds(200), [self = shared_from_this()] {
            self->connect();
        });
    }

    void send()
    {
        m_id = newId();
        m_request = std::string(m_isHead ? "HEAD" : "GET") + " /note/1 HTTP/1.1\r\nHost: chat.example\r\nRequest-Id: " + m_id + "\r\nDeadline-Ms: 1500\r\n\r\n";
        boost::asio::async_write(m_socket, boost::asio::buffer(m_request), [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
            error ? self->reconnect() : self->readHead();
        });
    }

    void readHead()
    {
        boost::asio::async_read_until(m_socket, m_input, "\r\n\r\n", [self = shared_from_this()](const boost::system::error_code &error, std::size_t bytes) {
            self->onHead(error, bytes);
        });
    }

    void onHead(const boost::system::error_code &error, std::size_t bytes)
    {
        const std::string text(static_cast<const char *>(m_input.data().data()), m_input.size());
        if (!text.empty() && !text.starts_with("HTTP/1.1 ")) {
            ++m_seen.strays;
            m_fleet.note("bytes that are no answer, where that to " + m_id + " is due: " + text.substr(0, text.find('\r')));
            reconnect();
            return;
        }
        if (error) {
            reconnect();
            return;
        }
        const std::string head = text.substr(0, bytes);
        m_input.consume(bytes);
        const std::string status = head.substr(9, 3);
        ++m_seen.heads[(m_isHead ? "HEAD " : "GET ") + status];
        if (status != "200") {
            m_fleet.note((m_isHead ? "HEAD " : "GET ") + m_id + " is answered " + status);
        }
        const bool isClosing = head.find("Connection: close") != std::string::npos;
        const std::size_t length = head.find("Content-Length: ");
        const std::size_t left = m_isHead || length == std::string::npos ? 0 : std::stoul(head.substr(length + 16));
        readBody(left, isClosing);
    }

    void readBody(std::size_t left, bool isClosing)
    {
        const std::size_t have = std::min(left, m_input.size());
        m_input.consume(have);
        if (left > have) {
            const auto more = m_input.prepare(left - have);
            m_socket.async_read_some(more, [self = shared_from_this(), left, have, isClosing](const boost::system::error_code &error, std::size_t count) {
                self->m_input.commit(count);
                error ? self->reconnect() : self->readBody(left - have, isClosing);
            });
            return;
        }
        if (isClosing) {
            reconnect();
            return;
        }
        m_isHead = !m_isHead;
        m_fleet.after(milliseconds(20), [self = shared_from_this()] {
            self->send();
        });
    }

    deployment &m_fleet;
    seen_answers &m_seen;
    endpoint m_where;
    tcp::socket m_socket;
    boost::asio::streambuf m_input;
    std::string m_request;
    std::string m_id;
    bool m_isHead = true;
};

int run()
{
    deployment fleet("review/10");
    seen_answers seen;
    if (!fleet.start()) {
        return caseNotRun;
    }
    const json route{ { "name", "r-note" }, { "hostname", "chat.example" }, { "prefix", "/note/" },     { "kind", "idempotent" }, { "timeoutMs", 1500 },
                      { "priority", 2 },    { "service", "desk" },          { "targetLatencyMs", 600 }, { "maxAttempts", 1 } };
    fleet.configure(json::array({ route }), json::array({ json{ { "name", "desk" }, { "healthPath", "/health" }, { "maxConns", 110 } } }));
    for (int i = 0; i < serverCount; ++i) {
        const std::string zone = std::string("zone-") + static_cast<char>('a' + i % nodeCount);
        const bool isStarted = fleet.addServer("desk-" + std::to_string(i), "desk", zone, [&fleet](std::shared_ptr<http_exchange> exchange) {
            fleet.after(workTime, [exchange] {
                if (!exchange->isGone()) {
                    exchange->respond(signedAnswer(exchange->request(), 200, exchange->request().method == "HEAD" ? "" : "a saved note"));
                }
            });
        });
        if (!isStarted) {
            return caseNotRun;
        }
    }
    fleet.startNodes(nodeCount);
    std::vector<std::shared_ptr<head_client>> clients;
    for (std::size_t i = 0; i < clientCount; ++i) {
        fleet.after(clientsAt + clientGap * static_cast<int>(i), [&fleet, &seen, &clients, i] {
            clients.push_back(std::make_shared<head_client>(fleet, seen, fleet.nodes()[i % nodeCount].callers));
            clients.back()->connect();
        });
    }
    if (hasTrouble()) {
        fleet.after(crashAt, [&fleet] {
            fleet.crashServer("desk-0");
        });
    }
    fleet.run(endAt);
    std::string result;
    for (const auto &[how, count] : seen.heads) {
        result += how + ": " + std::to_string(count) + ", ";
    }
    result += "connections with bytes that are no answer: " + std::to_string(seen.strays);
    fleet.note(result);
    fleet.note(seen.strays > 0 ? "MIXED is broken" : "MIXED held");
    std::printf("%s: %s\n", seen.strays > 0 ? "broken" : "held", result.c_str());
    if (seen.heads["HEAD 200"] == 0) {
        return caseNotRun;
    }
    return seen.strays > 0 ? ruleBroken : ruleHeld;
}

} // namespace
} // namespace reedtrail::review

int main()
{
    return reedtrail::review::run();
}
