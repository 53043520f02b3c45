// Simulates a pool that loses half its servers for 30 s. Measured are the attempts per request, and the time from the return of the servers until goodput stays
// at 0.95 of its earlier level. The baselines retry at once without a retry budget, and learn which servers are down only from the load reports.

#include "bench/benchmark.h"

#include "base/check.h"
#include "routing/testing/workload.h"

#include <algorithm>
#include <array>

namespace reedtrail::bench {
namespace {

using namespace testing;

constexpr duration crashAt = std::chrono::seconds(20);
constexpr duration outageDuration = std::chrono::seconds(30);
constexpr duration endAt = std::chrono::seconds(75);
constexpr duration window = std::chrono::seconds(1);
constexpr double load = 0.7;
constexpr double recoveredGoodputShare = 0.95;

struct retry_result
{
    double attemptsPerRequest = 0;
    double recoverySeconds = 0; ///< Time from the servers' return until goodput stays recovered; the rest of the run if it does not recover.
    double goodputDuringOutage = 0; ///< Share of the requests that arrived while half the servers were down and were answered in time.
    std::uint64_t falseNotRun = 0; ///< Requests that a server started but that were refused as not run.
};

/** Returns the share of the requests that arrived in [from, from + length) and were answered in time; 1 if none arrived. */
double goodputAt(const virtual_fleet &fleet, time_point from, duration length)
{
    double all = 0;
    double good = 0;
    for (const request_record &record : fleet.records()) {
        if (record.arrivedAt >= from && record.arrivedAt < from + length) {
            all += 1;
            good += record.isAnswered && record.endedAt <= record.deadline ? 1 : 0;
        }
    }
    return all > 0 ? good / all : 1;
}

retry_result measure(routing_policy way, const bench_options &options)
{
    fleet_setup setup;
    setup.gates = static_cast<std::uint32_t>(options.nodes);
    setup.servers = static_cast<std::uint32_t>(options.servers);
    setup.policy = way;
    harness::virtual_time virtualTime;
    virtual_fleet fleet(virtualTime, setup, options.seed);
    workload_options requests;
    requests.templates = setup.servers * 10;
    requests.nonIdempotentShare = 0.1;
    const double serviceSeconds = meanTokens(requests) * setup.server.secondsPerToken + requests.ownBlocks * setup.server.prefillSecondsPerBlock;
    requests.requestsPerSecond = load * setup.servers * static_cast<double>(setup.server.slots) / serviceSeconds;
    workload source(fleet, requests, random_source(options.seed));
    fleet.start();
    source.run(virtualTime, time_point(endAt));
    virtualTime.at(time_point(crashAt), [&] {
        for (std::uint32_t server = 0; server < setup.servers; server += 2) {
            fleet.crashServer(server);
        }
    });
    virtualTime.at(time_point(crashAt + outageDuration), [&] {
        for (std::uint32_t server = 0; server < setup.servers; server += 2) {
            fleet.restartServer(server);
        }
    });
    virtualTime.runUntil(time_point(endAt) + requests.deadline);
    retry_result result;
    double attempts = 0;
    for (const request_record &record : fleet.records()) {
        attempts += record.attempts;
        const bool isFalselyNotRun = record.starts > 0 && record.refused != error_kind::None && answerFor(record.refused).outcome == request_outcome::NotRun;
        result.falseNotRun += isFalselyNotRun ? 1 : 0;
    }
    result.attemptsPerRequest = attempts / static_cast<double>(fleet.records().size());
    result.goodputDuringOutage = goodputAt(fleet, time_point(crashAt), outageDuration);
    const double before = goodputAt(fleet, time_point(crashAt) - std::chrono::seconds(12), std::chrono::seconds(5));
    for (time_point at(crashAt + outageDuration); at + window <= time_point(endAt); at += window) {
        if (goodputAt(fleet, at, window) < recoveredGoodputShare * before) {
            result.recoverySeconds = toSeconds(at + window - time_point(crashAt + outageDuration));
        }
    }
    return result;
}

struct named_way
{
    const char *name;
    routing_policy way;
};
constexpr std::array<named_way, 2> baselines{ { { "roundRobin", routing_policy::RoundRobin }, { "powerOfTwo", routing_policy::PowerOfTwo } } };

void runRetry(const bench_options &options, bench_report &report)
{
    printProgress("scheduler");
    const retry_result schedulerResult = measure(routing_policy::Scheduler, options);
    bench_figure attempts = report.figure("attemptsPerRequest", schedulerResult.attemptsPerRequest, "attempts", atMost(1.1));
    bench_figure recovery = report.figure("recoverySeconds", schedulerResult.recoverySeconds, "s", atMost(5));
    bench_figure outageGoodput = report.figure("goodputInLoss", schedulerResult.goodputDuringOutage, "share");
    report.figure("falseNotRun", static_cast<double>(schedulerResult.falseNotRun), "requests", exactly(0));
    for (const named_way &each : baselines) {
        printProgress(each.name);
        const retry_result baselineResult = measure(each.way, options);
        attempts.baseline(each.name, baselineResult.attemptsPerRequest);
        recovery.baseline(each.name, baselineResult.recoverySeconds);
        outageGoodput.baseline(each.name, baselineResult.goodputDuringOutage);
    }
    report.figure("failedChecks", static_cast<double>(failedChecks()), "checks", exactly(0));
}

const registered_benchmark retry("retry", "Attempts and recovery time of a pool that loses half its servers for 30 s", {}, runRetry);

} // namespace
} // namespace reedtrail::bench
