/**
 * @file
 * Main program shared by all stand-ins: command line, event loop, HTTP server and fault injection.
 *
 *     int runService(int argc, char **argv)
 *     {
 *         command_line line("reedtrail-standin service", "A plain service.");
 *         line.option("latency-ms", "MS", "Median time to answer (5)");
 *         return runStandIn(line, argc, argv, [](stand_in_context &context) { return std::make_unique<service_stand_in>(context); });
 *     }
 */
#pragma once

#include "kernel/command_line.h"
#include "net/http_server.h"
#include "standins/fault_board.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace reedtrail {

/** Reads typed option values from a command line and keeps the first error, which ends the program as a usage error. */
class option_reader
{
public:
    option_reader(std::string program, const parsed_line &parsed);
    /** Returns the number given for @p name within [@p low, @p high], or @p fallback. */
    double number(std::string_view name, double fallback, double low, double high);
    /** Returns the whole number given for @p name within [@p low, @p high], or @p fallback. */
    std::int64_t integer(std::string_view name, std::int64_t fallback, std::int64_t low, std::int64_t high);
    /** Returns the endpoint given for the required option @p name. */
    endpoint address(std::string_view name);
    /** Records that the value of @p name must be @p allowed; only the first error is kept. */
    void reject(std::string_view name, const std::string &allowed);
    /** Prints the first error to stderr. @return the exit code, or nothing if there was no error */
    std::optional<int> reportFirstError() const;
    /** Returns the first error, or an empty string. */
    const std::string &firstError() const
    {
        return m_firstError;
    }

private:
    std::string m_program;
    const parsed_line &m_parsed;
    std::string m_firstError;
};

/** Objects that a stand-in is constructed from; they outlive it. */
struct stand_in_context
{
    boost::asio::io_context &io;
    const parsed_line &options;
    option_reader &numbers;
    fault_board &faults;
    std::uint64_t seed;
};

/** Interface of a stand-in. */
class stand_in
{
public:
    virtual ~stand_in() = default;
    /** Handles a request that no active fault rejected. */
    virtual void handle(const std::shared_ptr<http_exchange> &exchange) = 0;
    /** Returns the exit code of the process after the event loop has stopped. */
    virtual int exitCode() const
    {
        return 0;
    }
};

/** Constructs a stand-in. Option errors recorded in context.numbers end the program before it serves requests. */
using stand_in_factory = std::function<std::unique_ptr<stand_in>(stand_in_context &context)>;

/** Parses the command line, serves the stand-in until SIGTERM or SIGINT, and returns the exit code. Adds the options --listen and --seed. */
int runStandIn(command_line line, int argc, char **argv, const stand_in_factory &make);

/** Parses the body of @p exchange. If it is not a JSON object, responds with 400 and returns nothing. */
std::optional<nlohmann::json> bodyOf(const std::shared_ptr<http_exchange> &exchange);

/** Responds with the JSON document @p body. */
void respondJson(const std::shared_ptr<http_exchange> &exchange, std::uint16_t status, const nlohmann::json &body);

} // namespace reedtrail
