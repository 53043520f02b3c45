// Measures, in virtual time, how long an accepted settings change takes until it is in force on the last node: at three fleet sizes with 1 % message loss, with
// the store available and with the store failing right after it accepted the change. Baseline: each node watches the store itself; compared are the number of
// open watches and the time until a change has reached every node's watch.

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
constexpr int changes = 12;
constexpr duration sampleInterval = 2ms;
constexpr duration maximumWait = 20s;
constexpr duration settleTime = 12s;
constexpr double loss = 0.01;
constexpr double targetMs = 4000;

/** Returns the milliseconds from @p acceptedAt until @p revision is in force on all nodes, at most maximumWait. */
double millisecondsUntilInForce(fleet_simulation &simulation, std::uint64_t revision, time_point acceptedAt)
{
    while (simulation.lowestRevision() < revision && simulation.now() - acceptedAt < maximumWait) {
        simulation.run(sampleInterval);
    }
    return toSeconds(simulation.now() - acceptedAt) * 1000;
}

/** Confirms a change at a random node and returns the milliseconds from its acceptance until it is in force on all nodes. */
double confirmChange(fleet_simulation &simulation, random_source &random, std::uint64_t revision, bool storeGoesDown)
{
    std::optional<time_point> acceptedAt;
    simulation.confirm(random.below(simulation.size()), "change", [&](const settings_confirm_end &end) {
        if (!end.error) {
            acceptedAt = simulation.now();
            simulation.store().setDown(storeGoesDown);
        }
    });
    const time_point start = simulation.now();
    while (!acceptedAt && simulation.now() - start < maximumWait) {
        simulation.run(1ms);
    }
    return acceptedAt ? millisecondsUntilInForce(simulation, revision, *acceptedAt) : toSeconds(maximumWait) * 1000;
}

/** Returns the milliseconds from a write until a watch on each node has seen it. */
double watchBaselineMilliseconds(std::size_t nodes, std::uint64_t seed)
{
    harness::virtual_time time;
    harness::fake_store store(time, random_source(seed), {});
    time_point latest{};
    std::size_t seen = 0;
    for (std::size_t i = 0; i < nodes; ++i) {
        store.client("node-" + std::to_string(i))
            .watch({ settings_keys::revision, false, 0 },
                   { [&](const store_watch_report &report) {
                        if (!report.events.empty()) {
                            latest = time.now();
                            ++seen;
                        }
                    },
                     [](const store_watch_end &) {} });
    }
    time.runUntil(time_point(1s));
    const time_point writtenAt = time.now();
    store.put(settings_keys::revision, "1");
    time.runUntil(time_point(3s));
    return seen == nodes ? toSeconds(latest - writtenAt) * 1000 : toSeconds(maximumWait) * 1000;
}

void measure(std::size_t nodes, bool storeGoesDown, const bench_options &options, bench_report &report)
{
    const std::string suffix = (storeGoesDown ? "StoreDownAt" : "At") + std::to_string(nodes);
    printProgress("settings: " + std::to_string(nodes) + " nodes" + (storeGoesDown ? ", store down after each accepted change" : ""));
    random_source random(options.seed * 1000 + nodes);
    fleet_simulation_options setup;
    setup.nodes = nodes;
    setup.zones = nodes < 20 ? 4 : 5;
    setup.loss = loss;
    fleet_simulation simulation(setup, random.next());
    simulation.run(settleTime);
    std::vector<double> times;
    for (std::uint64_t revision = 1; revision <= changes; ++revision) {
        times.push_back(confirmChange(simulation, random, revision, storeGoesDown));
        simulation.store().setDown(false);
        simulation.run(1s);
    }
    std::ranges::sort(times);
    report.figure("inForceMedian" + suffix, times[changes / 2], "ms").baseline("watchOnEachNode", watchBaselineMilliseconds(nodes, options.seed));
    report.figure("inForceMax" + suffix, times.back(), "ms", atMost(targetMs));
    report.figure("watchesOpen" + suffix, static_cast<double>(simulation.store().watches()), "watches").baseline("watchOnEachNode", static_cast<double>(nodes));
}

void runSettings(const bench_options &options, bench_report &report)
{
    const std::uint64_t failedBefore = failedChecks();
    for (const std::size_t nodes : sizes) {
        measure(nodes, false, options, report);
        measure(nodes, true, options, report);
    }
    report.figure("reverts", static_cast<double>(failedChecks() - failedBefore), "checks failed", exactly(0));
}

const registered_benchmark settingsBench("settings", "Time from acceptance of a settings change until it is in force on the last node", {}, runSettings);

} // namespace
} // namespace reedtrail::bench
