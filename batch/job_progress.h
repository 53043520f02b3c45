/**
 * @file
 * Tracks the progress of each item of a batch job and selects the item to run or score next. Does no input or output.
 *
 *     job_progress progress(spec, options, submittedAt);
 *     while (auto item = progress.nextToRun(now)) { ... progress.started(now, *item, server, 3); }
 *     progress.addEvent(item, 1, "text", 7);  ...  progress.textEnded(now, item);
 *     progress.scoringStarted(now, item, 3);  ...  progress.scored(now, item, signature);
 *     std::vector<item_result> ready = progress.takeFinished();
 *     progress.noteRecorded(ready);
 *
 * Load pattern: a trainer's burst of many short texts and a few very long ones. Only complete groups count, and a share of the groups may be missing. Items
 * run in the order of their expected length, longest first, so that the long ones overlap with all others. The exceptions are:
 * - The groups that the trainer can do without are run last. These are the groups with the longest expected texts.
 * - Groups carried over from an earlier step are never deferred: most of them are the longest of all, and the trainer waits for them regardless of which
 *   other groups are complete.
 * - An item that already has part of its text resumes before new items start.
 *
 * A text goes on only with runs of the build, version of a server's software, that began it: what two builds write does not fit together.
 */
#pragma once

#include "batch/job_types.h"

#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

/** Limits for the items of a job, taken from its route. */
struct job_progress_options
{
    duration itemLifetime = std::chrono::seconds(60); ///< Time after submission at which an unfinished item is given up.
    bool isSingleVersion = false; ///< All events of a text must come from one weight version.
    std::size_t maxTextBytes = 700U << 10U; ///< A longer text is no item's output: it would not fit into a value of the store once it is encoded.
};

/** Stages of an item, in order. A failed run or score returns the item to the stage before. */
enum class item_stage : std::uint8_t { Waiting, Running, AwaitingScore, Scoring, Finished, Recording, Recorded };

/** Ways in which a run of an item, or the scoring of its text, can fail. */
enum class run_failure : std::uint8_t {
    NotRun, ///< The server did not start it. Does not count as a failure of the item.
    Broken, ///< The connection or the response broke off. The text so far is kept unless isSingleVersion is set.
    Failed, ///< The server reported a failure. The item is abandoned once the failures of its step reach item_state::maxFailures.
    NonRetryable, ///< The server rejected the request permanently. An item whose run fails in this way is given up.
};

/** Progress of one item. */
struct item_state
{
    item_stage stage = item_stage::Waiting;
    std::string text; ///< Data of the events received so far, separated by line feeds.
    std::uint64_t lastEvent = 0; ///< Id of the last accepted event; 0 if there is none.
    std::vector<std::uint64_t> versions; ///< Weight versions that generated the events, in the order of their first event.
    std::string build; ///< Build of the servers that generated the events; empty if there are none, or if it is unknown.
    std::string runBuild; ///< Build of the server that answers the current run; empty until then, or if it is unknown.
    bool doesRunFit = true; ///< Whether the current run may add events: it begins the text, or its build began it.
    time_point awaitsBuildSince = timeNever; ///< Since when the text waits for a server of its build; timeNever while it does not.
    std::string score; ///< The scorer's signature; empty until the text is scored.
    std::string server; ///< Id of the server that runs the item, or ran it last.
    int failures = 0; ///< Failures of the current step, generating or scoring.
    int maxFailures = 0; ///< Most failures that a route of the current step's attempts allows.
    int consecutiveBreaks = 0; ///< Runs that broke off since the last event.
    bool isGivenUp = false;
    time_point notBefore; ///< Earliest start of the next run or scoring attempt.
    time_point stageSince; ///< When the item entered its stage.
};

/** Progress of one job. Items are addressed by their index in the job. */
class job_progress
{
public:
    /** @param submittedAt the start of the item lifetime, converted to this node's clock */
    job_progress(job_spec spec, job_progress_options options, time_point submittedAt);

    /** Replaces the limits, because the route has changed. Incomplete texts of several versions are begun anew if only one is allowed now. */
    void setOptions(const job_progress_options &options);
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
    /** Marks the items of @p results as recorded, whichever owner recorded them. */
    void noteRecorded(std::span<const item_result> results);

    /** Returns the next item to run at @p now, or nothing if none is due. */
    std::optional<std::size_t> nextToRun(time_point now) const;
    /** Returns the next item to score at @p now, or nothing if none is due. Items of nearly complete groups come first. */
    std::optional<std::size_t> nextToScore(time_point now) const;

