// Eight customers of equal weight, one of which asks for ten times its share. Measured: how long the others wait with the greedy one against without it, how
// even their throughput is, how much of the capacity is used, and how soon shares are fair again after a node is lost or cut off. Each figure is taken for the
// shares known from the usage tree with the watchers' counts of open requests, and for three baselines: the same with the servers' late reports only, gates
// that share only what they see themselves, and one queue per gate for all.

#include "bench/benchmark.h"

#include "base/check.h"
#include "routing/testing/workload.h"

#include <algorithm>
#include <array>
#include <map>

namespace reedtrail::bench {
namespace {

using namespace testing;

constexpr std::uint32_t customerCount = 8;
constexpr double greedyFactor = 10;
constexpr double othersLoad = 0.8; ///< Part of its share that each other customer asks for.
constexpr double steadyLoad = 2; ///< For the evenness of throughput: everybody asks for at least this many times its share.
constexpr duration warmUp = std::chrono::seconds(15);
constexpr duration measured = std::chrono::seconds(30);

struct sharing_run
{
    double p99Wait = 0; ///< Milliseconds to the first token, the worst of the customers that are not greedy.
    double jain = 0; ///< Of the throughput of customers that want more than their share, or of goodput over demand.
    double used = 0;
    double usageBytesPerSecond = 0; ///< A node, for the usage tree.
    double openSumBytesPerSecond = 0; ///< A node, for the watchers' counts.
};

struct sharing_case
{
    sharing_mode way = sharing_mode::GossipedUsage;
    std::vector<double> rates; ///< Of each customer, in shares of the capacity that would be its fair one.
    bool hasOpenSums = true; ///< Whether watchers count open requests.
    std::int64_t lostGate = -1; ///< Killed at half time.
    std::int64_t isolateGate = -1; ///< Cut off from the other nodes at half time.
    duration from = warmUp; ///< Begin of the measured span.
    duration until = warmUp + measured;
};

double jainIndex(const std::vector<double> &values)
{
    double sum = 0;
    double squares = 0;
    for (const double value : values) {
        sum += value;
        squares += value * value;
    }
    return squares > 0 ? sum * sum / (static_cast<double>(values.size()) * squares) : 0;
}

sharing_run summarise(const virtual_fleet &fleet, const sharing_case &wanted)
{
    const time_point from(wanted.from);
    const time_point until(wanted.until);
    std::array<std::vector<double>, customerCount> waits;
    std::vector<double> tokensServed(customerCount, 0);
    for (const request_record &record : fleet.records()) {
        if (record.firstTokenAt != timeNever && record.arrivedAt >= from && record.arrivedAt < until) {
            waits[record.customer].push_back(toSeconds(record.firstTokenAt - record.arrivedAt) * 1e3);
        }
        if (record.isAnswered && record.endedAt >= from && record.endedAt < until) {
            tokensServed[record.customer] += 1;
        }
    }
    sharing_run run;
    for (std::uint32_t customer = 1; customer < customerCount; ++customer) {
        run.p99Wait = std::max(run.p99Wait, quantile(waits[customer], 0.99));
    }
    run.jain = jainIndex(tokensServed);
    return run;
}

sharing_run measure(const sharing_case &wanted, const bench_options &options)
{
    fleet_setup setup;
    setup.gates = static_cast<std::uint32_t>(options.nodes);
    setup.servers = static_cast<std::uint32_t>(options.servers);
    setup.customerWeights.assign(customerCount, 1);
    setup.scheduler.sharing = wanted.way;
    setup.hasOpenSums = wanted.hasOpenSums;
    harness::virtual_time world;
    virtual_fleet fleet(world, setup, options.seed);
    workload_options requests;
    requests.templates = setup.servers * 10;
    requests.customerRates = wanted.rates;
    double shares = 0;
    for (const double rate : wanted.rates) {
        shares += rate / customerCount;
    }
    const double service = meanTokens(requests) * setup.server.secondsPerToken + requests.ownBlocks * setup.server.prefillSecondsPerBlock;
    const double slots = setup.servers * static_cast<double>(setup.server.slots);
    requests.requestsPerSecond = shares * slots / service;
    workload source(fleet, requests, random_source(options.seed));
    fleet.start();
    source.run(world, time_point(wanted.until));
    const time_point half(warmUp + measured / 2);
    world.at(half, [&] {
        if (wanted.lostGate >= 0) {
            fleet.killGate(static_cast<std::uint32_t>(wanted.lostGate));
        }
        if (wanted.isolateGate >= 0) {
            fleet.isolateGate(static_cast<std::uint32_t>(wanted.isolateGate), true);
        }
    });
    world.runUntil(time_point(wanted.from));
    const double busyBefore = fleet.busySeconds();
    world.runUntil(time_point(wanted.until));
    sharing_run run = summarise(fleet, wanted);
    run.used = (fleet.busySeconds() - busyBefore) / (toSeconds(wanted.until - wanted.from) * slots);
    const double nodeSeconds = toSeconds(wanted.until) * setup.gates;
    run.usageBytesPerSecond = static_cast<double>(fleet.usageBytes()) / nodeSeconds;
    run.openSumBytesPerSecond = static_cast<double>(fleet.openSumBytes()) / nodeSeconds;
    return run;
}

std::vector<double> ratesWith(double greedy, double others)
{
    std::vector<double> rates(customerCount, others);
    rates[0] = greedy;
    return rates;
}

struct named_way
{
    const char *name;
    sharing_mode way;
};
constexpr std::array<named_way, 2> baselines{ { { "localOnly", sharing_mode::LocalOnly }, { "unshared", sharing_mode::Unshared } } };

void runSharing(const bench_options &options, bench_report &report)
{
    const sharing_case own;
    sharing_case absent = own;
    absent.rates = ratesWith(0, othersLoad);
    sharing_case present = own;
    present.rates = ratesWith(greedyFactor, othersLoad);
    sharing_case crowded = own;
    crowded.rates = ratesWith(greedyFactor, steadyLoad);
    progress("greedy customer absent, present, all above their share");
    const sharing_run without = measure(absent, options);
    const sharing_run with = measure(present, options);
    const sharing_run all = measure(crowded, options);
    bench_figure wait = report.figure("othersP99WaitRatio", with.p99Wait / without.p99Wait, "ratio", atMost(1.2));
    report.figure("othersP99WaitAlone", without.p99Wait, "ms");
    report.figure("othersP99Wait", with.p99Wait, "ms");
    bench_figure jain = report.figure("jain", all.jain, "index", atLeast(0.99));
    bench_figure used = report.figure("capacityUsed", with.used, "share", atLeast(0.97));
    report.figure("usageBytesPerNode", with.usageBytesPerSecond, "B/s");
    report.figure("openSumBytesPerNode", with.openSumBytesPerSecond, "B/s");
    progress("reports only");
    absent.hasOpenSums = present.hasOpenSums = crowded.hasOpenSums = false;
    const sharing_run reportsOnly = measure(present, options);
    wait.baseline("reportsOnly", reportsOnly.p99Wait / measure(absent, options).p99Wait);
    used.baseline("reportsOnly", reportsOnly.used);
    jain.baseline("reportsOnly", measure(crowded, options).jain);
    absent.hasOpenSums = present.hasOpenSums = crowded.hasOpenSums = true;
    for (const named_way &each : baselines) {
        progress(each.name);
        absent.way = present.way = crowded.way = each.way;
        const sharing_run other = measure(present, options);
        wait.baseline(each.name, other.p99Wait / measure(absent, options).p99Wait);
        used.baseline(each.name, other.used);
        jain.baseline(each.name, measure(crowded, options).jain);
    }
    progress("a node lost, a node cut off");
    sharing_case after = crowded;
    after.way = own.way;
    after.from = warmUp + measured / 2 + std::chrono::seconds(2);
    after.until = after.from + std::chrono::seconds(8);
    after.lostGate = 0;
    report.figure("jainTwoSecondsAfterLostNode", measure(after, options).jain, "index", atLeast(0.99));
    after.lostGate = -1;
    after.isolateGate = 0;
    report.figure("jainTwoSecondsAfterCutNode", measure(after, options).jain, "index", atLeast(0.99));
    report.figure("failedChecks", static_cast<double>(failedChecks()), "checks", exactly(0));
}

const registered_benchmark sharing("sharing", "One customer at ten times its share among eight", {}, runSharing);

} // namespace
} // namespace reedtrail::bench
