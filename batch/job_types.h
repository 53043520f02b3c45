/**
 * @file
 * Types of a batch job: a set of requests that is submitted at once and run in the background, and whose results are read as a growing list.
 */
#pragma once

#include "base/time.h"
#include "net/http_message.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace reedtrail {

/** The request that scores the complete text of an item. */
struct score_call
{
    std::string id;
    std::string host;
    std::string path;
    std::string body;
};

/** One item of a job: a request to a model, which is answered with a stream of events. */
struct job_item
{
    std::string id;
    std::string path;
    http_fields fields; ///< Header fields, which are sent unchanged.
    std::string body;
    std::string model; ///< Empty if the item uses job_spec::model.
    std::string group; ///< Items of a group share their prompt, and the caller can use only the complete group. Empty if the item is a group by itself.
    double expectedTokens = 0; ///< The caller's estimate of the output length. It is right at the median, but single estimates are often far off.
    double totalTokens = 0; ///< Tokens of the prompt plus the maximum of the output.
    std::optional<score_call> score; ///< Absent if the item is finished without a score.
};

/** A job as its caller submitted it. */
struct job_spec
{
    std::string model; ///< Model of the items that name none.
    std::uint64_t step = 0; ///< Training step that the job belongs to.
    std::uint64_t minVersion = 0; ///< Oldest weight version that may generate an event.
    std::size_t wantedGroups = 0; ///< The caller waits for this many complete groups; 0 if it waits for all.
    std::vector<std::string> carriedOverGroups; ///< Groups that an earlier job left incomplete. The caller waits for those that this job has again.
    std::vector<job_item> items;
};

/** What is recorded about a job besides the submitted document. */
struct job_metadata
{
    std::string host;
    std::string path; ///< Path that the job was submitted to; host and path select its route.
    std::int64_t submittedAtMs = 0; ///< Unix time in milliseconds, by the clock of the VM that accepted the job. Clocks jump, so no decision rests on it.
    std::string model; ///< The model of all items; empty if the items use several models.
    double expectedTokens = 0; ///< Sum of the caller's estimates over all items.
    std::string customer; ///< Customer that handed the job in; empty if the deployment had none then, or its route needs no key.
};

/** The partial output of an item whose result is not recorded yet. It is stored so that another node can resume the item. */
struct item_draft
{
    std::string id;
    std::string text; ///< Data of the events received so far, separated by line feeds.
    std::uint64_t lastEvent = 0; ///< Id of the last event in the text.
    std::vector<std::uint64_t> versions; ///< Weight versions that generated the events, in the order of their first event.
    bool isTextComplete = false; ///< The text is complete and only the score is missing.
    std::string build; ///< Build, version of the software, of the servers that generated the events; empty if unknown.
};

/** The recorded outcome of an item. */
struct item_result
{
    std::string id;
    bool isCompleted = false; ///< False if the item was given up; the members below are empty then.
    std::string output; ///< Data of all events in order, separated by line feeds.
    std::vector<std::uint64_t> versions; ///< Weight versions that generated an event, each once, in the order of their first event.
    std::string score; ///< The scorer's signature; empty if the item has no score request.
};

} // namespace reedtrail
