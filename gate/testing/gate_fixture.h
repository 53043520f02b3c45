/**
 * @file
 * Runs a complete gate in the test process on loopback sockets: its two services, a fake steward that sends fleet views, and a blocking HTTP client.
 */
#pragma once

#include "fleet/token_hash.h"
#include "gate/control_service.h"
#include "gate/traffic_service.h"
#include "net/peer_bus.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <condition_variable>
#include <future>
#include <mutex>
#include <string>
#include <thread>

namespace reedtrail::testing {

/** An io_context and the thread that runs it. */
class running_loop
{
public:
    boost::asio::io_context io;

    /** Runs @p action on the thread of the loop and waits for it. */
    template<class Action>
    void run(Action action)
    {
        std::promise<void> done;
        boost::asio::post(io, [&] {
            action();
            done.set_value();
        });
        done.get_future().wait();
    }
    ~running_loop()
    {
        stop();
    }
    void stop()
    {
        io.stop();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

private:
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work = boost::asio::make_work_guard(io);
    std::thread m_thread{ [this] {
        io.run();
    } };
};

/** Returns the settings of a node whose listeners use loopback ports from @p firstPort on. */
inline node_settings nodeSettingsOn(const std::string &name, std::uint16_t firstPort)
{
    const auto at = [firstPort](int offset) {
        return endpoint{ "127.0.0.1", static_cast<std::uint16_t>(firstPort + offset) };
    };
    node_settings settings;
    settings.node = node_id(name);
    settings.zone = zone_id("a");
    settings.listen.callers = at(0);
    settings.listen.gatePeer = at(1);
    settings.listen.gateAdmin = at(2);
    settings.listen.stewardPeer = at(3);
    settings.listen.operators = at(4);
    return settings;
}

/** Sends its fleet view to each gate that connects. */
class fake_steward
{
public:
    fake_steward(const endpoint &where, fleet_view view)
        : m_bus(std::make_unique<peer_bus>(m_loop.io, peer_bus_options{}))
        , m_view(std::move(view))
    {
        m_loop.run([&] {
            m_bus->onMessage<hello>([this](link_id from, const hello &) {
                m_gate = from;
                m_bus->send(from, m_view);
            });
            m_bus->onMessage<draft_result>([this](link_id, draft_result result) {
                m_results.set_value(std::move(result));
            });
            const std::optional<failure> error = failureOf([&]() -> result<void> {
                return m_bus->listen(where);
            });
            if (error) {
                throw std::runtime_error(error->detail);
            }
        });
    }
    ~fake_steward()
    {
        m_loop.run([this] {
            m_bus->stop();
        });
        m_loop.stop();
    }
    /** Replaces the view and sends it to the gate that connected last. */
    void publishView(fleet_view view)
    {
        m_loop.run([&] {
            m_view = std::move(view);
            m_bus->send(m_gate, m_view);
        });
    }
    /** Orders a draft and waits for its result. */
    draft_result order(const draft_order &wanted)
    {
        m_loop.run([&] {
            m_bus->send(m_gate, wanted);
        });
        return m_results.get_future().get();
    }

private:
    running_loop m_loop;
    std::unique_ptr<peer_bus> m_bus;
    fleet_view m_view;
    link_id m_gate = 0;
    std::promise<draft_result> m_results;
};

/** Runs the services of one gate. */
class running_gate
{
public:
    explicit running_gate(node_settings settings, incarnation number = 1000, traffic_options options = {})
        : m_settings(std::move(settings))
        , m_context{ m_loop.io, m_settings, m_metrics, m_services, number, m_pages }
    {
        m_loop.run([&] {
            auto control = std::make_unique<control_service>(m_context);
            auto traffic = std::make_unique<traffic_service>(m_context, *control, options);
            m_services.add("control", std::move(control));
            m_services.add("traffic", std::move(traffic));
            const std::optional<failure> error = failureOf([&]() -> result<void> {
                return m_services.start();
            });
            if (error) {
                throw std::runtime_error(error->detail);
            }
        });
    }
    ~running_gate()
    {
        m_loop.run([this] {
            m_services.stop();
        });
        m_loop.stop();
    }
    /** Starts to drain the gate. @return a future that becomes ready when the gate is drained */
    std::future<void> drain()
    {
        auto drained = std::make_shared<std::promise<void>>();
        std::future<void> done = drained->get_future();
        boost::asio::post(m_loop.io, [this, drained] {
            m_services.drain([drained] {
                drained->set_value();
            });
        });
        return done;
    }
    nlohmann::json dump()
    {
        nlohmann::json state;
        m_loop.run([&] {
            state = m_services.dump();
        });
        return state;
    }
    /** Waits until @p condition is true for the dump. Throws after about 30 seconds. */
    void waitUntil(const std::function<bool(const nlohmann::json &state)> &condition)
    {
        constexpr int maximumPolls = 3000;
        for (int poll = 0; poll < maximumPolls; ++poll) {
            if (condition(dump())) {
                return;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        throw std::runtime_error("the gate did not reach the expected state in time");
    }
    /** Waits until the gate knows @p servers backend servers. */
    void waitForServers(std::size_t servers)
    {
        waitUntil([servers](const nlohmann::json &state) {
            return state.at("traffic").at("serversPolled") == servers;
        });
    }

private:
    running_loop m_loop;
    node_settings m_settings;
    metric_registry m_metrics;
    kernel m_services;
    std::map<std::string, http_server::handler> m_pages;
    process_context m_context;
};

/** Answer that a caller got. */
struct caller_answer
{
    int status = 0; ///< HTTP status; 0 if the connection ended before an answer.
    bool isWhole = false; ///< Whether the complete body arrived.
    std::string body;
    std::map<std::string, std::string> fields;

    std::string outcome() const
    {
        const auto found = fields.find("Reedtrail-Outcome");
        return found == fields.end() ? "" : found->second;
    }
};

using header_list = std::vector<std::pair<std::string, std::string>>;

/** An HTTP client that keeps its connection open between requests. */
class keep_alive_client
{
public:
    explicit keep_alive_client(std::uint16_t port)
        : m_socket(m_io)
    {
        m_socket.connect({ boost::asio::ip::make_address("127.0.0.1"), port });
    }

    /** Sends one request with the access token of customer "trust" and waits for its answer. */
    caller_answer call(const std::string &method, const std::string &target, const std::string &body, const header_list &headers = {})
    {
        namespace http = boost::beast::http;
        http::request<http::string_body> request;
        request.method_string(method);
        request.target(target);
        request.version(11);
        request.set(http::field::host, "gate");
        request.set(http::field::authorization, "Bearer t1");
        for (const auto &[name, value] : headers) {
            request.set(name, value);
        }
        request.body() = body;
        request.prepare_payload();
        boost::system::error_code error;
        http::write(m_socket, request, error);
        http::response_parser<http::string_body> parser;
        http::read(m_socket, m_buffer, parser, error);
        caller_answer answer;
        answer.isWhole = parser.is_done();
        if (parser.is_header_done()) {
            answer.status = parser.get().result_int();
            answer.body = parser.get().body();
            for (const auto &field : parser.get()) {
                answer.fields[std::string(field.name_string())] = std::string(field.value());
            }
        }
        return answer;
    }

private:
    boost::asio::io_context m_io;
    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
};

/** Sends one request on a connection of its own and waits for the answer. */
inline caller_answer
callGate(std::uint16_t port, const std::string &method, const std::string &target, const std::string &body, const header_list &headers = {})
{
    header_list all = headers;
    all.emplace_back("Connection", "close");
    return keep_alive_client(port).call(method, target, body, all);
}

/** Returns a view with an engine pool "model" and a service pool "desk", whose servers listen at @p enginePorts and @p servicePorts. */
inline fleet_view fleetViewOf(const std::vector<std::uint16_t> &enginePorts, const std::vector<std::uint16_t> &servicePorts)
{
    const auto servers = [](const std::string &prefix, const std::vector<std::uint16_t> &ports) {
        nlohmann::json list = nlohmann::json::array();
        for (const std::uint16_t port : ports) {
            list.push_back({ { "id", prefix + std::to_string(list.size()) }, { "address", "127.0.0.1:" + std::to_string(port) }, { "zone", "a" } });
        }
        return list;
    };
    fleet_view view;
    view.revision = 1;
    view.document = { { "customers",
                        { { { "id", "trust" }, { "tokenHashes", { hashToken("t1", "s") } } },
                          { { "id", "rival" }, { "tokenHashes", { hashToken("t2", "s") } } } } },
                      { "pools",
                        { { { "id", "model" },
                            { "kind", "engine" },
                            { "servers", servers("engine-", enginePorts) },
                            { "silenceTimeoutMs", 150 },
                            { "defaultDeadlineMs", 3000 } },
                          { { "id", "desk" },
                            { "kind", "service" },
                            { "servers", servers("desk-", servicePorts) },
                            { "nonIdempotent", { "POST /orders" } },
                            { "silenceTimeoutMs", 150 },
                            { "defaultDeadlineMs", 3000 } } } } };
    return view;
}

} // namespace reedtrail::testing
