// A named request is run only by the gate incarnation that its name is bound to; any other gate passes it on as it came, or says truthfully that the outcome
// is unknown. A gate never answers "not run" for a name that another incarnation may have run.
//
// The answer of a waiter is found by its number, which is given once, and the table hands out an answer only for the name under which that number was
// submitted, checked for the same customer and content. So an answer that comes late, twice or crossed reaches nobody else.

#include "gate/once_desk.h"

#include "base/check.h"
#include "gate/answer_writer.h"
#include "node/process_host.h"

namespace reedtrail {
namespace {

kept_answer keptOf(http_response response)
{
    kept_answer kept;
    kept.status = response.status;
    kept.body = std::move(response.body);
    for (const http_field &field : response.fields.all()) {
        kept.fields.emplace_back(field.name, field.value);
    }
    return kept;
}

http_response responseOf(const kept_answer &kept)
{
    http_response response;
    response.status = kept.status;
    response.body = kept.body;
    for (const auto &[name, value] : kept.fields) {
        response.fields.set(name, value);
    }
    return response;
}

} // namespace

/** A request of this gate's own that runs now. */
struct once_desk::running_request
{
    std::string name;
    std::string publicId;
    bool isStream = false;
    std::uint64_t number = 0; ///< Of the waiter that brought it and gets its tokens live.
    std::string text;
    std::string finishReason;
    bool hasLiveTokens = false; ///< Whether that waiter has got any.
};

once_desk::once_desk(
    boost::asio::io_context &io, request_broker &broker, request_issuer self, ticket_secret secret, once_desk_options options, once_links links)
    : m_io(io)
    , m_broker(broker)
    , m_self(self)
    , m_options(options)
    , m_links(std::move(links))
    , m_tickets(self.node, self.number, secret, options.tickets)
    , m_keys(self, options.keys)
    , m_table(options.table)
    , m_keyTimer(io)
{
}

std::optional<std::string> once_desk::issueTicket(const customer_id &customer)
{
    return m_tickets.issue(monotonicNow(), customer);
}

std::uint64_t once_desk::submit(caller_request request, const http_request &original, once_waiter waiter)
{
    const std::uint64_t number = m_nextNumber++;
    const bool isKey = request.ticket.empty();
    const customer_id &customer = request.broker.routing.customer;
    std::string name = isKey ? "key/" + keyRecordName(customer, request.idempotencyKey) : "ticket/" + request.ticket;
    m_pending.emplace(number, pending_request{ std::move(request), original, std::move(waiter), std::move(name) });
    if (m_pending.size() > m_options.maximumWaiting) {
        refuse(number, error_kind::PeerUnreachable, "too many named requests wait on this gate; send the same one again later");
    } else if (isKey) {
        resolveKey(number);
    } else {
        resolveTicket(number);
    }
    return number;
}

void once_desk::waiterGone(std::uint64_t number)
{
    const auto found = m_pending.find(number);
    if (found != m_pending.end()) {
        m_table.onWaiterGone(found->second.name, number);
        m_pending.erase(found);
    }
}

void once_desk::resolveTicket(std::uint64_t number)
{
    const pending_request &pending = m_pending.at(number);
    const ticket_check check = m_tickets.check(monotonicNow(), pending.request.broker.routing.customer, pending.request.ticket);
    switch (check.standing) {
    case ticket_standing::Own:
        enter(number);
        return;
    case ticket_standing::Foreign:
        forward(number, check.issuer);
        return;
    case ticket_standing::Expired:
        if (m_table.contains(pending.name)) {
            enter(number);
        } else {
            refuse(number, error_kind::TicketSpent, "the ticket has expired; whether it was used is not known any more");
        }
        return;
    case ticket_standing::Invalid:
        refuse(number, error_kind::TicketUnknown, "this is no ticket of this customer");
        return;
    }
}

void once_desk::resolveKey(std::uint64_t number)
{
    const pending_request &pending = m_pending.at(number);
    if (m_table.contains(pending.name)) {
        enter(number);
        return;
    }
    key_records::actions actions;
    m_keys.resolve(monotonicNow(), number, keyRecordName(pending.request.broker.routing.customer, pending.request.idempotencyKey), actions);
    performKeys(actions);
}

void once_desk::performKeys(key_records::actions &actions)
{
    for (const key_action &action : actions) {
        if (const auto *claim = std::get_if<claim_record>(&action)) {
            m_links.claim(*claim, [this, operation = claim->operation](claim_result outcome, const key_record &found) {
                key_records::actions further;
                m_keys.onClaimAnswer(monotonicNow(), operation, outcome, found, further);
                performKeys(further);
            });
            continue;
        }
        const auto &resolved = std::get<resolved_key>(action);
        if (!m_pending.contains(resolved.request)) {
            continue;
        }
        switch (resolved.standing) {
        case key_standing::Own:
            enter(resolved.request);
            break;
        case key_standing::Foreign:
            forward(resolved.request, resolved.issuer);
            break;
        case key_standing::Spent:
            refuse(resolved.request, error_kind::TicketSpent, "the key was used too long ago");
            break;
        case key_standing::Unresolved:
            refuse(resolved.request, error_kind::PeerUnreachable, "the store cannot say whether this key was used; send the same request again");
            break;
        }
    }
    armTimer();
}

void once_desk::armTimer()
{
    const time_point next = m_keys.nextDeadline();
    if (next == timeNever) {
        return;
    }
    m_keyTimer.expires_at(std::chrono::steady_clock::time_point(next.time_since_epoch()));
    m_keyTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            key_records::actions actions;
            m_keys.onTimer(monotonicNow(), actions);
            performKeys(actions);
        }
    });
}

