// Simulated trainers of the fake fleet. A trainer pulls samples, compares them with the record of the engines, trains, and publishes the next weight version.

#include "sampling/sample_check.h"
#include "sampling/testing/fake_fleet.h"

#include <algorithm>

namespace reedtrail::harness {
namespace {

constexpr duration pullTimeout = std::chrono::seconds(4);
constexpr duration pullRetryDelay = std::chrono::milliseconds(200);
constexpr std::int64_t pullWaitMs = 2000;

} // namespace

void fake_fleet::pull(const run_id &run)
{
    trainer &state = m_trainers.at(run);
    if (state.isTraining) {
        return;
    }
    const std::uint64_t attempt = ++state.attempt;
    sendPull(run, m_random.below(m_nodes.size()), attempt);
    if (m_random.chance(m_options.duplicatePullRate)) {
        sendPull(run, m_random.below(m_nodes.size()), attempt); // The same trainer pulls over a second connection.
    }
    m_clock.after(pullTimeout, [this, run, attempt] {
        if (m_trainers.at(run).attempt == attempt) {
            pull(run);
        }
    });
}

void fake_fleet::sendPull(const run_id &run, std::size_t gate, std::uint64_t attempt)
{
    const trainer &state = m_trainers.at(run);
    const pull_question question{ run, state.nextPull, state.nextPull - 1, pullWaitMs };
    const std::optional<std::size_t> owner = ownerOf(run);
    if (!owner) {
        return;
    }
    const std::string gateName = m_nodes[gate].name;
    const auto onAnswer = [this, run, gate, owner = *owner, attempt](const pull_answer &answer) {
        m_network.send(m_nodes[owner].name, m_nodes[gate].name, [this, run, gate, owner, attempt, answer] {
            runOnNode(gate, m_nodes[gate].incarnation, [this, run, gate, owner, attempt, answer] {
                readPayloads(run, gate, owner, attempt, answer);
            });
        });
    };
    m_network.send("trainer", gateName, [this, run, gate, owner = *owner, question, onAnswer] {
        runOnNode(gate, m_nodes[gate].incarnation, [this, run, gate, owner, question, onAnswer] {
            m_network.send(m_nodes[gate].name, m_nodes[owner].name, [this, run, owner, question, onAnswer] {
                runOnNode(owner, m_nodes[owner].incarnation, [this, run, owner, question, onAnswer] {
                    const pull_token token = m_nextPullToken++;
                    m_pendingPulls[token] = onAnswer;
                    notifyOwner(owner, run, run_event::pull_requested{ token, question });
                });
            });
        });
    });
}

void fake_fleet::readPayloads(const run_id &run, std::size_t gate, std::size_t owner, std::uint64_t attempt, const pull_answer &answer)
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
            runOnNode(owner, m_nodes[owner].incarnation, [this, run, owner, sample] {
                notifyOwner(owner, run, run_event::payload_lost{ sample.slot, sample.draft });
            });
        });
    }
    if (isWhole) {
        m_network.send(m_nodes[gate].name, "trainer", [this, run, attempt, answer] {
            onPullAnswered(run, attempt, answer);
        });
    }
}

void fake_fleet::onPullAnswered(const run_id &run, std::uint64_t attempt, const pull_answer &answer)
{
    trainer &state = m_trainers.at(run);
    if (!answer.samples.empty()) {
        std::vector<slot_id> slots;
        for (const sealed_sample &sample : answer.samples) {
            slots.push_back(sample.slot);
        }
        const auto [known, isNew] = state.answeredSlots.emplace(answer.number, slots);
        state.stats.changedAnswers += !isNew && known->second != slots ? 1 : 0;
    }
    if (answer.number == state.nextPull && !answer.samples.empty()) {
        acceptBatch(state, answer);
        pull(run);
        return;
    }
    if (attempt == state.attempt && answer.number == state.nextPull) {
        ++state.attempt;
        m_clock.after(answer.error == "none" ? duration(1) : pullRetryDelay, [this, run, next = state.attempt] {
            if (m_trainers.at(run).attempt == next) {
                pull(run);
            }
        });
    }
}

void fake_fleet::acceptBatch(trainer &state, const pull_answer &answer)
{
    ++state.nextPull;
    state.stats.deliveryTimes.push_back(m_clock.now());
    for (const sealed_sample &sample : answer.samples) {
        checkSample(state, sample);
    }
    state.receivedInStep += answer.samples.size();
    if (answer.isStepComplete) {
        const auto expected = static_cast<std::size_t>(state.settings.groups * state.settings.groupSize);
        state.stats.lost += expected - std::min(expected, state.receivedInStep);
        beginTraining(state);
    }
}

void fake_fleet::checkSample(trainer &state, const sealed_sample &sample)
{
    trainer_stats &stats = state.stats;
    ++stats.delivered;
    stats.duplicated += state.receivedSlots.insert(sample.slot).second ? 0 : 1;
    const std::uint64_t behind = stepsBehind(state.step, oldestVersion(sample.versions));
    stats.totalStaleness += behind;
    stats.overBound += behind > static_cast<std::uint64_t>(state.settings.stalenessBound) || sample.slot.step != state.step ? 1 : 0;
    stats.wrongVersions += m_generatedPayloads.at(sample.payloadKey).versions != sample.versions ? 1 : 0;
    stats.totalTokens += sample.tokens;
    stats.sampleLengths.push_back(sample.tokens);
}

void fake_fleet::beginTraining(trainer &state)
{
    const duration waited = m_clock.now() - state.waitingSince;
    trainer_stats &stats = state.stats;
    stats.idleTime += stats.completedSteps > 0 ? waited : duration::zero();
    stats.longestStepWait = std::max(stats.longestStepWait, waited);
    ++stats.completedSteps;
    ++state.step;
    state.receivedInStep = 0;
    state.isTraining = true;
    ++state.attempt;
    m_clock.after(state.trainTime, [this, run = state.settings.id] {
        trainer &trained = m_trainers.at(run);
        ++trained.publishedVersion;
        trained.isTraining = false;
        trained.waitingSince = m_clock.now();
        publishVersion(run);
        pull(run);
    });
}

} // namespace reedtrail::harness
