// Three trainers of 4,096 samples a step on shared servers, weights every 7 minutes, with a day's VM failures and restarts pressed into the run and an
// availability zone lost once. Measured for both ends of the objective between staleness and idle time; the baselines draft first come, first served without
// resume, and write each seal alone.

#include "bench/benchmark.h"
#include "sampling/testing/fake_fleet.h"

#include <future>
#include <string>
#include <vector>

namespace reedtrail::bench {
namespace {

constexpr std::size_t trainers = 3;
constexpr std::int64_t groups = 512;
constexpr std::int64_t groupSize = 8;
constexpr std::int64_t stalenessBound = 2;
constexpr duration trainTime = std::chrono::minutes(7);
constexpr duration length = std::chrono::minutes(20);
constexpr duration stepLimit = std::chrono::minutes(10);
constexpr int failuresADay = 10;
constexpr int restartsADay = 340;
constexpr duration zoneLostAt = std::chrono::minutes(12);
constexpr duration zoneLostFor = std::chrono::minutes(3);

struct outcome
{
    double delivered = 0;
    double lost = 0;
    double doubled = 0;
    double overBound = 0;
    double untrue = 0;
    double stepsWhole = 0;
    double longestStep = 0;
    double idleShare = 0;
    double staleness = 0;
    double storeCallsPerSecond = 0;
    double storeWritesPerSecond = 0;
};

harness::fake_fleet_options optionsFor(const bench_options &options)
{
    harness::fake_fleet_options fleet;
    fleet.seed = options.seed;
    fleet.nodes = static_cast<std::size_t>(options.nodes);
    fleet.zones = 5;
    fleet.servers = static_cast<std::size_t>(options.servers);
    fleet.tokensPerSecond = 100;
    fleet.medianTokens = 5000;
    fleet.tokensSigma = 0.6;
    fleet.spools = 10;
    fleet.draftFailureRate = 0.02;
    fleet.reportInterval = std::chrono::seconds(5);
    fleet.owner.reportTimeout = std::chrono::seconds(15);
    return fleet;
}

run_settings runNumber(std::size_t number, double idleTimeWeight)
{
    run_settings run;
    run.id = run_id("run-" + std::to_string(number));
    run.groups = groups;
    run.groupSize = groupSize;
    run.stalenessBound = stalenessBound;
    run.maximumTokens = 30000;
    run.idleTimeWeight = idleTimeWeight;
    run.stepDeadline = stepLimit;
    return run;
}

/** Presses a day's failures and restarts into the run and lets a zone vanish once. */
void arrangeFaults(harness::fake_fleet &fleet, random_source &random)
{
    for (int event = 0; event < failuresADay + restartsADay; ++event) {
        const bool isFailure = event < failuresADay;
        const std::size_t node = random.below(fleet.nodes());
        fleet.clock().at(time_point(fromSeconds(random.uniform(30, toSeconds(length)))), [&fleet, node, isFailure] {
            fleet.killNode(node, isFailure ? std::chrono::seconds(120) : std::chrono::seconds(4), isFailure);
        });
    }
    fleet.clock().at(time_point(zoneLostAt), [&fleet] {
        for (std::size_t node = 0; node < fleet.nodes(); ++node) {
            if (fleet.zoneOf(node) == 0) {
                fleet.killNode(node, zoneLostFor, true);
            }
        }
        for (std::size_t server = 0; server < fleet.servers(); ++server) {
            if (fleet.zoneOf(server) == 0) {
                fleet.killServer(server, zoneLostFor);
            }
        }
    });
}

outcome measure(const harness::fake_fleet_options &options, double idleTimeWeight)
{
    harness::fake_fleet fleet(options);
    random_source random(options.seed + 1);
    arrangeFaults(fleet, random);
    for (std::size_t number = 0; number < trainers; ++number) {
        fleet.openRun(runNumber(number, idleTimeWeight), trainTime);
    }
    fleet.runFor(length);
    outcome sum;
    for (std::size_t number = 0; number < trainers; ++number) {
        const harness::trainer_stats &record = fleet.trainerStats(run_id("run-" + std::to_string(number)));
        sum.delivered += static_cast<double>(record.delivered);
        sum.lost += static_cast<double>(record.lost);
        sum.doubled += static_cast<double>(record.duplicated);
        sum.overBound += static_cast<double>(record.overBound);
        sum.untrue += static_cast<double>(record.wrongVersions);
        sum.stepsWhole += static_cast<double>(record.completedSteps);
        sum.longestStep = std::max(sum.longestStep, toSeconds(record.longestStepWait));
        sum.idleShare += toSeconds(record.idleTime) / toSeconds(length) / trainers;
        sum.staleness += static_cast<double>(record.totalStaleness);
    }
    sum.staleness /= std::max(1.0, sum.delivered);
    const auto reads = static_cast<double>(fleet.store().reads());
    const auto writes = static_cast<double>(fleet.store().writes());
    sum.storeCallsPerSecond = (reads + writes) / toSeconds(length);
    sum.storeWritesPerSecond = writes / toSeconds(length);
    return sum;
}

/** Measures on a thread of its own: each fleet is a world by itself, so one seed still gives one outcome. */
std::future<outcome> measureAside(const harness::fake_fleet_options &options, double idleTimeWeight, std::string name)
{
    return std::async(std::launch::async, [options, idleTimeWeight, name = std::move(name)] {
        outcome measured = measure(options, idleTimeWeight);
        progress(name + ": done");
        return measured;
    });
}

/** Returns the store calls a second of three quiet runs at a number of nodes. */
double storeCallsAt(std::uint64_t seed, std::size_t nodes)
{
    harness::fake_fleet_options options;
    options.seed = seed;
    options.nodes = nodes;
    options.zones = 5;
    options.servers = 30;
    options.reportInterval = std::chrono::seconds(2);
    harness::fake_fleet fleet(options);
    for (std::size_t number = 0; number < trainers; ++number) {
        run_settings run = runNumber(number, 0.5);
        run.groups = 16;
        fleet.openRun(run, std::chrono::seconds(30));
    }
    fleet.runFor(std::chrono::minutes(2));
    const std::uint64_t before = fleet.store().reads() + fleet.store().writes();
    const duration span = std::chrono::minutes(10);
    fleet.runFor(span);
    return static_cast<double>(fleet.store().reads() + fleet.store().writes() - before) / toSeconds(span);
}

void reportOutcome(bench_report &report, const std::string &name, const outcome &measured)
{
    report.figure("lost" + name, measured.lost, "samples", exactly(0));
    report.figure("doubled" + name, measured.doubled, "samples", exactly(0));
    report.figure("overBound" + name, measured.overBound, "samples", exactly(0));
    report.figure("untrue" + name, measured.untrue, "samples", exactly(0));
    report.figure("delivered" + name, measured.delivered, "samples");
    report.figure("stepsWhole" + name, measured.stepsWhole, "steps");
    report.figure("longestStep" + name, measured.longestStep, "s", atMost(toSeconds(stepLimit)));
}

void runSamples(const bench_options &options, bench_report &report)
{
    harness::fake_fleet_options fleet = optionsFor(options);
    harness::fake_fleet_options firstCome = fleet;
    firstCome.resumesBrokenDrafts = false;
    firstCome.owner.usesObjective = false;
    harness::fake_fleet_options oneByOne = fleet;
    oneByOne.owner.maximumBatchSamples = 1;
    oneByOne.owner.sealInterval = duration::zero();
    progress("side by side: staleness first, idle time first, first come without resume, one seal a store write");
    std::future<outcome> freshRun = measureAside(fleet, 0.1, "staleness first");
    std::future<outcome> busyRun = measureAside(fleet, 0.9, "idle time first");
    std::future<outcome> baselineRun = measureAside(firstCome, 0.9, "first come, without resume");
    std::future<outcome> singleRun = measureAside(oneByOne, 0.9, "one seal a store write");
    const outcome fresh = freshRun.get();
    const outcome busy = busyRun.get();
    const outcome baseline = baselineRun.get();
    const outcome single = singleRun.get();

    reportOutcome(report, "StalenessFirst", fresh);
    reportOutcome(report, "IdleTimeFirst", busy);
    report.figure("idleShareStalenessFirst", fresh.idleShare, "share").baseline("firstComeNoResume", baseline.idleShare);
    report.figure("idleShareIdleTimeFirst", busy.idleShare, "share")
        .baseline("firstComeNoResume", baseline.idleShare)
        .baseline("oneSealAWrite", single.idleShare);
    report.figure("stalenessStalenessFirst", fresh.staleness, "steps").baseline("firstComeNoResume", baseline.staleness);
    report.figure("stalenessIdleTimeFirst", busy.staleness, "steps").baseline("firstComeNoResume", baseline.staleness);
    report.figure("longestStep", busy.longestStep, "s", atMost(toSeconds(stepLimit)))
        .baseline("firstComeNoResume", baseline.longestStep)
        .baseline("oneSealAWrite", single.longestStep);
    report.figure("storeWrites", busy.storeWritesPerSecond, "writes/s").baseline("oneSealAWrite", single.storeWritesPerSecond);
    report.figure("storeCalls", busy.storeCallsPerSecond, "calls/s").baseline("oneSealAWrite", single.storeCallsPerSecond);

    progress("store calls by nodes");
    const double at8 = storeCallsAt(options.seed, 8);
    const double at100 = storeCallsAt(options.seed, 100);
    const double at400 = storeCallsAt(options.seed, 400);
    report.figure("storeCallsAt8", at8, "calls/s");
    report.figure("storeCallsAt100", at100, "calls/s");
    report.figure("storeCallsAt400", at400, "calls/s");
    constexpr double noSlope = 0.001; // Of a call a second for each node: less than the noise of when keep-alives fall.
    report.figure("storeCallsPerNode", (at400 - at8) / (400 - 8), "calls/s/node", atMost(noSlope));
}

const registered_benchmark samples("samples", "Samples of three trainers through failures", { .nodes = 20, .servers = 600, .settingsFile = {} }, runSamples);

} // namespace
} // namespace reedtrail::bench
