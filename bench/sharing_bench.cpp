// Simulates eight customers of equal weight, one of which (the greedy customer) demands ten times its fair share. Measured are the wait of the others with and
// without the greedy customer, the evenness of throughput (Jain's index), the capacity used, and the evenness two seconds after a node is lost or cut off.
// Gates learn global usage from the usage tree and the watchers' counts of open requests. The three baselines are: the usage tree with only the servers'
// delayed load reports (reportsOnly), gates that consider only their own usage (localOnly), and one queue per gate for all customers (unshared).

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
constexpr double othersLoad = 0.8; ///< Demand of each other customer as a share of its fair share.
constexpr double overload = 2; ///< The same when evenness of throughput is measured, for which all customers must demand more than their fair share.
constexpr duration warmUp = std::chrono::seconds(15);
constexpr duration measuredTime = std::chrono::seconds(30);

struct sharing_run
{
    double p99Wait = 0; ///< 99th percentile of the time to first token in milliseconds; maximum over the customers that are not greedy.
    double jain = 0; ///< Jain's index of the customers' numbers of answered requests; 1 means equal.
    double capacityUsed = 0; ///< Share of the slot time that was busy.
    double usageBytesPerSecond = 0; ///< Traffic of the usage tree per node.
    double openSumBytesPerSecond = 0; ///< Traffic of the watchers' counts of open requests per node.
};

struct sharing_scenario
{
    sharing_mode way = sharing_mode::GossipedUsage;
    std::vector<double> rates; ///< Demand of each customer as a multiple of its fair share.
    bool hasOpenSums = true; ///< Whether watchers count the open requests of the servers.
    std::int64_t killedGate = -1; ///< Gate killed in the middle of the measured span; -1 for none.
    std::int64_t isolateGate = -1; ///< Gate cut off from the other nodes in the middle of the measured span; -1 for none.
    duration from = warmUp; ///< Start of the span from which figures are taken.
    duration until = warmUp + measuredTime;
};

/** Returns Jain's fairness index: 1 for equal values, 1/n if all but one are 0, and 0 if all are 0. */
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

sharing_run summarise(const virtual_fleet &fleet, const sharing_scenario &scenario)
{
    const time_point from(scenario.from);
    const time_point until(scenario.until);
    std::array<std::vector<double>, customerCount> waits;
    std::vector<double> answeredRequests(customerCount, 0);
    for (const request_record &record : fleet.records()) {
        if (record.firstTokenAt != timeNever && record.arrivedAt >= from && record.arrivedAt < until) {
            waits[record.customer].push_back(toSeconds(record.firstTokenAt - record.arrivedAt) * 1e3);
        }
        if (record.isAnswered && record.endedAt >= from && record.endedAt < until) {
            answeredRequests[record.customer] += 1;
        }
    }
    sharing_run run;
    for (std::uint32_t customer = 1; customer < customerCount; ++customer) {
        run.p99Wait = std::max(run.p99Wait, quantile(waits[customer], 0.99));
    }
    run.jain = jainIndex(answeredRequests);
    return run;
}

sharing_run measure(const sharing_scenario &scenario, const bench_options &options)
{
    fleet_setup setup;
    setup.gates = static_cast<std::uint32_t>(options.nodes);
    setup.servers = static_cast<std::uint32_t>(options.servers);
    setup.customerWeights.assign(customerCount, 1);
    setup.scheduler.sharing = scenario.way;
    setup.hasOpenSums = scenario.hasOpenSums;
    harness::virtual_time virtualTime;
    virtual_fleet fleet(virtualTime, setup, options.seed);
    workload_options requests;
    requests.templates = setup.servers * 10;
    requests.customerRates = scenario.rates;
    double shares = 0;
    for (const double rate : scenario.rates) {
        shares += rate / customerCount;
    }
    const double service = meanTokens(requests) * setup.server.secondsPerToken + requests.ownBlocks * setup.server.prefillSecondsPerBlock;
    const double slots = setup.servers * static_cast<double>(setup.server.slots);
    requests.requestsPerSecond = shares * slots / service;
    workload source(fleet, requests, random_source(options.seed));
    fleet.start();
    source.run(virtualTime, time_point(scenario.until));
    const time_point faultAt(warmUp + measuredTime / 2);
    virtualTime.at(faultAt, [&] {
        if (scenario.killedGate >= 0) {
            fleet.killGate(static_cast<std::uint32_t>(scenario.killedGate));
        }
        if (scenario.isolateGate >= 0) {
            fleet.isolateGate(static_cast<std::uint32_t>(scenario.isolateGate), true);
        }
    });
    virtualTime.runUntil(time_point(scenario.from));
    const double busyBefore = fleet.busySeconds();
    virtualTime.runUntil(time_point(scenario.until));
    sharing_run run = summarise(fleet, scenario);
    run.capacityUsed = (fleet.busySeconds() - busyBefore) / (toSeconds(scenario.until - scenario.from) * slots);
    const double nodeSeconds = toSeconds(scenario.until) * setup.gates;
    run.usageBytesPerSecond = static_cast<double>(fleet.usageBytes()) / nodeSeconds;
    run.openSumBytesPerSecond = static_cast<double>(fleet.openSumBytes()) / nodeSeconds;
    return run;
}

