// Simulates a rolling restart of all gates and backend servers under load, in virtual time. The gates run the production scheduler and drain logic. A server
// that is about to leave announces it through several hints (load report, VM list, settings, 503 answers), which arrive at different times and may
// contradict each other. Measured are the requests that a restart cuts off and how long leaving servers still get new requests.

#include "base/random.h"
#include "bench/benchmark.h"
#include "gate/gate_drain.h"
#include "harness/fake_server.h"
#include "harness/virtual_time.h"
#include "routing/request_scheduler.h"

#include <algorithm>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace reedtrail {
namespace {

using harness::fake_end;
using harness::fake_server;
using harness::virtual_time;

constexpr double offeredLoad = 0.6; ///< Offered load as a share of all servers' slots.
constexpr std::int64_t slotsPerServer = 8;
constexpr double meanTokens = 80;
constexpr double secondsPerToken = 0.025;
constexpr duration networkDelay = std::chrono::microseconds(1500);
constexpr duration viewPeriod = std::chrono::seconds(1); ///< Mean interval at which a gate gets hints from its steward.
constexpr duration requestDeadline = std::chrono::seconds(30);
constexpr std::size_t smallFleetBatches = 20; ///< A small fleet restarts a twentieth of its members at a time.
constexpr std::size_t largeFleetBatches = 10; ///< A large fleet restarts a tenth of its members at a time.
constexpr std::size_t maximumPollingGates = 64; ///< A fleet with more gates is large: its gates get load reports as digests instead of polling the servers.

/** Results of one run. */
struct drain_outcome
{
    std::size_t requests = 0;
    std::size_t answered = 0;
    std::size_t cut = 0; ///< Requests that were running when a restart ended them.
    std::size_t refused = 0; ///< Requests refused as not run, by a scheduler or by every gate tried.
    double longestNewWorkDelay = 0; ///< Seconds from a server's first hint to the last new request that it got; maximum over all servers.
    std::size_t newWorkAfterLimit = 0; ///< Requests that a leaving server started more than 3 s after its first hint.
    std::size_t serverRestarts = 0;
    std::size_t gateRestarts = 0;
};

/** Simulated callers, gates and servers of one run. */
class drain_simulation
{
public:
    drain_simulation(const bench::bench_options &options, bool useHints)
        : m_random(options.seed)
        , m_useHints(useHints)
        , m_servers(static_cast<std::size_t>(options.servers))
        , m_gates(static_cast<std::size_t>(options.nodes))
    {
        makeDocument();
        for (server &each : m_servers) {
            each.process = std::make_unique<fake_server>(m_time, harness::fake_server_options{ slotsPerServer, secondsPerToken, 0.02, 100, 1 });
        }
        for (std::size_t index = 0; index < m_gates.size(); ++index) {
            startGate(index);
        }
    }

    drain_outcome run()
    {
        for (std::size_t index = 0; index < m_servers.size(); ++index) {
            scheduleLoadReports(index);
        }
        scheduleArrivals();
        m_time.after(std::chrono::seconds(5), [this] {
            restartServersFrom(0);
        });
        m_time.after(std::chrono::seconds(8), [this] {
            restartGatesFrom(0);
        });
        while (!(m_areServersDone && m_areGatesDone)) {
            m_time.step();
        }
        m_isArriving = false;
        m_time.runUntil(m_time.now() + std::chrono::seconds(60));
        return m_outcome;
    }

private:
    struct server
    {
        std::unique_ptr<fake_server> process;
        bool reportsLeaving = false; ///< Its load report says that it leaves.
        bool isListedLeaving = false; ///< The VM list says that it leaves.
        bool isMarkedLeaving = false; ///< The settings say that it leaves.
        bool refusesNewWork = false; ///< It answers new requests with 503 and does not start them.
        std::uint64_t incarnation = 0; ///< Incremented by each restart, so that events of an earlier incarnation are ignored.
        time_point firstHint = timeNever; ///< Time of the first hint of the current drain.
    };
    struct pending_request
    {
        std::uint64_t number = 0;
        double tokens = 0;
        int tries = 0;
    };
    struct gate
    {
        std::unique_ptr<request_scheduler> scheduler;
        std::unique_ptr<gate_drain> drain;
        std::unordered_map<request_id, pending_request> pending;
        std::uint64_t incarnation = 0; ///< Incremented by each start, so that events of an earlier incarnation are ignored.
        std::uint64_t appliedHintRevision = 0; ///< Value of m_hintRevision that this gate has applied.
        bool isUp = false;
        time_point timerAt = timeNever; ///< Time of the next scheduler timer, or timeNever if none is set.
    };

