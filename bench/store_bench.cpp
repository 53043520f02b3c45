// Measures, in virtual time, the store calls per second of the whole fleet: idle, with 3 runs and one settings change, and in the minute after a 10-minute
// store outage. One change in the measured half minute is more than six times the rate of 440 per day. The runs use the ownership code of sampling/ with three
// candidates each, including their leases, polls and watches; each owner seals a batch of samples every sealInterval. Baseline: each node watches and polls the
// settings itself. Calls that gates make for requests with an idempotency key are not counted. Gossip makes no store calls, so its heartbeats are slowed down
// here to shorten the run.

#include "bench/benchmark.h"

#include "base/check.h"
#include "fleet/testing/fleet_simulation.h"
#include "sampling/run_ownership.h"
#include "sampling/run_store.h"

#include <algorithm>

namespace reedtrail::bench {
namespace {

using namespace std::chrono_literals;
using testing::fleet_simulation;
using testing::fleet_simulation_options;

constexpr std::size_t runs = 3;
constexpr duration sealInterval = 2s;
constexpr duration slowHeartbeat = 1500ms;
constexpr duration settleTime = 15s;
constexpr duration measuredTime = 30s;
constexpr duration outageTime = 10min;
constexpr duration recoveryTime = 60s;
constexpr double targetWrites = 200;
constexpr double targetReads = 500;

/** One candidate for the ownership of a run. Runs the ownership state machine against the fake store and, while it owns the run, seals batches. */
class run_candidate
{
public:
    run_candidate(fleet_simulation &simulation, const run_id &run, std::size_t rank)
        : m_simulation(simulation)
        , m_run(run)
        , m_name("candidate-" + run.str() + "-" + std::to_string(rank))
        , m_client(simulation.store().client(m_name))
        , m_ownership(node_id(m_name), m_name, "127.0.0.1:1", {})
    {
        handleEvent(ownership_event::rank_changed{ rank });
        openWatch();
        seal();
    }

    bool isOwning() const
    {
        return m_ownership.isOwning();
    }

private:
    void handleEvent(const ownership_input &event)
    {
        for (const ownership_action_item &action : m_ownership.onEvent(m_simulation.now(), event)) {
            perform(action);
        }
        const time_point deadline = m_ownership.nextDeadline();
        if (deadline != timeNever && deadline != m_timerAt) {
            m_timerAt = deadline;
            m_simulation.after(std::max(duration{}, deadline - m_simulation.now()), [this, deadline] {
                if (m_timerAt == deadline) {
                    m_timerAt = timeNever;
                    handleEvent(ownership_event::timer{});
                }
            });
        }
    }

    void perform(const ownership_action_item &item)
    {
        if (std::holds_alternative<ownership_action::poll_owner>(item)) {
            m_client.range({ ownerKey(m_run), false, 0 }, [this](const store_range_answer &answer) {
                if (answer.error) {
                    handleEvent(ownership_event::poll_failed{});
                } else {
                    handleEvent(ownership_event::owner_changed{ decodeOwnerAnswer(answer) });
                }
            });
        } else if (const auto *grant = std::get_if<ownership_action::grant_lease>(&item)) {
            m_client.grant({ grant->seconds }, [this](const store_lease_answer &answer) {
                handleEvent(ownership_event::lease_granted{ answer.error, answer.lease });
            });
        } else if (const auto *claim = std::get_if<ownership_action::claim>(&item)) {
            m_client.txn(claimTxn(m_run, *claim), [this](const store_txn_answer &answer) {
                handleEvent(decodeClaimAnswer(answer));
            });
        } else if (std::holds_alternative<ownership_action::read_batches>(item)) {
            m_client.range(batchesRange(m_run), [this](const store_range_answer &answer) {
                handleEvent(decodeBatchesAnswer(m_run, answer));
            });
        } else if (const auto *keep = std::get_if<ownership_action::keep_alive>(&item)) {
            m_client.keepAlive({ keep->lease }, [this, sentAt = m_simulation.now()](const store_lease_answer &answer) {
                handleEvent(ownership_event::keep_alive_ended{ sentAt, answer.error });
            });
        } else if (const auto *revoke = std::get_if<ownership_action::revoke_lease>(&item)) {
            m_client.revoke({ revoke->lease }, [](const store_lease_answer &) {});
        }
    }

    void openWatch()
    {
        m_client.watch({ ownerKey(m_run), false, 0 },
                       { [](const store_watch_report &) {},
                         [this](const store_watch_end &) {
                             m_simulation.after(1s, [this] {
                                 openWatch();
                             });
                         } });
    }

