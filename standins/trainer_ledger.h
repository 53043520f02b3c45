/**
 * @file
 * What a trainer has received, and whether the promises hold: each slot once, versions named, none over the staleness bound. Pure.
 *
 *     trainer_ledger ledger({.samplesPerStep = 16, .stalenessBound = 2});
 *     ledger.accept(pullAnswer);
 *     if (ledger.isStepWhole()) { ledger.beginNextStep(); }
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

/** What a trainer expects. */
struct trainer_expectation
{
    std::uint64_t samplesPerStep = 16;
    std::uint64_t stalenessBound = 2; ///< Most steps that a sample's oldest version may lie behind the step.
    std::uint64_t firstVersion = 1; ///< Version that the first step is drawn with.
};

/** Counts of what was received. */
struct trainer_counts
{
    std::uint64_t delivered = 0;
    std::uint64_t doubled = 0; ///< Slots that came a second time under another pull number.
    std::uint64_t lost = 0; ///< Slots missing when the step was said to be complete.
    std::uint64_t overBound = 0;
    std::uint64_t unattributed = 0; ///< Samples without versions, or with an unknown one, or whose ranges do not cover their tokens.
    std::uint64_t garbled = 0; ///< Samples whose text is not what an engine makes for their prompt.
    std::uint64_t foreign = 0; ///< Samples of another run or step.
    std::uint64_t changed = 0; ///< Pull numbers that were answered differently when asked again.
    std::uint64_t oldestStaleness = 0; ///< Most steps that any sample lay behind.
    std::uint64_t stalenessSum = 0;
    std::uint64_t stepsWhole = 0;
};

/** The ledger of one run. */
class trainer_ledger
{
public:
    trainer_ledger(std::string run, trainer_expectation expectation);

    /** Takes the answer to a pull. @param answer its JSON body @return false if it holds no samples */
    bool accept(const nlohmann::json &answer);
    /** Compares the answer to a repeated pull with the first one. */
    void compareRepeat(const nlohmann::json &first, const nlohmann::json &second);
    /** Tells whether the current step has all its samples, or was said to be complete. */
    bool isStepWhole() const;
    /** Closes the current step: counts what is missing. */
    void closeStep();
    std::uint64_t step() const
    {
        return m_step;
    }
    const trainer_counts &counts() const
    {
        return m_counts;
    }
    /** Tells whether any promise was broken. */
    bool isBroken() const;
    /** Returns the counts as JSON. */
    nlohmann::json summary() const;

private:
    void acceptSample(const nlohmann::json &sample);
    void checkVersions(const nlohmann::json &sample, std::uint64_t sampleStep);
    void checkText(const nlohmann::json &sample);

    std::string m_run;
    trainer_expectation m_expectation;
    trainer_counts m_counts;
    std::set<std::tuple<std::uint64_t, std::uint64_t, std::uint64_t>> m_seen; ///< Step, group, index.
    std::map<std::uint64_t, std::uint64_t> m_perStep;
    std::uint64_t m_step = 0;
    bool m_hasStep = false;
    bool m_isSaidComplete = false;
};

} // namespace reedtrail