    void makeDocument()
    {
        pool_settings pool;
        pool.id = pool_id("summarizer");
        for (std::size_t index = 0; index < m_servers.size(); ++index) {
            server_settings settings;
            settings.id = server_id("s" + std::to_string(index));
            settings.zone = zone_id(index % 2 == 0 ? "a" : "b");
            settings.slots = slotsPerServer;
            pool.servers.push_back(std::move(settings));
        }
        m_document.pools.push_back(std::move(pool));
        customer_settings customer;
        customer.id = customer_id("trust");
        customer.maximumQueued = 100000;
        m_document.customers.push_back(std::move(customer));
    }

    // Gates.

    void startGate(std::size_t index)
    {
        gate &self = m_gates[index];
        ++self.incarnation;
        self.isUp = true;
        self.timerAt = timeNever;
        self.appliedHintRevision = 0;
        self.scheduler = std::make_unique<request_scheduler>(scheduler_options{}, zone_id(index % 2 == 0 ? "a" : "b"), m_random.next());
        self.drain = std::make_unique<gate_drain>(gate_drain_options{});
        pollHints(index, self.incarnation);
    }

    /** Passes changed hints of the settings and the VM list to a gate about once per viewPeriod, as its steward does. */
    void pollHints(std::size_t index, std::uint64_t incarnation)
    {
        gate &self = m_gates[index];
        if (!self.isUp || self.incarnation != incarnation) {
            return;
        }
        if (self.appliedHintRevision != m_hintRevision) {
            self.appliedHintRevision = m_hintRevision;
            applyHints(index);
        }
        m_time.after(duration(static_cast<std::int64_t>(static_cast<double>(viewPeriod.count()) * m_random.uniform(0.7, 1.3))), [this, index, incarnation] {
            pollHints(index, incarnation);
        });
    }

    void applyHints(std::size_t index)
    {
        std::vector<server_id> leaving;
        for (std::size_t each = 0; each < m_servers.size(); ++each) {
            m_document.pools.front().servers[each].isLeaving = m_useHints && m_servers[each].isMarkedLeaving;
            if (m_useHints && m_servers[each].isListedLeaving) {
                leaving.push_back(m_document.pools.front().servers[each].id);
            }
        }
        request_scheduler::actions actions;
        m_gates[index].scheduler->applyDocument(m_time.now(), m_document, leaving, actions);
        perform(index, actions);
    }

    void perform(std::size_t index, const request_scheduler::actions &actions)
    {
        for (const request_action &action : actions) {
            if (const auto *dispatch = std::get_if<dispatch_request>(&action)) {
                send(index, *dispatch);
            } else if (const auto *refusal = std::get_if<refuse_request>(&action)) {
                refuse(index, *refusal);
            }
        }
        armTimer(index);
    }

    void armTimer(std::size_t index)
    {
        gate &self = m_gates[index];
        const time_point next = self.scheduler->nextDeadline();
        if (next == timeNever || next >= self.timerAt) {
            return;
        }
        self.timerAt = next;
        m_time.at(next, [this, index, incarnation = self.incarnation] {
            gate &due = m_gates[index];
            if (!due.isUp || due.incarnation != incarnation) {
                return;
            }
            due.timerAt = timeNever;
            request_scheduler::actions actions;
            due.scheduler->onTimer(m_time.now(), actions);
            perform(index, actions);
        });
    }

    void refuse(std::size_t index, const refuse_request &refusal)
    {
        const auto found = m_gates[index].pending.find(refusal.request);
        if (found == m_gates[index].pending.end()) {
            return;
        }
        m_gates[index].pending.erase(found);
        answerFor(refusal.kind).outcome == request_outcome::NotRun ? ++m_outcome.refused : ++m_outcome.cut;
    }

