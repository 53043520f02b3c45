// The event loop runs on one thread, so a stand-in needs no locks and GET /record returns a consistent snapshot.

#include "standins/standin_host.h"

#include <boost/asio/signal_set.hpp>
#include <charconv>
#include <csignal>
#include <cstdio>

namespace reedtrail {

option_reader::option_reader(std::string program, const parsed_line &parsed)
    : m_program(std::move(program))
    , m_parsed(parsed)
{
}

void option_reader::reject(std::string_view name, const std::string &allowed)
{
    if (m_firstError.empty()) {
        m_firstError = "--" + std::string(name) + " must be " + allowed;
    }
}

double option_reader::number(std::string_view name, double fallback, double low, double high)
{
    if (!m_parsed.has(name)) {
        return fallback;
    }
    const std::string text = m_parsed.value(name);
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value < low || value > high) {
        reject(name, "a number from " + std::to_string(low) + " to " + std::to_string(high));
        return fallback;
    }
    return value;
}

std::int64_t option_reader::integer(std::string_view name, std::int64_t fallback, std::int64_t low, std::int64_t high)
{
    if (!m_parsed.has(name)) {
        return fallback;
    }
    const std::string text = m_parsed.value(name);
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value < low || value > high) {
        reject(name, "a whole number from " + std::to_string(low) + " to " + std::to_string(high));
        return fallback;
    }
    return value;
}

endpoint option_reader::address(std::string_view name)
{
    endpoint parsedAddress;
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_ASSIGN(parsedAddress, parseEndpoint(m_parsed.value(name)));
        return {};
    });
    if (error) {
        reject(name, "IP:PORT");
    }
    return parsedAddress;
}

std::optional<int> option_reader::reportFirstError() const
{
    if (m_firstError.empty()) {
        return std::nullopt;
    }
    std::fprintf(stderr, "%s: %s; see --help\n", m_program.c_str(), m_firstError.c_str());
    return answerFor(error_kind::BadUsage).exitCode;
}

std::optional<nlohmann::json> bodyOf(const std::shared_ptr<http_exchange> &exchange)
{
    nlohmann::json body = nlohmann::json::parse(exchange->request().body, nullptr, false);
    if (!body.is_object()) {
        respondJson(exchange, 400, { { "error", "the body must be a JSON object" } });
        return std::nullopt;
    }
    return body;
}

void respondJson(const std::shared_ptr<http_exchange> &exchange, std::uint16_t status, const nlohmann::json &body)
{
    exchange->respond(jsonResponse(status, body.dump() + "\n"));
}

namespace {

void handleFaultOrder(fault_board &faults, const std::shared_ptr<http_exchange> &exchange)
{
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_AUTO(order, parseFaultOrder(exchange->request().body, steadyNow()));
        faults.apply(order);
        return {};
    });
    if (error) {
        respondJson(exchange, 400, { { "error", error->detail } });
    } else {
        respondJson(exchange, 200, nlohmann::json::object());
    }
}

} // namespace

int runStandIn(command_line line, int argc, char **argv, const stand_in_factory &make)
{
    line.option("listen", "IP:PORT", "Where to serve HTTP");
    line.option("seed", "N", "Seed of the random numbers (1)");
    const parsed_line parsed = line.parse(argc, argv);
    if (parsed.exitCode) {
        return *parsed.exitCode;
    }
    std::signal(SIGPIPE, SIG_IGN);
    boost::asio::io_context io;
    option_reader numbers("reedtrail-standin", parsed);
    http_server_options options;
    options.address = numbers.address("listen");
    options.maximumBodyBytes = 64U << 20U;
    const auto seed = static_cast<std::uint64_t>(numbers.integer("seed", 1, 0, INT64_MAX));
    fault_board faults(io, seed);
    stand_in_context context{ io, parsed, numbers, faults, seed };
    const std::unique_ptr<stand_in> behaviour = make(context);
    if (const std::optional<int> code = numbers.reportFirstError()) {
        return *code;
    }
    const http_server::handler handle = [&](const std::shared_ptr<http_exchange> &exchange) {
        behaviour->handle(exchange);
    };
    http_server server(io, options, [&](const std::shared_ptr<http_exchange> &exchange) {
        if (exchange->request().path() == "/fault") {
            handleFaultOrder(faults, exchange);
        } else if (exchange->request().path() == "/record") {
            handle(exchange);
        } else {
            faults.dispatch(exchange, handle);
        }
    });
    const std::optional<failure> error = failureOf([&] {
        return server.start();
    });
    if (error) {
        std::fprintf(stderr, "reedtrail-standin: %s\n", error->detail.c_str());
        return answerFor(error->kind).exitCode;
    }
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &, int) {
        io.stop();
    });
    io.run();
    return behaviour->exitCode();
}

} // namespace reedtrail
