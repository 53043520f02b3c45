// The life of a request on one gate: it arrives, waits in its customer's queue until it is its turn and a server has room, is dispatched, and ends. Every event
// that may free room or change the order of turns calls dispatchWaiting() for its pool. So only refusals, and what changes with time alone, wait for a timer.
//
// request_row::mayHaveRun keeps "not run" true: it is set once an attempt may have run, and from then on a refusal has a kind whose outcome is not "not run".
//
// Cost: an arrival takes a few hash look-ups, one turn (linear in the number of waiting customers) and one selection of a server. Once the tables have grown to
// their working size, only the log records of refusals and retries allocate memory.

#include "routing/scheduler_implementation.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace reedtrail {

namespace {

constexpr duration refreshInterval = std::chrono::milliseconds(100);
constexpr double unknownLengthFactor = 0.5; ///< Expected service time of an answer of unknown length, as a share of the pool's mean.
constexpr double meanTokensGain = 0.02; ///< Weight of a new sample in the mean of expected tokens.
constexpr std::int32_t overSharePriorityOffset = 2; ///< Added to the engine priority of customers above their share; drafts add 1.

} // namespace

request_scheduler::implementation::implementation(scheduler_options givenOptions, zone_id zone, std::uint64_t seed)
    : options(givenOptions)
    , ownZone(std::move(zone))
    , random(seed)
    , servers(options, random.next())
    , selector(options, random.next())
    , prefixes(options.maximumPrefixes)
    , requests(options.maximumRequests)
    , log(options.decisionLogCapacity)
{
}

request_scheduler::request_scheduler(scheduler_options options, zone_id ownZone, std::uint64_t seed)
    : m_implementation(std::make_unique<implementation>(options, std::move(ownZone), seed))
{
}

request_scheduler::~request_scheduler() = default;

decision_log &request_scheduler::decisions()
{
    return m_implementation->log;
}

// Fleet documents, load reports and cache events.

void request_scheduler::applyDocument(time_point now, const fleet_document &document, std::span<const server_id> leaving, actions &out)
{
    implementation &self = *m_implementation;
    if (self.servers.applyDocument(now, document, leaving, self.ownZone)) {
        self.selector.rebuild(self.servers);
    }
    while (self.pools.size() < self.servers.poolCount()) {
        self.pools.push_back(std::make_unique<scheduler_pool>(
            scheduler_pool{ fair_queue(self.links, self.options.reservedShare), retry_budget(self.options.retryShare, self.options.retryReserve), 0 }));
    }
    self.applyCustomers(document);
    self.refresh(now, out);
}

void request_scheduler::onLoad(time_point now, const server_load &load, actions &out)
{
    implementation &self = *m_implementation;
    const std::uint32_t server = self.servers.findServer(load.server);
    if (server == noIndex) {
        return;
    }
    if (self.servers.onLoad(now, server, load, self.options.reportLag)) {
        self.log.add({ now, decision_kind::Returned, subject_kind::Server, load.server.str(), error_kind::None, "reports its load again" });
    }
    if (self.servers.server(server).pool != noIndex) {
        self.dispatchWaiting(now, self.servers.server(server).pool, out);
    }
}

void request_scheduler::onCacheEvent(time_point, const server_id &server, std::uint64_t prefixHash, cache_event_kind kind)
{
    implementation &self = *m_implementation;
    const std::uint32_t index = self.servers.findServer(server);
    if (index == noIndex) {
        return;
    }
    switch (kind) {
    case cache_event_kind::Stored:
        self.prefixes.add(prefixHash, index);
        break;
    case cache_event_kind::Removed:
        self.prefixes.remove(prefixHash, index);
        break;
    case cache_event_kind::Gap:
        self.prefixes.forget(index);
        break;
    }
}

// Admission and queueing.

error_kind request_scheduler::implementation::admissionError(const arriving_request &request, std::uint32_t pool, std::uint32_t customer) const
{
    if (isDraining) {
        return error_kind::Draining;
    }
    if (pool == noIndex || !servers.pool(pool).isListed) {
        return error_kind::NotFound;
    }
    if (customer == noIndex || !customers[customer].isListed) {
        return error_kind::Forbidden;
    }
    return servers.pool(pool).usableCount == 0 || request.id.empty() ? error_kind::NoServer : error_kind::None;
}

