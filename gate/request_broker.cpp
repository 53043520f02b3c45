// The scheduler decides, the broker does. Its table holds one entry for each request without an answer, bounded by the scheduler's maximumRequests.
//
// An answer reaches only the receiver of its own request: an attempt's events carry the request id and the attempt's number, and are dropped unless that
// very attempt is the open one. "Not run" is told only if no attempt of the request may have run, which is checked here once more, at the place
// where answers are handed out.

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
    for (auto &[id, live] : m_live) {
        if (live.attempt) {
            live.attempt->cancel();
        }
    }
}

void request_broker::useSnapshot(snapshot_pointer snapshot)
{
    m_snapshot = std::move(snapshot);
    m_scheduler.applyDocument(monotonicNow(), m_snapshot->document, m_snapshot->leavingServers, m_actions);
    perform();
}

void request_broker::submit(broker_request request, broker_receiver receiver)
{
    const request_id id = request.routing.id;
    const bool isNew = m_live.try_emplace(id, live_request{ std::move(request), std::move(receiver), {}, 0, {}, false, false, error_kind::None, {} }).second;
    REEDTRAIL_CHECK(isNew, "a request id names one request");
    if (isNew) {
        m_scheduler.onArrival(monotonicNow(), m_live.at(id).request.routing, m_actions);
        perform();
    }
}

void request_broker::cancel(const request_id &id)
{
    const auto found = m_live.find(id);
    if (found == m_live.end()) {
        return;
    }
    const std::shared_ptr<server_attempt> attempt = found->second.attempt;
    m_live.erase(found);
    if (attempt) {
        attempt->cancel();
    }
    m_scheduler.onCancel(monotonicNow(), id, m_actions);
    perform();
}

void request_broker::takeLoad(const server_load &load)
{
    m_scheduler.onLoad(monotonicNow(), load, m_actions);
    perform();
}

void request_broker::takeUsage(const usage_total &total)
{
    m_scheduler.onUsageTotal(monotonicNow(), total, m_actions);
    perform();
}

/** Carries out the actions in their order. Carrying one out may add more, which are then done by the same loop. */
void request_broker::perform()
{
    if (m_isPerforming) {
        return;
    }
    m_isPerforming = true;
    for (std::size_t i = 0; i < m_actions.size(); ++i) {
        const request_action action = m_actions[i];
        std::visit(
            [this](const auto &each) {
                carryOut(each);
            },
            action);
    }
    m_actions.clear();
    m_isPerforming = false;
    armTimer();
}

void request_broker::carryOut(const dispatch_request &action)
{
    const auto found = m_live.find(action.request);
    if (found == m_live.end()) {
        return;
    }
    live_request &live = found->second;
    if (live.attemptNumber > 0 && live.attempt) {
        live.attempt->cancel();
    }
    if (live.hasTokens) {
        live.hasTokens = false;
        if (live.receiver.onRestart) {
            live.receiver.onRestart();
        }
    }
    live.attemptNumber = action.attempt;
    live.server = action.server;
    if (live.receiver.onDispatch) {
        live.receiver.onDispatch();
    }
    const server_target *target = m_snapshot->findServer(action.server);
    if (target == nullptr) {
        attempt_report report;
        report.end = attempt_end::NotStarted;
        report.error = error_kind::NoServer;
        report.detail = "the server left the settings";
        attemptEnded(action.request, action.attempt, std::move(report));
        return;
    }
    startAttempt(live, *target, action);
}

void request_broker::startAttempt(live_request &live, const server_target &target, const dispatch_request &action)
{
    attempt_options options = m_options.attempt;
    if (live.request.routing.deadline != timeNever) {
        options.deadline = std::max(live.request.routing.deadline - monotonicNow(), duration(std::chrono::milliseconds(1)));
    }
    attempt_handlers handlers;
    handlers.onEnd = [this, id = action.request, attempt = action.attempt](attempt_report report) {
        attemptEnded(id, attempt, std::move(report));
    };
    const auto deadlineMs = std::chrono::duration_cast<std::chrono::milliseconds>(options.deadline).count();
    if (!live.request.isCompletion) {
        http_request request = live.request.upstream;
        request.fields.set("Reedtrail-Deadline-Ms", std::to_string(deadlineMs));
        live.attempt = startServiceAttempt(m_client, target, std::move(request), options, std::move(handlers));
        return;
    }
    handlers.onChunk = [this, id = action.request, attempt = action.attempt](const completion_chunk &chunk) {
        takeChunk(id, attempt, chunk);
    };
    const std::string engineId = live.request.publicId + "." + std::to_string(action.attempt);
    nlohmann::json body = live.request.completion;
    body["stream"] = true;
    body["priority"] = action.enginePriority;
    body["request_id"] = engineId;
    http_request request{ "POST", "/v1/completions", { { "Content-Type", "application/json" } }, body.dump() };
    request.fields.set("Reedtrail-Deadline-Ms", std::to_string(deadlineMs));
    live.attempt = startCompletionAttempt(m_io, m_client, target, std::move(request), engineId, options, std::move(handlers));
}

