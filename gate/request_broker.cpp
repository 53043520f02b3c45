// The scheduler makes the decisions and the broker executes them. m_requests has one entry for each request without an answer; the scheduler's
// maximumRequests limits their number.
//
// An answer reaches only the receiver of its own request: the events of an attempt carry the request id and the attempt number, and are dropped unless that
// attempt is the open one. The outcome "not run" is reported only if no server may have run any attempt of the request; deliverAnswer() verifies this once
// more for every answer.

#include "gate/request_broker.h"

#include "base/check.h"
#include "node/process_host.h"

#include <algorithm>

namespace reedtrail {

request_broker::request_broker(boost::asio::io_context &io, http_client &client, const zone_id &ownZone, std::uint64_t seed, broker_options options)
    : m_io(io)
    , m_client(client)
    , m_options(options)
    , m_scheduler(options.scheduler, ownZone, seed)
    , m_snapshot(std::make_shared<const fleet_snapshot>())
    , m_timer(io)
{
}

request_broker::~request_broker()
{
    for (auto &[id, state] : m_requests) {
        if (state.attempt) {
            state.attempt->cancel();
        }
    }
}

void request_broker::useSnapshot(snapshot_pointer snapshot)
{
    m_snapshot = std::move(snapshot);
    m_scheduler.applyDocument(monotonicNow(), m_snapshot->document, m_snapshot->leavingServers, m_actions);
    executeActions();
}

void request_broker::submit(broker_request request, broker_receiver receiver)
{
    const request_id id = request.routing.id;
    const bool isNew =
        m_requests.try_emplace(id, request_state{ std::move(request), std::move(receiver), {}, 0, {}, false, false, error_kind::None, {} }).second;
    REEDTRAIL_CHECK(isNew, "the id of a submitted request is not in use");
    if (isNew) {
        m_scheduler.onArrival(monotonicNow(), m_requests.at(id).request.routing, m_actions);
        executeActions();
    }
}

void request_broker::cancel(const request_id &id)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        return;
    }
    const std::shared_ptr<server_attempt> attempt = found->second.attempt;
    m_requests.erase(found);
    if (attempt) {
        attempt->cancel();
    }
    m_scheduler.onCancel(monotonicNow(), id, m_actions);
    executeActions();
}

void request_broker::updateLoad(const server_load &load)
{
    m_scheduler.onLoad(monotonicNow(), load, m_actions);
    executeActions();
}

void request_broker::updateUsage(const usage_total &total)
{
    m_scheduler.onUsageTotal(monotonicNow(), total, m_actions);
    executeActions();
}

/** Executes the actions in order. An action may append further actions, which the same loop executes. */
void request_broker::executeActions()
{
    if (m_isExecuting) {
        return;
    }
    m_isExecuting = true;
    for (std::size_t i = 0; i < m_actions.size(); ++i) {
        const request_action action = m_actions[i];
        std::visit(
            [this](const auto &each) {
                carryOut(each);
            },
            action);
    }
    m_actions.clear();
    m_isExecuting = false;
    armTimer();
}

void request_broker::carryOut(const dispatch_request &action)
{
    const auto found = m_requests.find(action.request);
    if (found == m_requests.end()) {
        return;
    }
    request_state &state = found->second;
    if (state.attemptNumber > 0 && state.attempt) {
        state.attempt->cancel();
    }
    if (state.hasTokens) {
        state.hasTokens = false;
        if (state.receiver.onRestart) {
            state.receiver.onRestart();
        }
    }
    state.attemptNumber = action.attempt;
    state.server = action.server;
    if (state.receiver.onDispatch) {
        state.receiver.onDispatch();
    }
    const server_target *target = m_snapshot->findServer(action.server);
    if (target == nullptr) {
        attempt_result attemptResult;
        attemptResult.end = attempt_end::NotStarted;
        attemptResult.error = error_kind::NoServer;
        attemptResult.detail = "the server left the settings";
        onAttemptEnded(action.request, action.attempt, std::move(attemptResult));
        return;
    }
    startAttempt(state, *target, action);
}

void request_broker::startAttempt(request_state &state, const server_target &target, const dispatch_request &action)
{
    attempt_options options = m_options.attempt;
    if (state.request.routing.deadline != timeNever) {
        options.deadline = std::max(state.request.routing.deadline - monotonicNow(), duration(std::chrono::milliseconds(1)));
    }
    attempt_handlers handlers;
    handlers.onEnd = [this, id = action.request, attempt = action.attempt](attempt_result attemptResult) {
        onAttemptEnded(id, attempt, std::move(attemptResult));
    };
    const auto deadlineMs = std::chrono::duration_cast<std::chrono::milliseconds>(options.deadline).count();
    if (!state.request.isCompletion) {
        http_request request = state.request.upstream;
        request.fields.set("Reedtrail-Deadline-Ms", std::to_string(deadlineMs));
        state.attempt = startServiceAttempt(m_client, target, std::move(request), options, std::move(handlers));
        return;
    }
    handlers.onChunk = [this, id = action.request, attempt = action.attempt](const completion_chunk &chunk) {
        onAttemptChunk(id, attempt, chunk);
    };
    const std::string engineId = state.request.publicId + "." + std::to_string(action.attempt);
    nlohmann::json body = state.request.completion;
    body["stream"] = true;
    body["priority"] = action.enginePriority;
    body["request_id"] = engineId;
    http_request request{ "POST", "/v1/completions", { { "Content-Type", "application/json" } }, body.dump() };
    request.fields.set("Reedtrail-Deadline-Ms", std::to_string(deadlineMs));
    state.attempt = startCompletionAttempt(m_io, m_client, target, std::move(request), engineId, options, std::move(handlers));
}

