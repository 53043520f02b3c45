/**
 * @file
 * What callers asked and saw, compared with what the servers say they ran. Pure.
 *
 *     load_ledger ledger;
 *     std::size_t order = ledger.begin(caller_kind::Proof, "proof-7");
 *     ledger.attemptEnded(order, {.number = 0, .outcome = seen_outcome::Done, .latency = 12ms, .answer = body});
 *     ledger.addRuns("proof-7", 1);              // from each server's record
 *     load_verdict verdict = ledger.verdict();
 */
#pragma once

#include "base/time.h"

#include <array>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace reedtrail {

/** Kinds of callers. */
enum class caller_kind : std::uint8_t {
    Note, ///< Saves a note: idempotent, with a short deadline.
    Summary, ///< Asks for a completion and follows its stream.
    Proof, ///< Orders something that must run at most once, with a ticket.
};

/** Number of kinds. */
inline constexpr std::size_t callerKindCount = 3;

/** Returns the name of @p kind. */
std::string_view callerKindName(caller_kind kind);

/** What a caller may conclude from how its attempt ended. */
enum class seen_outcome : std::uint8_t {
    Done, ///< A whole answer.
    NotRun, ///< Refused, and told that it did not run.
    Unknown, ///< Refused, and told that it may have run.
    NoConnection, ///< No connection to the entry VM was made.
    Dropped, ///< The request was handed over and the connection ended without an answer.
    Truncated, ///< An answer that began and did not end.
};

/** One attempt of an operation. */
struct load_attempt
{
    std::uint32_t number = 0; ///< Raised by the caller to send again what was refused as not run.
    seen_outcome outcome = seen_outcome::NoConnection;
    duration latency{};
    bool isOverdue = false; ///< The answer came well after the deadline.
    std::string error; ///< Name of the error kind, if refused.
    std::string answer; ///< What must be equal in all answers to one operation; empty if not compared.
};

/** Promises that were broken, and counts beside them. */
struct load_verdict
{
    std::uint64_t runTwice = 0; ///< Operations that must run once and ran more often.
    std::uint64_t falseNotRun = 0; ///< Told "not run" though it ran.
    std::uint64_t lost = 0; ///< Answered as done though no server ran it.
    std::uint64_t doubled = 0; ///< Two different answers to one operation.
    std::uint64_t crossed = 0; ///< An answer that belongs to another request.
    std::uint64_t cut = 0; ///< Requests dropped without an answer, and answers that began and broke off.
    std::vector<std::string> examples; ///< A few of them, for a person.

    /** Tells whether any promise was broken. Cut answers count only where none may be cut. */
    bool isBroken(bool mayCut) const
    {
        return runTwice + falseNotRun + lost + doubled + crossed + (mayCut ? 0 : cut) > 0;
    }
};

/** Figures of one kind of caller. */
struct kind_figures
{
    std::uint64_t operations = 0;
    std::uint64_t done = 0;
    std::uint64_t notRun = 0; ///< Refused as not run in every attempt, or no connection was made.
    std::uint64_t unknown = 0; ///< Neither answered nor surely not run.
    std::uint64_t attempts = 0;
    std::uint64_t overdue = 0;
    double p50Ms = 0; ///< Of attempts that were done.
    double p99Ms = 0;
    std::map<std::string, std::uint64_t> errors;
};

/** The ledger. */
class load_ledger
{
public:
    /** Notes that an operation begins. @param key by which servers record it @return its index */
    std::size_t begin(caller_kind kind, std::string key);
    /** Notes how an attempt ended. */
    void attemptEnded(std::size_t operation, load_attempt attempt);
    /** Notes an answer that belongs to another request. */
    void crossed(std::size_t operation, const std::string &detail);
    /** Adds the runs of an operation on one server; keys of others are ignored. */
    void addRuns(const std::string &key, std::uint64_t runs);
    /** Says that a server's record could not be read, so that operations without a run are not called lost. */
    void recordMissing()
    {
        m_isRecordMissing = true;
    }
    bool isRecordMissing() const
    {
        return m_isRecordMissing;
    }
    /** Compares everything. */
    load_verdict verdict() const;
    /** Returns the figures of @p kind. */
    kind_figures figures(caller_kind kind) const;

private:
    struct operation
    {
        caller_kind kind = caller_kind::Note;
        std::string key;
        std::vector<load_attempt> attempts;
        std::vector<std::string> crossed;
        std::uint64_t runs = 0;
    };

    void judge(const operation &each, load_verdict &verdict) const;

    std::vector<operation> m_operations;
    std::map<std::string, std::size_t> m_byKey;
    bool m_isRecordMissing = false;
};

} // namespace reedtrail
