// Measures, in virtual time, whether the fleet keeps serving while the store is down for an hour and while each zone in turn is cut off, with node restarts
// throughout. Simulated requests need only their own zone: each arrives at a random running node and can be answered if that node has settings in force and
// reaches its zone. The figure promisesBroken counts failed internal checks (for example, a settings revision that decreased), plus one if the newest accepted
// change is at the end missing from the store or not in force on every node. Queues and servers behind the gate are left out;
// the routing benchmark covers them.

#include "bench/benchmark.h"

#include "base/check.h"
#include "fleet/testing/fleet_simulation.h"

#include <algorithm>

namespace reedtrail::bench {
namespace {

using namespace std::chrono_literals;
using testing::fleet_simulation;
using testing::fleet_simulation_options;

constexpr duration settleTime = 15s;
constexpr duration storeOutage = 1h;
constexpr duration zoneOutage = 5min;
constexpr duration requestInterval = 50ms;
constexpr duration restartInterval = 90s;
constexpr duration restartDuration = 2s;
constexpr duration maximumCatchUp = 60s;
constexpr double targetAnswered = 0.99;
constexpr double targetCatchUp = 10;

/** Generates requests that need only their own zone, and node restarts, while it is running. */
class zone_local_load
{
public:
    zone_local_load(fleet_simulation &simulation, std::uint64_t seed)
        : m_simulation(simulation)
        , m_random(seed)
    {
        scheduleArrivals();
        scheduleRestarts();
    }

    void setRunning(bool isRunning)
    {
        m_isRunning = isRunning;
    }
    double answeredShare() const
    {
        return m_arrived == 0 ? 0 : static_cast<double>(m_answered) / static_cast<double>(m_arrived);
    }
    std::uint64_t restarts() const
    {
        return m_restarts;
    }

private:
    void scheduleArrivals()
    {
        const std::size_t node = m_random.below(m_simulation.size());
        if (m_isRunning && m_simulation.isUp(node)) {
            ++m_arrived;
            m_answered +=
                m_simulation.settings(node).revision() > 0 && m_simulation.gossip(node).isZoneReachable(m_simulation.gossip(node).self().zone) ? 1 : 0;
        }
        m_simulation.after(requestInterval, [this] {
            scheduleArrivals();
        });
    }

    void scheduleRestarts()
    {
        m_simulation.after(restartInterval, [this] {
            const std::size_t node = m_random.below(m_simulation.size());
            if (m_isRunning && m_simulation.isUp(node)) {
                ++m_restarts;
                m_simulation.kill(node);
                m_simulation.after(restartDuration, [this, node] {
                    m_simulation.start(node);
                });
            }
            scheduleRestarts();
        });
    }

    fleet_simulation &m_simulation;
    random_source m_random;
    bool m_isRunning = false;
    std::uint64_t m_arrived = 0;
    std::uint64_t m_answered = 0;
    std::uint64_t m_restarts = 0;
};

/** Tracks the newest accepted revision and the number of refused changes. */
struct accepted_changes
{
    std::uint64_t newest = 0;
    std::uint64_t refused = 0;

    void confirmAt(fleet_simulation &simulation, std::size_t node)
    {
        simulation.confirm(node, "change", [this](const settings_confirm_end &end) {
            refused += end.error ? 1 : 0;
            newest = std::max(newest, end.revision);
        });
    }
};

/** Returns the seconds until all nodes agree on membership and have at least @p revision in force, at most maximumCatchUp. */
double secondsUntilConverged(fleet_simulation &simulation, std::uint64_t revision)
{
    const time_point start = simulation.now();
    while ((!simulation.hasConverged() || simulation.lowestRevision() < revision) && simulation.now() - start < maximumCatchUp) {
        simulation.run(100ms);
    }
    return toSeconds(simulation.now() - start);
}

/** Returns the seconds from now, when the store is back, until a new change is accepted and in force on all nodes. */
double secondsUntilRecovered(fleet_simulation &simulation, accepted_changes &changes)
{
    const time_point start = simulation.now();
    const std::uint64_t before = changes.newest;
    changes.confirmAt(simulation, 0);
    while (changes.newest == before && simulation.now() - start < maximumCatchUp) {
        simulation.run(50ms);
    }
    return toSeconds(simulation.now() - start) + secondsUntilConverged(simulation, changes.newest);
}

void runOutage(const bench_options &options, bench_report &report)
{
    const std::uint64_t failedBefore = failedChecks();
    const auto nodes = static_cast<std::size_t>(options.nodes);
    fleet_simulation_options setup;
    setup.nodes = nodes;
    setup.zones = nodes < 20 ? 4 : 5;
    setup.loss = 0.01;
    fleet_simulation simulation(setup, options.seed);
    accepted_changes changes;
    simulation.run(settleTime);
    changes.confirmAt(simulation, 0);
    simulation.run(settleTime);

    printProgress("outage: the store is down for an hour");
    zone_local_load storeLoad(simulation, options.seed + 1);
    storeLoad.setRunning(true);
    simulation.store().setDown(true);
    simulation.run(storeOutage / 2);
    changes.confirmAt(simulation, 1);
    simulation.run(storeOutage / 2);
    storeLoad.setRunning(false);
    simulation.run(2 * restartDuration);
    simulation.store().setDown(false);
    report.figure("answeredStoreDown", storeLoad.answeredShare(), "share", atLeast(targetAnswered));
    report.figure("restartsStoreDown", static_cast<double>(storeLoad.restarts()), "restarts");
    report.figure("changesRefusedStoreDown", static_cast<double>(changes.refused), "changes");
    report.figure("catchUpStore", secondsUntilRecovered(simulation, changes), "s", atMost(targetCatchUp));

    zone_local_load cutLoad(simulation, options.seed + 2);
    double worst = 0;
    for (std::size_t zone = 0; zone < setup.zones; ++zone) {
        printProgress("outage: zone " + std::to_string(zone) + " is cut off");
        cutLoad.setRunning(true);
        simulation.cutZone(zone, true);
        simulation.run(zoneOutage / 2);
        changes.confirmAt(simulation, (zone + 1) % setup.zones);
        simulation.run(zoneOutage / 2);
        cutLoad.setRunning(false);
        simulation.run(2 * restartDuration);
        simulation.cutZone(zone, false);
        worst = std::max(worst, secondsUntilConverged(simulation, changes.newest));
    }
    report.figure("answeredZoneCut", cutLoad.answeredShare(), "share", atLeast(targetAnswered));
    report.figure("catchUpZone", worst, "s", atMost(targetCatchUp));
    const bool isNewestChangeStored =
        simulation.store().peek(settings_keys::history(changes.newest)).has_value() && simulation.lowestRevision() == changes.newest;
    report.figure("promisesBroken", static_cast<double>(failedChecks() - failedBefore) + (isNewestChangeStored ? 0 : 1), "promises", exactly(0));
    report.figure("changesAccepted", static_cast<double>(changes.newest), "changes");
}

const registered_benchmark outage("outage", "An hour without the store, and each zone cut off in turn", { .nodes = 40 }, runOutage);

} // namespace
} // namespace reedtrail::bench
