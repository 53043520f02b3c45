/**
 * @file
 * Simulates gates, backend servers, callers and a store in virtual time. Callers retry non-idempotent requests through other gates while processes crash and
 * pause, the network partitions and the store is unavailable. The simulation records each run and each answer and checks them at the end.
 *
 *     once_simulation<key_records> simulation({.naming = request_naming::Key, .requests = 10000, .seed = 7});
 *     once_simulation_result result = simulation.run();      // result.runTwice and result.falseNotRun must be 0
 *
 * The gates run the same once_coordinator as the gate process. Actions are carried out after a short delay, so that a pause or a crash can happen in between.
 */
#pragma once

#include "base/random.h"
#include "harness/lossy_network.h"
#include "harness/virtual_time.h"
#include "once/key_ranges.h"
#include "once/key_records.h"
#include "once/once_coordinator.h"
#include "once/testing/once_world_store.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace reedtrail::testing {

/** Tells how callers name their requests. */
enum class request_naming : std::uint8_t { Ticket, Key };

/** Options of a simulation. All intervals between faults are means. */
struct once_simulation_options
{
    request_naming naming = request_naming::Ticket;
    std::size_t gates = 8;
    std::size_t servers = 20;
    std::size_t requests = 10000;
    double requestsPerSecond = 1000;
    std::uint64_t seed = 1;
    bool hasFaults = true;
    double misroutedShare = 0.1; ///< Share of first sends that go to a random gate instead of the one that issued the ticket.
    duration callerTimeout = std::chrono::seconds(2);
    int maximumSends = 7; ///< Limit of sends of one request by its caller.
    duration leaseDuration = std::chrono::seconds(9);
    duration takeoverQuarantine = std::chrono::seconds(60); ///< See key_range_options.
    duration crashInterval = std::chrono::seconds(10);
    duration pauseInterval = std::chrono::seconds(6);
    duration partitionInterval = std::chrono::seconds(10);
    duration outageInterval = std::chrono::seconds(40);
    duration outageDuration = std::chrono::seconds(10);
};

/** Counts of a simulation, in requests unless noted. */
struct once_simulation_result
{
    std::size_t answered = 0;
    std::size_t refused = 0; ///< Requests whose last answer was "not run".
    std::size_t unknown = 0; ///< Requests whose outcome the caller does not know.
    std::size_t runTwice = 0; ///< Requests that ran more than once; must be 0.
    std::size_t falseNotRun = 0; ///< Requests answered "not run" although that attempt or an earlier one ran; must be 0.
    std::size_t crossed = 0; ///< Answers that belong to another request; must be 0.
    std::size_t ran = 0; ///< Requests that ran at least once.
    std::size_t forwarded = 0; ///< Forwards from one gate to another.
    std::size_t begunInOutage = 0; ///< Requests that began while the store was unavailable.
    std::size_t answeredOfOutage = 0; ///< Requests among begunInOutage that were answered.
    std::uint64_t storeCalls = 0; ///< Calls to the store.
    double seconds = 0; ///< Virtual time until the last request began.
    std::string firstViolation; ///< Request and seed of the first violation; empty if there is none.
};

/** The simulation. @tparam Keys how idempotency keys are resolved */
template<class Keys>
class once_simulation
{
public:
    explicit once_simulation(once_simulation_options options)
        : m_options(options)
        , m_random(options.seed)
        , m_network(m_time, m_random.fork(), { std::chrono::microseconds(700), std::chrono::microseconds(600), options.hasFaults ? 0.001 : 0, 0, 0 })
        , m_store(m_time, rangeCount)
        , m_gates(options.gates)
        , m_callers(options.requests)
    {
    }

    once_simulation_result run()
    {
        for (std::size_t gate = 0; gate < m_gates.size(); ++gate) {
            start(gate);
        }
        const duration gap = fromSeconds(1.0 / m_options.requestsPerSecond);
        for (std::size_t request = 0; request < m_options.requests; ++request) {
            m_time.at(time_point(std::chrono::seconds(3) + gap * request), [this, request] {
                startRequest(request);
            });
        }
        const duration loadDuration = std::chrono::seconds(3) + gap * m_options.requests;
        if (m_options.hasFaults) {
            planFaults(time_point(loadDuration));
        }
        m_time.runUntil(time_point(loadDuration + std::chrono::seconds(60)));
        return evaluate(loadDuration);
    }

private:
    static constexpr std::size_t rangeCount = 64;
    using core = once_coordinator<Keys>;

