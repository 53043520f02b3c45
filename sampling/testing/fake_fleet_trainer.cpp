// Trainers of the fake fleet: they pull, compare what they get with the engines' record, train, and publish the next version.

#include "sampling/sample_check.h"
#include "sampling/testing/fake_fleet.h"

#include <algorithm>

namespace reedtrail::harness {
namespace {

constexpr duration pullTimeout = std::chrono::seconds(4);
constexpr duration pullRetry = std::chrono::milliseconds(200);
constexpr std::int64_t pullWaitMs = 2000;

} // namespace

void fake_fleet::pull(const run_id &run)
{
    trainer &each = m_trainers.at(run);
    if (each.isTraining) {
        return;
    }
    const std::uint64_t turn = ++each.turn;
    ask(run, m_random.below(m_nodes.size()), turn);
    if (m_random.chance(m_options.pullRepeat)) {
        ask(run, m_random.below(m_nodes.size()), turn); // A second socket of the same trainer.
    }
    m_world.after(pullTimeout, [this, run, turn] {
        if (m_trainers.at(run).turn == turn) {
            pull(run);
        }
    });
}

void fake_fleet::ask(const run_id &run, std::size_t gate, std::uint64_t turn)
{
    const trainer &each = m_trainers.at(run);
    const pull_question question{ run, each.number, each.number - 1, pullWaitMs };
    const std::optional<std::size_t> owner = ownerOf(run);
    if (!owner) {
        return;
    }
    const std::string gateName = m_nodes[gate].name;
    const auto onAnswer = [this, run, gate, owner = *owner, turn](const pull_answer &answer) {
        m_network.send(m_nodes[owner].name, m_nodes[gate].name, [this, run, gate, owner, turn, answer] {
            deliver(gate, m_nodes[gate].life, [this, run, gate, owner, turn, answer] {
                readPayloads(run, gate, owner, turn, answer);
            });
        });
    };
    m_network.send("trainer", gateName, [this, run, gate, owner = *owner, question, onAnswer] {
        deliver(gate, m_nodes[gate].life, [this, run, gate, owner, question, onAnswer] {
            m_network.send(m_nodes[gate].name, m_nodes[owner].name, [this, run, owner, question, onAnswer] {
                deliver(owner, m_nodes[owner].life, [this, run, owner, question, onAnswer] {
                    const pull_token token = m_nextToken++;
                    m_pulls[token] = onAnswer;
                    tellOwner(owner, run, run_event::pull_requested{ token, question });
                });
            });
        });
    });
}

void fake_fleet::readPayloads(const run_id &run, std::size_t gate, std::size_t owner, std::uint64_t turn, const pull_answer &answer)
{
    bool isWhole = true;
    for (const sealed_sample &sample : answer.samples) {
        const auto spool = std::ranges::find(m_nodes, sample.spoolNode.str(), &node::name);
        if (!spool->isUp || spool->isPaused) {
            isWhole = false;
            continue;
        }
        const auto stored = spool->payloads.find({ run, sample.slot.step });
        if (stored != spool->payloads.end() && stored->second.contains(sample.payloadKey)) {
            continue;
        }
        isWhole = false;
        m_network.send(m_nodes[gate].name, m_nodes[owner].name, [this, run, owner, sample] {
            deliver(owner, m_nodes[owner].life, [this, run, owner, sample] {
                tellOwner(owner, run, run_event::payload_lost{ sample.slot, sample.draft });
            });
        });
    }
    if (isWhole) {
        m_network.send(m_nodes[gate].name, "trainer", [this, run, turn, answer] {
            answered(run, turn, answer);
        });
    }
}

void fake_fleet::answered(const run_id &run, std::uint64_t turn, const pull_answer &answer)
{
    trainer &each = m_trainers.at(run);
    if (!answer.samples.empty()) {
        std::vector<slot_id> slots;
        for (const sealed_sample &sample : answer.samples) {
            slots.push_back(sample.slot);
        }
        const auto [known, isNew] = each.answered.emplace(answer.number, slots);
        each.record.changed += !isNew && known->second != slots ? 1 : 0;
    }
    if (answer.number == each.number && !answer.samples.empty()) {
        accept(each, answer);
        pull(run);
        return;
    }
    if (turn == each.turn && answer.number == each.number) {
        ++each.turn;
        m_world.after(answer.error == "none" ? duration(1) : pullRetry, [this, run, next = each.turn] {
            if (m_trainers.at(run).turn == next) {
                pull(run);
            }
        });
    }
}

void fake_fleet::accept(trainer &each, const pull_answer &answer)
{
    ++each.number;
    each.record.deliveries.push_back(m_world.now());
    for (const sealed_sample &sample : answer.samples) {
        checkSample(each, sample);
    }
    each.received += answer.samples.size();
    if (answer.isStepComplete) {
        const auto expected = static_cast<std::size_t>(each.settings.groups * each.settings.groupSize);
        each.record.lost += expected - std::min(expected, each.received);
        beginTraining(each);
    }
}

void fake_fleet::checkSample(trainer &each, const sealed_sample &sample)
{
    trainer_record &record = each.record;
    ++record.delivered;
    record.doubled += each.seen.insert(sample.slot).second ? 0 : 1;
    const std::uint64_t behind = stepsBehind(each.step, oldestVersion(sample.versions));
    record.stalenessSum += behind;
    record.overBound += behind > static_cast<std::uint64_t>(each.settings.stalenessBound) || sample.slot.step != each.step ? 1 : 0;
    record.untrue += m_truth.at(sample.payloadKey).versions != sample.versions ? 1 : 0;
    record.tokensSum += sample.tokens;
    record.lengths.push_back(sample.tokens);
}

void fake_fleet::beginTraining(trainer &each)
{
    const duration waited = m_world.now() - each.wantedAt;
    trainer_record &record = each.record;
    record.idle += record.stepsWhole > 0 ? waited : duration::zero();
    record.longestStep = std::max(record.longestStep, waited);
    ++record.stepsWhole;
    ++each.step;
    each.received = 0;
    each.isTraining = true;
    ++each.turn;
    m_world.after(each.trainTime, [this, run = each.settings.id] {
        trainer &trained = m_trainers.at(run);
        ++trained.published;
        trained.isTraining = false;
        trained.wantedAt = m_world.now();
        publish(run);
        pull(run);
    });
}

} // namespace reedtrail::harness
