/**
 * @file
 * Takes named requests (with a ticket or an idempotency key) to the one gate that may run them, and runs those that are this gate's own.
 *
 *     once_desk desk(broker, issuer settings..., links);
 *     desk.submit(std::move(request), {.onChunk = ..., .respond = ...});
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

/** Who waits for the answer to a named request. */
struct once_waiter
{
    std::function<void(const server_id &server, const completion_chunk &chunk)> onChunk; ///< Live tokens; may be empty.
    std::function<void(const broker_answer &answer)> finishLive; ///< Ends an answer whose tokens went to onChunk; set if onChunk is.
    std::function<void(http_response response)> respond; ///< Runs once, unless the waiter is gone or finishLive ran.
    bool isForwarded = false; ///< Whether another gate asks; it is then not forwarded again.
};

/** What a desk needs from the rest of the gate. */
struct once_links
{
    draft_maker::id_source nextIds;
    /** Passes a request to the gate of a node; gets nothing back if no answer came. */
    std::function<void(const node_id &node, forwarded_request request, std::function<void(std::optional<forwarded_answer> answer)> onAnswer)> forward;
    /** Creates a record in the store if there is none. */
    std::function<void(const claim_record &claim, std::function<void(claim_result outcome, const key_record &found)> onAnswer)> claim;
};

/** The desk. */
class once_desk
{
public:
    once_desk(boost::asio::io_context &io, request_broker &broker, gate_incarnation self, ticket_secret secret, const once_options &options, once_links links);

    /** Issues a ticket. @return nothing if as many as allowed are outstanding */
    std::optional<std::string> issueTicket(const customer_id &customer);
    /** Takes a named request. @param original as the caller sent it, for forwarding @return a number for waiterGone() */
    std::uint64_t submit(caller_request request, const http_request &original, once_waiter waiter);
    /** Forgets a waiter. */
    void waiterGone(std::uint64_t number);
    /** Runs nothing new from now on; answers kept and under way are still given. */
    void beginDrain()
    {
        m_core.beginDrain();
    }
    /** Returns how many waiters have no answer. */
    std::size_t waiting() const
    {
        return m_pending.size();
    }
    nlohmann::json dump() const;

private:
    using core = once_coordinator<key_records>;
    struct pending_request
    {
        caller_request request;
        http_request original;
        once_waiter waiter;
    };
    struct running_request;

    void perform(core::actions &actions);
    void carryOut(const run_request &action);
    void carryOut(const send_answer &action);
    void carryOut(const send_error &action);
    void carryOut(const forward_request &action);
    void carryOut(const claim_record &action);
    void ended(const std::shared_ptr<running_request> &running, const broker_answer &answer);
    void finishLive(const running_request &running, const broker_answer &answer);
    void forwardEnded(std::uint64_t number, const gate_incarnation &issuer, std::optional<forwarded_answer> answer);
    void respond(std::uint64_t number, http_response response);
    void armTimer();

    request_broker &m_broker;
    once_links m_links;
    core m_core;
    boost::asio::steady_timer m_timer;
    std::unordered_map<std::uint64_t, pending_request> m_pending;
    std::uint64_t m_nextNumber = 1;
};

} // namespace reedtrail