/** Returns the demands of all customers, with @p greedy for the first one and @p others for each other. */
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
    const sharing_scenario defaultScenario;
    sharing_scenario greedyAbsent = defaultScenario;
    greedyAbsent.rates = ratesWith(0, othersLoad);
    sharing_scenario greedyPresent = defaultScenario;
    greedyPresent.rates = ratesWith(greedyFactor, othersLoad);
    sharing_scenario allOverloaded = defaultScenario;
    allOverloaded.rates = ratesWith(greedyFactor, overload);
    printProgress("greedy customer absent, greedy customer present, all customers above their share");
    const sharing_run withoutGreedy = measure(greedyAbsent, options);
    const sharing_run withGreedy = measure(greedyPresent, options);
    const sharing_run overloaded = measure(allOverloaded, options);
    bench_figure wait = report.figure("othersP99WaitRatio", withGreedy.p99Wait / withoutGreedy.p99Wait, "ratio", atMost(1.2));
    report.figure("othersP99WaitAlone", withoutGreedy.p99Wait, "ms");
    report.figure("othersP99Wait", withGreedy.p99Wait, "ms");
    bench_figure jain = report.figure("jain", overloaded.jain, "index", atLeast(0.99));
    bench_figure capacityUsed = report.figure("capacityUsed", withGreedy.capacityUsed, "share", atLeast(0.97));
    report.figure("usageBytesPerNode", withGreedy.usageBytesPerSecond, "B/s");
    report.figure("openSumBytesPerNode", withGreedy.openSumBytesPerSecond, "B/s");
    printProgress("load reports only");
    greedyAbsent.hasOpenSums = greedyPresent.hasOpenSums = allOverloaded.hasOpenSums = false;
    const sharing_run reportsOnly = measure(greedyPresent, options);
    wait.baseline("reportsOnly", reportsOnly.p99Wait / measure(greedyAbsent, options).p99Wait);
    capacityUsed.baseline("reportsOnly", reportsOnly.capacityUsed);
    jain.baseline("reportsOnly", measure(allOverloaded, options).jain);
    greedyAbsent.hasOpenSums = greedyPresent.hasOpenSums = allOverloaded.hasOpenSums = true;
    for (const named_way &each : baselines) {
        printProgress(each.name);
        greedyAbsent.way = greedyPresent.way = allOverloaded.way = each.way;
        const sharing_run other = measure(greedyPresent, options);
        wait.baseline(each.name, other.p99Wait / measure(greedyAbsent, options).p99Wait);
        capacityUsed.baseline(each.name, other.capacityUsed);
        jain.baseline(each.name, measure(allOverloaded, options).jain);
    }
    printProgress("one node lost, one node cut off");
    sharing_scenario afterFault = allOverloaded;
    afterFault.way = defaultScenario.way;
    afterFault.from = warmUp + measuredTime / 2 + std::chrono::seconds(2);
    afterFault.until = afterFault.from + std::chrono::seconds(8);
    afterFault.killedGate = 0;
    report.figure("jainTwoSecondsAfterLostNode", measure(afterFault, options).jain, "index", atLeast(0.99));
    afterFault.killedGate = -1;
    afterFault.isolateGate = 0;
    report.figure("jainTwoSecondsAfterCutNode", measure(afterFault, options).jain, "index", atLeast(0.99));
    report.figure("failedChecks", static_cast<double>(failedChecks()), "checks", exactly(0));
}

const registered_benchmark sharing("sharing", "Fairness among eight customers, one of which demands ten times its share", {}, runSharing);

} // namespace
} // namespace reedtrail::bench