    /** Marks an item as running on @p server. @param maxFailures runs of the item that may fail by the route of this one; the largest of its runs counts */
    void started(time_point now, std::size_t index, std::string server, int maxFailures);
    /**
     * Notes the build of the server that answers the current run of an item.
     * @param build empty if it is unknown; then the run can only begin a text
     * @return false if the run can't go on with the text, which another build began; it must be cancelled then
     */
    bool runAnswered(std::size_t index, std::string_view build);
    /**
     * Appends an event of a run to its text.
     * @return false if the event is out of order, of an unacceptable version, or of a run that can't go on with the text; the run must be cancelled then
     */
    bool addEvent(std::size_t index, std::uint64_t event, std::string_view data, std::uint64_t version);
    /** Drops the text of an item that waits to run, so that it is begun anew. */
    void restartText(std::size_t index);
    /** Puts off the next run of an item that waits for a server of its build. */
    void awaitBuild(time_point now, std::size_t index, duration retryDelay);
    /** Marks the text of an item as complete. */
    void textEnded(time_point now, std::size_t index);
    /** Marks a run as ended before its text was complete. @param retryDelay time until the item may run again */
    void runFailed(time_point now, std::size_t index, run_failure failure, duration retryDelay);
    /** Marks an item as being scored. @param maxFailures attempts to score it that may fail by the routes of this one; the largest of its attempts counts */
    void scoringStarted(time_point now, std::size_t index, int maxFailures);
    /** Finishes an item with its score. */
    void scored(time_point now, std::size_t index, std::string score);
    /** Marks an attempt to score an item as failed. @param retryDelay time until the item may be scored again */
    void scoringFailed(time_point now, std::size_t index, run_failure failure, duration retryDelay);
    /**
     * Returns the unrecorded texts with at least @p minimumEvents events, longest first, up to a total of @p maximumBytes; none if isSingleVersion is set, and
     * no incomplete ones of an unknown build.
     * @param isOriginCertain tells whether it is certain which build began the text of an item
     */
    std::vector<item_draft> drafts(std::uint64_t minimumEvents, std::size_t maximumBytes, const std::function<bool(std::size_t)> &isOriginCertain) const;
    /** Resumes items from the drafts of a previous owner. Drafts that do not match the job, and incomplete ones of an unknown build, are ignored. */
    void restore(std::span<const item_draft> drafts);
    /** Returns the server that an item of the same group was last sent to; empty if there is none. */
    std::string_view groupServer(std::size_t index) const;

    /** Gives up all unfinished items once their lifetime has passed. */
    void expire(time_point now);
    /** Returns whether results should be recorded now: a group is complete, or a finished item has waited for @p maximumWait. */
    bool shouldRecord(time_point now, duration maximumWait) const;
    /** Returns the results of the finished items and moves these items to the stage Recording. */
    std::vector<item_result> takeFinished();

    /** Returns the number of items in @p stage. */
    std::size_t count(item_stage stage) const;
    bool isDone() const
    {
        return count(item_stage::Recorded) == m_states.size();
    }
    /** Returns the names of the groups with at least one item that is not recorded. */
    std::vector<std::string> incompleteGroups() const;
    /** Returns the number of groups whose items are all recorded. */
    std::size_t completeGroups() const;

private:
    static void restartText(item_state &state);
    void orderItems();
    void moveTo(time_point now, std::size_t index, item_stage stage);
    void giveUp(time_point now, std::size_t index);
    static bool isFailureFinal(item_state &state, run_failure failure);

    job_spec m_spec;
    job_progress_options m_options;
    time_point m_submittedAt;
    std::vector<item_state> m_states;
    std::vector<std::size_t> m_runOrder; ///< Indexes of the items, in the order in which they are to run.
    std::vector<std::size_t> m_groupOf; ///< Index of the group of each item.
    std::vector<std::string> m_groupNames;
    std::vector<std::size_t> m_groupUnfinished; ///< Number of unfinished items of each group.
    std::vector<std::size_t> m_groupUnrecorded; ///< Number of items of each group that are not recorded.
    std::vector<std::string> m_groupServer; ///< Server that an item of each group was last sent to.
    std::map<std::string, std::size_t, std::less<>> m_indexOf; ///< Index of each item, by its id.
    std::size_t m_stageCounts[7] = {}; ///< Number of items in each stage.
    time_point m_oldestFinishedAt = timeNever; ///< When the oldest result that takeFinished() has not returned was finished.
    bool m_hasCompleteGroup = false; ///< Since the last takeFinished(), a group has become complete.
};

} // namespace reedtrail
