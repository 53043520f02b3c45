/**
 * @file
 * How far each item of a batch job is, and which is next. Pure core.
 *
 *     job_progress progress(spec, options, submittedAt);
 *     while (auto item = progress.nextToRun(now)) { ... progress.started(*item, server); }
 *     progress.addEvent(item, 1, "text", 7);  ...  progress.textEnded(item);
 *     progress.scored(item, signature);
 *     std::vector<item_result> ready = progress.takeFinished(now);
 *
 * Load pattern: a trainer's burst of many short texts and a few very long ones, of which only whole groups count and a share of the groups may be missing.
 * The order is that of longest expected text first, so that the long ones overlap with all the rest, but the groups that the trainer can do without, those
 * with the longest expected texts, come last. Groups that come again from an earlier step are mostly the longest of all, and the trainer
 * waits for them whichever others are whole, so these are not put off. An item that already has a part of its text goes on before new ones start.
 */
#pragma once

#include "batch/job_types.h"

#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

/** Bounds of a job's items, from its route. */
struct job_progress_options
{
    duration itemLifetime = std::chrono::seconds(60); ///< After submission; an item that is not finished by then is given up.
    duration clockMargin = std::chrono::seconds(5); ///< Added to it: the time of submission is by another node's clock, and two clocks may be stepped by two
                                                    ///< seconds each, in opposite directions.
    int maxFailures = 3; ///< Runs that the server itself failed before an item is given up.
    int maxScoreFailures = 3; ///< The same for its score.
    bool isSingleVersion = false; ///< A text must come from one weight version.
};

/** Where an item is. */
enum class item_stage : std::uint8_t { Waiting, Running, AwaitingScore, Scoring, Finished, Recording, Recorded };

/** How a run of an item, or of its score, failed. */
enum class run_failure : std::uint8_t {
    NotRun, ///< The server did not start it; nothing is counted against the item.
    Broken, ///< The connection or the answer broke; the text so far stays.
    Failed, ///< The server answered that it failed.
    NonRetryable, ///< The server answered that it can never be done.
};

/** One item. */
struct item_state
{
    item_stage stage = item_stage::Waiting;
    std::string text; ///< Data of the events so far, separated by line feeds.
    std::uint64_t lastEvent = 0; ///< Id of the last event taken; 0 if there is none.
    std::vector<std::uint64_t> versions;
    std::string score;
    std::string server; ///< Where it runs, or ran last.
    int failures = 0;
    int breaks = 0; ///< In a row, without an event in between.
    bool isGivenUp = false;
    time_point notBefore; ///< Of its next run.
    time_point stageSince;
};

/** The progress of one job. */
class job_progress
{
public:
    job_progress(job_spec spec, job_progress_options options, time_point submittedAt);

    const job_spec &spec() const
    {
        return m_spec;
    }
    const job_item &item(std::size_t index) const
    {
        return m_spec.items[index];
    }
    const item_state &state(std::size_t index) const
    {
        return m_states[index];
    }
    /** Takes results that are recorded, by whichever owner. */
    void noteRecorded(std::span<const item_result> results);

    /** Returns the next item to run at @p now, if one waits. */
    std::optional<std::size_t> nextToRun(time_point now) const;
    /** Returns the next item to score at @p now, if one waits. */
    std::optional<std::size_t> nextToScore(time_point now) const;

    void started(time_point now, std::size_t index, std::string server);
    /** Takes an event of a run. @return false if it does not follow the text so far, and the run must be broken off */
    bool addEvent(std::size_t index, std::uint64_t event, std::string_view data, std::uint64_t version);
    /** The run ended with its text whole. */
    void textEnded(time_point now, std::size_t index);
    /** The run ended early. @param retryDelay before the next one */
    void runFailed(time_point now, std::size_t index, run_failure failure, duration retryDelay);
    void scoringStarted(time_point now, std::size_t index);
    void scored(time_point now, std::size_t index, std::string score);
    void scoringFailed(time_point now, std::size_t index, run_failure failure, duration retryDelay);
    /** Returns the texts under way that are worth keeping: of @p leastEvents or more, the longest first, up to @p mostBytes together. */
    std::vector<item_draft> drafts(std::uint64_t leastEvents, std::size_t mostBytes) const;
    /** Goes on from texts that another owner has left; those that do not fit the job are passed over. */
    void restore(std::span<const item_draft> drafts);
    /** Returns the server where the item's group was sent last, or an empty text. */
    std::string_view groupServer(std::size_t index) const;

    /** Gives up the items whose lifetime has passed. */
    void expire(time_point now);
    /** Tells whether results should be recorded now: a group is whole, or some have waited for @p patience. */
    bool shouldRecord(time_point now, duration patience) const;
    /** Returns the finished items that are not recorded, which count as being recorded from now on. */
    std::vector<item_result> takeFinished();

    /** Returns how many items are in @p stage. */
    std::size_t count(item_stage stage) const;
    bool isDone() const
    {
        return count(item_stage::Recorded) == m_states.size();
    }
    /** Returns the names of the groups that have items which are not recorded. */
    std::vector<std::string> incompleteGroups() const;
    /** Returns how many groups have all their items recorded. */
    std::size_t completeGroups() const;

private:
    void orderItems();
    void moveTo(time_point now, std::size_t index, item_stage stage);
    void giveUp(time_point now, std::size_t index);

    job_spec m_spec;
    job_progress_options m_options;
    time_point m_submittedAt;
    std::vector<item_state> m_states;
    std::vector<std::size_t> m_order; ///< Of running.
    std::vector<std::size_t> m_groupOf; ///< Index of each item's group.
    std::vector<std::string> m_groupNames;
    std::vector<std::size_t> m_groupOpen; ///< Items of each group that are not finished.
    std::vector<std::size_t> m_groupUnrecorded;
    std::vector<std::string> m_groupServer;
    std::map<std::string, std::size_t, std::less<>> m_indexOf;
    std::size_t m_counts[7] = {};
    time_point m_oldestFinished = timeNever;
    bool m_hasWholeGroup = false; ///< A group became whole and is not recorded.
};

} // namespace reedtrail
