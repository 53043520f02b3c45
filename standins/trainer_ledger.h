/**
 * @file
 * Verifies the samples that a trainer receives: each slot is delivered exactly once, the weight version of each token is known, and no sample exceeds the
 * staleness bound. It does no I/O.
 *
 *     trainer_ledger ledger("run-1", {.samplesPerStep = 16, .stalenessBound = 2});
 *     ledger.accept(pullAnswer);
 *     if (ledger.isStepComplete()) { ledger.closeStep(); }
 */
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace reedtrail {

/** Expectations that the samples of a run are checked against. */
struct trainer_expectation
{
    std::uint64_t samplesPerStep = 16;
    std::uint64_t stalenessBound = 2; ///< Largest number of steps that the oldest weight version of a sample may lie behind the sample's step.
    std::uint64_t firstVersion = 1; ///< Weight version in use during the first step.
};

/** Counts of received samples and of violations. */
struct trainer_counts
{
    std::uint64_t delivered = 0;
    std::uint64_t doubled = 0; ///< Slots that were delivered a second time under another pull number.
    std::uint64_t lost = 0; ///< Slots that were missing when the step was reported complete.
    std::uint64_t overBound = 0; ///< Samples over the staleness bound.
    std::uint64_t unattributed = 0; ///< Samples without versions, with an unknown version, or whose version ranges do not cover all tokens.
    std::uint64_t garbled = 0; ///< Samples whose text differs from what an engine generates for their prompt.
    std::uint64_t foreign = 0; ///< Samples of another run or of an earlier step.
    std::uint64_t changed = 0; ///< Pull numbers whose repeated request returned other samples than the first one.
    std::uint64_t oldestStaleness = 0; ///< Largest staleness of any sample, in steps.
    std::uint64_t stalenessSum = 0; ///< Sum of the staleness of all samples with valid versions, in steps.
    std::uint64_t stepsCompleted = 0;
};

/** Verifier of the samples of one run. */
class trainer_ledger
{
public:
    trainer_ledger(std::string run, trainer_expectation expectation);

    /** Checks the response to a pull. @param answer its JSON body @return false if it contains no samples */
    bool accept(const nlohmann::json &answer);
    /** Compares the response to a repeated pull with the first response. */
    void compareRepeat(const nlohmann::json &first, const nlohmann::json &second);
    /** Returns whether the current step has all its samples or was reported complete. */
    bool isStepComplete() const;
    /** Ends the current step, counts its missing samples as lost, and begins the next step. */
    void closeStep();
    std::uint64_t step() const
    {
        return m_step;
    }
    const trainer_counts &counts() const
    {
        return m_counts;
    }
    /** Returns whether any check has failed. */
    bool hasViolation() const;
    /** Returns the counts as a JSON object. */
    nlohmann::json summary() const;

private:
    void acceptSample(const nlohmann::json &sample);
    void checkVersions(const nlohmann::json &sample, std::uint64_t sampleStep);
    void checkText(const nlohmann::json &sample);

    std::string m_run;
    trainer_expectation m_expectation;
    trainer_counts m_counts;
    std::set<std::tuple<std::uint64_t, std::uint64_t, std::uint64_t>> m_receivedSlots; ///< Step, group and index of each received slot.
    std::map<std::uint64_t, std::uint64_t> m_samplesPerStep;
    std::uint64_t m_step = 0;
    bool m_hasStep = false;
    bool m_isReportedComplete = false;
};

} // namespace reedtrail
