// Compares three mechanisms that run a request at most once, each under the same faults: tickets, stored records of idempotency keys, and leased ranges of
// idempotency keys. A request must never run twice, be reported as not run although it ran, or get the answer to another request.

#include "base/check.h"
#include "bench/benchmark.h"
#include "once/testing/once_simulation.h"

#include <string>

namespace reedtrail {
namespace {

using testing::once_simulation;
using testing::once_simulation_options;
using testing::once_simulation_result;
using testing::request_naming;

constexpr std::size_t requests = 100000;
constexpr double requestsPerSecond = 1000;

once_simulation_options simulationOptions(const bench::bench_options &options, request_naming way)
{
    once_simulation_options simulation;
    simulation.naming = way;
    simulation.gates = static_cast<std::size_t>(options.nodes);
    simulation.servers = static_cast<std::size_t>(options.servers);
    simulation.requests = requests;
    simulation.requestsPerSecond = requestsPerSecond;
    simulation.seed = options.seed;
    return simulation;
}

double share(std::size_t part, std::size_t whole)
{
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

void reportWay(const std::string &way, const once_simulation_result &outcome, bench::bench_report &report)
{
    report.figure(way + ".runTwice", static_cast<double>(outcome.runTwice), "requests", bench::exactly(0));
    report.figure(way + ".falseNotRun", static_cast<double>(outcome.falseNotRun), "requests", bench::exactly(0));
    report.figure(way + ".crossedAnswers", static_cast<double>(outcome.crossed), "answers", bench::exactly(0));
    report.figure(way + ".answered", share(outcome.answered, requests), "share");
    report.figure(way + ".refusedNotRun", share(outcome.refused, requests), "share");
    report.figure(way + ".unknown", share(outcome.unknown, requests), "share");
    report.figure(way + ".answeredOfBegunInOutage", share(outcome.answeredOfOutage, outcome.begunInOutage), "share");
    report.figure(way + ".storeCalls", static_cast<double>(outcome.storeCalls) / outcome.seconds, "calls/s");
    report.figure(way + ".forwarded", share(outcome.forwarded, requests), "per request");
}

void runOnce(const bench::bench_options &options, bench::bench_report &report)
{
    setAbortOnFailedCheck(false);
    const std::uint64_t checksBefore = failedChecks();
    bench::printProgress("tickets");
    reportWay("tickets", once_simulation<key_records>(simulationOptions(options, request_naming::Ticket)).run(), report);
    bench::printProgress("records of keys");
    reportWay("keyRecords", once_simulation<key_records>(simulationOptions(options, request_naming::Key)).run(), report);
    bench::printProgress("ranges of keys");
    reportWay("keyRanges", once_simulation<key_ranges>(simulationOptions(options, request_naming::Key)).run(), report);
    report.figure("failedChecks", static_cast<double>(failedChecks() - checksBefore), "checks", bench::exactly(0));
}

const bench::registered_benchmark
    once("once", "Non-idempotent requests retried through other nodes under faults, with three mechanisms", { .nodes = 8, .servers = 20 }, runOnce);

} // namespace
} // namespace reedtrail
