// A rolling restart of all gates and backend servers under load, in virtual time: the gates run the scheduler and the drain of the program; servers announce
// that they leave by hints that come at different times and disagree.

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

constexpr double loadShare = 0.6; ///< Of the servers' slots.
constexpr std::int64_t slotsOfServer = 8;
constexpr double meanTokens = 80;
constexpr double secondsPerToken = 0.025;
constexpr duration hop = std::chrono::microseconds(1500);
constexpr duration viewPeriod = std::chrono::seconds(1); ///< How often a gate learns of hints from its steward.
constexpr duration requestDeadline = std::chrono::seconds(30);
constexpr std::size_t smallFleetParts = 20; ///< A small fleet is restarted a twentieth at a time,
constexpr std::size_t largeFleetParts = 10; ///< and a large one a tenth at a time.
constexpr std::size_t gatesThatPoll = 64; ///< A fleet with more gates is large: its load reports come by digests.

/** What is to be measured. */
struct drain_outcome
{
    std::size_t requests = 0;
    std::size_t answered = 0;
    std::size_t cut = 0; ///< Begun, and ended by a restart.
    std::size_t refused = 0; ///< By every gate tried, as not run.
    double lastNewWork = 0; ///< Seconds from the first hint to the last new request at a leaving server, the worst of all.
    std::size_t newWorkAfterLimit = 0; ///< Requests begun on a leaving server more than 3 s after the first hint.
    std::size_t serverRestarts = 0;
    std::size_t gateRestarts = 0;
};

/** The world of one run. */
class drain_world
{
public:
    drain_world(const bench::bench_options &options, bool useHints)
        : m_random(options.seed)
        , m_useHints(useHints)
        , m_servers(static_cast<std::size_t>(options.servers))
        , m_gates(static_cast<std::size_t>(options.nodes))
    {
        makeDocument();
        for (server &each : m_servers) {
            each.machine = std::make_unique<fake_server>(m_time, harness::fake_server_options{ slotsOfServer, secondsPerToken, 0.02, 100, 1 });
        }
        for (std::size_t index = 0; index < m_gates.size(); ++index) {
            startGate(index);
        }
    }

    drain_outcome run()
    {
        for (std::size_t index = 0; index < m_servers.size(); ++index) {
            reportLoad(index);
        }
        arrive();
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
        std::unique_ptr<fake_server> machine;
        bool saysLeaving = false; ///< In its load report.
        bool isListedLeaving = false; ///< In the VM list.
        bool isSetLeaving = false; ///< In the settings.
        bool refuses = false; ///< Answers 503, not started.
        std::uint64_t lives = 0;
        time_point firstHint = timeNever;
    };
    struct live_request
    {
        std::uint64_t number = 0;
        double tokens = 0;
        int tries = 0;
    };
    struct gate
    {
        std::unique_ptr<request_scheduler> scheduler;
        std::unique_ptr<gate_drain> drain;
        std::unordered_map<request_id, live_request> live;
        std::uint64_t life = 0;
        std::uint64_t seenHints = 0; ///< As many changes of hints as this gate knows of.
        bool isUp = false;
        time_point timerAt = timeNever;
    };

