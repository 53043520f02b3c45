// The staleness of a sample is a number of steps. The newest version for step s (from 1) is s + firstVersion - 1, or s if firstVersion is 0. The staleness is
// that version minus the oldest version among the sample's tokens, or 0 if the difference is negative.

#include "standins/trainer_ledger.h"

#include "standins/engine_model.h"

#include <algorithm>

namespace reedtrail {
namespace {

std::uint64_t numberAt(const nlohmann::json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_number() ? found->get<std::uint64_t>() : 0;
}

/** Returns step, group and index of a sample's slot. */
std::tuple<std::uint64_t, std::uint64_t, std::uint64_t> slotOf(const nlohmann::json &sample)
{
    const nlohmann::json slot = sample.value("slot", nlohmann::json::object());
    return { numberAt(slot, "step"), numberAt(slot, "group"), numberAt(slot, "index") };
}

/** Returns the parts of a response that must be equal when a pull is repeated. */
nlohmann::json identityOf(const nlohmann::json &answer)
{
    nlohmann::json identity = nlohmann::json::array();
    for (const nlohmann::json &sample : answer.value("samples", nlohmann::json::array())) {
        identity.push_back({ sample.value("slot", nlohmann::json()), numberAt(sample, "draft"), numberAt(sample, "tokens") });
    }
    return identity;
}

} // namespace

trainer_ledger::trainer_ledger(std::string run, trainer_expectation expectation)
    : m_run(std::move(run))
    , m_expectation(expectation)
{
}

bool trainer_ledger::accept(const nlohmann::json &answer)
{
    const nlohmann::json samples = answer.value("samples", nlohmann::json::array());
    if (!m_hasStep && answer.contains("step")) {
        m_step = numberAt(answer, "step");
        m_hasStep = true;
    }
    for (const nlohmann::json &sample : samples) {
        acceptSample(sample);
    }
    m_isReportedComplete = m_isReportedComplete || (numberAt(answer, "step") == m_step && answer.value("isStepComplete", false));
    return !samples.empty();
}

void trainer_ledger::acceptSample(const nlohmann::json &sample)
{
    const auto slot = slotOf(sample);
    const std::uint64_t step = std::get<0>(slot);
    const std::string run = sample.value("slot", nlohmann::json::object()).value("run", m_run);
    if (run != m_run || step < m_step) {
        ++m_counts.foreign;
        return;
    }
    if (!m_receivedSlots.insert(slot).second) {
        ++m_counts.doubled;
        return;
    }
    ++m_counts.delivered;
    ++m_samplesPerStep[step];
    checkVersions(sample, step);
    checkText(sample);
}

void trainer_ledger::checkVersions(const nlohmann::json &sample, std::uint64_t sampleStep)
{
    std::uint64_t oldest = UINT64_MAX;
    std::uint64_t covered = 0;
    bool isContiguous = true;
    for (const nlohmann::json &range : sample.value("versions", nlohmann::json::array())) {
        oldest = std::min(oldest, numberAt(range, "version"));
        isContiguous = isContiguous && numberAt(range, "from") == covered;
        covered = numberAt(range, "to");
    }
    if (oldest == UINT64_MAX || oldest == 0 || !isContiguous || covered != numberAt(sample, "tokens")) {
        ++m_counts.unattributed;
        return;
    }
    const std::uint64_t current = sampleStep + (m_expectation.firstVersion > 0 ? m_expectation.firstVersion - 1 : 0);
    const std::uint64_t staleness = current > oldest ? current - oldest : 0;
    m_counts.stalenessSum += staleness;
    m_counts.oldestStaleness = std::max(m_counts.oldestStaleness, staleness);
    m_counts.overBound += staleness > m_expectation.stalenessBound ? 1 : 0;
}

void trainer_ledger::checkText(const nlohmann::json &sample)
{
    const nlohmann::json payload = sample.value("payload", sample);
    if (!payload.is_object() || !payload.contains("text") || !payload.contains("prompt")) {
        return;
    }
    const std::string prompt = payload["prompt"];
    std::string expected;
    for (std::uint64_t i = 0; i < numberAt(sample, "tokens"); ++i) {
        expected += tokenText(prompt, i);
    }
    m_counts.garbled += payload["text"] == expected ? 0 : 1;
}

void trainer_ledger::compareRepeat(const nlohmann::json &first, const nlohmann::json &second)
{
    m_counts.changed += identityOf(first) == identityOf(second) ? 0 : 1;
}

bool trainer_ledger::isStepComplete() const
{
    const auto found = m_samplesPerStep.find(m_step);
    const std::uint64_t count = found == m_samplesPerStep.end() ? 0 : found->second;
    return m_isReportedComplete || count >= m_expectation.samplesPerStep;
}

void trainer_ledger::closeStep()
{
    const std::uint64_t count = m_samplesPerStep[m_step];
    if (count < m_expectation.samplesPerStep) {
        m_counts.lost += m_expectation.samplesPerStep - count;
    } else {
        ++m_counts.stepsCompleted;
    }
    ++m_step;
    m_isReportedComplete = false;
}

bool trainer_ledger::hasViolation() const
{
    const trainer_counts &totals = m_counts;
    return totals.doubled + totals.lost + totals.overBound + totals.unattributed + totals.garbled + totals.foreign + totals.changed > 0;
}

nlohmann::json trainer_ledger::summary() const
{
    const trainer_counts &totals = m_counts;
    const double mean = totals.delivered == 0 ? 0 : static_cast<double>(totals.stalenessSum) / static_cast<double>(totals.delivered);
    return { { "run", m_run },
             { "steps", totals.stepsCompleted },
             { "delivered", totals.delivered },
             { "doubled", totals.doubled },
             { "lost", totals.lost },
             { "overBound", totals.overBound },
             { "unattributed", totals.unattributed },
             { "garbled", totals.garbled },
             { "foreign", totals.foreign },
             { "changed", totals.changed },
             { "oldestStaleness", totals.oldestStaleness },
             { "meanStaleness", mean } };
}

} // namespace reedtrail