void request_broker::carryOut(const refuse_request &action)
{
    const auto found = m_live.find(action.request);
    if (found == m_live.end()) {
        return;
    }
    broker_answer refusal;
    refusal.error = action.kind;
    refusal.retryAfter = action.retryAfter;
    refusal.detail = found->second.lastDetail;
    answer(action.request, std::move(refusal));
}

void request_broker::carryOut(const cancel_attempt &action)
{
    const auto found = m_live.find(action.request);
    if (found == m_live.end() || found->second.attemptNumber != action.attempt || !found->second.attempt) {
        return;
    }
    found->second.mayHaveRun = true;
    found->second.attemptNumber = 0;
    const std::shared_ptr<server_attempt> attempt = std::move(found->second.attempt);
    attempt->cancel();
}

void request_broker::takeChunk(const request_id &id, std::uint32_t attempt, const completion_chunk &chunk)
{
    const auto found = m_live.find(id);
    if (found == m_live.end() || found->second.attemptNumber != attempt) {
        return;
    }
    live_request &live = found->second;
    if (!live.hasTokens && !live.receiver.buffersTokens) {
        m_scheduler.onFirstToken(monotonicNow(), id);
    }
    live.hasTokens = true;
    live.mayHaveRun = true;
    if (live.receiver.onChunk) {
        const auto onChunk = live.receiver.onChunk;
        onChunk(live.server, chunk);
    }
}

void request_broker::attemptEnded(const request_id &id, std::uint32_t attempt, attempt_report report)
{
    const auto found = m_live.find(id);
    if (found == m_live.end() || found->second.attemptNumber != attempt) {
        return;
    }
    live_request &live = found->second;
    live.attempt.reset();
    live.attemptNumber = 0;
    live.mayHaveRun = live.mayHaveRun || report.end != attempt_end::NotStarted;
    live.lastError = report.error;
    live.lastDetail = report.detail;
    const attempt_end end = report.end;
    if (end == attempt_end::NotStarted && live.receiver.onNotStarted) {
        live.receiver.onNotStarted();
    }
    if (end == attempt_end::Answered) {
        broker_answer done;
        done.response = std::move(report.response);
        done.versions = std::move(report.versions);
        done.isStream = live.request.isCompletion && done.response.status == 200 && done.response.body.empty();
        answer(id, std::move(done));
    }
    m_scheduler.onAttemptEnd(monotonicNow(), id, attempt, end, m_actions);
    perform();
}

void request_broker::answer(const request_id &id, broker_answer answer)
{
    const auto found = m_live.find(id);
    if (found == m_live.end()) {
        return;
    }
    live_request live = std::move(found->second);
    m_live.erase(found);
    if (live.attempt) {
        live.mayHaveRun = true;
        live.attempt->cancel();
    }
    answer.mayHaveRun = live.mayHaveRun;
    answer.server = live.server;
    const bool saysNotRun = answerFor(answer.error).outcome == request_outcome::NotRun;
    REEDTRAIL_CHECK(!saysNotRun || !live.mayHaveRun, "not run is told only of a request that no server may have run");
    if (saysNotRun && live.mayHaveRun) {
        answer.error =
            live.lastError == error_kind::None || answerFor(live.lastError).outcome == request_outcome::NotRun ? error_kind::ServerFailed : live.lastError;
    }
    if (live.receiver.onEnd) {
        live.receiver.onEnd(std::move(answer));
    }
}

void request_broker::armTimer()
{
    const time_point next = m_scheduler.nextDeadline();
    if (next == m_timerAt) {
        return;
    }
    m_timerAt = next;
    if (next == timeNever) {
        m_timer.cancel();
        return;
    }
    m_timer.expires_at(std::chrono::steady_clock::time_point(next.time_since_epoch()));
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        m_timerAt = timeNever;
        m_scheduler.onTimer(monotonicNow(), m_actions);
        perform();
    });
}

nlohmann::json request_broker::dump() const
{
    nlohmann::json requests = nlohmann::json::array();
    for (const auto &[id, live] : m_live) {
        requests.push_back({ { "id", live.request.publicId },
                             { "customer", live.request.routing.customer },
                             { "pool", live.request.routing.pool },
                             { "attempt", live.attemptNumber },
                             { "server", live.server },
                             { "mayHaveRun", live.mayHaveRun },
                             { "hasTokens", live.hasTokens } });
    }
    return { { "requests", std::move(requests) }, { "scheduler", m_scheduler.dump() } };
}

} // namespace reedtrail
