/**
 * @file
 * The callers, the faults and the evaluation of once_simulation; included by once_world.h.
 */
#pragma once

#include "once/testing/once_simulation.h"

namespace reedtrail::testing {

template<class Keys>
void once_simulation<Keys>::startRequest(std::size_t request)
{
    m_callers[request].startedInOutage = m_store.isUnavailable;
    if (m_options.naming == request_naming::Key) {
        send(request);
    } else {
        requestTicket(request, 0);
    }
}

template<class Keys>
void once_simulation<Keys>::requestTicket(std::size_t request, int attempts)
{
    constexpr int maximumAttempts = 5;
    if (attempts == maximumAttempts) {
        m_callers[request].end = error_kind::NoServer; // the request was never sent
        m_callers[request].isFinished = true;
        return;
    }
    const std::size_t index = m_random.below(m_gates.size());
    const auto isOpen = std::make_shared<bool>(true);
    sendToGate("caller", index, [this, request, index, isOpen] {
        const std::optional<std::string> ticket = m_gates[index].coordinator->issueTicket(m_time.now(), customer_id("trust"));
        m_network.send(gateName(index), "caller", [this, request, index, ticket, isOpen] {
            if (ticket && std::exchange(*isOpen, false)) {
                m_callers[request].ticket = *ticket;
                m_callers[request].issuingGate = index;
                send(request);
            }
        });
    });
    m_time.after(std::chrono::milliseconds(500), [this, request, attempts, isOpen] {
        if (std::exchange(*isOpen, false)) {
            requestTicket(request, attempts + 1);
        }
    });
}

template<class Keys>
void once_simulation<Keys>::send(std::size_t request)
{
    caller_state &self = m_callers[request];
    if (self.isFinished) {
        return;
    }
    if (self.sends == m_options.maximumSends) {
        self.isFinished = true;
        return;
    }
    const bool usesIssuingGate = m_options.naming == request_naming::Ticket && self.sends == 0 && !m_random.chance(m_options.misroutedShare);
    const std::size_t index = usesIssuingGate ? self.issuingGate : m_random.below(m_gates.size());
    ++self.sends;
    const std::uint64_t sendNumber = ++self.sendNumber;
    const send_message message{ request, self.attempt, self.ticket, false };
    deliver(index, message, sendNumber);
    if (m_options.hasFaults && m_random.chance(0.01)) {
        // A delayed duplicate of the message, whose answer nobody reads.
        m_time.after(fromSeconds(m_random.uniform(0.1, 15)), [this, message] {
            deliver(m_random.below(m_gates.size()), message, 0);
        });
    }
    m_time.after(m_options.callerTimeout, [this, request, sendNumber] {
        if (m_callers[request].sendNumber == sendNumber) {
            send(request);
        }
    });
}

template<class Keys>
void once_simulation<Keys>::deliver(std::size_t index, const send_message &message, std::uint64_t sendNumber)
{
    sendToGate("caller", index, [this, index, message, sendNumber] {
        receive(index, message, [this, index, message, sendNumber](const reply_message &answer) {
            m_network.send(gateName(index), "caller", [this, message, sendNumber, answer] {
                receiveAnswer(message, sendNumber, answer);
            });
        });
    });
}

template<class Keys>
void once_simulation<Keys>::receiveAnswer(const send_message &message, std::uint64_t sendNumber, const reply_message &answer)
{
    caller_state &self = m_callers[message.request];
    if (sendNumber == 0 || self.sendNumber != sendNumber || self.isFinished) {
        return;
    }
    m_crossed += answer.request != message.request ? 1 : 0;
    ++self.sendNumber;
    self.end = answer.error;
    const error_answer &row = answerFor(answer.error);
    if (row.outcome == request_outcome::NotRun) {
        self.toldNotRun.push_back(message.attempt);
        ++self.attempt;
    }
    constexpr std::uint32_t maximumAttempts = 3;
    const bool mayRaiseAttempt = Keys::hasFixedOwners && self.attempt < maximumAttempts;
    const bool isRetried = answer.error != error_kind::None && row.retrySafe && (row.outcome != request_outcome::NotRun || mayRaiseAttempt);
    if (!isRetried) {
        self.isFinished = true;
        return;
    }
    m_time.after(fromSeconds(0.25 * m_random.uniform(0.5, 1.5) * static_cast<double>(1U << static_cast<unsigned>(self.sends))),
                 [this, request = message.request] {
                     send(request);
                 });
}

template<class Keys>
void once_simulation<Keys>::planFaults(time_point end)
{
    repeat(m_options.crashInterval, end, [this] {
        crash(m_random.below(m_gates.size()));
    });
    repeat(m_options.pauseInterval, end, [this] {
        m_gates[m_random.below(m_gates.size())].pausedUntil = m_time.now() + fromSeconds(std::min(40.0, m_random.exponential(5)));
    });
    repeat(m_options.partitionInterval, end, [this] {
        partitionZone(m_random.below(4), m_random.chance(0.5));
    });
    repeat(m_options.crashInterval, end, [this] {
        const std::size_t server = m_random.below(m_options.servers);
        m_serversDown.insert(server);
        m_time.after(std::chrono::seconds(3), [this, server] {
            m_serversDown.erase(server);
        });
    });
    repeat(m_options.outageInterval, end, [this] {
        m_store.isUnavailable = true;
        m_time.after(m_options.outageDuration, [this] {
            m_store.isUnavailable = false;
        });
    });
}

template<class Keys>
void once_simulation<Keys>::repeat(duration mean, time_point end, std::function<void()> action)
{
    const duration gap = fromSeconds(toSeconds(mean) * m_random.uniform(0.5, 1.5));
    m_time.after(gap, [this, mean, end, action = std::move(action)] {
        if (m_time.now() < end) {
            action();
            repeat(mean, end, action);
        }
    });
}

template<class Keys>
void once_simulation<Keys>::crash(std::size_t index)
{
    gate &self = m_gates[index];
    if (!self.isUp) {
        return;
    }
    self.isUp = false;
    self.waiting.clear();
    self.coordinator.reset();
    m_time.after(fromSeconds(m_random.uniform(1, 5)), [this, index] {
        start(index);
    });
}

template<class Keys>
void once_simulation<Keys>::partitionZone(std::size_t zone, bool isTwoWay)
{
    const auto set = [this, zone, isTwoWay](bool isCut) {
        for (std::size_t inside = zone; inside < m_gates.size(); inside += 4) {
            for (std::size_t outside = 0; outside <= m_gates.size(); ++outside) {
                const std::string other = outside == m_gates.size() ? "store" : gateName(outside);
                if (outside == m_gates.size() || outside % 4 != zone) {
                    m_network.cut(gateName(inside), other, isCut);
                    isTwoWay ? m_network.cut(other, gateName(inside), isCut) : void();
                }
            }
        }
    };
    set(true);
    m_time.after(fromSeconds(m_random.uniform(2, 12)), [set] {
        set(false);
    });
}

template<class Keys>
once_simulation_result once_simulation<Keys>::evaluate(duration loadDuration)
{
    once_simulation_result outcome;
    for (std::size_t request = 0; request < m_callers.size(); ++request) {
        const caller_state &each = m_callers[request];
        const request_outcome told = answerFor(each.end).outcome;
        outcome.answered += each.end == error_kind::None ? 1 : 0;
        outcome.refused += told == request_outcome::NotRun ? 1 : 0;
        outcome.unknown += told == request_outcome::Unknown ? 1 : 0;
        outcome.begunInOutage += each.startedInOutage ? 1 : 0;
        outcome.answeredOfOutage += each.startedInOutage && each.end == error_kind::None ? 1 : 0;
        outcome.ran += each.runs.empty() ? 0 : 1;
        const bool isRunTwice = each.runs.size() > 1;
        bool isFalseNotRun = false;
        for (const std::uint32_t attempt : each.toldNotRun) {
            isFalseNotRun = isFalseNotRun || std::any_of(each.runs.begin(), each.runs.end(), [attempt](std::uint32_t run) {
                                return run <= attempt;
                            });
        }
        outcome.runTwice += isRunTwice ? 1 : 0;
        outcome.falseNotRun += isFalseNotRun ? 1 : 0;
        if ((isRunTwice || isFalseNotRun) && outcome.firstViolation.empty()) {
            outcome.firstViolation = "request " + std::to_string(request) + " of seed " + std::to_string(m_options.seed);
        }
    }
    outcome.crossed = m_crossed;
    outcome.forwarded = m_forwarded;
    outcome.storeCalls = m_store.calls();
    outcome.seconds = toSeconds(loadDuration);
    return outcome;
}

} // namespace reedtrail::testing