void request_scheduler::onArrival(time_point now, arriving_request request, actions &out)
{
    implementation &self = *m_implementation;
    ++self.counters.arrived;
    const std::uint32_t pool = self.servers.findPool(request.pool);
    const std::uint32_t customer = self.findCustomer(request.customer);
    const error_kind reason = self.admissionError(request, pool, customer);
    if (reason != error_kind::None) {
        self.refuseOnArrival(now, request, reason, out);
        return;
    }
    const std::uint32_t flow = self.flowOf(pool, customer);
    if (self.pools[pool]->queue.flow(flow).waiting >= self.customers[customer].maximumQueued || self.requests.size() >= self.options.maximumRequests) {
        self.refuseOnArrival(now, request, error_kind::CustomerLimit, out);
        return;
    }
    const std::uint32_t index = self.requests.add(std::move(request));
    REEDTRAIL_CHECK(index != noIndex, "request ids must be unique on a gate");
    if (index == noIndex) {
        return;
    }
    request_row &row = self.requests[index];
    row.pool = pool;
    row.flow = flow;
    row.run = row.request.isInteractive ? noIndex : self.runQueueOf(pool, flow, row.request.run);
    row.arrivedAt = now;
    self.links.reserve(self.requests.rowCount());
    self.enqueue(now, index, false);
    self.dispatchWaiting(now, pool, out);
    if (self.requests[index].isUsed && self.requests[index].isWaiting
        && now + self.expectedWait(self.requests[index]) > self.latestStart(self.requests[index])) {
        self.refuse(now, index, error_kind::QueueDeadline, out);
    }
}

duration request_scheduler::implementation::expectedServiceTime(const request_row &row) const
{
    const pool_row &pool = servers.pool(row.pool);
    if (row.request.expectedTokens > 0 && pool.secondsPerToken > 0) {
        return fromSeconds(row.request.expectedTokens * pool.secondsPerToken);
    }
    return fromSeconds(pool.serviceSeconds * unknownLengthFactor);
}

double request_scheduler::implementation::expectedWork(request_row &row)
{
    scheduler_pool &pool = *pools[row.pool];
    if (row.request.expectedTokens > 0) {
        pool.meanTokens = pool.meanTokens == 0 ? row.request.expectedTokens : pool.meanTokens + meanTokensGain * (row.request.expectedTokens - pool.meanTokens);
        return row.request.expectedTokens;
    }
    return pool.meanTokens == 0 ? 1 : pool.meanTokens;
}

duration request_scheduler::implementation::expectedWait(const request_row &row) const
{
    // Little's law for the customer's own queue: the requests ahead leave at the rate at which the customer's running requests end.
    const customer_flow &flow = pools[row.pool]->queue.flow(row.flow);
    const std::uint32_t ahead = row.run == noIndex ? flow.interactive.size : static_cast<std::uint32_t>(flow.waiting);
    const double servedAtOnce = std::max(1, flow.running);
    return fromSeconds((ahead - 1) * servers.pool(row.pool).serviceSeconds / servedAtOnce);
}

time_point request_scheduler::implementation::latestStart(const request_row &row) const
{
    time_point latest = timeNever;
    if (row.request.deadline != timeNever) {
        latest = std::max(row.arrivedAt, row.request.deadline - expectedServiceTime(row));
    }
    if (row.request.isInteractive) {
        latest = std::min(latest, row.arrivedAt + options.maximumInteractiveWait);
    }
    return std::min(latest, row.request.deadline);
}

void request_scheduler::implementation::enqueue(time_point now, std::uint32_t index, bool isFirst)
{
    request_row &row = requests[index];
    row.isWaiting = true;
    pools[row.pool]->queue.push(row.flow, row.run, index, isFirst);
    deadlines.set(index, std::max(now, latestStart(row)));
}

void request_scheduler::implementation::removeFromQueue(std::uint32_t index)
{
    request_row &row = requests[index];
    REEDTRAIL_CHECK(row.isWaiting, "only a waiting request can be removed from the queue");
    pools[row.pool]->queue.remove(row.flow, row.run, index);
    row.isWaiting = false;
}

// Dispatch.

