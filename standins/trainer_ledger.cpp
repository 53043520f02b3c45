// Staleness of a sample is counted in steps: version firstVersion + k is published after k steps, so a sample of step s (counted from the first step
// seen) whose oldest version is v lies (s + firstVersion) - v behind.

#include "standins/trainer_ledger.h"

#include "standins/engine_model.h"

#include <algorithm>

namespace reedtrail {
namespace {

std::uint64_t numberOf(const nlohmann::json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_number() ? found->get<std::uint64_t>() : 0;
}

/** The slot of a sample in the order of comparison. */
std::tuple<std::uint64_t, std::uint64_t, std::uint64_t> slotOf(const nlohmann::json &sample)
{
    const nlohmann::json slot = sample.value("slot", nlohmann::json::object());
    return { numberOf(slot, "step"), numberOf(slot, "group"), numberOf(slot, "index") };
}

/** What must be the same when a pull is repeated. */
nlohmann::json identityOf(const nlohmann::json &answer)
{
    nlohmann::json identity = nlohmann::json::array();
    for (const nlohmann::json &sample : answer.value("samples", nlohmann::json::array())) {
        identity.push_back({ sample.value("slot", nlohmann::json()), numberOf(sample, "draft"), numberOf(sample, "tokens") });
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
        m_step = numberOf(answer, "step");
        m_hasStep = true;
    }
    for (const nlohmann::json &sample : samples) {
        acceptSample(sample);
    }
    m_isSaidComplete = m_isSaidComplete || (numberOf(answer, "step") == m_step && answer.value("isStepComplete", false));
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
    if (!m_seen.insert(slot).second) {
        ++m_counts.doubled;
        return;
    }
    ++m_counts.delivered;
    ++m_perStep[step];
    checkVersions(sample, step);
    checkText(sample);
}

void trainer_ledger::checkVersions(const nlohmann::json &sample, std::uint64_t sampleStep)
{
    std::uint64_t oldest = UINT64_MAX;
    std::uint64_t covered = 0;
    bool isWhole = true;
    for (const nlohmann::json &range : sample.value("versions", nlohmann::json::array())) {
        oldest = std::min(oldest, numberOf(range, "version"));
        isWhole = isWhole && numberOf(range, "from") == covered;
        covered = numberOf(range, "to");
    }
    if (oldest == UINT64_MAX || oldest == 0 || !isWhole || covered != numberOf(sample, "tokens")) {
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
    for (std::uint64_t i = 0; i < numberOf(sample, "tokens"); ++i) {
        expected += tokenText(prompt, i);
    }
    m_counts.garbled += payload["text"] == expected ? 0 : 1;
}

void trainer_ledger::compareRepeat(const nlohmann::json &first, const nlohmann::json &second)
{
    m_counts.changed += identityOf(first) == identityOf(second) ? 0 : 1;
}

bool trainer_ledger::isStepWhole() const
{
    const auto found = m_perStep.find(m_step);
    const std::uint64_t count = found == m_perStep.end() ? 0 : found->second;
    return m_isSaidComplete || count >= m_expectation.samplesPerStep;
}

void trainer_ledger::closeStep()
{
    const std::uint64_t count = m_perStep[m_step];
    if (count < m_expectation.samplesPerStep) {
        m_counts.lost += m_expectation.samplesPerStep - count;
    } else {
        ++m_counts.stepsWhole;
    }
    ++m_step;
    m_isSaidComplete = false;
}

bool trainer_ledger::isBroken() const
{
    const trainer_counts &c = m_counts;
    return c.doubled + c.lost + c.overBound + c.unattributed + c.garbled + c.foreign + c.changed > 0;
}

nlohmann::json trainer_ledger::summary() const
{
    const trainer_counts &c = m_counts;
    const double mean = c.delivered == 0 ? 0 : static_cast<double>(c.stalenessSum) / static_cast<double>(c.delivered);
    return { { "run", m_run },
             { "steps", c.stepsWhole },
             { "delivered", c.delivered },
             { "doubled", c.doubled },
             { "lost", c.lost },
             { "overBound", c.overBound },
             { "unattributed", c.unattributed },
             { "garbled", c.garbled },
             { "foreign", c.foreign },
             { "changed", c.changed },
             { "oldestStaleness", c.oldestStaleness },
             { "meanStaleness", mean } };
}

} // namespace reedtrail