void request_broker::carryOut(const refuse_request &action)
{
    const auto found = m_requests.find(action.request);
    if (found == m_requests.end()) {
        return;
    }
    broker_answer refusal;
    refusal.error = action.kind;
    refusal.retryAfter = action.retryAfter;
    refusal.detail = found->second.lastDetail;
    deliverAnswer(action.request, std::move(refusal));
}

void request_broker::carryOut(const cancel_attempt &action)
{
    const auto found = m_requests.find(action.request);
    if (found == m_requests.end() || found->second.attemptNumber != action.attempt || !found->second.attempt) {
        return;
    }
    found->second.mayHaveRun = true;
    found->second.attemptNumber = 0;
    const std::shared_ptr<server_attempt> attempt = std::move(found->second.attempt);
    attempt->cancel();
}

void request_broker::onAttemptChunk(const request_id &id, std::uint32_t attempt, const completion_chunk &chunk)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end() || found->second.attemptNumber != attempt) {
        return;
    }
    request_state &state = found->second;
    if (!state.hasTokens && !state.receiver.buffersTokens) {
        m_scheduler.onFirstToken(monotonicNow(), id);
    }
    state.hasTokens = true;
    state.mayHaveRun = true;
    if (state.receiver.onChunk) {
        const auto onChunk = state.receiver.onChunk;
        onChunk(state.server, chunk);
    }
}

void request_broker::onAttemptEnded(const request_id &id, std::uint32_t attempt, attempt_result attemptResult)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end() || found->second.attemptNumber != attempt) {
        return;
    }
    request_state &state = found->second;
    state.attempt.reset();
    state.attemptNumber = 0;
    state.mayHaveRun = state.mayHaveRun || attemptResult.end != attempt_end::NotStarted;
    state.lastError = attemptResult.error;
    state.lastDetail = attemptResult.detail;
    const attempt_end end = attemptResult.end;
    if (end == attempt_end::NotStarted && state.receiver.onNotStarted) {
        state.receiver.onNotStarted();
    }
    if (end == attempt_end::Answered) {
        broker_answer done;
        done.response = std::move(attemptResult.response);
        done.versions = std::move(attemptResult.versions);
        done.isStream = state.request.isCompletion && done.response.status == 200 && done.response.body.empty();
        deliverAnswer(id, std::move(done));
    }
    m_scheduler.onAttemptEnd(monotonicNow(), id, attempt, end, m_actions);
    executeActions();
}

void request_broker::deliverAnswer(const request_id &id, broker_answer answer)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        return;
    }
    request_state state = std::move(found->second);
    m_requests.erase(found);
    if (state.attempt) {
        state.mayHaveRun = true;
        state.attempt->cancel();
    }
    answer.mayHaveRun = state.mayHaveRun;
    answer.server = state.server;
    const bool isNotRun = answerFor(answer.error).outcome == request_outcome::NotRun;
    REEDTRAIL_CHECK(!isNotRun || !state.mayHaveRun, "a request is reported as not run only if no server may have run it");
    if (isNotRun && state.mayHaveRun) {
        answer.error =
            state.lastError == error_kind::None || answerFor(state.lastError).outcome == request_outcome::NotRun ? error_kind::ServerFailed : state.lastError;
    }
    if (state.receiver.onEnd) {
        state.receiver.onEnd(std::move(answer));
    }
}

void request_broker::armTimer()
{
    const time_point next = m_scheduler.nextDeadline();
    if (next == m_timerDeadline) {
        return;
    }
    m_timerDeadline = next;
    if (next == timeNever) {
        m_timer.cancel();
        return;
    }
    m_timer.expires_at(std::chrono::steady_clock::time_point(next.time_since_epoch()));
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        m_timerDeadline = timeNever;
        m_scheduler.onTimer(monotonicNow(), m_actions);
        executeActions();
    });
}

nlohmann::json request_broker::dump() const
{
    nlohmann::json requests = nlohmann::json::array();
    for (const auto &[id, state] : m_requests) {
        requests.push_back({ { "id", state.request.publicId },
                             { "customer", state.request.routing.customer },
                             { "pool", state.request.routing.pool },
                             { "attempt", state.attemptNumber },
                             { "server", state.server },
                             { "mayHaveRun", state.mayHaveRun },
                             { "hasTokens", state.hasTokens } });
    }
    return { { "requests", std::move(requests) }, { "scheduler", m_scheduler.dump() } };
}

} // namespace reedtrail
