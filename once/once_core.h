/**
 * @file
 * Everything a gate decides about named requests: who may run one, whether it runs, and what each caller is told.
 *
 *     once_core<key_records> core(issuer, secret, {}, keys);
 *     core.onRequest(now, request, actions);
 *     for (auto &action : actions) { ... run_once, give_answer, give_error, forward_named, claim_record ... }
 *
 * A pure core; the same class runs in the gate and in the randomised runs.
 */
#pragma once

#include "base/check.h"
#include "once/key_standing.h"
#include "once/once_table.h"
#include "once/ticket.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace reedtrail {

/** A named request as a gate receives it. */
struct named_request
{
    waiter_id waiter = 0; ///< Differs from all others of this gate.
    std::string ticket; ///< Or, if empty:
    std::string key; ///< Customer and hash of the idempotency key; see keyRecordName().
    customer_id customer;
    std::uint64_t contentHash = 0;
    std::uint32_t attempt = 0;
    bool isForwarded = false; ///< Whether another gate passed it on.
};

/** Pass the request of a waiter on to the only gate that may run it. */
struct forward_named
{
    waiter_id waiter = 0;
    request_issuer issuer;
};

/** Bounds of the core. */
struct once_options
{
    ticket_options tickets;
    once_table_options table;
    std::size_t maximumWaiting = 20000; ///< Named requests without an answer on this gate.
};

/** The core. */
template<key_ownership Keys>
class once_core
{
public:
    using action = std::variant<run_once, give_answer, give_error, forward_named, typename Keys::store_request>;
    using actions = std::vector<action>;

    once_core(request_issuer self, ticket_secret secret, once_options options, Keys keys)
        : m_self(self)
        , m_options(options)
        , m_tickets(self.node, self.number, secret, options.tickets)
        , m_keys(std::move(keys))
        , m_table(options.table)
    {
    }

    /** Issues a ticket. @return nothing if as many as allowed are outstanding */
    std::optional<std::string> issueTicket(time_point now, const customer_id &customer)
    {
        return m_isDraining ? std::nullopt : m_tickets.issue(now, customer);
    }

    /** Takes a request: in the end its waiter gets exactly one answer or error, unless it goes away. */
    void onRequest(time_point now, named_request request, actions &out)
    {
        const waiter_id waiter = request.waiter;
        if (m_waiting.size() >= m_options.maximumWaiting) {
            out.push_back(give_error{ waiter, error_kind::PeerUnreachable, "too many named requests wait on this gate; send the same one again later", {} });
            return;
        }
        std::string name = request.ticket.empty() ? "key/" + request.key : "ticket/" + request.ticket;
        const bool isTicket = !request.ticket.empty();
        m_waiting[waiter] = { std::move(request), std::move(name) };
        isTicket ? resolveTicket(now, waiter, out) : resolveKey(now, waiter, out);
    }

    /** Takes what the store answered; @p tell hands it to the keys. */
    template<class Tell>
    void onStoreAnswer(time_point now, Tell tell, actions &out)
    {
        typename Keys::actions found;
        tell(m_keys, found);
        takeResolved(now, found, out);
    }

    /** Notes that the answer to a forwarded request reached its waiter. */
    void onForwardAnswered(waiter_id waiter)
    {
        m_waiting.erase(waiter);
    }
    /** Notes that a forwarded request got no answer: it may have run. */
    void onForwardFailed(waiter_id waiter, const request_issuer &issuer, actions &out)
    {
        fail(waiter, error_kind::TicketForeign, "node " + issuer.node.str() + " cannot be reached", out);
    }

    /** Notes that an attempt is about to be handed to a server. */
    void onDispatched(const std::string &name)
    {
        m_table.onDispatched(name);
    }
    /** Notes that nothing of the open attempt ran. */
    void onNotStarted(const std::string &name)
    {
        m_table.onNotStarted(name);
    }
    /** Ends a request of this gate's own with its answer. */
    void onAnswered(time_point now, const std::string &name, kept_answer answer, actions &out)
    {
        once_table::actions done;
        m_table.onAnswered(now, name, std::move(answer), done);
        takeEnds(done, out);
    }
    /** Ends one that was given up on before anything was handed to a server. */
    void onNotRun(time_point now, const std::string &name, error_kind kind, std::string detail, duration retryAfter, actions &out)
    {
        once_table::actions done;
        m_table.onNotRun(now, name, kind, std::move(detail), retryAfter, done);
        takeEnds(done, out);
    }
    /** Ends one whose outcome cannot be learnt. */
    void onUnknown(time_point now, const std::string &name, error_kind kind, std::string detail, actions &out)
    {
        once_table::actions done;
        m_table.onUnknown(now, name, kind, std::move(detail), done);
        takeEnds(done, out);
    }

    /** Forgets a waiter whose connection ended, or that was answered otherwise. */
    void onWaiterGone(waiter_id waiter)
    {
        const auto found = m_waiting.find(waiter);
        if (found != m_waiting.end()) {
            m_table.onWaiterGone(found->second.name, waiter);
            m_waiting.erase(found);
        }
    }

