// Each kind of caller has its own arrival rate; a rate of 0 disables the kind.

#include "standins/load/load_options.h"

#include "standins/standin_host.h"

namespace reedtrail {
namespace {

result<std::vector<endpoint>> readEndpoints(const parsed_line &parsed, std::string_view name)
{
    std::vector<endpoint> endpoints;
    for (const std::string &text : parsed.values(name)) {
        BOOST_LEAF_AUTO(address, parseEndpoint(text));
        endpoints.push_back(address);
    }
    return endpoints;
}

result<std::vector<load_customer>> readCustomers(const parsed_line &parsed)
{
    std::vector<load_customer> customers;
    for (const std::string &text : parsed.values("customer")) {
        const std::size_t split = text.find('=');
        if (split == std::string::npos || split == 0) {
            return fail(error_kind::BadUsage, "--customer must be NAME=TOKEN");
        }
        customers.push_back({ text.substr(0, split), text.substr(split + 1) });
    }
    return customers;
}

duration milliseconds(option_reader &numbers, std::string_view name, std::int64_t fallback)
{
    return std::chrono::milliseconds(numbers.integer(name, fallback, 1, 3600000));
}

void readCallers(const parsed_line &parsed, option_reader &numbers, load_options &options)
{
    options.callers[static_cast<std::size_t>(caller_kind::Note)] = {
        numbers.number("note-rate", 20, 0, 1e5), parsed.value("note-pool", "logbook"), "/notes", milliseconds(numbers, "note-deadline-ms", 1000)
    };
    options.callers[static_cast<std::size_t>(caller_kind::Summary)] = {
        numbers.number("summary-rate", 5, 0, 1e5), parsed.value("summary-pool", "summarizer"), "", milliseconds(numbers, "summary-deadline-ms", 10000)
    };
    options.callers[static_cast<std::size_t>(caller_kind::Proof)] = { numbers.number("proof-rate", 10, 0, 1e5),
                                                                      parsed.value("proof-pool", "proof-desk"),
                                                                      parsed.value("proof-path", "/orders"),
                                                                      milliseconds(numbers, "proof-deadline-ms", 3000) };
}

} // namespace

command_line makeLoadCommandLine()
{
    command_line line("reedtrail-load",
                      "Drives a running fleet, checks every answer, and compares the servers' records with what the callers saw.\n"
                      "Exit code 1 if anything ran twice, was told \"not run\" falsely, was lost, doubled, crossed or cut.");
    line.option("gate", "IP:PORT", "Entry VM; given once or more");
    line.option("customer", "NAME=TOKEN", "Customer; given once or more");
    line.option("record", "IP:PORT", "Stand-in server whose record is compared; may be given several times");
    line.option("trainer", "IP:PORT", "Trainer whose figures are added; may be given several times");
    line.option("note-rate", "N", "Notes a second (20)");
    line.option("note-pool", "POOL", "Pool of notes (logbook)");
    line.option("note-deadline-ms", "MS", "Deadline of a note (1000)");
    line.option("summary-rate", "N", "Streamed completions a second (5)");
    line.option("summary-pool", "POOL", "Pool of completions (summarizer)");
    line.option("summary-deadline-ms", "MS", "Deadline of a completion (10000)");
    line.option("max-tokens", "N", "Longest completion (48)");
    line.option("proof-rate", "N", "Orders that must run at most once, a second (10)");
    line.option("proof-pool", "POOL", "Pool of orders (proof-desk)");
    line.option("proof-path", "PATH", "Path of orders below the pool (/orders)");
    line.option("proof-deadline-ms", "MS", "Deadline of an order (3000)");
    line.option("repeat-share", "P", "Share of the answered orders that are sent again through another entry VM (0.3)");
    line.option("race-share", "P", "Share of the orders that are sent through two entry VMs at once (0.1)");
    line.option("duration", "S", "Seconds of load (10)");
    line.option("settle-ms", "MS", "Wait before the records are read (2000)");
    line.option("seed", "N", "Seed of arrivals and choices (1)");
    line.flag("may-cut", "Allow answers that break off, as when an entry VM is killed");
    line.flag("json", "Print only the JSON report");
    return line;
}

result<load_options> readLoadOptions(const parsed_line &parsed)
{
    load_options options;
    BOOST_LEAF_ASSIGN(options.gates, readEndpoints(parsed, "gate"));
    BOOST_LEAF_ASSIGN(options.recordEndpoints, readEndpoints(parsed, "record"));
    BOOST_LEAF_ASSIGN(options.trainerEndpoints, readEndpoints(parsed, "trainer"));
    BOOST_LEAF_ASSIGN(options.customers, readCustomers(parsed));
    if (options.gates.empty() || options.customers.empty()) {
        return fail(error_kind::BadUsage, "--gate and --customer must each be given once or more");
    }
    option_reader numbers("reedtrail-load", parsed);
    readCallers(parsed, numbers, options);
    options.loadDuration = std::chrono::milliseconds(static_cast<std::int64_t>(numbers.number("duration", 10, 0.1, 86400) * 1000));
    options.settleTime = milliseconds(numbers, "settle-ms", 2000);
    options.seed = static_cast<std::uint64_t>(numbers.integer("seed", 1, 0, INT64_MAX));
    options.repeatShare = numbers.number("repeat-share", 0.3, 0, 1);
    options.raceShare = numbers.number("race-share", 0.1, 0, 1);
    options.maximumTokens = static_cast<std::uint64_t>(numbers.integer("max-tokens", 48, 1, 100000));
    options.mayCut = parsed.has("may-cut");
    options.asJson = parsed.has("json");
    if (!numbers.firstError().empty()) {
        return fail(error_kind::BadUsage, numbers.firstError());
    }
    return options;
}

} // namespace reedtrail
