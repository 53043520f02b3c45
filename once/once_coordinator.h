/**
 * @file
 * Decides what a gate does with named requests, that is, requests with a ticket or an idempotency key, which run at most once: which gate may run one,
 * whether it runs, and what each caller is told.
 *
 *     once_coordinator<key_records> coordinator(self, secret, {}, keys);
 *     coordinator.onRequest(now, request, actions);
 *     for (auto &action : actions) { ... run_request, send_answer, send_error, forward_request, claim_record ... }
 *
 * The class does no input or output: it takes events and returns actions. The gate and the randomised simulation run the same class.
 */
#pragma once

#include "base/check.h"
#include "once/deduplication_table.h"
#include "once/key_resolution.h"
#include "once/ticket.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace reedtrail {

/** A request with a ticket or an idempotency key, as a gate receives it. */
struct named_request
{
    waiter_id waiter = 0; ///< Unique within this gate.
    std::string ticket; ///< Empty if the request has an idempotency key.
    std::string key; ///< Customer and hash of the idempotency key, see keyRecordName(); used if there is no ticket.
    customer_id customer;
    std::uint64_t contentHash = 0; ///< Hash of method, target and body; a retry must have the same.
    std::uint32_t attempt = 0; ///< The caller raises it to send a request again that was answered "not run".
    bool isForwarded = false; ///< Whether another gate forwarded the request; it is not forwarded a second time.
};

/** Action: forward the request of a waiter to the only gate that may run it. */
struct forward_request
{
    waiter_id waiter = 0;
    gate_incarnation owner;
};

/** Options of once_coordinator. */
struct once_options
{
    ticket_options tickets;
    deduplication_options table;
    std::size_t maximumWaiting = 20000; ///< Limit of named requests that wait for an answer on this gate.
};

/** Coordinates at-most-once execution on one gate. @tparam Keys how the owner of an idempotency key is found */
template<key_resolver Keys>
class once_coordinator
{
public:
    using action = std::variant<run_request, send_answer, send_error, forward_request, typename Keys::store_request>;
    using actions = std::vector<action>;

    once_coordinator(gate_incarnation self, ticket_secret secret, once_options options, Keys keys)
        : m_self(self)
        , m_options(options)
        , m_tickets(self.node, self.number, secret, options.tickets)
        , m_keys(std::move(keys))
        , m_table(options.table)
    {
    }

    /** Issues a ticket. @return nothing while draining, or if the limit of outstanding tickets is reached */
    std::optional<std::string> issueTicket(time_point now, const customer_id &customer)
    {
        return m_isDraining ? std::nullopt : m_tickets.issue(now, customer);
    }

    /** Handles a request. Its waiter gets exactly one answer or error, unless onWaiterGone() is called first. */
    void onRequest(time_point now, named_request request, actions &out)
    {
        const waiter_id waiter = request.waiter;
        if (m_waiting.size() >= m_options.maximumWaiting) {
            out.push_back(send_error{ waiter, error_kind::PeerUnreachable, "too many named requests wait on this gate; send the same one again later", {} });
            return;
        }
        std::string name = request.ticket.empty() ? "key/" + request.key : "ticket/" + request.ticket;
        const bool isTicket = !request.ticket.empty();
        m_waiting[waiter] = { std::move(request), std::move(name) };
        isTicket ? resolveTicket(now, waiter, out) : resolveKey(now, waiter, out);
    }

    /** Handles an answer of the store. @param applyAnswer passes the answer to the key resolver, which adds its actions to the given list */
    template<class ApplyAnswer>
    void onStoreAnswer(time_point now, ApplyAnswer applyAnswer, actions &out)
    {
        typename Keys::actions found;
        applyAnswer(m_keys, found);
        applyResolved(now, found, out);
    }

    /** Removes the waiter of a forwarded request that got its answer. */
    void onForwardAnswered(waiter_id waiter)
    {
        m_waiting.erase(waiter);
    }
    /** Fails the waiter of a forwarded request that got no answer; the request may have run. */
    void onForwardFailed(waiter_id waiter, const gate_incarnation &owner, actions &out)
    {
        fail(waiter, error_kind::TicketForeign, "node " + owner.node.str() + " cannot be reached", out);
    }

    /** Records that an attempt is about to be sent to a server. Must be called before the first byte is sent. */
    void onDispatched(const std::string &name)
    {
        m_table.onDispatched(name);
    }
    /** Records that the server did not start the current attempt; the request may be dispatched again. */
    void onNotStarted(const std::string &name)
    {
        m_table.onNotStarted(name);
    }
    /** Ends a request that this gate runs with its answer. */
    void onAnswered(time_point now, const std::string &name, cached_answer answer, actions &out)
    {
        deduplication_table::actions done;
        m_table.onAnswered(now, name, std::move(answer), done);
        applyTableActions(done, out);
    }
    /** Ends a request that no server started. */
    void onNotRun(time_point now, const std::string &name, error_kind kind, std::string detail, duration retryAfter, actions &out)
    {
        deduplication_table::actions done;
        m_table.onNotRun(now, name, kind, std::move(detail), retryAfter, done);
        applyTableActions(done, out);
    }
    /** Ends a request that may have run and whose outcome cannot be found out. */
    void onUnknown(time_point now, const std::string &name, error_kind kind, std::string detail, actions &out)
    {
        deduplication_table::actions done;
        m_table.onUnknown(now, name, kind, std::move(detail), done);
        applyTableActions(done, out);
    }