    void makeDocument()
    {
        pool_settings pool;
        pool.id = pool_id("summarizer");
        for (std::size_t index = 0; index < m_servers.size(); ++index) {
            server_settings settings;
            settings.id = server_id("s" + std::to_string(index));
            settings.zone = zone_id(index % 2 == 0 ? "a" : "b");
            settings.slots = slotsOfServer;
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
        ++self.life;
        self.isUp = true;
        self.timerAt = timeNever;
        self.seenHints = 0;
        self.scheduler = std::make_unique<request_scheduler>(scheduler_options{}, zone_id(index % 2 == 0 ? "a" : "b"), m_random.next());
        self.drain = std::make_unique<gate_drain>(gate_drain_options{});
        learnHints(index, self.life);
    }

    /** Hands the settings and the VM list's hints to a gate, as its steward does once in a while. */
    void learnHints(std::size_t index, std::uint64_t life)
    {
        gate &self = m_gates[index];
        if (!self.isUp || self.life != life) {
            return;
        }
        if (self.seenHints != m_hintChanges) {
            self.seenHints = m_hintChanges;
            applyHints(index);
        }
        m_time.after(duration(static_cast<std::int64_t>(static_cast<double>(viewPeriod.count()) * m_random.uniform(0.7, 1.3))), [this, index, life] {
            learnHints(index, life);
        });
    }

    void applyHints(std::size_t index)
    {
        std::vector<server_id> leaving;
        for (std::size_t each = 0; each < m_servers.size(); ++each) {
            m_document.pools.front().servers[each].isLeaving = m_useHints && m_servers[each].isSetLeaving;
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
        m_time.at(next, [this, index, life = self.life] {
            gate &due = m_gates[index];
            if (!due.isUp || due.life != life) {
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
        const auto found = m_gates[index].live.find(refusal.request);
        if (found == m_gates[index].live.end()) {
            return;
        }
        m_gates[index].live.erase(found);
        answerFor(refusal.kind).outcome == request_outcome::NotRun ? ++m_outcome.refused : ++m_outcome.cut;
    }

    void send(std::size_t index, const dispatch_request &dispatch)
    {
        const std::size_t target = std::stoul(dispatch.server.str().substr(1));
        const live_request request = m_gates[index].live.at(dispatch.request);
        m_time.after(hop, [this, index, life = m_gates[index].life, target, dispatch, request] {
            arriveAtServer(index, life, target, dispatch, request);
        });
    }

    void arriveAtServer(std::size_t index, std::uint64_t life, std::size_t target, const dispatch_request &dispatch, const live_request &request)
    {
        server &self = m_servers[target];
        const auto end = [this, index, life, dispatch](attempt_end how) {
            m_time.after(hop, [this, index, life, dispatch, how] {
                attemptEnded(index, life, dispatch, how);
            });
        };
        if (self.refuses || !self.machine->isUp()) {
            end(attempt_end::NotStarted);
            return;
        }
        noteNewWork(self);
        harness::fake_work work;
        work.id = ++m_works;
        work.tokens = request.tokens;
        work.onEnd = [end](fake_end how) {
            end(how == fake_end::Answered ? attempt_end::Answered : how == fake_end::Refused ? attempt_end::NotStarted : attempt_end::Failed);
        };
        self.machine->submit(std::move(work));
    }

    void noteNewWork(const server &self)
    {
        constexpr double limit = 3;
        if (self.firstHint == timeNever) {
            return;
        }
        const double since = toSeconds(m_time.now() - self.firstHint);
        m_outcome.lastNewWork = std::max(m_outcome.lastNewWork, since);
        m_outcome.newWorkAfterLimit += since > limit ? 1 : 0;
    }

    void attemptEnded(std::size_t index, std::uint64_t life, const dispatch_request &dispatch, attempt_end how)
    {
        gate &self = m_gates[index];
        if (!self.isUp || self.life != life) {
            return;
        }
        if (how == attempt_end::Failed) {
            ++m_outcome.cut;
            self.live.erase(dispatch.request);
        } else if (how == attempt_end::Answered && self.live.erase(dispatch.request) > 0) {
            ++m_outcome.answered;
        }
        request_scheduler::actions actions;
        self.scheduler->onAttemptEnd(m_time.now(), dispatch.request, dispatch.attempt, how, actions);
        perform(index, actions);
    }

    // Callers.

    void arrive()
    {
        if (!m_isArriving) {
            return;
        }
        const double rate = loadShare * static_cast<double>(m_servers.size() * slotsOfServer) / (meanTokens * secondsPerToken);
        m_time.after(fromSeconds(m_random.exponential(1 / rate)), [this] {
            ++m_outcome.requests;
            submit({ ++m_requests, m_random.uniform(0.2, 1.8) * meanTokens, 0 });
            arrive();
        });
    }

    /** Sends to a gate; one that refuses because it drains, or that is down, has not run it, and another is tried. */
    void submit(live_request request)
    {
        constexpr int maximumTries = 8;
        if (request.tries == maximumTries) {
            ++m_outcome.refused;
            return;
        }
        ++request.tries;
        const std::size_t index = m_random.below(m_gates.size());
        m_time.after(hop, [this, index, request] {
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
            self.live[arriving.id] = request;
            request_scheduler::actions actions;
            self.scheduler->onArrival(m_time.now(), std::move(arriving), actions);
            perform(index, actions);
        });
    }

    // Restarts.

    /** Reports again and again: to a small fleet by each gate's own polls, to a large one by digests that its watchers pass on less often. */
    void reportLoad(std::size_t index)
    {
        const duration period = isLargeFleet() ? std::chrono::milliseconds(8000) : std::chrono::milliseconds(250);
        reportOnce(index);
        m_time.after(duration(static_cast<std::int64_t>(static_cast<double>(period.count()) * m_random.uniform(0.8, 1.2))), [this, index] {
            reportLoad(index);
        });
    }

    bool isLargeFleet() const
    {
        return m_gates.size() > gatesThatPoll;
    }

    void reportOnce(std::size_t index)
    {
        server &self = m_servers[index];
        if (!self.machine->isUp()) {
            return;
        }
        const harness::fake_load load = self.machine->load();
        const server_load report{
            m_document.pools.front().servers[index].id, load.waiting, load.running, slotsOfServer, 1, m_useHints && self.saysLeaving, false, load.sequence
        };
        m_time.after(hop, [this, report] {
            for (std::size_t each = 0; each < m_gates.size(); ++each) {
                if (m_gates[each].isUp) {
                    request_scheduler::actions actions;
                    m_gates[each].scheduler->onLoad(m_time.now(), report, actions);
                    perform(each, actions);
                }
            }
        });
    }

    std::size_t restartedTogether(std::size_t count) const
    {
        return std::max<std::size_t>(1, count / (isLargeFleet() ? largeFleetParts : smallFleetParts));
    }

    void restartServersFrom(std::size_t first)
    {
        const std::size_t together = restartedTogether(m_servers.size());
        if (first >= m_servers.size()) {
            m_areServersDone = true;
            return;
        }
        const auto left = std::make_shared<std::size_t>(std::min(together, m_servers.size() - first));
        for (std::size_t index = first; index < std::min(first + together, m_servers.size()); ++index) {
            leave(index, [this, left, next = first + together] {
                if (--*left == 0) {
                    restartServersFrom(next);
                }
            });
        }
    }

    /** Lets each hint come in its own time, and the server end once it has nothing left. */
    void leave(std::size_t index, std::function<void()> onBack)
    {
        server &self = m_servers[index];
        const auto hintAt = [this, index](double from, double to, bool server::*hint) {
            m_time.after(fromSeconds(m_random.uniform(from, to)), [this, index, hint, life = m_servers[index].lives] {
                server &hinted = m_servers[index];
                if (hinted.lives == life) {
                    hinted.*hint = true;
                    ++m_hintChanges;
                    hinted.firstHint = std::min(hinted.firstHint, m_time.now());
                    if (hint == &server::saysLeaving && isLargeFleet()) {
                        // A watcher sees the change at its next poll and passes it on.
                        m_time.after(fromSeconds(m_random.uniform(0, 0.5)), [this, index] {
                            reportOnce(index);
                        });
                    }
                }
            });
        };
        hintAt(0, 3, &server::saysLeaving);
        hintAt(0, 4, &server::isListedLeaving);
        hintAt(0, 4, &server::isSetLeaving);
        hintAt(3, 6, &server::refuses);
        self.firstHint = timeNever;
        constexpr double leastNotice = 7;
        m_time.after(fromSeconds(leastNotice), [this, index, onBack = std::move(onBack)] {
            endWhenIdle(index, onBack);
        });
    }

    void endWhenIdle(std::size_t index, const std::function<void()> &onBack)
    {
        server &self = m_servers[index];
        if (self.machine->running() + self.machine->waiting() > 0) {
            m_time.after(std::chrono::milliseconds(50), [this, index, onBack] {
                endWhenIdle(index, onBack);
            });
            return;
        }
        self.machine->crash();
        m_time.after(std::chrono::seconds(1), [this, index, onBack] {
            server &back = m_servers[index];
            back.machine->restart();
            back.saysLeaving = back.refuses = back.isSetLeaving = false;
            back.firstHint = timeNever;
            ++back.lives;
            ++m_hintChanges;
            ++m_outcome.serverRestarts;
            // The VM list goes on calling the server leaving for a while.
            m_time.after(fromSeconds(m_random.uniform(0, 5)), [this, index] {
                m_servers[index].isListedLeaving = false;
                ++m_hintChanges;
            });
            onBack();
        });
    }

    void restartGatesFrom(std::size_t first)
    {
        const std::size_t together = restartedTogether(m_gates.size());
        if (first >= m_gates.size()) {
            m_areGatesDone = true;
            return;
        }
        const auto left = std::make_shared<std::size_t>(std::min(together, m_gates.size() - first));
        for (std::size_t index = first; index < std::min(first + together, m_gates.size()); ++index) {
            m_gates[index].drain->begin(m_time.now());
            drainGate(index, [this, left, next = first + together] {
                if (--*left == 0) {
                    restartGatesFrom(next);
                }
            });
        }
    }

    void drainGate(std::size_t index, const std::function<void()> &onBack)
    {
        gate &self = m_gates[index];
        if (self.drain->advance(m_time.now(), self.live.size()) != drain_phase::Done) {
            m_time.after(std::chrono::milliseconds(20), [this, index, onBack] {
                drainGate(index, onBack);
            });
            return;
        }
        m_outcome.cut += self.live.size();
        self.live.clear();
        self.isUp = false;
        m_time.after(std::chrono::milliseconds(500), [this, index, onBack] {
            startGate(index);
            ++m_outcome.gateRestarts;
            onBack();
        });
    }

    virtual_time m_time;
    random_source m_random;
    bool m_useHints;
    fleet_document m_document;
    std::vector<server> m_servers;
    std::vector<gate> m_gates;
    drain_outcome m_outcome;
    std::uint64_t m_requests = 0;
    std::uint64_t m_works = 0;
    std::uint64_t m_hintChanges = 1;
    bool m_isArriving = true;
    bool m_areServersDone = false;
    bool m_areGatesDone = false;
};

void runDrain(const bench::bench_options &options, bench::bench_report &report)
{
    bench::progress("rolling restart");
    const drain_outcome ours = drain_world(options, true).run();
    bench::bench_figure cut = report.figure("cut", static_cast<double>(ours.cut), "requests", bench::exactly(0));
    bench::bench_figure last = report.figure("lastNewWork", ours.lastNewWork, "s", bench::atMost(3));
    bench::bench_figure late = report.figure("newWorkAfter3s", static_cast<double>(ours.newWorkAfterLimit), "requests", bench::exactly(0));
    if (static_cast<std::size_t>(options.nodes) <= gatesThatPoll) {
        bench::progress("rolling restart, the server's own 503 as the only hint");
        const drain_outcome without = drain_world(options, false).run();
        cut.baseline("only503", static_cast<double>(without.cut));
        last.baseline("only503", without.lastNewWork);
        late.baseline("only503", static_cast<double>(without.newWorkAfterLimit));
    }
    report.figure("requests", static_cast<double>(ours.requests), "requests");
    report.figure("answered", static_cast<double>(ours.answered) / static_cast<double>(ours.requests), "share");
    report.figure("refusedNotRun", static_cast<double>(ours.refused), "requests");
    report.figure("serverRestarts", static_cast<double>(ours.serverRestarts), "restarts");
    report.figure("gateRestarts", static_cast<double>(ours.gateRestarts), "restarts");
}

const bench::registered_benchmark drain("drain", "Rolling restart of all gates and servers under load", { .nodes = 8, .servers = 20 }, runDrain);

} // namespace
} // namespace reedtrail