void request_scheduler::implementation::dispatchWaiting(time_point now, std::uint32_t pool, actions &out)
{
    fair_queue &queue = pools[pool]->queue;
    if (queue.waiting() == 0) {
        return;
    }
    queue.beginRound();
    for (queue_selection turn = queue.next(); turn.flow != noIndex && !servers.pool(pool).available.empty(); turn = queue.next()) {
        if (!dispatchNext(now, pool, turn, out)) {
            queue.skip(turn);
        }
    }
}

server_criteria request_scheduler::implementation::criteriaFor(time_point now, const request_row &row) const
{
    server_criteria criteria;
    criteria.pool = row.pool;
    criteria.minimumVersion = row.request.minimumVersion;
    criteria.prefixHashes = row.request.prefixHashes;
    criteria.tried = row.tried;
    criteria.mustLeaveReserve = row.isOverShare;
    criteria.hasWaited = row.arrivedAt != now || row.isOverShare;
    criteria.expectedSeconds = toSeconds(expectedServiceTime(row));
    criteria.secondsLeft = row.request.deadline == timeNever ? std::numeric_limits<double>::infinity() : toSeconds(row.request.deadline - now);
    return criteria;
}

bool request_scheduler::implementation::dispatchNext(time_point now, std::uint32_t pool, const queue_selection &turn, actions &out)
{
    const fair_queue &queue = pools[pool]->queue;
    const bool isOverShare = queue.isContended() && queue.flow(turn.flow).isOverShare();
    // Among the first few waiting requests, one whose prefix is on a server with room goes first. This delays the others little, and the saved prefill benefits
    // all.
    std::uint32_t index = turn.request;
    for (std::uint32_t step = 0; step < options.lookahead && index != noIndex; ++step, index = links.next(index)) {
        request_row &row = requests[index];
        row.isOverShare = isOverShare;
        if ((row.arrivedAt == now && !isOverShare) || row.request.prefixHashes.empty()) {
            continue;
        }
        const std::uint32_t server = selector.chooseByPrefix(now, servers, prefixes, criteriaFor(now, row));
        if (server != noIndex) {
            dispatch(now, index, server, out);
            return true;
        }
    }
    const request_row &first = requests[turn.request];
    const bool waitsForPrefix = first.arrivedAt != now && !first.request.prefixHashes.empty() && now - first.arrivedAt < options.maximumPrefixWait;
    const std::uint32_t server = waitsForPrefix ? noIndex : selector.choose(now, servers, prefixes, criteriaFor(now, first));
    if (server != noIndex) {
        dispatch(now, turn.request, server, out);
    }
    return server != noIndex;
}

void request_scheduler::implementation::dispatch(time_point now, std::uint32_t index, std::uint32_t server, actions &out)
{
    request_row &row = requests[index];
    REEDTRAIL_CHECK(servers.isUsable(servers.server(server)), "a server that is leaving or ejected must not get new requests");
    REEDTRAIL_CHECK(!row.mayHaveRun || row.request.isIdempotent, "a request that may have run must not be retried unless it is idempotent");
    removeFromQueue(index);
    row.server = server;
    row.sentAt = now;
    ++row.attempt;
    servers.onRequestSent(now, server);
    pools[row.pool]->queue.onDispatched(row.flow, row.run, expectedWork(row));
    for (const std::uint64_t prefix : row.request.prefixHashes) {
        prefixes.add(prefix, server);
    }
    deadlines.set(index, row.request.deadline);
    ++counters.dispatched;
    const std::int32_t priority = (row.isOverShare ? overSharePriorityOffset : 0) + (row.request.isInteractive ? 0 : 1);
    out.emplace_back(dispatch_request{ row.request.id, servers.server(server).id, row.attempt, priority });
}

void request_scheduler::implementation::closeAttempt(time_point now, std::uint32_t index)
{
    request_row &row = requests[index];
    REEDTRAIL_CHECK(row.server != noIndex, "an attempt that ends must have been open");
    servers.onRequestEnded(now, row.server);
    pools[row.pool]->queue.onRequestEnd(row.flow);
    row.server = noIndex;
}

// Ends of attempts and requests.