    void seal()
    {
        if (m_ownership.isOwning()) {
            store_txn write;
            write.onSuccess.emplace_back(store_put{ "reedtrail/runs/" + m_run.str() + "/seal/" + std::to_string(m_seals++), std::string(500, 's'), 0 });
            m_client.txn(write, [](const store_txn_answer &) {});
        }
        m_simulation.after(sealInterval, [this] {
            seal();
        });
    }

    fleet_simulation &m_simulation;
    run_id m_run;
    std::string m_name;
    harness::fake_store_client m_client;
    run_ownership m_ownership;
    time_point m_timerAt = timeNever;
    std::uint64_t m_seals = 0;
};

/** Store calls per second over a span. */
struct call_rates
{
    double writes = 0;
    double reads = 0;
    double peakWrites = 0; ///< Writes in the second with the most writes.
    double peakReads = 0; ///< Reads in the second with the most reads.
};

call_rates ratesOver(fleet_simulation &simulation, duration span)
{
    call_rates rates;
    const std::uint64_t writesBefore = simulation.store().writes();
    const std::uint64_t readsBefore = simulation.store().reads();
    for (duration passed{}; passed < span; passed += 1s) {
        const std::uint64_t writes = simulation.store().writes();
        const std::uint64_t reads = simulation.store().reads();
        simulation.run(1s);
        rates.peakWrites = std::max(rates.peakWrites, static_cast<double>(simulation.store().writes() - writes));
        rates.peakReads = std::max(rates.peakReads, static_cast<double>(simulation.store().reads() - reads));
    }
    rates.writes = static_cast<double>(simulation.store().writes() - writesBefore) / toSeconds(span);
    rates.reads = static_cast<double>(simulation.store().reads() - readsBefore) / toSeconds(span);
    return rates;
}

void reportRates(const std::string &phase, const call_rates &rates, double baselinePolls, bench_report &report)
{
    report.figure("writesPerSecond" + phase, rates.writes, "calls/s", atMost(targetWrites));
    report.figure("readsPerSecond" + phase, rates.reads, "calls/s", atMost(targetReads)).baseline("watchAndPollOnEachNode", baselinePolls);
    report.figure("peakWrites" + phase, rates.peakWrites, "calls in the busiest second", atMost(targetWrites));
    report.figure("peakReads" + phase, rates.peakReads, "calls in the busiest second", atMost(targetReads));
}

void runStore(const bench_options &options, bench_report &report)
{
    const std::uint64_t failedBefore = failedChecks();
    const auto nodes = static_cast<std::size_t>(options.nodes);
    fleet_simulation_options setup;
    setup.nodes = nodes;
    setup.zones = nodes < 20 ? 4 : 5;
    setup.gossip.heartbeatInterval = slowHeartbeat;
    setup.gossip.suspectAfter = 4 * slowHeartbeat;
    setup.gossip.neighbourGrace = 5 * slowHeartbeat;
    setup.gossip.zoneTimeout = 6 * slowHeartbeat;
    fleet_simulation simulation(setup, options.seed);
    printProgress("store: idle");
    simulation.run(settleTime);
    const double baselinePolls = static_cast<double>(nodes) / toSeconds(setup.settings.pollInterval);
    reportRates("AtRest", ratesOver(simulation, measuredTime), baselinePolls, report);

    printProgress("store: one settings change and 3 runs");
    std::vector<std::unique_ptr<run_candidate>> candidates;
    for (std::size_t run = 0; run < runs; ++run) {
        for (std::size_t rank = 0; rank < ownership_options{}.candidateCount; ++rank) {
            candidates.push_back(std::make_unique<run_candidate>(simulation, run_id("run-" + std::to_string(run)), rank));
        }
    }
    simulation.run(5s);
    random_source random(options.seed + 1);
    simulation.confirm(random.below(nodes), "change");
    reportRates("WithRuns", ratesOver(simulation, measuredTime), baselinePolls, report);

    printProgress("store: 10-minute outage and the minute after it");
    simulation.store().setDown(true);
    simulation.run(outageTime);
    simulation.store().setDown(false);
    reportRates("AfterOutage", ratesOver(simulation, recoveryTime), baselinePolls, report);
    const auto owned = std::ranges::count_if(candidates, [](const auto &each) {
        return each->isOwning();
    });
    report.figure("runsOwnedAMinuteAfter", static_cast<double>(owned), "runs", exactly(runs));
    report.figure("watchesOpen", static_cast<double>(simulation.store().watches()), "watches").baseline("watchAndPollOnEachNode", static_cast<double>(nodes));
    report.figure("failedChecks", static_cast<double>(failedChecks() - failedBefore), "checks", exactly(0));
}

const registered_benchmark storeBench("store", "Store calls per second of the whole fleet", { .nodes = 400, .servers = 600 }, runStore);

} // namespace
} // namespace reedtrail::bench