    void send(std::size_t index, const dispatch_request &dispatch)
    {
        const std::size_t target = std::stoul(dispatch.server.str().substr(1));
        const pending_request request = m_gates[index].pending.at(dispatch.request);
        m_time.after(networkDelay, [this, index, incarnation = m_gates[index].incarnation, target, dispatch, request] {
            arriveAtServer(index, incarnation, target, dispatch, request);
        });
    }

    void arriveAtServer(std::size_t index, std::uint64_t incarnation, std::size_t target, const dispatch_request &dispatch, const pending_request &request)
    {
        server &self = m_servers[target];
        const auto end = [this, index, incarnation, dispatch](attempt_end how) {
            m_time.after(networkDelay, [this, index, incarnation, dispatch, how] {
                attemptEnded(index, incarnation, dispatch, how);
            });
        };
        if (self.refusesNewWork || !self.process->isUp()) {
            end(attempt_end::NotStarted);
            return;
        }
        recordNewWork(self);
        harness::fake_work work;
        work.id = ++m_lastWorkId;
        work.tokens = request.tokens;
        work.onEnd = [end](fake_end how) {
            end(how == fake_end::Answered ? attempt_end::Answered : how == fake_end::Refused ? attempt_end::NotStarted : attempt_end::Failed);
        };
        self.process->submit(std::move(work));
    }

    void recordNewWork(const server &self)
    {
        constexpr double limit = 3;
        if (self.firstHint == timeNever) {
            return;
        }
        const double since = toSeconds(m_time.now() - self.firstHint);
        m_outcome.longestNewWorkDelay = std::max(m_outcome.longestNewWorkDelay, since);
        m_outcome.newWorkAfterLimit += since > limit ? 1 : 0;
    }

    void attemptEnded(std::size_t index, std::uint64_t incarnation, const dispatch_request &dispatch, attempt_end how)
    {
        gate &self = m_gates[index];
        if (!self.isUp || self.incarnation != incarnation) {
            return;
        }
        if (how == attempt_end::Failed) {
            ++m_outcome.cut;
            self.pending.erase(dispatch.request);
        } else if (how == attempt_end::Answered && self.pending.erase(dispatch.request) > 0) {
            ++m_outcome.answered;
        }
        request_scheduler::actions actions;
        self.scheduler->onAttemptEnd(m_time.now(), dispatch.request, dispatch.attempt, how, actions);
        perform(index, actions);
    }

    // Callers.

    void scheduleArrivals()
    {
        if (!m_isArriving) {
            return;
        }
        const double rate = offeredLoad * static_cast<double>(m_servers.size() * slotsPerServer) / (meanTokens * secondsPerToken);
        m_time.after(fromSeconds(m_random.exponential(1 / rate)), [this] {
            ++m_outcome.requests;
            submit({ ++m_lastRequestNumber, m_random.uniform(0.2, 1.8) * meanTokens, 0 });
            scheduleArrivals();
        });
    }

    /** Sends a request to a random gate. A gate that is down or draining has not run it, so another gate is tried, up to maximumTries. */
    void submit(pending_request request)
    {
        constexpr int maximumTries = 8;
        if (request.tries == maximumTries) {
            ++m_outcome.refused;
            return;
        }
        ++request.tries;
        const std::size_t index = m_random.below(m_gates.size());
        m_time.after(networkDelay, [this, index, request] {
            gate &self = m_gates[index];
            if (!self.isUp || !self.drain->acceptsNewRequests()) {
                submit(request);
                return;
            }
            arriving_request arriving;
            arriving.id = request_id(std::to_string(request.number));
            arriving.customer = customer_id("trust");
            arriving.pool = pool_id("summarizer");
            arriving.deadline = m_time.now() + requestDeadline;
            arriving.isIdempotent = false;
            self.pending[arriving.id] = request;
            request_scheduler::actions actions;
            self.scheduler->onArrival(m_time.now(), std::move(arriving), actions);
            perform(index, actions);
        });
    }

