/**
 * @file
 * The named requests of one gate: each runs at most once, and its answer is kept for the caller's repeats.
 *
 *     deduplication_table table({});
 *     deduplication_table::actions actions;
 *     table.onSubmission(now, {waiter, name, customer, contentHash, attempt}, actions);
 *     for (const deduplication_action &action : actions) { ... run_request: hand it to the scheduler; send_answer, send_error: answer the waiter ... }
 *     table.onDispatched(name);                        // before each attempt's first byte is handed over
 *     table.onAnswered(now, name, answer, actions);     // or onNotStarted, onNotRun, onUnknown
 *
 * A name is submitted here only where this incarnation alone may run it: see ticket.h and key_records.h.
 */
#pragma once

#include "base/error_kind.h"
#include "base/ids.h"
#include "base/time.h"
#include "once/request_lifecycle.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace reedtrail {

/** One caller's connection that waits for an answer. */
using waiter_id = std::uint64_t;

/** An answer as it is given to the caller, and again to its repeats. */
struct cached_answer
{
    std::uint16_t status = 200;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    /** Returns how many bytes it takes. */
    std::size_t bytes() const;
};

/** A named request as it arrives. */
struct request_submission
{
    waiter_id waiter = 0;
    std::string name; ///< Ticket, or customer and idempotency key.
    customer_id customer;
    std::uint64_t contentHash = 0;
    std::uint32_t attempt = 0; ///< Raised by the caller to send again what was refused as not run.
};

/** Run the request named; exactly one of these is given for each life. */
struct run_request
{
    std::string name;
    waiter_id waiter = 0; ///< Who brought the content.
};

/** Give a waiter the answer to its own request. */
struct send_answer
{
    waiter_id waiter = 0;
    std::shared_ptr<const cached_answer> answer;
    bool isReplay = false;
};

/** Give a waiter an error. */
struct send_error
{
    waiter_id waiter = 0;
    error_kind kind = error_kind::None;
    std::string detail;
    duration retryAfter{};
};

/** What the table wants done. */
using deduplication_action = std::variant<run_request, send_answer, send_error>;

/** Bounds of a table. */
struct deduplication_options
{
    std::size_t maximumEntries = 250000; ///< Names remembered; beyond it a new one is answered as unknown.
    std::size_t maximumAnswers = 10000; ///< Answers kept; the oldest give way, their names stay.
    std::size_t maximumAnswerBytes = 64U << 20U;
    std::size_t maximumWaiters = 16; ///< Of one request; further repeats are told that its outcome is unknown for now.
    duration entryLifetime = std::chrono::minutes(15); ///< After the end; must be longer than a ticket lives.
};

/** What a table holds. */
struct deduplication_counts
{
    std::size_t entries = 0;
    std::size_t open = 0; ///< Without an end.
    std::size_t answers = 0;
    std::size_t answerBytes = 0;
    std::uint64_t runs = 0;
    std::uint64_t replays = 0;
    std::uint64_t joined = 0; ///< Repeats that waited for the first one's answer.
};

/** The table. */
class deduplication_table
{
public:
    using actions = std::vector<deduplication_action>;

    explicit deduplication_table(deduplication_options options);

    /** Takes a request: it is run, joined to the one under way, or answered from what is kept. */
    void onSubmission(time_point now, const request_submission &submission, actions &out);
    /** Notes that an attempt is about to be handed to a server. */
    void onDispatched(const std::string &name);
    /** Notes that nothing of the open attempt ran; the request waits again. */
    void onNotStarted(const std::string &name);
    /** Ends a request with its answer. */
    void onAnswered(time_point now, const std::string &name, cached_answer answer, actions &out);
    /** Ends a request that was given up on before anything was handed to a server. */
    void onNotRun(time_point now, const std::string &name, error_kind kind, std::string detail, duration retryAfter, actions &out);
    /** Ends a request whose outcome cannot be learnt. */
    void onUnknown(time_point now, const std::string &name, error_kind kind, std::string detail, actions &out);
    /** Forgets a waiter whose connection ended. The request goes on: its caller may come back for the answer. */
    void onWaiterGone(const std::string &name, waiter_id waiter);
    /** Forgets entries whose lifetime is over. */
    void onTimer(time_point now);

    /** Tells whether @p name is remembered. */
    bool contains(const std::string &name) const
    {
        return m_entries.contains(name);
    }
    const deduplication_counts &counts() const
    {
        return m_counts;
    }
    const deduplication_options &options() const
    {
        return m_options;
    }
    /** Returns the whole state. */
    nlohmann::json dump() const;

private:
    struct entry
    {
        customer_id customer;
        std::uint64_t contentHash = 0;
        std::uint32_t attempt = 0; ///< Highest that was run or refused.
        request_lifecycle lifecycle;
        std::vector<waiter_id> waiters;
        std::shared_ptr<const cached_answer> answer;
        error_kind error = error_kind::None; ///< Of an end without answer.
        std::string detail;
        duration retryAfter{};
        std::uint64_t endNumber = 0; ///< Number of its end, to tell it from an earlier one of the same name.
    };
    struct ended_entry
    {
        time_point at;
        std::string name;
        std::uint64_t endNumber = 0;
    };

    void startRun(entry &fresh, const request_submission &submission, actions &out);
    void answerFromOutcome(entry &ended, const request_submission &submission, actions &out);
    void recordEnd(time_point now, const std::string &name, entry &ended);
    void cacheAnswer(const std::string &name, entry &answered, cached_answer answer);
    void evictAnswers();
    void failWaiters(entry &ended, actions &out);

    deduplication_options m_options;
    deduplication_counts m_counts;
    std::unordered_map<std::string, entry> m_entries;
    std::deque<ended_entry> m_ended; ///< In the order of their ends.
    std::deque<std::pair<std::string, std::uint64_t>> m_cached; ///< Names with a kept answer and the number of their end, oldest first.
    std::uint64_t m_lastEndNumber = 0;
};

} // namespace reedtrail