    struct reply_message
    {
        std::size_t request = 0; ///< The request to which the answer belongs.
        error_kind error = error_kind::None;
    };
    struct send_message
    {
        std::size_t request = 0;
        std::uint32_t attempt = 0;
        std::string ticket;
        bool isForwarded = false;
    };
    struct waiting_send
    {
        send_message message;
        std::function<void(const reply_message &)> onReply;
    };
    struct gate
    {
        gate_incarnation identity;
        std::unique_ptr<core> coordinator;
        std::uint64_t startNumber = 0; ///< Grows with each start; actions scheduled before a crash are dropped.
        bool isUp = false;
        time_point pausedUntil;
        std::unordered_map<waiter_id, waiting_send> waiting;
        waiter_id nextWaiter = 1;
    };
    struct caller_state
    {
        std::string ticket;
        std::size_t issuingGate = 0; ///< Index of the gate that issued the ticket.
        std::uint32_t attempt = 0;
        int sends = 0;
        std::uint64_t sendNumber = 0; ///< Grows with each send and each accepted answer; a late answer has an older number.
        bool isFinished = false;
        bool startedInOutage = false;
        error_kind end = error_kind::PeerUnreachable;
        std::vector<std::uint32_t> runs; ///< Attempt number of each run.
        std::vector<std::uint32_t> toldNotRun; ///< Attempt numbers that were answered "not run".
    };

    // Gates.

    static std::string gateName(std::size_t index)
    {
        return "g" + std::to_string(index);
    }
    static std::string serverName(std::size_t index)
    {
        return "s" + std::to_string(index);
    }

    void start(std::size_t index)
    {
        gate &self = m_gates[index];
        self.isUp = true;
        ++self.startNumber;
        self.identity = { node_id(gateName(index)), static_cast<incarnation>(m_time.now().time_since_epoch().count() + 1) };
        ticket_secret secret{};
        for (std::uint8_t &byte : secret) {
            byte = static_cast<std::uint8_t>(m_random.next());
        }
        once_options options;
        options.table.entryLifetime = std::chrono::minutes(15);
        if constexpr (Keys::hasFixedOwners) {
            self.coordinator = std::make_unique<core>(self.identity, secret, options, Keys(self.identity, {}));
        } else {
            self.coordinator = std::make_unique<core>(
                self.identity, secret, options, Keys(self.identity, { rangeCount, std::chrono::seconds(1), m_options.takeoverQuarantine }));
            m_store.countWatchCall();
            renewLease(index, self.startNumber);
        }
        tick(index, self.startNumber);
    }

    /** Runs @p action on a gate after @p delay: later if the gate is paused at that time, never if it has crashed by then. */
    void runAtGate(std::size_t index, std::uint64_t startNumber, duration delay, std::function<void()> action)
    {
        m_time.after(delay, [this, index, startNumber, action = std::move(action)]() mutable {
            const gate &self = m_gates[index];
            if (!self.isUp || self.startNumber != startNumber) {
                return;
            }
            if (m_time.now() < self.pausedUntil) {
                runAtGate(index, startNumber, self.pausedUntil - m_time.now(), std::move(action));
                return;
            }
            action();
        });
    }

    /** Sends a message to a gate. The message is lost if the gate is down when it arrives. */
    void sendToGate(const std::string &from, std::size_t index, std::function<void()> action)
    {
        m_network.send(from, gateName(index), [this, index, action = std::move(action)] {
            if (m_gates[index].isUp) {
                runAtGate(index, m_gates[index].startNumber, duration::zero(), action);
            }
        });
    }

    void tick(std::size_t index, std::uint64_t startNumber)
    {
        runAtGate(index, startNumber, std::chrono::milliseconds(25), [this, index, startNumber] {
            typename core::actions actions;
            m_gates[index].coordinator->onTimer(m_time.now(), actions);
            perform(index, actions);
            tick(index, startNumber);
        });
    }

    /** Carries out actions after a short delay, so that a pause or a crash can happen in between. */
    void perform(std::size_t index, const typename core::actions &actions)
    {
        for (const typename core::action &action : actions) {
            runAtGate(index, m_gates[index].startNumber, duration(static_cast<std::int64_t>(m_random.below(1500))), [this, index, action] {
                std::visit(
                    [this, index](const auto &each) {
                        carryOut(index, each);
                    },
                    action);
            });
        }
    }

    void carryOut(std::size_t index, const send_answer &action)
    {
        reply(index, action.waiter, { static_cast<std::size_t>(std::stoull(action.answer->body)), error_kind::None });
    }

    void carryOut(std::size_t index, const send_error &action)
    {
        const auto found = m_gates[index].waiting.find(action.waiter);
        if (found != m_gates[index].waiting.end()) {
            reply(index, action.waiter, { found->second.message.request, action.kind });
        }
    }

