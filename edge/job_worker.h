/**
 * @file
 * Runs the items of one batch job that this node owns: sends them to model servers, has the generated texts scored, and passes the results on for recording.
 */
#pragma once

#include "batch/job_progress.h"
#include "batch/text_statistics.h"
#include "edge/edge_context.h"
#include "edge/fleet_cache.h"
#include "net/event_stream.h"
#include "platform/server_wire.h"
#include "routing/move_decision.h"
#include "routing/room_order.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace reedtrail {

/** Runs one batch job while this node owns it. */
class job_worker : public std::enable_shared_from_this<job_worker>
{
public:
    /** Callbacks that write results and partial texts to the store. */
    struct recorder
    {
        std::function<void(std::vector<item_result>, std::string drafts)> record; ///< Records results and partial texts; noteRecorded() must follow.
        std::function<void(std::string drafts)> keepDrafts; ///< Stores encoded partial texts only.
        std::function<bool()> isRecording; ///< Tells whether an earlier record is still being written.
        std::function<void()> onPlaceFreed; ///< Runs after each run in place of advance(), so that another job may go first; may be empty.
    };

    /**
     * @param knownSince when this process first heard of the job. The lifetime of the items counts from it: it is not before the submission, and unlike the
     * time of day in @p metadata it does not jump. A takeover therefore lengthens the lifetime, which no promise forbids.
     */
    job_worker(edge_context &context, fleet_cache &fleet, std::string job, job_metadata metadata, job_spec spec, time_point knownSince, recorder record);
    ~job_worker();

    /** Marks items as recorded whose results are in the store. */
    void noteRecorded(std::span<const item_result> results);
    /** Resumes the partial texts that the previous owner stored. Call before the first advance(). */
    void restore(std::span<const item_draft> drafts);
    /** Starts the runs that can start now, aborts silent ones, and records the results that are due. */
    void advance();
    /** Cancels all runs for good. */
    void stop();

    /** Returns the claim of this job on places at the servers, or nothing if none of its items waits for one. */
    std::optional<work_claim> claim(time_point now) const;
    /** Returns how many requests the servers that this job may use run at once. */
    double places() const;
    /** Tells whether the last advance() found no place for an item or a score that was due. */
    bool isShortOfPlaces() const
    {
        return m_isShortOfPlaces;
    }
    /** Returns the model that the job uses; empty if its items use several. */
    const std::string &model() const
    {
        return m_progress.spec().model;
    }
    const std::string &job() const
    {
        return m_job;
    }
    const job_progress &progress() const
    {
        return m_progress;
    }
    bool isDone() const
    {
        return m_progress.isDone();
    }

private:
    /** One HTTP call that generates, or continues, the text of an item, or scores it. */
    struct run
    {
        std::size_t item = 0; ///< Index of the item in the job.
        std::uint64_t number = 0;
        std::string server; ///< Id of the server.
        std::string build; ///< Build of the server that answered; empty until its answer begins, or if unknown.
        std::uint64_t configuration = 0; ///< Version of the configuration by which the run was placed.
        fleet_cache::sent_request sent;
        std::shared_ptr<http_call> call; ///< Null while the run waits for a place at a server with a limit.
        server_contact contact; ///< On which the run is answered.
        bool isHeld = false; ///< The bytes of a run that goes on with a text wait for the proof of what made them.
        std::string heldBytes;
        std::optional<http_call_end> heldEnd; ///< Handled after heldBytes.
        event_stream_reader events;
        platform::server_answer answer;
        std::uint64_t version = 0; ///< Weight version that the server reported last; 0 if it reported none.
        bool isInvalidResponse = false; ///< An event does not continue the text, or it is not certain which instance made it.
        std::size_t eventCount = 0; ///< Events received in this run.
        time_point lastActivityAt; ///< Time of the start, the response head or the last event.
        time_point startedAt;
        bool isScore = false; ///< The run scores the item's text.
        bool wasAbortedAsSilent = false; ///< This worker aborted the run because its server sent nothing in time.
        bool isContinuation = false; ///< The run continues a text that an earlier run began.
        bool wasAbortedToMove = false; ///< This worker aborted the run to continue it on a faster server.
    };

    void takeLimits();
    const route *jobRoute() const;
    bool isFleetCurrent();
    void startItems(time_point now);
    void startScores(time_point now);
    bool startContinuation(time_point now, std::size_t index, const route &matchedRoute, std::string_view service);
    bool isOriginCertain(std::size_t index);
    void startItem(time_point now, std::size_t index, const route &matchedRoute, const backend_choice &server);
    void startScore(time_point now, std::size_t index, const route &matchedRoute, const backend_choice &server);
    void launch(time_point now, const std::shared_ptr<run> &newRun, const backend_choice &server, http_request request, duration limit);
    void send(const std::shared_ptr<run> &newRun, const backend_choice &server, http_request request, duration limit);
    void putOff(const std::shared_ptr<run> &unsentRun);
    const std::string &requestIdOf(const run &current) const;
    void onResponseHead(const std::shared_ptr<run> &answeredRun, const http_response &head);
    void onResponseBody(run &current, std::string_view part);
    void proveContinuation(const std::shared_ptr<run> &current);
    void takeEvents(run &current, std::string_view part);
    void onRunEnded(const std::shared_ptr<run> &endedRun, const http_call_end &end);
    void handleItemRunEnd(time_point now, run &endedRun, const http_call_end &end);
    void handleScoreRunEnd(time_point now, run &endedRun, const http_call_end &end);
    void reportBrokenServer(time_point now, const run &endedRun, const http_call_end &end);
    void abortRun(run &current, const char *reason);
    void abortSilentRuns(time_point now);
    void moveRunFromSlowServer(time_point now);
    backend_criteria selectionCriteria(std::size_t index, std::string_view service) const;
    backend_criteria continuationCriteria(std::size_t index, std::string_view service) const;
    void recordDueResults(time_point now);
    std::string encodeDraftsToKeep(time_point now);
    void logRun(const run &endedRun, const char *outcome, const std::string &detail) const;

    edge_context &m_context;
    fleet_cache &m_fleet;
    std::string m_job;
    job_metadata m_metadata;
    job_progress m_progress;
    time_point m_knownSince;
    time_point m_lastPlaceAt; ///< When a run of this job last began.
    text_statistics m_texts;
    int m_priority = 0; ///< Of the job's customer, or of its route.
    bool m_isShortOfPlaces = false;
    recorder m_recorder;
    std::vector<std::shared_ptr<run>> m_runs;
    std::map<std::size_t, server_contact> m_unprovenOrigins; ///< Of texts, by index of the item: contacts that began them and are not certain yet.
    std::set<std::size_t> m_originsBeingProven;
    std::map<std::size_t, int> m_moves; ///< By index of the item.
    move_budget m_moveBudget;
    time_point m_nextMoveCheckAt;
    std::uint64_t m_nextRunNumber = 1;
    std::optional<std::uint64_t> m_limitsVersion; ///< Version of the configuration from which the limits of the job's route were taken.
    time_point m_lastRecordedAt;
    time_point m_lastDraftsKeptAt;
    bool m_isAwaitingFleet = false; ///< Routes and servers are being read, because they are too old to start runs.
    bool m_isStopped = false;
};

} // namespace reedtrail
