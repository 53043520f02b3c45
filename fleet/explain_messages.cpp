// The response holds the age of each decision in place of its time, because the clocks of two processes cannot be compared.

#include "fleet/explain_messages.h"

#include <array>

namespace reedtrail {

std::vector<explained_decision>
collectDecisions(const decision_log &log, std::string_view subject, std::string_view id, time_point now, const node_id &node, std::string_view role)
{
    constexpr std::array<subject_kind, 7> kinds{ subject_kind::Request, subject_kind::Slot, subject_kind::Run,     subject_kind::Change,
                                                 subject_kind::Server,  subject_kind::Node, subject_kind::Customer };
    std::vector<explained_decision> found;
    for (const subject_kind kind : kinds) {
        if (subjectName(kind) != subject) {
            continue;
        }
        for (const decision_record &record : log.about(kind, id)) {
            explained_decision explained;
            explained.node = node;
            explained.role = role;
            explained.agoMs = std::chrono::duration_cast<std::chrono::milliseconds>(now - record.at).count();
            explained.decision = decisionName(record.kind);
            explained.cause = answerFor(record.cause).name;
            explained.detail = record.detail;
            found.push_back(std::move(explained));
        }
    }
    return found;
}

} // namespace reedtrail