    void reply(std::size_t index, waiter_id waiter, const reply_message &message)
    {
        const auto found = m_gates[index].waiting.find(waiter);
        if (found != m_gates[index].waiting.end()) {
            const auto answer = std::move(found->second.onReply);
            m_gates[index].waiting.erase(found);
            answer(message);
        }
    }

    void carryOut(std::size_t index, const forward_request &action)
    {
        const auto found = m_gates[index].waiting.find(action.waiter);
        if (found == m_gates[index].waiting.end()) {
            return;
        }
        ++m_forwarded;
        const std::size_t target = static_cast<std::size_t>(std::stoull(action.owner.node.str().substr(1)));
        send_message message = found->second.message;
        message.isForwarded = true;
        sendToGate(gateName(index), target, [this, index, target, message, waiter = action.waiter] {
            receive(target, message, [this, index, target, waiter](const reply_message &answer) {
                sendToGate(gateName(target), index, [this, index, waiter, answer] {
                    m_gates[index].coordinator->onForwardAnswered(waiter);
                    reply(index, waiter, answer);
                });
            });
        });
        runAtGate(index, m_gates[index].startNumber, std::chrono::milliseconds(1200), [this, index, action] {
            typename core::actions actions;
            m_gates[index].coordinator->onForwardFailed(action.waiter, action.owner, actions);
            perform(index, actions);
        });
    }

    void receive(std::size_t index, const send_message &message, std::function<void(const reply_message &)> onReply)
    {
        gate &self = m_gates[index];
        const waiter_id waiter = self.nextWaiter++;
        self.waiting[waiter] = { message, std::move(onReply) };
        named_request request;
        request.waiter = waiter;
        request.ticket = message.ticket;
        request.key = message.ticket.empty() ? "trust/" + std::to_string(message.request) : "";
        request.customer = customer_id("trust");
        request.contentHash = message.request;
        request.attempt = message.attempt;
        request.isForwarded = message.isForwarded;
        typename core::actions actions;
        self.coordinator->onRequest(m_time.now(), std::move(request), actions);
        perform(index, actions);
    }

    // Backend servers.

    void carryOut(std::size_t index, const run_request &action)
    {
        const auto found = m_gates[index].waiting.find(action.waiter);
        if (found == m_gates[index].waiting.end()) {
            return;
        }
        const send_message message = found->second.message;
        if (m_random.chance(0.01)) {
            endNotRun(index, action.name, error_kind::QueueDeadline);
        } else {
            dispatch(index, action.name, message, 1);
        }
    }

    void endNotRun(std::size_t index, const std::string &name, error_kind kind)
    {
        typename core::actions actions;
        m_gates[index].coordinator->onNotRun(m_time.now(), name, kind, "", {}, actions);
        perform(index, actions);
    }

    void dispatch(std::size_t index, const std::string &name, const send_message &message, int attempt)
    {
        core &coordinator = *m_gates[index].coordinator;
        const std::size_t server = m_random.below(m_options.servers);
        coordinator.onDispatched(name);
        const auto isOpen = std::make_shared<bool>(true);
        const auto notStarted = [this, index, name, message, attempt, isOpen] {
            if (!std::exchange(*isOpen, false)) {
                return;
            }
            constexpr int maximumAttempts = 3;
            m_gates[index].coordinator->onNotStarted(name);
            attempt < maximumAttempts ? dispatch(index, name, message, attempt + 1) : endNotRun(index, name, error_kind::ServerRefused);
        };
        if (m_serversDown.contains(server)) {
            notStarted();
            return;
        }
        m_network.send(gateName(index), serverName(server), [this, index, server, name, message, notStarted, isOpen] {
            if (m_serversDown.contains(server)) {
                return;
            }
            if (m_random.chance(0.02)) {
                sendToGate(serverName(server), index, notStarted);
                return;
            }
            runOnServer(server, index, name, message, isOpen);
        });
        runAtGate(index, m_gates[index].startNumber, std::chrono::seconds(1), [this, index, name, isOpen] {
            if (std::exchange(*isOpen, false)) {
                typename core::actions actions;
                m_gates[index].coordinator->onUnknown(m_time.now(), name, error_kind::ServerSilent, "", actions);
                perform(index, actions);
            }
        });
    }

    void runOnServer(std::size_t server, std::size_t index, const std::string &name, const send_message &message, const std::shared_ptr<bool> &isOpen)
    {
        m_callers[message.request].runs.push_back(message.attempt);
        const duration service = fromSeconds(m_random.lognormal(0.03, 0.6));
        m_time.after(service, [this, server, index, name, message, isOpen] {
            if (m_serversDown.contains(server) || m_random.chance(m_options.hasFaults ? 0.001 : 0)) {
                return;
            }
            sendToGate(serverName(server), index, [this, index, name, message, isOpen] {
                if (!std::exchange(*isOpen, false)) {
                    return;
                }
                typename core::actions actions;
                m_gates[index].coordinator->onAnswered(m_time.now(), name, { 200, {}, std::to_string(message.request) }, actions);
                perform(index, actions);
            });
        });
    }