void request_scheduler::onFirstToken(time_point, const request_id &request)
{
    implementation &self = *m_implementation;
    const std::uint32_t index = self.requests.find(request);
    if (index != noIndex && !self.requests[index].isWaiting) {
        self.requests[index].hasFirstToken = true;
        self.requests[index].mayHaveRun = true;
    }
}

void request_scheduler::onAttemptEnd(time_point now, const request_id &request, std::uint32_t attempt, attempt_end end, actions &out)
{
    implementation &self = *m_implementation;
    const std::uint32_t index = self.requests.find(request);
    if (index == noIndex || self.requests[index].isWaiting || self.requests[index].attempt != attempt) {
        return;
    }
    request_row &row = self.requests[index];
    const std::uint32_t server = row.server;
    const std::uint32_t pool = row.pool;
    self.closeAttempt(now, index);
    switch (end) {
    case attempt_end::Answered:
        self.servers.onAnswer(now, server, toSeconds(now - row.sentAt), row.request.expectedTokens);
        self.pools[pool]->budget.onSuccess();
        ++self.counters.answered;
        self.removeRequest(index);
        break;
    case attempt_end::Cancelled:
        self.removeRequest(index);
        break;
    case attempt_end::NotStarted:
        row.tried[(attempt - 1) % maxTriedServers] = server;
        self.recordFailure(now, server);
        self.retryOrRefuse(now, index, error_kind::ServerRefused, out);
        break;
    case attempt_end::Failed:
    case attempt_end::Silent:
        row.mayHaveRun = true;
        row.tried[(attempt - 1) % maxTriedServers] = server;
        self.recordFailure(now, server);
        self.retryOrRefuse(now, index, end == attempt_end::Failed ? error_kind::ServerFailed : error_kind::ServerSilent, out);
        break;
    }
    self.dispatchWaiting(now, pool, out);
}

void request_scheduler::implementation::recordFailure(time_point now, std::uint32_t server)
{
    if (servers.onFailure(now, server)) {
        ++counters.ejected;
        const server_row &row = servers.server(server);
        log.add({ now,
                  decision_kind::Ejected,
                  subject_kind::Server,
                  row.id.str(),
                  error_kind::ServerFailed,
                  std::to_string(row.failuresInRow) + " failures in a row, ejected for " + std::to_string(toSeconds(row.ejectedUntil - now)) + " s" });
    }
}

bool request_scheduler::implementation::mayRetry(const request_row &row, time_point now) const
{
    const bool isSafeToRetry = !row.mayHaveRun || (row.request.isIdempotent && !row.hasFirstToken);
    return isSafeToRetry && row.attempt < options.maximumAttempts && now < row.request.deadline && servers.pool(row.pool).usableCount > 0;
}

void request_scheduler::implementation::retryOrRefuse(time_point now, std::uint32_t index, error_kind kind, actions &out)
{
    request_row &row = requests[index];
    if (!mayRetry(row, now) || !pools[row.pool]->budget.tryConsume()) {
        refuse(now, index, row.mayHaveRun && kind == error_kind::ServerRefused ? error_kind::ServerFailed : kind, out);
        return;
    }
    // Once all servers of the pool have been tried, each may be tried again.
    if (static_cast<std::size_t>(std::ranges::count(row.tried, noIndex)) + servers.pool(row.pool).usableCount <= maxTriedServers) {
        row.tried.fill(noIndex);
    }
    ++counters.retried;
    log.add({ now,
              decision_kind::Retried,
              subject_kind::Request,
              row.request.id.str(),
              kind,
              "attempt " + std::to_string(row.attempt) + " ended; retries left in the budget: " + std::to_string(pools[row.pool]->budget.balance()) });
    enqueue(now, index, true);
}

duration request_scheduler::implementation::retryAfter(duration wait)
{
    const duration delay = std::min(options.retryAfterBase + wait, options.retryAfterMaximum);
    return fromSeconds(toSeconds(delay) * random.uniform(0.5, 1.5));
}

