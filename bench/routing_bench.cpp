// Time to first token, goodput and prefix hits of the scheduler against simple policies, with load reports a second late and a tenth of the servers three times
// slower. All policies see the same arrivals. The omniscient router, one for all gates that sees every queue and cache as it is, bounds the hit rate.

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
constexpr std::uint32_t slowEach = 10; ///< One server in this many is slow.
constexpr std::size_t largeFleet = 100; ///< Servers from which on the measured span is shortened.
constexpr std::uint32_t templatesPerServer = 10;
constexpr std::size_t cacheBlocksPerServer = 150;

struct routing_result
{
    double p50 = 0; ///< Milliseconds to the first token.
    double p99 = 0;
    double goodput = 0; ///< Answers within their deadline, over requests.
    double hitRate = 0;
    double used = 0; ///< Slot-seconds worked over slot-seconds there, while requests arrive.
};

routing_result measure(routing_policy way, double load, const bench_options &options)
{
    fleet_setup setup;
    setup.gates = static_cast<std::uint32_t>(options.nodes);
    setup.servers = static_cast<std::uint32_t>(options.servers);
    setup.policy = way;
    setup.server.cacheBlocks = cacheBlocksPerServer;
    harness::virtual_time world;
    virtual_fleet fleet(world, setup, options.seed);
    double speed = 0;
    for (std::uint32_t index = 0; index < setup.servers; ++index) {
        const double factor = index % slowEach == slowEach - 1 ? slowFactor : 1;
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
    source.run(world, end);
    world.runUntil(time_point(warmUp));
    const double busyBefore = fleet.busySeconds();
    world.runUntil(end);
    const double used = (fleet.busySeconds() - busyBefore) / (toSeconds(end - time_point(warmUp)) * setup.servers * static_cast<double>(setup.server.slots));
    world.runUntil(end + requests.deadline);
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
    return { quantile(waits, 0.5), quantile(waits, 0.99), good / all, cached / blocks, used };
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
    progress("load " + std::to_string(percent) + " %: scheduler");
    const routing_result own = measure(routing_policy::Scheduler, load, options);
    std::map<std::string, routing_result> others;
    for (const named_way &each : baselines) {
        progress("load " + std::to_string(percent) + " %: " + each.name);
        others[each.name] = measure(each.way, load, options);
    }
    progress("load " + std::to_string(percent) + " %: omniscient");
    const routing_result omniscient = measure(routing_policy::Omniscient, load, options);
    double least = others.begin()->second.p99;
    for (const auto &[name, result] : others) {
        least = std::min(least, result.p99);
    }
    bench_figure p50 = report.figure("p50Ms" + suffix, own.p50, "ms");
    bench_figure p99 = report.figure("p99Ms" + suffix, own.p99, "ms", atMost(least));
    bench_figure goodput = report.figure("goodput" + suffix, own.goodput, "share");
    bench_figure used = report.figure("slotsUsed" + suffix, own.used, "share");
    bench_figure hits = report.figure("hitRate" + suffix, own.hitRate, "share");
    others["omniscient"] = omniscient;
    for (const auto &[name, result] : others) {
        p50.baseline(name, result.p50);
        p99.baseline(name, result.p99);
        goodput.baseline(name, result.goodput);
        used.baseline(name, result.used);
        hits.baseline(name, result.hitRate);
    }
    report.figure("hitRateOfOmniscient" + suffix, own.hitRate / omniscient.hitRate, "ratio", atLeast(0.9));
}

void runRouting(const bench_options &options, bench_report &report)
{
    for (const int percent : { 70, 90, 110 }) {
        runLoad(percent, options, report);
    }
    report.figure("failedChecks", static_cast<double>(failedChecks()), "checks", exactly(0));
}

const registered_benchmark routing("routing", "Time to first token, goodput and prefix hits against simple policies", {}, runRouting);

} // namespace
} // namespace reedtrail::bench
