// A waiter is known by a number that is given once. An answer is handed to the waiter whose number it carries, and only while that one waits; the core gives
// each waiter one answer, for the name under which it was submitted and for the same customer and content. So an answer that comes late, twice or crossed
// reaches nobody else.

#include "gate/once_desk.h"

#include "base/check.h"
#include "gate/answer_writer.h"
#include "node/process_host.h"

namespace reedtrail {
namespace {

cached_answer keptOf(http_response response)
{
    cached_answer kept;
    kept.status = response.status;
    kept.body = std::move(response.body);
    for (const http_field &field : response.fields.all()) {
        kept.fields.emplace_back(field.name, field.value);
    }
    return kept;
}

http_response responseOf(const cached_answer &kept)
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
    boost::asio::io_context &io, request_broker &broker, gate_incarnation self, ticket_secret secret, const once_options &options, once_links links)
    : m_broker(broker)
    , m_links(std::move(links))
    , m_core(self, secret, options, key_records(self, {}))
    , m_timer(io)
{
}

std::optional<std::string> once_desk::issueTicket(const customer_id &customer)
{
    return m_core.issueTicket(monotonicNow(), customer);
}

std::uint64_t once_desk::submit(caller_request request, const http_request &original, once_waiter waiter)
{
    const std::uint64_t number = m_nextNumber++;
    const customer_id &customer = request.broker.routing.customer;
    named_request named;
    named.waiter = number;
    named.ticket = request.ticket;
    named.key = request.ticket.empty() ? keyRecordName(customer, request.idempotencyKey) : "";
    named.customer = customer;
    named.contentHash = request.contentHash;
    named.attempt = request.attempt;
    named.isForwarded = waiter.isForwarded;
    m_pending.emplace(number, pending_request{ std::move(request), original, std::move(waiter) });
    core::actions actions;
    m_core.onRequest(monotonicNow(), std::move(named), actions);
    perform(actions);
    return number;
}

void once_desk::waiterGone(std::uint64_t number)
{
    m_pending.erase(number);
    m_core.onWaiterGone(number);
}

void once_desk::perform(core::actions &actions)
{
    for (const core::action &action : actions) {
        std::visit(
            [this](const auto &each) {
                carryOut(each);
            },
            action);
    }
    armTimer();
}

void once_desk::carryOut(const send_answer &action)
{
    http_response response = responseOf(*action.answer);
    if (action.isReplay) {
        response.fields.set("Reedtrail-Replayed", "1");
    }
    respond(action.waiter, std::move(response));
}

void once_desk::carryOut(const send_error &action)
{
    respond(action.waiter, refusalResponse(action.kind, action.detail, action.retryAfter));
}

void once_desk::carryOut(const claim_record &action)
{
    m_links.claim(action, [this, operation = action.operation](claim_result outcome, const key_record &found) {
        core::actions actions;
        const time_point now = monotonicNow();
        m_core.onStoreAnswer(
            now,
            [&](key_records &keys, key_records::actions &resolved) {
                keys.onClaimAnswer(now, operation, outcome, found, resolved);
            },
            actions);
        perform(actions);
    });
}

void once_desk::armTimer()
{
    const time_point next = m_core.nextDeadline();
    if (next == timeNever) {
        return;
    }
    m_timer.expires_at(std::chrono::steady_clock::time_point(next.time_since_epoch()));
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            core::actions actions;
            m_core.onTimer(monotonicNow(), actions);
            perform(actions);
        }
    });
}

void once_desk::carryOut(const run_request &action)
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
        m_core.onDispatched(running->name);
    };
    receiver.onNotStarted = [this, running] {
        m_core.onNotStarted(running->name);
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
    core::actions actions;
    const time_point now = monotonicNow();
    if (answer.error == error_kind::None) {
        http_response response = running->isStream ? bufferedStreamResponse(answer, running->publicId, running->text, running->finishReason)
                                                   : bufferedResponse(answer, running->publicId, running->text, running->finishReason);
        m_core.onAnswered(now, running->name, keptOf(std::move(response)), actions);
    } else if (answer.mayHaveRun) {
        m_core.onUnknown(now, running->name, answer.error, answer.detail, actions);
    } else {
        m_core.onNotRun(now, running->name, answer.error, answer.detail, answer.retryAfter, actions);
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
    m_core.onWaiterGone(running.number);
    finished.waiter.finishLive(answer);
}

void once_desk::carryOut(const forward_request &action)
{
    const pending_request &pending = m_pending.at(action.waiter);
    forwarded_request message;
    message.customer = pending.request.broker.routing.customer;
    message.method = pending.original.method;
    message.target = pending.original.target;
    message.body = pending.original.body;
    for (const http_field &field : pending.original.fields.all()) {
        message.fields.push_back({ field.name, field.value });
    }
    const duration left = std::max(pending.request.broker.routing.deadline - monotonicNow(), duration(std::chrono::milliseconds(1)));
    message.deadlineMs = std::chrono::duration_cast<std::chrono::milliseconds>(left).count();
    const auto onAnswer = [this, number = action.waiter, issuer = action.owner](std::optional<forwarded_answer> answer) {
        forwardEnded(number, issuer, std::move(answer));
    };
    m_links.forward(action.owner.node, std::move(message), onAnswer);
}

void once_desk::forwardEnded(std::uint64_t number, const gate_incarnation &issuer, std::optional<forwarded_answer> answer)
{
    if (!answer) {
        core::actions actions;
        m_core.onForwardFailed(number, issuer, actions);
        perform(actions);
        return;
    }
    m_core.onForwardAnswered(number);
    http_response response;
    response.status = answer->status;
    response.body = std::move(answer->body);
    for (forwarded_field &field : answer->fields) {
        response.fields.set(field.name, std::move(field.value));
    }
    respond(number, std::move(response));
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

nlohmann::json once_desk::dump() const
{
    return { { "table", m_core.table().dump() }, { "keys", m_core.keys().dump() }, { "waiting", m_pending.size() } };
}

} // namespace reedtrail