    // Restarts.

    /** Sends load reports periodically: often in a small fleet, where each gate polls, and less often in a large one, where watchers pass on digests. */
    void scheduleLoadReports(std::size_t index)
    {
        const duration period = isLargeFleet() ? std::chrono::milliseconds(8000) : std::chrono::milliseconds(250);
        sendLoadReport(index);
        m_time.after(duration(static_cast<std::int64_t>(static_cast<double>(period.count()) * m_random.uniform(0.8, 1.2))), [this, index] {
            scheduleLoadReports(index);
        });
    }

    bool isLargeFleet() const
    {
        return m_gates.size() > maximumPollingGates;
    }

    void sendLoadReport(std::size_t index)
    {
        server &self = m_servers[index];
        if (!self.process->isUp()) {
            return;
        }
        const harness::fake_load load = self.process->load();
        const server_load report{ m_document.pools.front().servers[index].id, load.waiting, load.running, slotsPerServer, 1,
                                  m_useHints && self.reportsLeaving,          false,        load.sequence };
        m_time.after(networkDelay, [this, report] {
            for (std::size_t each = 0; each < m_gates.size(); ++each) {
                if (m_gates[each].isUp) {
                    request_scheduler::actions actions;
                    m_gates[each].scheduler->onLoad(m_time.now(), report, actions);
                    perform(each, actions);
                }
            }
        });
    }

    std::size_t restartBatchSize(std::size_t count) const
    {
        return std::max<std::size_t>(1, count / (isLargeFleet() ? largeFleetBatches : smallFleetBatches));
    }

    void restartServersFrom(std::size_t first)
    {
        const std::size_t batchSize = restartBatchSize(m_servers.size());
        if (first >= m_servers.size()) {
            m_areServersDone = true;
            return;
        }
        const auto remaining = std::make_shared<std::size_t>(std::min(batchSize, m_servers.size() - first));
        for (std::size_t index = first; index < std::min(first + batchSize, m_servers.size()); ++index) {
            beginServerDrain(index, [this, remaining, next = first + batchSize] {
                if (--*remaining == 0) {
                    restartServersFrom(next);
                }
            });
        }
    }

    /** Starts the drain of a server: sets each hint at a random time, and restarts the server once it is idle. */
    void beginServerDrain(std::size_t index, std::function<void()> onRestarted)
    {
        server &self = m_servers[index];
        const auto scheduleHint = [this, index](double from, double to, bool server::*hint) {
            m_time.after(fromSeconds(m_random.uniform(from, to)), [this, index, hint, incarnation = m_servers[index].incarnation] {
                server &hinted = m_servers[index];
                if (hinted.incarnation == incarnation) {
                    hinted.*hint = true;
                    ++m_hintRevision;
                    hinted.firstHint = std::min(hinted.firstHint, m_time.now());
                    if (hint == &server::reportsLeaving && isLargeFleet()) {
                        // A watcher sees the change at its next poll, within 0.5 s, and passes it on.
                        m_time.after(fromSeconds(m_random.uniform(0, 0.5)), [this, index] {
                            sendLoadReport(index);
                        });
                    }
                }
            });
        };
        scheduleHint(0, 3, &server::reportsLeaving);
        scheduleHint(0, 4, &server::isListedLeaving);
        scheduleHint(0, 4, &server::isMarkedLeaving);
        scheduleHint(3, 6, &server::refusesNewWork);
        self.firstHint = timeNever;
        constexpr double minimumDrainTime = 7;
        m_time.after(fromSeconds(minimumDrainTime), [this, index, onRestarted = std::move(onRestarted)] {
            restartWhenIdle(index, onRestarted);
        });
    }

