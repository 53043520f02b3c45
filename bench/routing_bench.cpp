// Compares time to first token, goodput and prefix cache hit rate of the scheduler with those of simple policies, with load reports one second old and a tenth
// of the servers three times slower. All policies get the same arrivals. The omniscient router, a single one for all gates that sees the current state of every
// queue and cache, gives an upper bound for the hit rate.

#include "bench/benchmark.h"

#include "base/check.h"
#include "routing/testing/workload.h"

#include <array>
#include <map>

namespace reedtrail::bench {
namespace {

using namespace testing;

constexpr duration warmUp = std::chrono::seconds(20);
constexpr double slowFactor = 3;
constexpr std::uint32_t slowServerInterval = 10; ///< One of this many servers is slow.
constexpr std::size_t largeFleet = 100; ///< With more servers than this the measured span is 15 s instead of 60 s.
constexpr std::uint32_t templatesPerServer = 10;
constexpr std::size_t cacheBlocksPerServer = 150;

struct routing_result
{
    double p50 = 0; ///< Median time to first token in milliseconds.
    double p99 = 0; ///< 99th percentile of the time to first token in milliseconds.
    double goodput = 0; ///< Share of requests answered within their deadline.
    double hitRate = 0; ///< Share of prompt blocks found in the server's prefix cache.
    double slotUtilization = 0; ///< Share of the available slot time that was busy while requests arrived.
};

routing_result measure(routing_policy way, double load, const bench_options &options)
{
    fleet_setup setup;
    setup.gates = static_cast<std::uint32_t>(options.nodes);
    setup.servers = static_cast<std::uint32_t>(options.servers);
    setup.policy = way;
    setup.server.cacheBlocks = cacheBlocksPerServer;
    harness::virtual_time virtualTime;
    virtual_fleet fleet(virtualTime, setup, options.seed);
    double speed = 0;
    for (std::uint32_t index = 0; index < setup.servers; ++index) {
        const double factor = index % slowServerInterval == slowServerInterval - 1 ? slowFactor : 1;
        fleet.server(index).setSlowFactor(factor);
        speed += static_cast<double>(setup.server.slots) / factor;
    }
    workload_options requests;
    requests.templates = setup.servers * templatesPerServer;
    const double prefill = (requests.prefixBlocks * 0.5 + requests.ownBlocks) * setup.server.prefillSecondsPerBlock;
    requests.requestsPerSecond = load * speed / (meanTokens(requests) * setup.server.secondsPerToken + prefill);
    const time_point end = time_point(warmUp) + (setup.servers > largeFleet ? std::chrono::seconds(15) : std::chrono::seconds(60));
    workload source(fleet, requests, random_source(options.seed));
    fleet.start();
    source.run(virtualTime, end);
    virtualTime.runUntil(time_point(warmUp));
    const double busyBefore = fleet.busySeconds();
    virtualTime.runUntil(end);
    const double slotUtilization =
        (fleet.busySeconds() - busyBefore) / (toSeconds(end - time_point(warmUp)) * setup.servers * static_cast<double>(setup.server.slots));
    virtualTime.runUntil(end + requests.deadline);
    std::vector<double> waits;
    double all = 0;
    double good = 0;
    double blocks = 0;
    double cached = 0;
    for (const request_record &record : fleet.records()) {
        if (record.arrivedAt < time_point(warmUp)) {
            continue;
        }
        all += 1;
        good += record.isAnswered && record.endedAt <= record.deadline ? 1 : 0;
        if (record.firstTokenAt != timeNever) {
            waits.push_back(toSeconds(record.firstTokenAt - record.arrivedAt) * 1e3);
            blocks += record.blocks;
            cached += record.cached;
        }
    }
    return { quantile(waits, 0.5), quantile(waits, 0.99), good / all, cached / blocks, slotUtilization };
}

struct named_way
{
    const char *name;
    routing_policy way;
};
constexpr std::array<named_way, 4> baselines{ { { "random", routing_policy::Random },
                                                { "roundRobin", routing_policy::RoundRobin },
                                                { "leastReported", routing_policy::LeastReported },
                                                { "powerOfTwo", routing_policy::PowerOfTwo } } };

void runLoad(int percent, const bench_options &options, bench_report &report)
{
    const std::string suffix = "At" + std::to_string(percent);
    const double load = percent / 100.0;
    printProgress("load " + std::to_string(percent) + " %: scheduler");
    const routing_result schedulerResult = measure(routing_policy::Scheduler, load, options);
    std::map<std::string, routing_result> otherResults;
    for (const named_way &each : baselines) {
        printProgress("load " + std::to_string(percent) + " %: " + each.name);
        otherResults[each.name] = measure(each.way, load, options);
    }
    printProgress("load " + std::to_string(percent) + " %: omniscient");
    const routing_result omniscient = measure(routing_policy::Omniscient, load, options);
    double lowestBaselineP99 = otherResults.begin()->second.p99;
    for (const auto &[name, result] : otherResults) {
        lowestBaselineP99 = std::min(lowestBaselineP99, result.p99);
    }
    bench_figure p50 = report.figure("p50Ms" + suffix, schedulerResult.p50, "ms");
    bench_figure p99 = report.figure("p99Ms" + suffix, schedulerResult.p99, "ms", atMost(lowestBaselineP99));
    bench_figure goodput = report.figure("goodput" + suffix, schedulerResult.goodput, "share");
    bench_figure slotUtilization = report.figure("slotsUsed" + suffix, schedulerResult.slotUtilization, "share");
    bench_figure hits = report.figure("hitRate" + suffix, schedulerResult.hitRate, "share");
    otherResults["omniscient"] = omniscient;
    for (const auto &[name, result] : otherResults) {
        p50.baseline(name, result.p50);
        p99.baseline(name, result.p99);
        goodput.baseline(name, result.goodput);
        slotUtilization.baseline(name, result.slotUtilization);
        hits.baseline(name, result.hitRate);
    }
    report.figure("hitRateOfOmniscient" + suffix, schedulerResult.hitRate / omniscient.hitRate, "ratio", atLeast(0.9));
}

void runRouting(const bench_options &options, bench_report &report)
{
    for (const int percent : { 70, 90, 110 }) {
        runLoad(percent, options, report);
    }
    report.figure("failedChecks", static_cast<double>(failedChecks()), "checks", exactly(0));
}

const registered_benchmark routing("routing", "Time to first token, goodput and prefix hit rate compared with simple policies", {}, runRouting);

} // namespace
} // namespace reedtrail::bench
