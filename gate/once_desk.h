/**
 * @file
 * Takes named requests (with a ticket or an idempotency key) to the one gate that may run them, and runs those that are this gate's own.
 *
 *     once_desk desk(broker, issuer settings..., links);
 *     desk.submit(std::move(request), {.onChunk = ..., .respond = ...});
 *
 * It joins three cores: who may run a request (ticket_issuer, key_records), and what became of it (once_table). Everything runs on the traffic thread.
 */
#pragma once

#include "gate/caller_request.h"
#include "gate/draft_maker.h"
#include "gate/gate_messages.h"
#include "gate/request_broker.h"
#include "once/key_records.h"
#include "once/once_table.h"
#include "once/ticket.h"

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

/** Bounds of a desk. */
struct once_desk_options
{
    ticket_options tickets;
    once_table_options table;
    key_record_options keys;
    std::size_t maximumWaiting = 20000; ///< Named requests without an answer on this gate.
};

/** The desk. */
class once_desk
{
public:
    once_desk(boost::asio::io_context &io, request_broker &broker, request_issuer self, ticket_secret secret, once_desk_options options, once_links links);

    /** Issues a ticket. @return nothing if as many as allowed are outstanding */
    std::optional<std::string> issueTicket(const customer_id &customer);
    /** Takes a named request. @param original as the caller sent it, for forwarding @return a number for waiterGone() */
    std::uint64_t submit(caller_request request, const http_request &original, once_waiter waiter);
    /** Forgets a waiter. */
    void waiterGone(std::uint64_t number);
    /** Runs nothing new from now on; answers kept and under way are still given. */
    void beginDrain()
    {
        m_isDraining = true;
    }
    /** Returns how many waiters have no answer. */
    std::size_t waiting() const
    {
        return m_pending.size();
    }
    nlohmann::json dump() const;

private:
    struct pending_request
    {
        caller_request request;
        http_request original;
        once_waiter waiter;
        std::string name; ///< Within the table.
    };
    struct running_request;

    void resolveTicket(std::uint64_t number);
    void resolveKey(std::uint64_t number);
    void enter(std::uint64_t number);
    void forward(std::uint64_t number, const request_issuer &issuer);
    void run(const run_once &action);
    void ended(const std::shared_ptr<running_request> &running, const broker_answer &answer);
    void finishLive(const running_request &running, const broker_answer &answer);
    void performKeys(key_records::actions &actions);
    void perform(once_table::actions &actions);
    void respond(std::uint64_t number, http_response response);
    void refuse(std::uint64_t number, error_kind kind, std::string_view detail, duration retryAfter = {});
    void armTimer();

    boost::asio::io_context &m_io;
    request_broker &m_broker;
    request_issuer m_self;
    once_desk_options m_options;
    once_links m_links;
    ticket_issuer m_tickets;
    key_records m_keys;
    once_table m_table;
    boost::asio::steady_timer m_keyTimer;
    std::unordered_map<std::uint64_t, pending_request> m_pending;
    std::uint64_t m_nextNumber = 1;
    bool m_isDraining = false;
};

} // namespace reedtrail
