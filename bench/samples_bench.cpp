// Simulates three trainers with 4,096 samples per step on shared servers and new weights every 7 minutes. The VM failures and restarts of a whole day happen
// within the 20 minutes of the run, and one availability zone is lost once. Measured for both ends of the objective that weighs staleness against idle time.
// One baseline drafts first come, first served and does not resume interrupted drafts; the other writes each seal to the store separately.

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
constexpr duration runDuration = std::chrono::minutes(20);
constexpr duration longestAllowedStep = std::chrono::minutes(10);
constexpr int failuresPerDay = 10;
constexpr int restartsPerDay = 340;
constexpr duration zoneLostAt = std::chrono::minutes(12);
constexpr duration zoneLostFor = std::chrono::minutes(3);

struct outcome
{
    double delivered = 0; ///< Number of delivered samples.
    double lost = 0; ///< Number of samples missing from completed steps.
    double doubled = 0; ///< Number of samples delivered more than once.
    double overBound = 0; ///< Number of delivered samples over the staleness bound or of another step.
    double untrue = 0; ///< Number of samples whose weight versions differ from the engine's record.
    double stepsWhole = 0; ///< Number of completed steps.
    double longestStep = 0; ///< Duration of the longest step in seconds.
    double idleShare = 0; ///< Mean share of the run that a trainer was idle.
    double staleness = 0; ///< Mean staleness of a delivered sample in steps.
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

run_settings makeRunSettings(std::size_t number, double idleTimeWeight)
{
    run_settings run;
    run.id = run_id("run-" + std::to_string(number));
    run.groups = groups;
    run.groupSize = groupSize;
    run.stalenessBound = stalenessBound;
    run.maximumTokens = 30000;
    run.idleTimeWeight = idleTimeWeight;
    run.stepDeadline = longestAllowedStep;
    return run;
}

/** Schedules a day's failures and restarts within the run, and the loss of one zone. */
void scheduleFaults(harness::fake_fleet &fleet, random_source &random)
{
    for (int event = 0; event < failuresPerDay + restartsPerDay; ++event) {
        const bool isFailure = event < failuresPerDay;
        const std::size_t node = random.below(fleet.nodes());
        fleet.clock().at(time_point(fromSeconds(random.uniform(30, toSeconds(runDuration)))), [&fleet, node, isFailure] {
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
    scheduleFaults(fleet, random);
    for (std::size_t number = 0; number < trainers; ++number) {
        fleet.openRun(makeRunSettings(number, idleTimeWeight), trainTime);
    }
    fleet.runFor(runDuration);
    outcome total;
    for (std::size_t number = 0; number < trainers; ++number) {
        const harness::trainer_stats &record = fleet.trainerStats(run_id("run-" + std::to_string(number)));
        total.delivered += static_cast<double>(record.delivered);
        total.lost += static_cast<double>(record.lost);
        total.doubled += static_cast<double>(record.duplicated);
        total.overBound += static_cast<double>(record.overBound);
        total.untrue += static_cast<double>(record.wrongVersions);
        total.stepsWhole += static_cast<double>(record.completedSteps);
        total.longestStep = std::max(total.longestStep, toSeconds(record.longestStepWait));
        total.idleShare += toSeconds(record.idleTime) / toSeconds(runDuration) / trainers;
        total.staleness += static_cast<double>(record.totalStaleness);
    }
    total.staleness /= std::max(1.0, total.delivered);
    const auto reads = static_cast<double>(fleet.store().reads());
    const auto writes = static_cast<double>(fleet.store().writes());
    total.storeCallsPerSecond = (reads + writes) / toSeconds(runDuration);
    total.storeWritesPerSecond = writes / toSeconds(runDuration);
    return total;
}

/** Runs measure() on a new thread. The simulated fleets share no state, so the outcome depends only on the seed. */
std::future<outcome> measureAsync(const harness::fake_fleet_options &options, double idleTimeWeight, std::string name)
{
    return std::async(std::launch::async, [options, idleTimeWeight, name = std::move(name)] {
        outcome measured = measure(options, idleTimeWeight);
        printProgress(name + ": done");
        return measured;
    });
}

/** Returns the store calls per second of three runs without faults on @p nodes nodes. */
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
        run_settings run = makeRunSettings(number, 0.5);
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
    report.figure("longestStep" + name, measured.longestStep, "s", atMost(toSeconds(longestAllowedStep)));
}

void runSamples(const bench_options &options, bench_report &report)
{
    harness::fake_fleet_options fleet = optionsFor(options);
    harness::fake_fleet_options firstCome = fleet;
    firstCome.resumesBrokenDrafts = false;
    firstCome.owner.usesLeadPlanner = false;
    harness::fake_fleet_options oneSealPerWrite = fleet;
    oneSealPerWrite.owner.maximumBatchSamples = 1;
    oneSealPerWrite.owner.sealInterval = duration::zero();
    printProgress("running in parallel: staleness first, idle time first, first come without resume, one seal per store write");
    std::future<outcome> stalenessFirstRun = measureAsync(fleet, 0.1, "staleness first");
    std::future<outcome> idleTimeFirstRun = measureAsync(fleet, 0.9, "idle time first");
    std::future<outcome> baselineRun = measureAsync(firstCome, 0.9, "first come without resume");
    std::future<outcome> singleSealRun = measureAsync(oneSealPerWrite, 0.9, "one seal per store write");
    const outcome stalenessFirst = stalenessFirstRun.get();
    const outcome idleTimeFirst = idleTimeFirstRun.get();
    const outcome baseline = baselineRun.get();
    const outcome singleSeal = singleSealRun.get();

    reportOutcome(report, "StalenessFirst", stalenessFirst);
    reportOutcome(report, "IdleTimeFirst", idleTimeFirst);
    report.figure("idleShareStalenessFirst", stalenessFirst.idleShare, "share").baseline("firstComeNoResume", baseline.idleShare);
    report.figure("idleShareIdleTimeFirst", idleTimeFirst.idleShare, "share")
        .baseline("firstComeNoResume", baseline.idleShare)
        .baseline("oneSealAWrite", singleSeal.idleShare);
    report.figure("stalenessStalenessFirst", stalenessFirst.staleness, "steps").baseline("firstComeNoResume", baseline.staleness);
    report.figure("stalenessIdleTimeFirst", idleTimeFirst.staleness, "steps").baseline("firstComeNoResume", baseline.staleness);
    report.figure("longestStep", idleTimeFirst.longestStep, "s", atMost(toSeconds(longestAllowedStep)))
        .baseline("firstComeNoResume", baseline.longestStep)
        .baseline("oneSealAWrite", singleSeal.longestStep);
    report.figure("storeWrites", idleTimeFirst.storeWritesPerSecond, "writes/s").baseline("oneSealAWrite", singleSeal.storeWritesPerSecond);
    report.figure("storeCalls", idleTimeFirst.storeCallsPerSecond, "calls/s").baseline("oneSealAWrite", singleSeal.storeCallsPerSecond);

    printProgress("store calls by number of nodes");
    const double at8 = storeCallsAt(options.seed, 8);
    const double at100 = storeCallsAt(options.seed, 100);
    const double at400 = storeCallsAt(options.seed, 400);
    report.figure("storeCallsAt8", at8, "calls/s");
    report.figure("storeCallsAt100", at100, "calls/s");
    report.figure("storeCallsAt400", at400, "calls/s");
    constexpr double maximumSlope = 0.001; // Calls per second and node; less than the noise from the timing of keep-alives.
    report.figure("storeCallsPerNode", (at400 - at8) / (400 - 8), "calls/s/node", atMost(maximumSlope));
}

const registered_benchmark
    samples("samples", "Sample delivery to three trainers under failures", { .nodes = 20, .servers = 600, .settingsFile = {} }, runSamples);

} // namespace
} // namespace reedtrail::bench