    void restartWhenIdle(std::size_t index, const std::function<void()> &onRestarted)
    {
        server &self = m_servers[index];
        if (self.process->running() + self.process->waiting() > 0) {
            m_time.after(std::chrono::milliseconds(50), [this, index, onRestarted] {
                restartWhenIdle(index, onRestarted);
            });
            return;
        }
        self.process->crash();
        m_time.after(std::chrono::seconds(1), [this, index, onRestarted] {
            server &restarted = m_servers[index];
            restarted.process->restart();
            restarted.reportsLeaving = restarted.refusesNewWork = restarted.isMarkedLeaving = false;
            restarted.firstHint = timeNever;
            ++restarted.incarnation;
            ++m_hintRevision;
            ++m_outcome.serverRestarts;
            // The VM list lags: it lists the server as leaving for up to 5 s after the restart.
            m_time.after(fromSeconds(m_random.uniform(0, 5)), [this, index] {
                m_servers[index].isListedLeaving = false;
                ++m_hintRevision;
            });
            onRestarted();
        });
    }

    void restartGatesFrom(std::size_t first)
    {
        const std::size_t batchSize = restartBatchSize(m_gates.size());
        if (first >= m_gates.size()) {
            m_areGatesDone = true;
            return;
        }
        const auto remaining = std::make_shared<std::size_t>(std::min(batchSize, m_gates.size() - first));
        for (std::size_t index = first; index < std::min(first + batchSize, m_gates.size()); ++index) {
            m_gates[index].drain->begin(m_time.now());
            drainGate(index, [this, remaining, next = first + batchSize] {
                if (--*remaining == 0) {
                    restartGatesFrom(next);
                }
            });
        }
    }

    void drainGate(std::size_t index, const std::function<void()> &onRestarted)
    {
        gate &self = m_gates[index];
        if (self.drain->advance(m_time.now(), self.pending.size()) != drain_phase::Done) {
            m_time.after(std::chrono::milliseconds(20), [this, index, onRestarted] {
                drainGate(index, onRestarted);
            });
            return;
        }
        m_outcome.cut += self.pending.size();
        self.pending.clear();
        self.isUp = false;
        m_time.after(std::chrono::milliseconds(500), [this, index, onRestarted] {
            startGate(index);
            ++m_outcome.gateRestarts;
            onRestarted();
        });
    }

    virtual_time m_time;
    random_source m_random;
    bool m_useHints;
    fleet_document m_document;
    std::vector<server> m_servers;
    std::vector<gate> m_gates;
    drain_outcome m_outcome;
    std::uint64_t m_lastRequestNumber = 0;
    std::uint64_t m_lastWorkId = 0;
    std::uint64_t m_hintRevision = 1;
    bool m_isArriving = true;
    bool m_areServersDone = false;
    bool m_areGatesDone = false;
};

void runDrain(const bench::bench_options &options, bench::bench_report &report)
{
    bench::printProgress("rolling restart with all hints");
    const drain_outcome withHints = drain_simulation(options, true).run();
    bench::bench_figure cut = report.figure("cut", static_cast<double>(withHints.cut), "requests", bench::exactly(0));
    bench::bench_figure last = report.figure("lastNewWork", withHints.longestNewWorkDelay, "s", bench::atMost(3));
    bench::bench_figure late = report.figure("newWorkAfter3s", static_cast<double>(withHints.newWorkAfterLimit), "requests", bench::exactly(0));
    if (static_cast<std::size_t>(options.nodes) <= maximumPollingGates) {
        bench::printProgress("rolling restart with 503 answers as the only hint");
        const drain_outcome withoutHints = drain_simulation(options, false).run();
        cut.baseline("only503", static_cast<double>(withoutHints.cut));
        last.baseline("only503", withoutHints.longestNewWorkDelay);
        late.baseline("only503", static_cast<double>(withoutHints.newWorkAfterLimit));
    }
    report.figure("requests", static_cast<double>(withHints.requests), "requests");
    report.figure("answered", static_cast<double>(withHints.answered) / static_cast<double>(withHints.requests), "share");
    report.figure("refusedNotRun", static_cast<double>(withHints.refused), "requests");
    report.figure("serverRestarts", static_cast<double>(withHints.serverRestarts), "restarts");
    report.figure("gateRestarts", static_cast<double>(withHints.gateRestarts), "restarts");
}

const bench::registered_benchmark drain("drain", "Rolling restart of all gates and servers under load", { .nodes = 8, .servers = 20 }, runDrain);

} // namespace
} // namespace reedtrail
