/**
 * @file
 * What every stand-in does alike: command line, loop, HTTP server, fault orders.
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

/** Numbers of a command line; the first one that is out of range ends the program with a usage error. */
class option_numbers
{
public:
    option_numbers(std::string program, const parsed_line &parsed);
    /** Returns the number given for @p name within [@p low, @p high], or @p fallback. */
    double number(std::string_view name, double fallback, double low, double high);
    /** Returns the whole number given for @p name within [@p low, @p high], or @p fallback. */
    std::int64_t integer(std::string_view name, std::int64_t fallback, std::int64_t low, std::int64_t high);
    /** Returns the endpoint given for @p name; required. */
    endpoint address(std::string_view name);
    /** Notes an error. */
    void reject(std::string_view name, const std::string &allowed);
    /** Prints the first error. @return the exit code if there was one */
    std::optional<int> finish() const;
    /** Returns the first error, or an empty text. */
    const std::string &firstError() const
    {
        return m_firstError;
    }

private:
    std::string m_program;
    const parsed_line &m_parsed;
    std::string m_firstError;
};

/** What a stand-in is made from. */
struct stand_in_context
{
    boost::asio::io_context &io;
    const parsed_line &options;
    option_numbers &numbers;
    fault_board &faults;
    std::uint64_t seed;
};

/** A stand-in's own behaviour. */
class stand_in
{
public:
    virtual ~stand_in() = default;
    /** Answers a request that the faults let pass. */
    virtual void handle(const std::shared_ptr<http_exchange> &exchange) = 0;
    /** Returns the exit code of the process after the loop was stopped. */
    virtual int exitCode() const
    {
        return 0;
    }
};

/** Makes a stand-in; numbers read from context.numbers are checked before it serves. */
using stand_in_factory = std::function<std::unique_ptr<stand_in>(stand_in_context &context)>;

/** Runs a stand-in from its command line to its exit code; adds the options --listen and --seed. */
int runStandIn(command_line line, int argc, char **argv, const stand_in_factory &make);

/** Parses the body of @p exchange; answers 400 and returns nothing if it is not a JSON object. */
std::optional<nlohmann::json> bodyOf(const std::shared_ptr<http_exchange> &exchange);

/** Answers with @p body. */
void respondJson(const std::shared_ptr<http_exchange> &exchange, std::uint16_t status, const nlohmann::json &body);

} // namespace reedtrail
