/**
 * @file
 * Carries requests from their arrival to their one answer: asks the scheduler, runs the attempts it orders, and hands the answer to whoever waits.
 *
 *     request_broker broker(io, client, "a", seed, {});
 *     broker.useSnapshot(snapshot);
 *     broker.submit(std::move(request), receiver);     // receiver->onEnd(...) runs exactly once, unless cancelled
 *     broker.cancel(id);
 *
 * Everything runs on the traffic thread.
 */
#pragma once

#include "gate/fleet_snapshot.h"
#include "gate/server_attempt.h"
#include "net/http_client.h"
#include "routing/request_scheduler.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>

namespace reedtrail {

/** A request as the broker takes it. */
struct broker_request
{
    arriving_request routing; ///< Its id names the request in all of this gate.
    std::string publicId; ///< Unique in the fleet; given to engines and callers.
    bool isCompletion = false; ///< Whether a model engine answers it with a stream of tokens.
    http_request upstream; ///< As to be sent to a plain service.
    nlohmann::json completion; ///< Body for a model engine; priority and request_id are added for each attempt.
};

/** How a request ended. */
struct broker_answer
{
    error_kind error = error_kind::None;
    std::string detail;
    duration retryAfter{}; ///< Of a refusal; 0 if there is none.
    server_id server; ///< The last that was tried.
    http_response response; ///< The server's whole answer, if it is no stream of tokens.
    bool isStream = false; ///< Whether the answer was tokens, all handed to onChunk.
    std::vector<version_range> versions; ///< Of the tokens.
    bool mayHaveRun = false; ///< Whether any attempt may have run.
};

/** Who waits for an answer. */
struct broker_receiver
{
    std::function<void(const server_id &server, const completion_chunk &chunk)> onChunk;
    std::function<void()> onDispatch; ///< An attempt is about to be handed to a server.
    std::function<void()> onNotStarted; ///< Nothing of that attempt ran.
    std::function<void()> onRestart; ///< The tokens handed over so far are void: another attempt begins. Only for receivers that buffersTokens.
    std::function<void(broker_answer answer)> onEnd;
    bool buffersTokens = false; ///< Whether nothing was passed on yet when tokens arrive, so that another server may begin anew.
};

/** Bounds of a broker. */
struct broker_options
{
    scheduler_options scheduler;
    attempt_options attempt;
};

/** The broker. */
class request_broker
{
public:
    request_broker(boost::asio::io_context &io, http_client &client, const zone_id &ownZone, std::uint64_t seed, broker_options options);
    ~request_broker();

    /** Takes over a snapshot. */
    void useSnapshot(snapshot_pointer snapshot);
    /** Takes a request. */
    void submit(broker_request request, broker_receiver receiver);
    /** Gives a request up; its receiver hears nothing more. */
    void cancel(const request_id &id);
    /** Takes a load report. */
    void takeLoad(const server_load &load);
    /** Returns what customers use of this gate. @param node this node */
    usage_report makeUsageReport(const node_id &node)
    {
        return m_scheduler.makeUsageReport(node);
    }
    /** Takes what customers use of all gates. */
    void takeUsage(const usage_total &total);
    /** Returns how many requests have no answer yet. */
    std::size_t inFlight() const
    {
        return m_live.size();
    }
    /** Returns the decisions and their causes. */
    decision_log &decisions()
    {
        return m_scheduler.decisions();
    }
    /** Returns the whole state. */
    nlohmann::json dump() const;

private:
    struct live_request
    {
        broker_request request;
        broker_receiver receiver;
        std::shared_ptr<server_attempt> attempt;
        std::uint32_t attemptNumber = 0; ///< Of the open attempt; 0 while there is none.
        server_id server;
        bool mayHaveRun = false;
        bool hasTokens = false;
        error_kind lastError = error_kind::None;
        std::string lastDetail;
    };

    void perform();
    void carryOut(const dispatch_request &action);
    void carryOut(const refuse_request &action);
    void carryOut(const cancel_attempt &action);
    void startAttempt(live_request &live, const server_target &target, const dispatch_request &action);
    void takeChunk(const request_id &id, std::uint32_t attempt, const completion_chunk &chunk);
    void attemptEnded(const request_id &id, std::uint32_t attempt, attempt_report report);
    void answer(const request_id &id, broker_answer answer);
    void armTimer();

    boost::asio::io_context &m_io;
    http_client &m_client;
    broker_options m_options;
    request_scheduler m_scheduler;
    request_scheduler::actions m_actions;
    bool m_isPerforming = false;
    snapshot_pointer m_snapshot;
    std::unordered_map<request_id, live_request> m_live;
    boost::asio::steady_timer m_timer;
    time_point m_timerAt = timeNever;
};

} // namespace reedtrail
