// Measures, in virtual time, how long it takes until every node has detected a failed node, and how many running nodes are declared dead wrongly under pauses
// and message loss. Baseline: every node sends heartbeats to every other node at the same interval and declares a node dead once it has been silent for as
// long as suspicion and its timeout take here.

#include "bench/benchmark.h"

#include "base/check.h"
#include "fleet/testing/fleet_simulation.h"

#include <algorithm>
#include <array>

namespace reedtrail::bench {
namespace {

using namespace std::chrono_literals;
using testing::fleet_simulation;
using testing::fleet_simulation_options;

constexpr std::array<std::size_t, 3> sizes{ 8, 100, 400 };
constexpr int deaths = 5;
constexpr duration sampleInterval = 20ms;
constexpr duration maximumWait = 20s;
constexpr duration settleTime = 20s;
constexpr duration pauseWindow = 20s;
constexpr double loss = 0.01;
constexpr double targetSeconds = 5;
constexpr double allToAllMessageBytes = 150;

fleet_simulation_options optionsFor(std::size_t nodes)
{
    fleet_simulation_options options;
    options.nodes = nodes;
    options.zones = nodes < 20 ? 4 : 5;
    options.regions = nodes < 20 ? 1 : 2;
    options.loss = loss;
    return options;
}

/** Kills @p victim and returns the seconds until no node considers it alive, at most maximumWait. */
double detectionSeconds(fleet_simulation &simulation, std::size_t victim)
{
    simulation.kill(victim);
    const time_point killedAt = simulation.now();
    while (simulation.viewsContaining(victim) > 0 && simulation.now() - killedAt < maximumWait) {
        simulation.run(sampleInterval);
    }
    return toSeconds(simulation.now() - killedAt);
}

/** Returns the seconds until the last node detects a failed node with all-to-all heartbeats. */
double allToAllDetectionSeconds(std::size_t nodes, random_source &random)
{
    const membership_options gossip;
    const double interval = toSeconds(gossip.heartbeatInterval);
    const double silenceLimit = toSeconds(gossip.suspectAfter + gossip.suspicionTimeout);
    double latest = 0;
    for (std::size_t i = 1; i < nodes; ++i) {
        double lastHeard = -random.unit() * interval;
        while (random.chance(loss)) {
            lastHeard -= interval;
        }
        latest = std::max(latest, lastHeard + silenceLimit);
    }
    return latest;
}

void measure(std::size_t nodes, const bench_options &options, bench_report &report)
{
    const std::string suffix = "At" + std::to_string(nodes);
    printProgress("membership: " + std::to_string(nodes) + " nodes");
    random_source random(options.seed + nodes);
    fleet_simulation simulation(optionsFor(nodes), random.next());
    simulation.run(settleTime);
    const bool hasConverged = simulation.hasConverged();
    std::vector<double> times;
    std::vector<double> baseline;
    for (int i = 0; i < deaths; ++i) {
        const std::size_t victim = random.below(nodes);
        times.push_back(detectionSeconds(simulation, victim));
        baseline.push_back(allToAllDetectionSeconds(nodes, random));
        simulation.start(victim);
        simulation.run(settleTime / 2);
    }
    std::ranges::sort(times);
    std::ranges::sort(baseline);
    report.figure("agreedAtStart" + suffix, hasConverged ? 1 : 0, "bool", exactly(1));
    report.figure("deathKnownMedian" + suffix, times[deaths / 2], "s").baseline("allToAll", baseline[deaths / 2]);
    report.figure("deathKnownMax" + suffix, times.back(), "s", atMost(targetSeconds)).baseline("allToAll", baseline.back());
    const std::uint64_t deathsBefore = simulation.falseDeaths();
    for (std::size_t i = 0; i < nodes; ++i) {
        const auto at = duration(static_cast<std::int64_t>(random.below(static_cast<std::uint64_t>(pauseWindow.count()))));
        simulation.after(at, [&simulation, i, span = std::chrono::milliseconds(200 + random.below(800))] {
            simulation.pause(i, span);
        });
    }
    simulation.run(pauseWindow + 10s);
    report.figure("falseDeaths" + suffix, static_cast<double>(simulation.falseDeaths() - deathsBefore), "deaths", exactly(0));
    const double perSecond = static_cast<double>(nodes - 1) / toSeconds(membership_options{}.heartbeatInterval);
    report.figure("agreedAtEnd" + suffix, simulation.hasConverged() ? 1 : 0, "bool", exactly(1))
        .baseline("allToAllBytesPerSecond", perSecond * allToAllMessageBytes * 2);
}

void runMembership(const bench_options &options, bench_report &report)
{
    const std::uint64_t failedBefore = failedChecks();
    for (const std::size_t nodes : sizes) {
        measure(nodes, options, report);
    }
    report.figure("failedChecks", static_cast<double>(failedChecks() - failedBefore), "checks", exactly(0));
}

const registered_benchmark membershipBench("membership", "Time until all nodes detect a failed node, and false deaths", {}, runMembership);

} // namespace
} // namespace reedtrail::bench