void request_scheduler::implementation::refuse(time_point now, std::uint32_t index, error_kind kind, actions &out)
{
    request_row &row = requests[index];
    const duration wait = row.isWaiting ? expectedWait(row) : duration{};
    if (row.isWaiting) {
        removeFromQueue(index);
    }
    REEDTRAIL_CHECK(row.server == noIndex, "the open attempt of a request must be closed before it is refused");
    REEDTRAIL_CHECK(!row.mayHaveRun || answerFor(kind).outcome != request_outcome::NotRun, "a request that may have run must not be refused as not run");
    ++counters.refused;
    log.add({ now,
              decision_kind::Refused,
              subject_kind::Request,
              row.request.id.str(),
              kind,
              "after " + std::to_string(toSeconds(now - row.arrivedAt)) + " s and " + std::to_string(row.attempt) + " attempts" });
    out.emplace_back(refuse_request{ row.request.id, kind, retryAfter(wait) });
    removeRequest(index);
}

void request_scheduler::implementation::refuseOnArrival(time_point now, const arriving_request &request, error_kind kind, actions &out)
{
    ++counters.refused;
    log.add({ now, decision_kind::Refused, subject_kind::Request, request.id.str(), kind, "on arrival" });
    out.emplace_back(refuse_request{ request.id, kind, retryAfter(duration{}) });
}

void request_scheduler::implementation::removeRequest(std::uint32_t index)
{
    deadlines.remove(index);
    requests.remove(index);
}

void request_scheduler::onCancel(time_point now, const request_id &request, actions &out)
{
    implementation &self = *m_implementation;
    const std::uint32_t index = self.requests.find(request);
    if (index == noIndex) {
        return;
    }
    request_row &row = self.requests[index];
    const std::uint32_t pool = row.pool;
    ++self.counters.cancelled;
    if (row.isWaiting) {
        self.removeFromQueue(index);
    } else {
        out.emplace_back(cancel_attempt{ row.request.id, self.servers.server(row.server).id, row.attempt });
        self.closeAttempt(now, index);
    }
    self.removeRequest(index);
    self.dispatchWaiting(now, pool, out);
}

// Timers.

void request_scheduler::implementation::onDeadline(time_point now, std::uint32_t index, actions &out)
{
    request_row &row = requests[index];
    if (row.isWaiting) {
        refuse(now, index, row.mayHaveRun ? error_kind::DeadlineExceeded : error_kind::QueueDeadline, out);
        return;
    }
    row.mayHaveRun = true;
    out.emplace_back(cancel_attempt{ row.request.id, servers.server(row.server).id, row.attempt });
    closeAttempt(now, index);
    refuse(now, index, error_kind::DeadlineExceeded, out);
}

void request_scheduler::implementation::refuseAllWaiting(time_point now, std::uint32_t pool, actions &out)
{
    for (std::uint32_t index = 0; index < requests.rowCount(); ++index) {
        const request_row &row = requests[index];
        if (row.isUsed && row.isWaiting && row.pool == pool) {
            refuse(now, index, row.mayHaveRun ? error_kind::ServerFailed : error_kind::NoServer, out);
        }
    }
}

void request_scheduler::implementation::refresh(time_point now, actions &out)
{
    refreshedAt = now;
    servers.refresh(now);
    updateShares(now);
    for (std::uint32_t pool = 0; pool < pools.size(); ++pool) {
        if (pools[pool]->queue.waiting() > 0 && servers.pool(pool).usableCount == 0) {
            refuseAllWaiting(now, pool, out);
        }
        dispatchWaiting(now, pool, out);
    }
}

void request_scheduler::onTimer(time_point now, actions &out)
{
    implementation &self = *m_implementation;
    if (now - self.refreshedAt >= refreshInterval) {
        self.refresh(now, out);
    }
    while (self.deadlines.earliest() <= now) {
        self.onDeadline(now, self.deadlines.earliestRequest(), out);
    }
}

time_point request_scheduler::nextDeadline() const
{
    const implementation &self = *m_implementation;
    const time_point refresh = self.servers.serverCount() > 0 ? self.refreshedAt + refreshInterval : timeNever;
    return std::min(refresh, self.deadlines.earliest());
}

void request_scheduler::beginDrain(time_point now, actions &)
{
    m_implementation->isDraining = true;
    m_implementation->log.add({ now, decision_kind::Drained, subject_kind::Node, "", error_kind::Draining, "takes no new request" });
}

bool request_scheduler::isIdle() const
{
    return m_implementation->requests.size() == 0;
}

} // namespace reedtrail