    // The store.

    void carryOut(std::size_t index, const claim_record &action)
    {
        const auto isOpen = std::make_shared<bool>(true);
        const auto answer = [this, index, operation = action.operation, isOpen](claim_result outcome, const key_record &found) {
            if (!std::exchange(*isOpen, false)) {
                return;
            }
            typename core::actions actions;
            m_gates[index].coordinator->onStoreAnswer(
                m_time.now(),
                [&](auto &keys, auto &resolved) {
                    if constexpr (Keys::hasFixedOwners) {
                        keys.onClaimAnswer(m_time.now(), operation, outcome, found, resolved);
                    }
                },
                actions);
            perform(index, actions);
        };
        m_network.send(gateName(index), "store", [this, index, action, answer] {
            if (m_store.isUnavailable) {
                return;
            }
            key_record found;
            const claim_result outcome = m_store.claim(action.key, action.record, found);
            if (!m_random.chance(m_options.hasFaults ? 0.01 : 0)) {
                sendToGate("store", index, [answer, outcome, found] {
                    answer(outcome, found);
                });
            }
        });
        runAtGate(index, m_gates[index].startNumber, std::chrono::milliseconds(700), [answer] {
            answer(claim_result::Failed, {});
        });
    }

    void carryOut(std::size_t index, const acquire_range &action)
    {
        m_network.send(gateName(index), "store", [this, action] {
            if (!m_store.isUnavailable) {
                m_store.acquireRange(action.range, action.owner);
            }
        });
    }

    /** Renews the gate's lease and tells the gate the owners of all ranges, as its watch would. */
    void renewLease(std::size_t index, std::uint64_t startNumber)
    {
        if constexpr (!Keys::hasFixedOwners) {
            const time_point askedAt = m_time.now();
            m_network.send(gateName(index), "store", [this, index, askedAt, owner = m_gates[index].identity] {
                if (m_store.isUnavailable) {
                    return;
                }
                m_store.keepAlive(owner, m_options.leaseDuration);
                sendToGate("store", index, [this, index, until = askedAt + m_options.leaseDuration] {
                    updateKeys(index, [&](Keys &keys) {
                        keys.onLease(until);
                    });
                });
            });
            deliverRangeOwners(index);
            runAtGate(index, startNumber, m_options.leaseDuration / 3, [this, index, startNumber] {
                renewLease(index, startNumber);
            });
        }
    }

    void deliverRangeOwners(std::size_t index)
    {
        for (int part = 0; part < 10; ++part) {
            m_time.after(m_options.leaseDuration / 30 * part, [this, index] {
                if (m_store.isUnavailable) {
                    return;
                }
                sendToGate("store", index, [this, index, ranges = m_store.ranges()] {
                    updateKeys(index, [&](Keys &keys) {
                        for (std::size_t range = 0; range < ranges.size(); ++range) {
                            keys.onOwner(m_time.now(), range, ranges[range].owner, ranges[range].wasOwnedBefore);
                        }
                    });
                });
            });
        }
    }

    template<class Update>
    void updateKeys(std::size_t index, Update update)
    {
        typename core::actions actions;
        m_gates[index].coordinator->onStoreAnswer(
            m_time.now(),
            [&](Keys &keys, auto &) {
                update(keys);
            },
            actions);
    }

    // Callers.
    void startRequest(std::size_t request);
    void requestTicket(std::size_t request, int attempts);
    void send(std::size_t request);
    void deliver(std::size_t index, const send_message &message, std::uint64_t sendNumber);
    void receiveAnswer(const send_message &message, std::uint64_t sendNumber, const reply_message &answer);
    // Faults.
    void planFaults(time_point end);
    void repeat(duration mean, time_point end, std::function<void()> action);
    void crash(std::size_t index);
    /** Partitions one zone (every fourth gate) from the other gates and the store. */
    void partitionZone(std::size_t zone, bool isTwoWay);
    // Evaluation.
    once_simulation_result evaluate(duration loadDuration);

    once_simulation_options m_options;
    random_source m_random;
    harness::virtual_time m_time;
    harness::lossy_network m_network;
    simulated_store m_store;
    std::vector<gate> m_gates;
    std::vector<caller_state> m_callers;
    std::set<std::size_t> m_serversDown;
    std::size_t m_crossed = 0;
    std::size_t m_forwarded = 0;
};

} // namespace reedtrail::testing

#include "once/testing/once_world_callers.h"
