/**
 * @file
 * Counts what each customer used in windows of true time, from the ledgers of all nodes. The node that reports keeps one. Pure: no I/O.
 *
 * Load pattern: each window is due some seconds after its end, once and with one set of counts, while nodes are killed, frozen and cut off, and clocks are
 * stepped. A window is closed when every node that answers has answered a question asked after its end, or when it can wait no longer. True time is the median
 * of the nodes' clocks, so that one clock that is wrong, this node's included, moves no request into another window.
 *
 *     windows.onAnswer(now, "node-2", askedAt, answer);
 *     for (const usage_report &report : windows.takeDue(now, nodes)) { ... record it, then send it ... }
 */
#pragma once

#include "base/time.h"
#include "fleet/usage_messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace reedtrail {

/** What was used in one window. */
struct usage_report
{
    std::int64_t window = 0; ///< Windows since the start of 1970.
    std::map<std::string, std::uint64_t> counts; ///< Requests that began to run, by customer; customers without any are absent.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(usage_report, window, counts)
};

/** Times of usage_windows. */
struct usage_window_options
{
    duration length = std::chrono::seconds(5);
    duration due = std::chrono::seconds(10); ///< After the end of a window, when its report must have arrived.
    duration settleTime = std::chrono::milliseconds(1800); ///< After the end of a window, until its requests are recorded at their nodes: what a request
                                                           ///< takes that is answered late.
    duration sendTime = std::chrono::milliseconds(3500); ///< Kept back of the due time for recording and sending, and one repetition.
    duration answerLifetime = std::chrono::seconds(12); ///< Nodes that have not answered for this long are not waited for.
    duration clockWait = std::chrono::seconds(2); ///< After the begin, until the clocks of a minority of the nodes are taken for true time.
    std::int64_t maxBacklog = 8; ///< Largest number of windows reported after a gap. Older ones are skipped, because the ledgers no longer hold their rows.
};

/** Collects the ledgers of all nodes and closes windows. */
class usage_windows
{
public:
    explicit usage_windows(usage_window_options options)
        : m_options(options)
    {
    }

    /** Begins to collect. @param lastReported newest window that was ever recorded; nothing if none was, and the first window is the one under way */
    void begin(time_point now, std::optional<std::int64_t> lastReported);
    /** Returns the question to a node: what is already known of the processes whose rows it has given. */
    usage_ask question(const std::string &node) const;
    /** Takes a node's answer to a question that was asked at @p askedAt. */
    void onAnswer(time_point now, const std::string &node, time_point askedAt, const usage_answer &answer);
    /** Returns the reports that are complete, oldest first, each once. @param nodes names of all nodes known */
    std::vector<usage_report> takeDue(time_point now, std::span<const std::string> nodes);

    /** Returns the true Unix time in milliseconds, or nothing before any node has answered. */
    std::optional<std::int64_t> trueTimeMs(time_point now) const;
    /** Returns the number of requests that arrived after their window had been closed. */
    std::uint64_t lateRequests() const
    {
        return m_lateRequests;
    }

private:
    struct node_state
    {
        time_point askedAt; ///< When the last question was asked that it has answered.
        std::int64_t clockOffsetMs = 0; ///< Its wall clock less this node's steady time.
        std::set<std::string> origins; ///< Of the rows that it has given.
    };
    bool isTrueTimeKnown(time_point now, std::size_t nodeCount) const;
    bool isComplete(time_point now, std::int64_t window, std::span<const std::string> nodes) const;
    std::int64_t windowMs() const
    {
        return m_options.length / std::chrono::milliseconds(1);
    }
    /** Returns the moment, on this node's steady clock, at which a window ends. */
    time_point endOf(std::int64_t window) const;

    usage_window_options m_options;
    std::map<std::string, node_state> m_nodes;
    std::map<std::string, std::uint64_t> m_known; ///< Number of the next row, by origin.
    struct pending_row
    {
        std::string customer;
        time_point beganAt;
    };
    std::vector<pending_row> m_rows; ///< Of windows that are not closed.
    std::optional<std::int64_t> m_clockOffsetMs; ///< Median of the nodes' offsets.
    std::optional<std::int64_t> m_nextWindow; ///< The first window that is not closed.
    time_point m_begunAt;
    std::optional<std::int64_t> m_lastReported; ///< As given to begin().
    std::uint64_t m_lateRequests = 0;
};

} // namespace reedtrail
