/**
 * @file
 * How a steward gathers the decisions about one subject from all processes, for `GET /v1/explain`.
 */
#pragma once

#include "base/decision_log.h"
#include "base/ids.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

/** Asks a process for what it decided about a subject. */
struct explain_question
{
    static constexpr std::string_view messageName = "explain-question";
    std::string subject; ///< Name of the subject kind.
    std::string id;
    bool isRelayed = false; ///< A steward asked by another steward also asks the gate of its node, and nobody else.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(explain_question, subject, id, isRelayed)
};

/** One decision, as shown to operators. */
struct explained_decision
{
    node_id node;
    std::string role; ///< "gate", "steward" or "spool".
    std::int64_t agoMs = 0; ///< Before the answer was made; clocks of two processes cannot be compared.
    std::string decision;
    std::string cause;
    std::string detail;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(explained_decision, node, role, agoMs, decision, cause, detail)
};

/** The answer, oldest decision first. */
struct explain_answer
{
    static constexpr std::string_view messageName = "explain-answer";
    std::vector<explained_decision> decisions;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(explain_answer, decisions)
};

/** Returns what @p log holds about a subject. @param subject name of the subject kind; one that is not known has no decisions */
std::vector<explained_decision>
explainFrom(const decision_log &log, std::string_view subject, std::string_view id, time_point now, const node_id &node, std::string_view role);

} // namespace reedtrail