/** Submits a request that this incarnation alone may run. */
void once_desk::enter(std::uint64_t number)
{
    const pending_request &pending = m_pending.at(number);
    if (m_isDraining && !m_table.contains(pending.name)) {
        refuse(number, error_kind::Draining, "this gate is shutting down and will never run this request");
        return;
    }
    const caller_request &request = pending.request;
    once_table::actions actions;
    m_table.onSubmission(monotonicNow(), { number, pending.name, request.broker.routing.customer, request.contentHash, request.attempt }, actions);
    perform(actions);
}

void once_desk::perform(once_table::actions &actions)
{
    for (const once_action &action : actions) {
        if (const auto *runAction = std::get_if<run_once>(&action)) {
            run(*runAction);
        } else if (const auto *given = std::get_if<give_answer>(&action)) {
            http_response response = responseOf(*given->answer);
            if (given->isReplay) {
                response.fields.set("Reedtrail-Replayed", "1");
            }
            respond(given->waiter, std::move(response));
        } else {
            const auto &failed = std::get<give_error>(action);
            refuse(failed.waiter, failed.kind, failed.detail, failed.retryAfter);
        }
    }
}

void once_desk::run(const run_once &action)
{
    const pending_request &pending = m_pending.at(action.waiter);
    const request_ids ids = m_links.nextIds();
    const auto running = std::make_shared<running_request>();
    running->name = action.name;
    running->publicId = ids.publicId;
    running->isStream = pending.request.isStream;
    running->number = action.waiter;
    broker_request request = pending.request.broker;
    request.routing.id = ids.local;
    request.routing.isIdempotent = false;
    request.publicId = ids.publicId;
    broker_receiver receiver;
    receiver.onDispatch = [this, running] {
        m_table.onDispatched(running->name);
    };
    receiver.onNotStarted = [this, running] {
        m_table.onNotStarted(running->name);
    };
    receiver.onChunk = [this, running](const server_id &server, const completion_chunk &chunk) {
        running->text += chunk.text;
        running->finishReason = chunk.finishReason;
        const auto live = m_pending.find(running->number);
        if (live != m_pending.end() && live->second.waiter.onChunk) {
            running->hasLiveTokens = true;
            live->second.waiter.onChunk(server, chunk);
        }
    };
    receiver.onEnd = [this, running](const broker_answer &answer) {
        ended(running, answer);
    };
    m_broker.submit(std::move(request), std::move(receiver));
}

void once_desk::ended(const std::shared_ptr<running_request> &running, const broker_answer &answer)
{
    finishLive(*running, answer);
    once_table::actions actions;
    const time_point now = monotonicNow();
    if (answer.error == error_kind::None) {
        http_response response = running->isStream ? wholeStreamResponse(answer, running->publicId, running->text, running->finishReason)
                                                   : wholeResponse(answer, running->publicId, running->text, running->finishReason);
        m_table.onAnswered(now, running->name, keptOf(std::move(response)), actions);
    } else if (answer.mayHaveRun) {
        m_table.onUnknown(now, running->name, answer.error, answer.detail, actions);
    } else {
        m_table.onNotRun(now, running->name, answer.error, answer.detail, answer.retryAfter, actions);
    }
    perform(actions);
}

/** Ends the answer of the waiter that got the tokens as they came, if there is one. */
void once_desk::finishLive(const running_request &running, const broker_answer &answer)
{
    const auto live = m_pending.find(running.number);
    if (live == m_pending.end() || !running.hasLiveTokens) {
        return;
    }
    const pending_request finished = std::move(live->second);
    m_pending.erase(live);
    m_table.onWaiterGone(running.name, running.number);
    finished.waiter.finishLive(answer);
}

void once_desk::forward(std::uint64_t number, const request_issuer &issuer)
{
    const pending_request &pending = m_pending.at(number);
    if (pending.waiter.isForwarded || issuer.node == m_self.node) {
        refuse(number, error_kind::TicketForeign, "it was given to an earlier process on " + issuer.node.str());
        return;
    }
    const caller_request &request = pending.request;
    forwarded_request message;
    message.customer = request.broker.routing.customer;
    message.issuer = issuer.number;
    message.method = pending.original.method;
    message.target = pending.original.target;
    message.body = pending.original.body;
    for (const http_field &field : pending.original.fields.all()) {
        message.fields.push_back({ field.name, field.value });
    }
    const duration left = std::max(request.broker.routing.deadline - monotonicNow(), duration(std::chrono::milliseconds(1)));
    message.deadlineMs = std::chrono::duration_cast<std::chrono::milliseconds>(left).count();
    m_links.forward(issuer.node, std::move(message), [this, number, node = issuer.node](std::optional<forwarded_answer> answer) {
        if (!answer) {
            refuse(number, error_kind::TicketForeign, "node " + node.str() + " cannot be reached");
            return;
        }
        http_response response;
        response.status = answer->status;
        response.body = std::move(answer->body);
        for (const forwarded_field &field : answer->fields) {
            response.fields.set(field.name, field.value);
        }
        respond(number, std::move(response));
    });
}

void once_desk::respond(std::uint64_t number, http_response response)
{
    const auto found = m_pending.find(number);
    if (found == m_pending.end()) {
        return;
    }
    const pending_request answered = std::move(found->second);
    m_pending.erase(found);
    answered.waiter.respond(std::move(response));
}

void once_desk::refuse(std::uint64_t number, error_kind kind, std::string_view detail, duration retryAfter)
{
    respond(number, refusalResponse(kind, detail, retryAfter));
}

nlohmann::json once_desk::dump() const
{
    return { { "table", m_table.dump() }, { "keys", m_keys.dump() }, { "waiting", m_pending.size() }, { "isDraining", m_isDraining } };
}

} // namespace reedtrail
