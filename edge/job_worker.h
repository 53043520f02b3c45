/**
 * @file
 * Runs the items of one batch job that this node owns: sends them to model servers, has their texts scored, and hands results over for recording.
 */
#pragma once

#include "batch/job_progress.h"
#include "edge/edge_context.h"
#include "edge/fleet_cache.h"
#include "net/event_stream.h"
#include "platform/server_wire.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace reedtrail {

/** The worker of one job. */
class job_worker : public std::enable_shared_from_this<job_worker>
{
public:
    /** Where finished results go. */
    struct recorder
    {
        std::function<void(std::vector<item_result>, std::string drafts)> record; ///< noteRecorded() follows.
        std::function<void(std::string drafts)> keepDrafts;
        std::function<bool()> isRecording; ///< Whether an earlier record is under way.
    };

    job_worker(edge_context &context, fleet_cache &fleet, std::string job, job_facts facts, job_spec spec, recorder record);
    ~job_worker();

    /** Takes results that are recorded. */
    void noteRecorded(std::span<const item_result> results);
    /** Goes on from texts that an owner before has left. */
    void restore(std::span<const item_draft> drafts);
    /** Starts what can start now, and records what is due. */
    void pump();
    /** Ends all runs; the worker does nothing afterwards. */
    void stop();

    const job_progress &progress() const
    {
        return m_progress;
    }
    bool isDone() const
    {
        return m_progress.isDone();
    }

private:
    struct run
    {
        std::size_t item = 0;
        std::uint64_t number = 0;
        std::string server;
        std::shared_ptr<http_call> call;
        event_stream_reader events;
        platform::server_answer answer;
        std::uint64_t version = 0;
        bool isBadAnswer = false;
        std::size_t eventCount = 0;
        time_point lastActivity;
        time_point startedAt;
        bool isScore = false;
        bool isSilent = false; ///< Broken off here because nothing came.
        bool isMoving = false; ///< Broken off here to go on at a faster server.
        std::string errorBody;
    };

    static job_progress_options optionsFor(const fleet_cache &fleet, const job_facts &facts, const job_spec &spec);
    const route *jobRoute() const;
    void startItems(time_point now);
    void startScores(time_point now);
    void startItem(time_point now, std::size_t index, const route &where, const backend_choice &server);
    void startScore(time_point now, std::size_t index, const route &where, const backend_choice &server);
    void launch(time_point now, const std::shared_ptr<run> &started, const backend_choice &server, http_request request, duration limit);
    void gotHead(run &current, const http_response &head);
    void gotBody(run &current, std::string_view part);
    void runEnded(const std::shared_ptr<run> &ended, const http_call_end &end);
    void itemEnded(time_point now, run &ended, const http_call_end &end);
    void scoreEnded(time_point now, run &ended, const http_call_end &end);
    void noteBroken(time_point now, const run &ended, const http_call_end &end);
    void breakOff(run &current, const char *reason);
    void checkSilence(time_point now);
    void leaveSlowServers(time_point now);
    backend_wish wishFor(std::size_t index, std::string_view service) const;
    void recordDue(time_point now);
    std::string draftsToKeep(time_point now);
    void logRun(const run &ended, const char *outcome, const std::string &detail) const;

    edge_context &m_context;
    fleet_cache &m_fleet;
    std::string m_job;
    job_facts m_facts;
    job_progress m_progress;
    recorder m_recorder;
    std::vector<std::shared_ptr<run>> m_runs;
    std::uint64_t m_nextRun = 1;
    time_point m_recordedAt;
    time_point m_draftsKeptAt;
    bool m_isStopped = false;
};

} // namespace reedtrail
