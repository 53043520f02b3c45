/**
 * @file
 * Deduplicates the named requests of one gate: each name runs at most once, and its answer is cached for the caller's retries.
 *
 *     deduplication_table table({});
 *     deduplication_table::actions actions;
 *     table.onSubmission(now, {waiter, name, customer, contentHash, attempt}, actions);
 *     for (const deduplication_action &action : actions) { ... run_request: pass it to the scheduler; send_answer, send_error: answer the waiter ... }
 *     table.onDispatched(name);                        // before the first byte of each attempt is sent to a server
 *     table.onAnswered(now, name, answer, actions);     // or onNotStarted, onNotRun, onUnknown
 *
 * Submit a name only if no other gate incarnation may run it; ticket.h and key_records.h establish that.
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

/** Identifies one caller's connection that waits for an answer. */
using waiter_id = std::uint64_t;

/** A complete HTTP answer, cached so that the caller's retries get the same one. */
struct cached_answer
{
    std::uint16_t status = 200;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    /** Returns the approximate memory use in bytes. */
    std::size_t bytes() const;
};

/** A named request as it is submitted to the table. */
struct request_submission
{
    waiter_id waiter = 0;
    std::string name; ///< The ticket, or the customer and the hash of the idempotency key.
    customer_id customer;
    std::uint64_t contentHash = 0;
    std::uint32_t attempt = 0; ///< The caller raises it to send a request again that was answered "not run".
};

/** Action: run the named request. Appears exactly once for each attempt number that runs. */
struct run_request
{
    std::string name;
    waiter_id waiter = 0; ///< The waiter whose request holds the content to run.
};

/** Action: send a waiter the answer to its request. */
struct send_answer
{
    waiter_id waiter = 0;
    std::shared_ptr<const cached_answer> answer;
    bool isReplay = false; ///< Whether the answer comes from the cache.
};

/** Action: send a waiter an error. */
struct send_error
{
    waiter_id waiter = 0;
    error_kind kind = error_kind::None;
    std::string detail;
    duration retryAfter{};
};

/** An action that the table asks its caller to carry out. */
using deduplication_action = std::variant<run_request, send_answer, send_error>;

/** Options of deduplication_table. */
struct deduplication_options
{
    std::size_t maximumEntries = 250000; ///< Limit of remembered names; a new name beyond it is answered "unknown".
    std::size_t maximumAnswers = 10000; ///< Limit of cached answers; the oldest is evicted, its name stays.
    std::size_t maximumAnswerBytes = 64U << 20U; ///< Limit of the memory for cached answers; the oldest is evicted.
    std::size_t maximumWaiters = 16; ///< Limit of waiters per request; further retries are answered "unknown".
    duration entryLifetime = std::chrono::minutes(15); ///< Time that an entry is kept after its request ended; must exceed the lifetime of a ticket.
};

/** Counters of a deduplication_table. */
struct deduplication_counts
{
    std::size_t entries = 0;
    std::size_t open = 0; ///< Requests that have not ended.
    std::size_t answers = 0; ///< Cached answers.
    std::size_t answerBytes = 0;
    std::uint64_t runs = 0; ///< Requests that were started, in total.
    std::uint64_t replays = 0; ///< Answers from the cache, in total.
    std::uint64_t joined = 0; ///< Retries that joined a request in progress, in total.
};

/** The deduplication table of one gate. The class does no input or output: it takes events and returns actions. */
class deduplication_table
{
public:
    using actions = std::vector<deduplication_action>;

    explicit deduplication_table(deduplication_options options);

    /** Handles a request: runs it, joins it to the same request in progress, or answers it from the entry of an ended request. */
    void onSubmission(time_point now, const request_submission &submission, actions &out);
    /** Records that an attempt is about to be sent to a server. Must be called before the first byte is sent. */
    void onDispatched(const std::string &name);
    /** Records that the server did not start the current attempt; the request waits to be dispatched again. */
    void onNotStarted(const std::string &name);
    /** Ends a request with its answer. */
    void onAnswered(time_point now, const std::string &name, cached_answer answer, actions &out);
    /** Ends a request that no server started. */
    void onNotRun(time_point now, const std::string &name, error_kind kind, std::string detail, duration retryAfter, actions &out);
    /** Ends a request that may have run and whose outcome cannot be found out. */
    void onUnknown(time_point now, const std::string &name, error_kind kind, std::string detail, actions &out);
    /** Removes a waiter whose connection ended. The request continues, because its caller may retry to get the answer. */
    void onWaiterGone(const std::string &name, waiter_id waiter);
    /** Removes entries whose lifetime has passed. */
    void onTimer(time_point now);

    /** Returns whether the table has an entry for @p name. */
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
    /** Returns the counters for the admin dump. */
    nlohmann::json dump() const;

private:
    struct entry
    {
        customer_id customer;
        std::uint64_t contentHash = 0;
        std::uint32_t attempt = 0; ///< Highest attempt number that was started.
        request_lifecycle lifecycle;
        std::vector<waiter_id> waiters;
        std::shared_ptr<const cached_answer> answer;
        error_kind error = error_kind::None; ///< Set if the request ended without an answer.
        std::string detail;
        duration retryAfter{};
        std::uint64_t endNumber = 0; ///< Sequence number of the end of the request; 0 while it is in progress. Distinguishes ends of the same name.
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
    std::deque<ended_entry> m_ended; ///< Ended requests, oldest first, for expiry.
    std::deque<std::pair<std::string, std::uint64_t>> m_cached; ///< Names and end numbers of cached answers, oldest first, for eviction.
    std::uint64_t m_lastEndNumber = 0;
};

} // namespace reedtrail
