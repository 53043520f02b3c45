/**
 * @file
 * The callers, the faults and the oracle of once_world; included by once_world.h.
 */
#pragma once

#include "once/testing/once_world.h"

namespace reedtrail::testing {

template<class Keys>
void once_world<Keys>::begin(std::size_t request)
{
    m_calls[request].isBegunInOutage = m_store.isDown;
    if (m_options.way == request_way::Key) {
        send(request);
    } else {
        askTicket(request, 0);
    }
}

template<class Keys>
void once_world<Keys>::askTicket(std::size_t request, int tries)
{
    constexpr int maximumTries = 5;
    if (tries == maximumTries) {
        m_calls[request].end = error_kind::NoServer; // it was never sent
        m_calls[request].isOver = true;
        return;
    }
    const std::size_t index = m_random.below(m_gates.size());
    const auto isOpen = std::make_shared<bool>(true);
    sendToGate("caller", index, [this, request, index, isOpen] {
        const std::optional<std::string> ticket = m_gates[index].decisions->issueTicket(m_time.now(), customer_id("trust"));
        m_network.send(gateName(index), "caller", [this, request, index, ticket, isOpen] {
            if (ticket && std::exchange(*isOpen, false)) {
                m_calls[request].ticket = *ticket;
                m_calls[request].home = index;
                send(request);
            }
        });
    });
    m_time.after(std::chrono::milliseconds(500), [this, request, tries, isOpen] {
        if (std::exchange(*isOpen, false)) {
            askTicket(request, tries + 1);
        }
    });
}

template<class Keys>
void once_world<Keys>::send(std::size_t request)
{
    call &self = m_calls[request];
    if (self.isOver) {
        return;
    }
    if (self.sends == m_options.maximumSends) {
        self.isOver = true;
        return;
    }
    const bool goesHome = m_options.way == request_way::Ticket && self.sends == 0 && !m_random.chance(m_options.elsewhere);
    const std::size_t index = goesHome ? self.home : m_random.below(m_gates.size());
    ++self.sends;
    const std::uint64_t round = ++self.round;
    const send_message message{ request, self.attempt, self.ticket, false };
    deliver(index, message, round);
    if (m_options.hasFaults && m_random.chance(0.01)) {
        // A copy that was held up on its way, with nobody left to read its answer.
        m_time.after(fromSeconds(m_random.uniform(0.1, 15)), [this, message] {
            deliver(m_random.below(m_gates.size()), message, 0);
        });
    }
    m_time.after(m_options.callerTimeout, [this, request, round] {
        if (m_calls[request].round == round) {
            send(request);
        }
    });
}

template<class Keys>
void once_world<Keys>::deliver(std::size_t index, const send_message &message, std::uint64_t round)
{
    sendToGate("caller", index, [this, index, message, round] {
        receive(index, message, [this, index, message, round](const reply_message &answer) {
            m_network.send(gateName(index), "caller", [this, message, round, answer] {
                hear(message, round, answer);
            });
        });
    });
}

template<class Keys>
void once_world<Keys>::hear(const send_message &message, std::uint64_t round, const reply_message &answer)
{
    call &self = m_calls[message.request];
    if (round == 0 || self.round != round || self.isOver) {
        return;
    }
    m_crossed += answer.request != message.request ? 1 : 0;
    ++self.round;
    self.end = answer.error;
    const error_answer &row = answerFor(answer.error);
    if (row.outcome == request_outcome::NotRun) {
        self.toldNotRun.push_back(message.attempt);
        ++self.attempt;
    }
    constexpr std::uint32_t maximumAttempts = 3;
    const bool mayRaise = Keys::isPermanent && self.attempt < maximumAttempts;
    const bool goesOn = answer.error != error_kind::None && row.retrySafe && (row.outcome != request_outcome::NotRun || mayRaise);
    if (!goesOn) {
        self.isOver = true;
        return;
    }
    m_time.after(fromSeconds(0.25 * m_random.uniform(0.5, 1.5) * static_cast<double>(1U << static_cast<unsigned>(self.sends))),
                 [this, request = message.request] {
                     send(request);
                 });
}

template<class Keys>
void once_world<Keys>::planFaults(time_point end)
{
    repeat(m_options.crashEvery, end, [this] {
        crash(m_random.below(m_gates.size()));
    });
    repeat(m_options.pauseEvery, end, [this] {
        m_gates[m_random.below(m_gates.size())].pausedUntil = m_time.now() + fromSeconds(std::min(40.0, m_random.exponential(5)));
    });
    repeat(m_options.cutEvery, end, [this] {
        cutZone(m_random.below(4), m_random.chance(0.5));
    });
    repeat(m_options.crashEvery, end, [this] {
        const std::size_t server = m_random.below(m_options.servers);
        m_serversDown.insert(server);
        m_time.after(std::chrono::seconds(3), [this, server] {
            m_serversDown.erase(server);
        });
    });
    repeat(m_options.outageEvery, end, [this] {
        m_store.isDown = true;
        m_time.after(m_options.outageTime, [this] {
            m_store.isDown = false;
        });
    });
}

template<class Keys>
void once_world<Keys>::repeat(duration mean, time_point end, std::function<void()> action)
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
void once_world<Keys>::crash(std::size_t index)
{
    gate &self = m_gates[index];
    if (!self.isUp) {
        return;
    }
    self.isUp = false;
    self.waiting.clear();
    self.decisions.reset();
    m_time.after(fromSeconds(m_random.uniform(1, 5)), [this, index] {
        start(index);
    });
}

template<class Keys>
void once_world<Keys>::cutZone(std::size_t zone, bool isTwoWay)
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
once_outcome once_world<Keys>::judge(duration busy)
{
    once_outcome outcome;
    for (std::size_t request = 0; request < m_calls.size(); ++request) {
        const call &each = m_calls[request];
        const request_outcome told = answerFor(each.end).outcome;
        outcome.answered += each.end == error_kind::None ? 1 : 0;
        outcome.refused += told == request_outcome::NotRun ? 1 : 0;
        outcome.unknown += told == request_outcome::Unknown ? 1 : 0;
        outcome.begunInOutage += each.isBegunInOutage ? 1 : 0;
        outcome.answeredOfOutage += each.isBegunInOutage && each.end == error_kind::None ? 1 : 0;
        outcome.ran += each.runs.empty() ? 0 : 1;
        const bool isTwice = each.runs.size() > 1;
        bool isFalse = false;
        for (const std::uint32_t attempt : each.toldNotRun) {
            isFalse = isFalse || std::any_of(each.runs.begin(), each.runs.end(), [attempt](std::uint32_t run) {
                          return run <= attempt;
                      });
        }
        outcome.runTwice += isTwice ? 1 : 0;
        outcome.falseNotRun += isFalse ? 1 : 0;
        if ((isTwice || isFalse) && outcome.firstViolation.empty()) {
            outcome.firstViolation = "request " + std::to_string(request) + " of seed " + std::to_string(m_options.seed);
        }
    }
    outcome.crossed = m_crossed;
    outcome.forwarded = m_forwarded;
    outcome.storeCalls = m_store.calls();
    outcome.seconds = toSeconds(busy);
    return outcome;
}

} // namespace reedtrail::testing