    /** Removes a waiter whose connection ended, or that got its answer by another way (such as live tokens). */
    void onWaiterGone(waiter_id waiter)
    {
        const auto found = m_waiting.find(waiter);
        if (found != m_waiting.end()) {
            m_table.onWaiterGone(found->second.name, waiter);
            m_waiting.erase(found);
        }
    }

    /** Expires table entries and retries key resolutions that are due. */
    void onTimer(time_point now, actions &out)
    {
        m_table.onTimer(now);
        typename Keys::actions found;
        m_keys.onTimer(now, found);
        applyResolved(now, found, out);
    }
    /** Returns when onTimer() must be called next. */
    time_point nextDeadline() const
    {
        return m_keys.nextDeadline();
    }

    /** Stops accepting new names. Requests in progress finish, and cached answers are still returned. */
    void beginDrain()
    {
        m_isDraining = true;
    }
    /** Returns how many waiters have not been answered. */
    std::size_t waiting() const
    {
        return m_waiting.size();
    }
    const deduplication_table &table() const
    {
        return m_table;
    }
    const Keys &keys() const
    {
        return m_keys;
    }

private:
    struct waiting_request
    {
        named_request request;
        std::string name; ///< Name in the deduplication table: "ticket/" or "key/" and the ticket or key.
    };

    void resolveTicket(time_point now, waiter_id waiter, actions &out)
    {
        const waiting_request &waiting = m_waiting.at(waiter);
        const ticket_check check = m_tickets.check(now, waiting.request.customer, waiting.request.ticket);
        switch (check.status) {
        case ticket_status::Own:
            submitToTable(now, waiter, out);
            return;
        case ticket_status::Foreign:
            forward(waiter, check.issuer, out);
            return;
        case ticket_status::Expired:
            if (m_table.contains(waiting.name)) {
                submitToTable(now, waiter, out);
            } else {
                fail(waiter, error_kind::TicketSpent, "the ticket has expired; whether it was used is not known any more", out);
            }
            return;
        case ticket_status::Invalid:
            fail(waiter, error_kind::TicketUnknown, "this is no ticket of this customer", out);
            return;
        }
    }

    void resolveKey(time_point now, waiter_id waiter, actions &out)
    {
        const waiting_request &waiting = m_waiting.at(waiter);
        if (Keys::hasFixedOwners && m_table.contains(waiting.name)) {
            submitToTable(now, waiter, out);
            return;
        }
        typename Keys::actions found;
        m_keys.resolve(now, waiter, waiting.request.key, found);
        applyResolved(now, found, out);
    }

    void applyResolved(time_point now, typename Keys::actions &found, actions &out)
    {
        for (auto &each : found) {
            if (auto *store = std::get_if<typename Keys::store_request>(&each)) {
                out.push_back(std::move(*store));
            } else if (m_waiting.contains(std::get<resolved_key>(each).request)) {
                applyResolution(now, std::get<resolved_key>(each), out);
            }
        }
    }

    void applyResolution(time_point now, const resolved_key &resolved, actions &out)
    {
        switch (resolved.resolution) {
        case key_resolution::Own:
            submitToTable(now, resolved.request, out);
            return;
        case key_resolution::Foreign:
            forward(resolved.request, resolved.owner, out);
            return;
        case key_resolution::Expired:
            fail(resolved.request, error_kind::TicketSpent, "the key was used too long ago", out);
            return;
        case key_resolution::Unresolved:
            fail(resolved.request, error_kind::PeerUnreachable, "who may run this key cannot be found out now; send the same request again", out);
            return;
        }
    }

    /** Submits a request that only this incarnation may run to the deduplication table. */
    void submitToTable(time_point now, waiter_id waiter, actions &out)
    {
        const waiting_request &waiting = m_waiting.at(waiter);
        if (m_isDraining && !m_table.contains(waiting.name)) {
            fail(waiter, error_kind::Draining, "this gate is shutting down and will never run this request", out);
            return;
        }
        const named_request &request = waiting.request;
        deduplication_table::actions done;
        m_table.onSubmission(now, { waiter, waiting.name, request.customer, request.contentHash, request.attempt }, done);
        applyTableActions(done, out);
    }

    void forward(waiter_id waiter, const gate_incarnation &owner, actions &out)
    {
        if (m_waiting.at(waiter).request.isForwarded || owner.node == m_self.node) {
            fail(waiter, error_kind::TicketForeign, "it belongs to another process, on " + owner.node.str(), out);
        } else {
            out.push_back(forward_request{ waiter, owner });
        }
    }

    void fail(waiter_id waiter, error_kind kind, std::string detail, actions &out)
    {
        if (m_waiting.erase(waiter) > 0) {
            out.push_back(send_error{ waiter, kind, std::move(detail), {} });
        }
    }

    /** Appends the actions of the table and removes the waiters that they answer. */
    void applyTableActions(deduplication_table::actions &done, actions &out)
    {
        for (deduplication_action &each : done) {
            if (auto *run = std::get_if<run_request>(&each)) {
                out.push_back(std::move(*run));
            } else if (auto *given = std::get_if<send_answer>(&each)) {
                const bool isWaiting = m_waiting.erase(given->waiter) > 0;
                REEDTRAIL_CHECK(isWaiting, "the table answered a waiter that was not waiting");
                out.push_back(std::move(*given));
            } else {
                m_waiting.erase(std::get<send_error>(each).waiter);
                out.push_back(std::move(std::get<send_error>(each)));
            }
        }
    }

    gate_incarnation m_self;
    once_options m_options;
    ticket_issuer m_tickets;
    Keys m_keys;
    deduplication_table m_table;
    std::unordered_map<waiter_id, waiting_request> m_waiting;
    bool m_isDraining = false;
};

} // namespace reedtrail
