// A ring rather than a file: most VMs have no disk, and an operator asks about the last minutes. What must outlive the process (accepted changes)
// is written to the platform's store by its own subsystem, not here.

#include "base/decision_log.h"

#include <algorithm>
#include <array>

namespace reedtrail {
namespace {

constexpr std::array<std::string_view, 22> decisionNames{ "admitted", "refused", "routed",    "moved",   "retried", "cancelled", "ejected", "returned",
                                                          "answered", "sealed",  "delivered", "dropped", "fenced",  "took-over", "gave-up", "ordered",
                                                          "accepted", "adopted", "suspected", "joined",  "left",    "drained" };
constexpr std::array<std::string_view, 7> subjectNames{ "request", "slot", "run", "change", "server", "node", "customer" };

} // namespace

std::string_view decisionName(decision_kind kind)
{
    return decisionNames[static_cast<std::size_t>(kind)];
}

std::string_view subjectName(subject_kind kind)
{
    return subjectNames[static_cast<std::size_t>(kind)];
}

decision_log::decision_log(std::size_t capacity)
    : m_capacity(std::max<std::size_t>(capacity, 1))
{
}

void decision_log::add(decision_record record)
{
    if (record.detail.size() > detailLimit) {
        record.detail.resize(detailLimit);
    }
    if (m_ring.size() < m_capacity) {
        m_ring.push_back(std::move(record));
    } else {
        m_ring[m_added % m_capacity] = std::move(record);
    }
    ++m_added;
}

std::vector<decision_record> decision_log::about(subject_kind subject, std::string_view id) const
{
    std::vector<decision_record> found;
    for (const decision_record &record : newest(m_ring.size())) {
        if (record.subject == subject && record.id == id) {
            found.push_back(record);
        }
    }
    return found;
}

std::vector<decision_record> decision_log::newest(std::size_t count) const
{
    const std::size_t kept = std::min(count, m_ring.size());
    std::vector<decision_record> records;
    records.reserve(kept);
    for (std::uint64_t number = m_added - kept; number < m_added; ++number) {
        records.push_back(m_ring[number % m_capacity]);
    }
    return records;
}

} // namespace reedtrail
