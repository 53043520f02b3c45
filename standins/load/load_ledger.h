/**
 * @file
 * Compares the outcomes that callers observed with the executions that the servers recorded. It does no I/O.
 *
 *     load_ledger ledger;
 *     std::size_t operation = ledger.begin(caller_kind::Proof, "proof-7");
 *     ledger.attemptEnded(operation, {.number = 0, .outcome = observed_outcome::Done, .latency = 12ms, .answer = body});
 *     ledger.addRuns("proof-7", 1);              // once for each server's record
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

/** Kinds of callers, which differ in their requests and retry policies. */
enum class caller_kind : std::uint8_t {
    Note, ///< Sends an idempotent note with a short deadline, without retries.
    Summary, ///< Requests a streamed completion.
    Proof, ///< Sends an order that must run at most once, with a ticket.
};

/** Number of caller kinds. */
inline constexpr std::size_t callerKindCount = 3;

/** Returns the name of @p kind. */
std::string_view callerKindName(caller_kind kind);

/** Outcome of an attempt as its caller observes it. */
enum class observed_outcome : std::uint8_t {
    Done, ///< A complete response was received.
    NotRun, ///< The request was refused with the statement that it did not run.
    Unknown, ///< The request was refused, but it may have run.
    NoConnection, ///< The connection to the entry VM could not be established.
    Dropped, ///< The request was sent and the connection ended without a response.
    Truncated, ///< The response began but did not end.
};

/** One attempt at an operation. */
struct load_attempt
{
    std::uint32_t number = 0; ///< Attempt number, which the caller raises only after a refusal as not run.
    observed_outcome outcome = observed_outcome::NoConnection;
    duration latency{}; ///< Time from sending the request to the end of the response.
    bool isOverdue = false; ///< Whether the attempt ended after its deadline plus a tolerance.
    std::string error; ///< Name of the error, or an empty string if the attempt succeeded.
    std::string answer; ///< Response body that must be equal for all successful attempts of one operation; empty if it is not compared.
};

/** Number of violations of each guarantee. */
struct load_verdict
{
    std::uint64_t runTwice = 0; ///< Operations that must run at most once but ran more often.
    std::uint64_t falseNotRun = 0; ///< Operations with a refusal as not run although that attempt ran.
    std::uint64_t lost = 0; ///< Operations that were answered successfully although no server ran them.
    std::uint64_t doubled = 0; ///< Operations that received two different successful responses.
    std::uint64_t crossed = 0; ///< Responses that belong to another request.
    std::uint64_t cut = 0; ///< Requests without a response, and responses that broke off.
    std::vector<std::string> examples; ///< Descriptions of the first violations, for the report.

    /** Returns whether any guarantee was violated. Cut responses count only if @p mayCut is false. */
    bool hasViolation(bool mayCut) const
    {
        return runTwice + falseNotRun + lost + doubled + crossed + (mayCut ? 0 : cut) > 0;
    }
};

/** Statistics of one kind of caller. */
struct kind_figures
{
    std::uint64_t operations = 0;
    std::uint64_t done = 0; ///< Operations with at least one successful attempt.
    std::uint64_t notRun = 0; ///< Operations whose attempts all were refused as not run or could not connect.
    std::uint64_t unknown = 0; ///< All other operations; they may have run.
    std::uint64_t attempts = 0;
    std::uint64_t overdue = 0; ///< Attempts that ended too long after their deadline.
    double p50Ms = 0; ///< Median latency of successful attempts.
    double p99Ms = 0; ///< 99th percentile of the latency of successful attempts.
    std::map<std::string, std::uint64_t> errors; ///< Number of unsuccessful attempts by error name.
};

/** Record of all operations of one load run. */
class load_ledger
{
public:
    /** Adds an operation. @param key the body or prompt under which servers record it @return the index of the operation */
    std::size_t begin(caller_kind kind, std::string key);
    /** Adds an ended attempt to an operation. */
    void attemptEnded(std::size_t operation, load_attempt attempt);
    /** Adds a response that belongs to another request. @param detail the start of that response */
    void addCrossedAnswer(std::size_t operation, const std::string &detail);
    /** Adds the number of runs of an operation on one server. Unknown keys are ignored. */
    void addRuns(const std::string &key, std::uint64_t runs);
    /** Notes that the record of a server could not be read. Operations without a recorded run then do not count as lost. */
    void markRecordMissing()
    {
        m_isRecordMissing = true;
    }
    bool isRecordMissing() const
    {
        return m_isRecordMissing;
    }
    /** Checks all operations against the recorded runs. */
    load_verdict verdict() const;
    /** Returns the statistics of @p kind. */
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

    void evaluate(const operation &each, load_verdict &verdict) const;

    std::vector<operation> m_operations;
    std::map<std::string, std::size_t> m_indexByKey;
    bool m_isRecordMissing = false;
};

} // namespace reedtrail