    /** Handles what is due. */
    void onTimer(time_point now, actions &out)
    {
        m_table.onTimer(now);
        typename Keys::actions found;
        m_keys.onTimer(now, found);
        takeResolved(now, found, out);
    }
    /** Returns when onTimer() must be called next. */
    time_point nextDeadline() const
    {
        return m_keys.nextDeadline();
    }

    /** Runs nothing new from now on; what is kept or under way is still answered. */
    void beginDrain()
    {
        m_isDraining = true;
    }
    /** Returns how many waiters have no answer. */
    std::size_t waiting() const
    {
        return m_waiting.size();
    }
    const once_table &table() const
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
        std::string name; ///< Within the table.
    };

    void resolveTicket(time_point now, waiter_id waiter, actions &out)
    {
        const waiting_request &waiting = m_waiting.at(waiter);
        const ticket_check check = m_tickets.check(now, waiting.request.customer, waiting.request.ticket);
        switch (check.standing) {
        case ticket_standing::Own:
            enter(now, waiter, out);
            return;
        case ticket_standing::Foreign:
            forward(waiter, check.issuer, out);
            return;
        case ticket_standing::Expired:
            if (m_table.contains(waiting.name)) {
                enter(now, waiter, out);
            } else {
                fail(waiter, error_kind::TicketSpent, "the ticket has expired; whether it was used is not known any more", out);
            }
            return;
        case ticket_standing::Invalid:
            fail(waiter, error_kind::TicketUnknown, "this is no ticket of this customer", out);
            return;
        }
    }

    void resolveKey(time_point now, waiter_id waiter, actions &out)
    {
        const waiting_request &waiting = m_waiting.at(waiter);
        if (Keys::isPermanent && m_table.contains(waiting.name)) {
            enter(now, waiter, out);
            return;
        }
        typename Keys::actions found;
        m_keys.resolve(now, waiter, waiting.request.key, found);
        takeResolved(now, found, out);
    }

    void takeResolved(time_point now, typename Keys::actions &found, actions &out)
    {
        for (auto &each : found) {
            if (auto *store = std::get_if<typename Keys::store_request>(&each)) {
                out.push_back(std::move(*store));
            } else if (m_waiting.contains(std::get<resolved_key>(each).request)) {
                takeStanding(now, std::get<resolved_key>(each), out);
            }
        }
    }

    void takeStanding(time_point now, const resolved_key &resolved, actions &out)
    {
        switch (resolved.standing) {
        case key_standing::Own:
            enter(now, resolved.request, out);
            return;
        case key_standing::Foreign:
            forward(resolved.request, resolved.issuer, out);
            return;
        case key_standing::Spent:
            fail(resolved.request, error_kind::TicketSpent, "the key was used too long ago", out);
            return;
        case key_standing::Unresolved:
            fail(resolved.request, error_kind::PeerUnreachable, "who may run this key cannot be found out now; send the same request again", out);
            return;
        }
    }

    /** Submits a request that this incarnation alone may run. */
    void enter(time_point now, waiter_id waiter, actions &out)
    {
        const waiting_request &waiting = m_waiting.at(waiter);
        if (m_isDraining && !m_table.contains(waiting.name)) {
            fail(waiter, error_kind::Draining, "this gate is shutting down and will never run this request", out);
            return;
        }
        const named_request &request = waiting.request;
        once_table::actions done;
        m_table.onSubmission(now, { waiter, waiting.name, request.customer, request.contentHash, request.attempt }, done);
        takeEnds(done, out);
    }

    void forward(waiter_id waiter, const request_issuer &issuer, actions &out)
    {
        if (m_waiting.at(waiter).request.isForwarded || issuer.node == m_self.node) {
            fail(waiter, error_kind::TicketForeign, "it belongs to another process, on " + issuer.node.str(), out);
        } else {
            out.push_back(forward_named{ waiter, issuer });
        }
    }

    void fail(waiter_id waiter, error_kind kind, std::string detail, actions &out)
    {
        if (m_waiting.erase(waiter) > 0) {
            out.push_back(give_error{ waiter, kind, std::move(detail), {} });
        }
    }

    /** Passes on what the table decided; a waiter that gets its answer waits no longer. */
    void takeEnds(once_table::actions &done, actions &out)
    {
        for (once_action &each : done) {
            if (auto *run = std::get_if<run_once>(&each)) {
                out.push_back(std::move(*run));
            } else if (auto *given = std::get_if<give_answer>(&each)) {
                const bool isWaiting = m_waiting.erase(given->waiter) > 0;
                REEDTRAIL_CHECK(isWaiting, "an answer goes to a waiter that has none yet");
                out.push_back(std::move(*given));
            } else {
                m_waiting.erase(std::get<give_error>(each).waiter);
                out.push_back(std::move(std::get<give_error>(each)));
            }
        }
    }

    request_issuer m_self;
    once_options m_options;
    ticket_issuer m_tickets;
    Keys m_keys;
    once_table m_table;
    std::unordered_map<waiter_id, waiting_request> m_waiting;
    bool m_isDraining = false;
};

} // namespace reedtrail
