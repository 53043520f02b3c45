// A pool loses half its servers for 30 s. Measured: attempts sent over requests, and how long after the return of the servers goodput is at 0.95 of what it was
// before. The baselines retry at once without a budget, and do not know which servers are down but by their reports.

#include "bench/benchmark.h"

#include "base/check.h"
#include "routing/testing/workload.h"

#include <algorithm>
#include <array>

namespace reedtrail::bench {
namespace {

using namespace testing;

constexpr duration lossAt = std::chrono::seconds(20);
constexpr duration lossTime = std::chrono::seconds(30);
constexpr duration endAt = std::chrono::seconds(75);
constexpr duration window = std::chrono::seconds(1);
constexpr double load = 0.7;
constexpr double wantedGoodput = 0.95;

struct retry_result
{
    double attemptsPerRequest = 0;
    double recoverySeconds = 0; ///< After the return, until goodput is back for good; the whole rest if it never is.
    double goodputInLoss = 0; ///< Requests answered in time, over requests that arrived while half the servers were away.
    std::uint64_t falseNotRun = 0; ///< Requests that a server began and that were refused as not run.
};

/** Returns the share of the requests that arrived in [from, from + window) and were answered in time. */
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
    harness::virtual_time world;
    virtual_fleet fleet(world, setup, options.seed);
    workload_options requests;
    requests.templates = setup.servers * 10;
    requests.nonIdempotentShare = 0.1;
    const double service = meanTokens(requests) * setup.server.secondsPerToken + requests.ownBlocks * setup.server.prefillSecondsPerBlock;
    requests.requestsPerSecond = load * setup.servers * static_cast<double>(setup.server.slots) / service;
    workload source(fleet, requests, random_source(options.seed));
    fleet.start();
    source.run(world, time_point(endAt));
    world.at(time_point(lossAt), [&] {
        for (std::uint32_t server = 0; server < setup.servers; server += 2) {
            fleet.crashServer(server);
        }
    });
    world.at(time_point(lossAt + lossTime), [&] {
        for (std::uint32_t server = 0; server < setup.servers; server += 2) {
            fleet.restartServer(server);
        }
    });
    world.runUntil(time_point(endAt) + requests.deadline);
    retry_result result;
    double attempts = 0;
    for (const request_record &record : fleet.records()) {
        attempts += record.attempts;
        const bool isFalse = record.starts > 0 && record.refused != error_kind::None && answerFor(record.refused).outcome == request_outcome::NotRun;
        result.falseNotRun += isFalse ? 1 : 0;
    }
    result.attemptsPerRequest = attempts / static_cast<double>(fleet.records().size());
    result.goodputInLoss = goodputAt(fleet, time_point(lossAt), lossTime);
    const double before = goodputAt(fleet, time_point(lossAt) - std::chrono::seconds(12), std::chrono::seconds(5));
    for (time_point at(lossAt + lossTime); at + window <= time_point(endAt); at += window) {
        if (goodputAt(fleet, at, window) < wantedGoodput * before) {
            result.recoverySeconds = toSeconds(at + window - time_point(lossAt + lossTime));
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
    progress("scheduler");
    const retry_result own = measure(routing_policy::Scheduler, options);
    bench_figure attempts = report.figure("attemptsPerRequest", own.attemptsPerRequest, "attempts", atMost(1.1));
    bench_figure recovery = report.figure("recoverySeconds", own.recoverySeconds, "s", atMost(5));
    bench_figure inLoss = report.figure("goodputInLoss", own.goodputInLoss, "share");
    report.figure("falseNotRun", static_cast<double>(own.falseNotRun), "requests", exactly(0));
    for (const named_way &each : baselines) {
        progress(each.name);
        const retry_result other = measure(each.way, options);
        attempts.baseline(each.name, other.attemptsPerRequest);
        recovery.baseline(each.name, other.recoverySeconds);
        inLoss.baseline(each.name, other.goodputInLoss);
    }
    report.figure("failedChecks", static_cast<double>(failedChecks()), "checks", exactly(0));
}

const registered_benchmark retry("retry", "A pool loses half its servers for 30 s", {}, runRetry);

} // namespace
} // namespace reedtrail::bench
