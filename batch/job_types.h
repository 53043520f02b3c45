/**
 * @file
 * Batch jobs: many requests that are submitted at once, run later, and read as a growing list of results.
 */
#pragma once

#include "base/time.h"
#include "net/http_message.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace reedtrail {

/** The call that scores a finished text. */
struct score_call
{
    std::string id;
    std::string host;
    std::string path;
    std::string body;
};

/** One item: a request to a model that answers with a stream of events. */
struct job_item
{
    std::string id;
    std::string path;
    http_fields fields; ///< Sent as they are.
    std::string body;
    std::string model; ///< Empty if the job names it.
    std::string group; ///< Items of a group share their prompt and are worth something only together.
    double expectedTokens = 0; ///< The caller's guess of the length; right at the median, often far off.
    double totalTokens = 0; ///< Prompt and longest output together.
    std::optional<score_call> score;
};

/** What a caller submitted. */
struct job_spec
{
    std::string model;
    std::uint64_t step = 0;
    std::uint64_t minVersion = 0; ///< Oldest weight version that may make an event.
    std::size_t wantedGroups = 0; ///< The caller waits for this many whole groups; 0 if it waits for all.
    std::vector<std::string> carriedOverGroups; ///< Groups that an earlier job has left unfinished: of these, the caller waits for those that come again.
    std::vector<job_item> items;
};

/** What is known of a job beside what the caller submitted. */
struct job_metadata
{
    std::string host;
    std::string path; ///< To which it was submitted; both lead to its route.
    std::int64_t submittedAtMs = 0; ///< Unix milliseconds, by the clock of the VM that accepted it.
    std::string model; ///< Of all its items; empty if they have several.
    double expectedTokens = 0; ///< Of all its items together, as the caller guesses.
};

/** A text that is not recorded as a result yet, so that another node can go on with it. */
struct item_draft
{
    std::string id;
    std::string text; ///< Data of the events so far.
    std::uint64_t lastEvent = 0;
    std::vector<std::uint64_t> versions;
    bool isWhole = false; ///< Only its score is missing.
};

/** How an item ended. */
struct item_result
{
    std::string id;
    bool isCompleted = false; ///< Else it was given up, and the rest is empty.
    std::string output; ///< The data of all events in order, separated by line feeds.
    std::vector<std::uint64_t> versions; ///< All weight versions that made an event, each once, in the order seen.
    std::string score;
};

} // namespace reedtrail
