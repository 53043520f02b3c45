/**
 * @file
 * Runs each named request (with a ticket or an idempotency key) at most once in the fleet. Only the gate that issued the ticket, or that the store names for
 * the key, may run it: this gate runs its own requests and forwards all others.
 *
 *     request_deduplicator deduplicator(io, broker, issuer settings..., dependencies);
 *     deduplicator.submit(std::move(request), original, {.onChunk = ..., .respond = ...});
 *
 * It carries out what once_coordinator decides. Everything runs on the traffic thread.
 */
#pragma once

#include "gate/caller_request.h"
#include "gate/draft_maker.h"
#include "gate/gate_messages.h"
#include "gate/request_broker.h"
#include "once/key_records.h"
#include "once/once_coordinator.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace reedtrail {

/** Callbacks of the caller, or of the forwarding gate, that waits for the answer to a named request. */
struct named_request_callbacks
{
    std::function<void(const server_id &server, const completion_chunk &chunk)> onChunk; ///< Gets tokens as they arrive; may be empty.
    std::function<void(const broker_answer &answer)> finishStream; ///< Ends an answer whose tokens were passed to onChunk; set if onChunk is.
    std::function<void(http_response response)> respond; ///< Runs once, unless the waiter was removed or finishStream ran.
    bool isForwarded = false; ///< Whether another gate forwarded the request; it is then not forwarded again.
};

/** Functions of the rest of the gate that the deduplicator calls. */
struct deduplicator_dependencies
{
    draft_maker::id_source nextIds;
    /** Forwards a request to the gate of @p node. onAnswer gets nothing if no answer came. */
    std::function<void(const node_id &node, forwarded_request request, std::function<void(std::optional<forwarded_answer> answer)> onAnswer)> forward;
    /** Creates the record of a key in the store if there is none. */
    std::function<void(const claim_record &claim, std::function<void(claim_result outcome, const key_record &found)> onAnswer)> claim;
};

/** Deduplicates the named requests of one gate. */
class request_deduplicator
{
public:
    request_deduplicator(boost::asio::io_context &io,
                         request_broker &broker,
                         gate_incarnation self,
                         ticket_secret secret,
                         const once_options &options,
                         deduplicator_dependencies dependencies);

    /** Issues a ticket. @return nothing if as many as allowed are outstanding, or during a drain */
    std::optional<std::string> issueTicket(const customer_id &customer);
    /** Accepts a named request. @param original the request as the caller sent it, used for forwarding @return the id of the waiter, for removeWaiter() */
    std::uint64_t submit(caller_request request, const http_request &original, named_request_callbacks waiter);
    /** Removes a waiter whose connection has closed; its callbacks no longer run. */
    void removeWaiter(std::uint64_t waiterId);
    /** Starts no new request from now on. Requests in progress are finished, and stored answers are still returned. */
    void beginDrain()
    {
        m_core.beginDrain();
    }
    /** Returns how many waiters have no answer. */
    std::size_t waitingCount() const
    {
        return m_pending.size();
    }
    /** Returns the state, for dumps. */
    nlohmann::json dump() const;

private:
    using core = once_coordinator<key_records>;
    struct pending_request
    {
        caller_request request;
        http_request original;
        named_request_callbacks waiter;
    };
    struct running_request;

    void executeActions(core::actions &actions);
    void carryOut(const run_request &action);
    void carryOut(const send_answer &action);
    void carryOut(const send_error &action);
    void carryOut(const forward_request &action);
    void carryOut(const claim_record &action);
    void onRequestEnded(const std::shared_ptr<running_request> &running, const broker_answer &answer);
    void finishStream(const running_request &running, const broker_answer &answer);
    void onForwardEnded(std::uint64_t waiterId, const gate_incarnation &issuer, std::optional<forwarded_answer> answer);
    void respond(std::uint64_t waiterId, http_response response);
    void armTimer();

    request_broker &m_broker;
    deduplicator_dependencies m_dependencies;
    core m_core;
    boost::asio::steady_timer m_timer;
    std::unordered_map<std::uint64_t, pending_request> m_pending;
    std::uint64_t m_nextWaiterId = 1;
};

} // namespace reedtrail
