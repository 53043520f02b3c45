// Each waiter has an id that is never reused. An answer goes only to the waiter whose id it carries, and only while that waiter is pending. The core gives
// each waiter exactly one answer, which belongs to the same request name, customer and content. A late, duplicate or misrouted answer therefore never reaches
// another waiter.

#include "gate/request_deduplicator.h"

#include "base/check.h"
#include "gate/answer_writer.h"
#include "node/process_host.h"

namespace reedtrail {
namespace {

cached_answer toKeptAnswer(http_response response)
{
    cached_answer kept;
    kept.status = response.status;
    kept.body = std::move(response.body);
    for (const http_field &field : response.fields.all()) {
        kept.fields.emplace_back(field.name, field.value);
    }
    return kept;
}

http_response toHttpResponse(const cached_answer &kept)
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

/** A request that belongs to this gate and is in progress. */
struct request_deduplicator::running_request
{
    std::string name;
    std::string publicId;
    bool isStream = false;
    std::uint64_t waiterId = 0; ///< The waiter that submitted the request and gets its tokens as they arrive.
    std::string text;
    std::string finishReason;
    bool hasStreamedTokens = false; ///< Whether any token was passed to that waiter.
};

request_deduplicator::request_deduplicator(boost::asio::io_context &io,
                                           request_broker &broker,
                                           gate_incarnation self,
                                           ticket_secret secret,
                                           const once_options &options,
                                           deduplicator_dependencies dependencies)
    : m_broker(broker)
    , m_dependencies(std::move(dependencies))
    , m_core(self, secret, options, key_records(self, {}))
    , m_timer(io)
{
}

std::optional<std::string> request_deduplicator::issueTicket(const customer_id &customer)
{
    return m_core.issueTicket(monotonicNow(), customer);
}

std::uint64_t request_deduplicator::submit(caller_request request, const http_request &original, named_request_callbacks waiter)
{
    const std::uint64_t waiterId = m_nextWaiterId++;
    const customer_id &customer = request.broker.routing.customer;
    named_request named;
    named.waiter = waiterId;
    named.ticket = request.ticket;
    named.key = request.ticket.empty() ? keyRecordName(customer, request.idempotencyKey) : "";
    named.customer = customer;
    named.contentHash = request.contentHash;
    named.attempt = request.attempt;
    named.isForwarded = waiter.isForwarded;
    m_pending.emplace(waiterId, pending_request{ std::move(request), original, std::move(waiter) });
    core::actions actions;
    m_core.onRequest(monotonicNow(), std::move(named), actions);
    executeActions(actions);
    return waiterId;
}

void request_deduplicator::removeWaiter(std::uint64_t waiterId)
{
    m_pending.erase(waiterId);
    m_core.onWaiterGone(waiterId);
}

void request_deduplicator::executeActions(core::actions &actions)
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

void request_deduplicator::carryOut(const send_answer &action)
{
    http_response response = toHttpResponse(*action.answer);
    if (action.isReplay) {
        response.fields.set("Reedtrail-Replayed", "1");
    }
    respond(action.waiter, std::move(response));
}

void request_deduplicator::carryOut(const send_error &action)
{
    respond(action.waiter, refusalResponse(action.kind, action.detail, action.retryAfter));
}

void request_deduplicator::carryOut(const claim_record &action)
{
    m_dependencies.claim(action, [this, operation = action.operation](claim_result outcome, const key_record &found) {
        core::actions actions;
        const time_point now = monotonicNow();
        m_core.onStoreAnswer(
            now,
            [&](key_records &keys, key_records::actions &resolved) {
                keys.onClaimAnswer(now, operation, outcome, found, resolved);
            },
            actions);
        executeActions(actions);
    });
}

void request_deduplicator::armTimer()
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
            executeActions(actions);
        }
    });
}

void request_deduplicator::carryOut(const run_request &action)
{
    const pending_request &pending = m_pending.at(action.waiter);
    const request_ids ids = m_dependencies.nextIds();
    const auto running = std::make_shared<running_request>();
    running->name = action.name;
    running->publicId = ids.publicId;
    running->isStream = pending.request.isStream;
    running->waiterId = action.waiter;
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
        const auto found = m_pending.find(running->waiterId);
        if (found != m_pending.end() && found->second.waiter.onChunk) {
            running->hasStreamedTokens = true;
            found->second.waiter.onChunk(server, chunk);
        }
    };
    receiver.onEnd = [this, running](const broker_answer &answer) {
        onRequestEnded(running, answer);
    };
    m_broker.submit(std::move(request), std::move(receiver));
}

void request_deduplicator::onRequestEnded(const std::shared_ptr<running_request> &running, const broker_answer &answer)
{
    finishStream(*running, answer);
    core::actions actions;
    const time_point now = monotonicNow();
    if (answer.error == error_kind::None) {
        http_response response = running->isStream ? bufferedStreamResponse(answer, running->publicId, running->text, running->finishReason)
                                                   : bufferedResponse(answer, running->publicId, running->text, running->finishReason);
        m_core.onAnswered(now, running->name, toKeptAnswer(std::move(response)), actions);
    } else if (answer.mayHaveRun) {
        m_core.onUnknown(now, running->name, answer.error, answer.detail, actions);
    } else {
        m_core.onNotRun(now, running->name, answer.error, answer.detail, answer.retryAfter, actions);
    }
    executeActions(actions);
}

/** Ends the answer of the waiter that got the tokens as they arrived, if there is one. */
void request_deduplicator::finishStream(const running_request &running, const broker_answer &answer)
{
    const auto found = m_pending.find(running.waiterId);
    if (found == m_pending.end() || !running.hasStreamedTokens) {
        return;
    }
    const pending_request finished = std::move(found->second);
    m_pending.erase(found);
    m_core.onWaiterGone(running.waiterId);
    finished.waiter.finishStream(answer);
}

void request_deduplicator::carryOut(const forward_request &action)
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
    const duration remaining = std::max(pending.request.broker.routing.deadline - monotonicNow(), duration(std::chrono::milliseconds(1)));
    message.deadlineMs = std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count();
    const auto onAnswer = [this, waiterId = action.waiter, issuer = action.owner](std::optional<forwarded_answer> answer) {
        onForwardEnded(waiterId, issuer, std::move(answer));
    };
    m_dependencies.forward(action.owner.node, std::move(message), onAnswer);
}

void request_deduplicator::onForwardEnded(std::uint64_t waiterId, const gate_incarnation &issuer, std::optional<forwarded_answer> answer)
{
    if (!answer) {
        core::actions actions;
        m_core.onForwardFailed(waiterId, issuer, actions);
        executeActions(actions);
        return;
    }
    m_core.onForwardAnswered(waiterId);
    http_response response;
    response.status = answer->status;
    response.body = std::move(answer->body);
    for (forwarded_field &field : answer->fields) {
        response.fields.set(field.name, std::move(field.value));
    }
    respond(waiterId, std::move(response));
}

void request_deduplicator::respond(std::uint64_t waiterId, http_response response)
{
    const auto found = m_pending.find(waiterId);
    if (found == m_pending.end()) {
        return;
    }
    const pending_request answered = std::move(found->second);
    m_pending.erase(found);
    answered.waiter.respond(std::move(response));
}

nlohmann::json request_deduplicator::dump() const
{
    return { { "table", m_core.table().dump() }, { "keys", m_core.keys().dump() }, { "waiting", m_pending.size() } };
}

} // namespace reedtrail
