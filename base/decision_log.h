/**
 * @file
 * Typed records of decisions, kept in a bounded ring for `reedtrailctl explain`.
 *
 * Whatever refuses, moves, retries, seals, fences or takes over leaves a record with its cause:
 *
 *     log.add({now, decision_kind::Refused, subject_kind::Request, "r-17", error_kind::QueueDeadline, "wait 900 ms, deadline in 400 ms"});
 */
#pragma once

#include "base/error_kind.h"
#include "base/time.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

/** What was decided. */
enum class decision_kind : std::uint8_t {
    Admitted,
    Refused,
    Routed,
    Moved,
    Retried,
    Cancelled,
    Ejected,
    Returned,
    Answered,
    Sealed,
    Delivered,
    Dropped,
    Fenced,
    TookOver,
    GaveUp,
    Ordered,
    Accepted,
    Adopted,
    Suspected,
    Joined,
    Left,
    Drained
};

/** What a decision is about. */
enum class subject_kind : std::uint8_t { Request, Slot, Run, Change, Server, Node, Customer };

/** One decision and its cause. */
struct decision_record
{
    time_point at;
    decision_kind kind = decision_kind::Admitted;
    subject_kind subject = subject_kind::Request;
    std::string id; ///< Id of the subject, as an operator would write it.
    error_kind cause = error_kind::None;
    std::string detail; ///< Figures that led to it, one line.
};

/** Returns the stable name of @p kind. */
std::string_view decisionName(decision_kind kind);

/** Returns the stable name of @p kind. */
std::string_view subjectName(subject_kind kind);

/** A ring of the newest records; the oldest give way, so memory is bounded by capacity × (record + detailLimit). */
class decision_log
{
public:
    /** Longest detail kept, in bytes; more is cut. */
    static constexpr std::size_t detailLimit = 256;

    explicit decision_log(std::size_t capacity = 4096);

    /** Adds a record. */
    void add(decision_record record);
    /** Returns the records about @p subject with @p id, oldest first. */
    std::vector<decision_record> about(subject_kind subject, std::string_view id) const;
    /** Returns the newest @p count records, oldest first. */
    std::vector<decision_record> newest(std::size_t count) const;
    /** Returns how many records were ever added. */
    std::uint64_t added() const
    {
        return m_added;
    }

private:
    std::size_t m_capacity;
    std::vector<decision_record> m_ring;
    std::uint64_t m_added = 0;
};

} // namespace reedtrail
