/**
 * @file
 * Runs each request from its arrival to its single answer: asks the scheduler, starts the attempts that it orders and passes the answer to the receiver.
 *
 *     request_broker broker(io, client, "a", seed, {});
 *     broker.useSnapshot(snapshot);
 *     broker.submit(std::move(request), receiver);     // receiver.onEnd(...) runs exactly once, unless the request is cancelled
 *     broker.cancel(id);
 *
 * All functions run on the traffic thread.
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

/** A request submitted to the broker. */
struct broker_request
{
    arriving_request routing; ///< What the scheduler needs; its id identifies the request within this gate.
    std::string publicId; ///< Identifies the request in the whole fleet; sent to engines and callers.
    bool isCompletion = false; ///< Whether a model engine answers the request with a stream of tokens.
    http_request upstream; ///< The request sent to a plain service; unused for a completion.
    nlohmann::json completion; ///< The body sent to a model engine; stream, priority and request_id are set for each attempt.
};

/** How a request ended. */
struct broker_answer
{
    error_kind error = error_kind::None;
    std::string detail;
    duration retryAfter{}; ///< Delay before the caller should retry a refused request; 0 if none is advised.
    server_id server; ///< The server of the last attempt.
    http_response response; ///< The server's complete response, unless the answer is a stream of tokens.
    bool isStream = false; ///< Whether the answer was a stream of tokens; all were passed to onChunk.
    std::vector<version_range> versions; ///< Weight versions that produced the tokens.
    bool mayHaveRun = false; ///< Whether a server may have run any attempt.
};

/** Callbacks of whoever waits for the answer to a request. */
struct broker_receiver
{
    std::function<void(const server_id &server, const completion_chunk &chunk)> onChunk;
    std::function<void()> onDispatch; ///< Runs just before an attempt is sent to a server.
    std::function<void()> onNotStarted; ///< Runs if the server did not start that attempt.
    std::function<void()> onRestart; ///< Runs if a new attempt replaces one that sent tokens: discard all tokens so far. Only if buffersTokens is set.
    std::function<void(broker_answer answer)> onEnd;
    bool buffersTokens = false; ///< Whether the receiver holds tokens back, so that another server may restart the answer after the first token.
};

/** Options of a broker. */
struct broker_options
{
    scheduler_options scheduler;
    attempt_options attempt;
};

/** Runs the requests of one gate. */
class request_broker
{
public:
    request_broker(boost::asio::io_context &io, http_client &client, const zone_id &ownZone, std::uint64_t seed, broker_options options);
    ~request_broker();

    /** Uses @p snapshot for all attempts that start from now on. */
    void useSnapshot(snapshot_pointer snapshot);
    /** Submits a request, whose id must be new. */
    void submit(broker_request request, broker_receiver receiver);
    /** Cancels a request; none of its callbacks runs any more. */
    void cancel(const request_id &id);
    /** Processes a load report of a backend server. */
    void updateLoad(const server_load &load);
    /** Returns the customers' usage on this gate. @param node the id of this node */
    usage_report makeUsageReport(const node_id &node)
    {
        return m_scheduler.makeUsageReport(node);
    }
    /** Processes the customers' usage summed over all gates. */
    void updateUsage(const usage_total &total);
    /** Returns the number of requests without an answer. */
    std::size_t inFlight() const
    {
        return m_requests.size();
    }
    /** Returns the log of the scheduler's decisions and their causes. */
    decision_log &decisions()
    {
        return m_scheduler.decisions();
    }
    /** Returns the state, for dumps. */
    nlohmann::json dump() const;

private:
    struct request_state
    {
        broker_request request;
        broker_receiver receiver;
        std::shared_ptr<server_attempt> attempt;
        std::uint32_t attemptNumber = 0; ///< Number of the open attempt; 0 while none is open.
        server_id server;
        bool mayHaveRun = false;
        bool hasTokens = false;
        error_kind lastError = error_kind::None;
        std::string lastDetail;
    };

    void executeActions();
    void carryOut(const dispatch_request &action);
    void carryOut(const refuse_request &action);
    void carryOut(const cancel_attempt &action);
    void startAttempt(request_state &state, const server_target &target, const dispatch_request &action);
    void onAttemptChunk(const request_id &id, std::uint32_t attempt, const completion_chunk &chunk);
    void onAttemptEnded(const request_id &id, std::uint32_t attempt, attempt_result attemptResult);
    void deliverAnswer(const request_id &id, broker_answer answer);
    void armTimer();

    boost::asio::io_context &m_io;
    http_client &m_client;
    broker_options m_options;
    request_scheduler m_scheduler;
    request_scheduler::actions m_actions;
    bool m_isExecuting = false;
    snapshot_pointer m_snapshot;
    std::unordered_map<request_id, request_state> m_requests;
    boost::asio::steady_timer m_timer;
    time_point m_timerDeadline = timeNever;
};

} // namespace reedtrail
