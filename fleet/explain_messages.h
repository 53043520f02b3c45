/**
 * @file
 * Messages with which a steward collects the logged decisions about one subject from all processes, for `GET /v1/explain`.
 */
#pragma once

#include "base/decision_log.h"
#include "base/ids.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

/** Requests the decisions that a process has logged about a subject. */
struct explain_question
{
    static constexpr std::string_view messageName = "explain-question";
    std::string subject; ///< Name of the subject kind.
    std::string id; ///< Id of the subject within its kind.
    bool isRelayed = false; ///< Set by a steward that asks another one. The receiver then also asks the gate of its node, but no further steward.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(explain_question, subject, id, isRelayed)
};

/** One logged decision, in the form shown to operators. */
struct explained_decision
{
    node_id node;
    std::string role; ///< Process that made the decision: "gate", "steward" or "spool".
    std::int64_t agoMs =
        0; ///< Age of the decision in milliseconds when the response was made. An age is sent because clocks of two processes cannot be compared.
    std::string decision;
    std::string cause;
    std::string detail;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(explained_decision, node, role, agoMs, decision, cause, detail)
};

/** Response to an explain_question, with the oldest decision first. */
struct explain_answer
{
    static constexpr std::string_view messageName = "explain-answer";
    std::vector<explained_decision> decisions;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(explain_answer, decisions)
};

/**
 * Returns the decisions in @p log about a subject.
 * @param subject name of the subject kind; an unknown name gives an empty result
 * @param id id of the subject within its kind
 * @param now time from which the ages are computed
 * @param node node of this process
 * @param role role of this process: "gate", "steward" or "spool"
 */
std::vector<explained_decision>
collectDecisions(const decision_log &log, std::string_view subject, std::string_view id, time_point now, const node_id &node, std::string_view role);

} // namespace reedtrail
