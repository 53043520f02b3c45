// job_progress and backend_table decide which item runs next, on which server, when results are recorded, and how failures count. This file makes the HTTP
// calls that carry out those decisions and reports their outcomes back.

#include "edge/job_worker.h"

#include "batch/job_store.h"
#include "batch/text_continuation.h"
#include "kernel/log.h"
#include "net/http_status.h"

#include <algorithm>
#include <charconv>

namespace reedtrail {
namespace {

constexpr duration runTimeout = std::chrono::seconds(60); // No text takes longer; a run that hangs is detected far earlier by its silence.
constexpr duration firstEventTimeout = std::chrono::milliseconds(2500); // Includes queueing at the server: one load of weights takes 0.9 s, three take 2.7 s.
constexpr duration serverConnectTimeout = std::chrono::milliseconds(400); // A hundred times the network latency between zones plus the server's accept time.
constexpr duration minSilenceTimeout = std::chrono::milliseconds(1000); // Between two events; a server slowed down by the usual factor of 4 takes 0.2 s.
constexpr double silenceLatencyFactor = 8; // Multiple of the server's own time per event after which it counts as silent.
constexpr duration moveCheckInterval = std::chrono::milliseconds(100); // Each check looks at all servers for each text that runs.
constexpr std::size_t minEventsBeforeMove = 3; // Events of a run before it may move, so that its server's time per event is known from this run as well.
constexpr duration defaultJobTarget = std::chrono::seconds(60); // Of a route that names none: its jobs go after those that are due.
constexpr duration maxScoreTimeout = std::chrono::milliseconds(3000); // Deadline sent with score calls: over five times the mean score time of any server type.
constexpr duration minScoreTimeout = std::chrono::milliseconds(800);
constexpr double scorePaceFactor = 8; // Multiple of the service's usual time after which a score is requested from another server.
constexpr duration maxItemPlaceWait = std::chrono::milliseconds(1000); // For a place at a server with a limit; the next pass may know a better server.
constexpr duration maxScorePlaceWait = std::chrono::milliseconds(500);
constexpr duration refusalRetryDelay = std::chrono::milliseconds(30); // Another server is tried next; this limits the request rate when all servers refuse.
constexpr duration brokenRunRetryDelay = std::chrono::milliseconds(10);
constexpr duration failureRetryDelay = std::chrono::milliseconds(100);
constexpr duration maxRecordDelay = std::chrono::milliseconds(600); // Results of incomplete groups only help a new owner after a takeover, so they wait to be
                                                                    // recorded together; this is shorter than draftRecordInterval.
constexpr duration draftRecordInterval = std::chrono::milliseconds(900); // Between records of partial texts only: limits the work lost with an owner.
constexpr std::uint64_t minDraftEvents = 16; // Shorter texts are generated again in less time than a takeover takes: 0.7 s at 45 ms per event.
constexpr std::size_t maxDraftBytes = 256U << 10U; // A quarter of the store's limit for a value.
constexpr duration minRecordInterval = std::chrono::milliseconds(120); // Least time between two records, so that results that finish together share one.

std::optional<std::uint64_t> eventNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() ? std::optional(number) : std::nullopt;
}

} // namespace

job_worker::job_worker(edge_context &context, fleet_cache &fleet, std::string job, job_metadata metadata, job_spec spec, time_point knownSince, recorder record)
    : m_context(context)
    , m_fleet(fleet)
    , m_job(std::move(job))
    , m_metadata(std::move(metadata))
    , m_progress(std::move(spec), {}, knownSince)
    , m_knownSince(knownSince)
    , m_lastPlaceAt(context.loop.now())
    , m_recorder(std::move(record))
{
    takeLimits();
}

job_worker::~job_worker()
{
    stop();
}

/** Takes the limits of the job's route from the configuration in force. Without the route, the last ones stay. */
void job_worker::takeLimits()
{
    const std::uint64_t version = m_fleet.routes().document().version;
    if (std::exchange(m_limitsVersion, version) == version) {
        return;
    }
    const route *matchedRoute = jobRoute();
    if (matchedRoute == nullptr) {
        return;
    }
    job_progress_options options;
    options.isSingleVersion = matchedRoute->isSingleVersion;
    if (matchedRoute->itemLifetime > duration::zero()) {
        options.itemLifetime = matchedRoute->itemLifetime;
    }
    m_progress.setOptions(options);
    const customer_directory *customers = m_fleet.routes().document().customers.get();
    const customer *owner = customers == nullptr ? nullptr : customers->named(m_metadata.customer);
    m_priority = owner != nullptr ? owner->priority.value_or(matchedRoute->priority) : matchedRoute->priority;
}

std::optional<work_claim> job_worker::claim(time_point now) const
{
    const std::size_t waiting = m_progress.count(item_stage::Waiting);
    if (waiting + m_progress.count(item_stage::AwaitingScore) == 0) {
        return std::nullopt;
    }
    const route *matchedRoute = jobRoute();
    const std::size_t wanted = m_progress.spec().wantedGroups;
    const std::size_t complete = m_progress.completeGroups();
    work_claim claimed;
    claimed.priority = m_priority;
    claimed.due = matchedRoute != nullptr && matchedRoute->jobTarget > duration::zero() ? m_knownSince + matchedRoute->jobTarget : now + defaultJobTarget;
    claimed.work = fromSeconds(toSeconds(m_texts.textTime()) * (static_cast<double>(waiting) + static_cast<double>(m_progress.count(item_stage::Running)) / 2));
    claimed.value = wanted > complete ? static_cast<double>(wanted - complete) : 1;
    claimed.waitingSince = m_lastPlaceAt;
    return claimed;
}

double job_worker::places() const
{
    const route *matchedRoute = jobRoute();
    const bool hasServers = matchedRoute != nullptr && !matchedRoute->services.empty() && !m_progress.spec().items.empty();
    return !hasServers ? 0 : m_fleet.backends().places(selectionCriteria(0, matchedRoute->services.front().service));
}

const route *job_worker::jobRoute() const
{
    return m_fleet.routes().match(m_metadata.host, m_metadata.path);
}

void job_worker::noteRecorded(std::span<const item_result> results)
{
    m_progress.noteRecorded(results);
}

void job_worker::restore(std::span<const item_draft> drafts)
{
    m_progress.restore(drafts);
}

void job_worker::stop()
{
    m_isStopped = true;
    for (const auto &current : std::exchange(m_runs, {})) {
        m_fleet.backends().onRequestEnded(current->server);
        if (current->call) {
            current->call->cancel();
        }
    }
}

void job_worker::advance()
{
    if (m_isStopped) {
        return;
    }
    const time_point now = m_context.loop.now();
    takeLimits();
    m_progress.expire(now);
    abortSilentRuns(now);
    if (isFleetCurrent()) {
        m_isShortOfPlaces = false;
        moveRunFromSlowServer(now);
        startScores(now);
        startItems(now);
    }
    recordDueResults(now);
}

/** Tells whether runs may start now. If not, continues when routes and servers have been read. */
bool job_worker::isFleetCurrent()
{
    if (m_isAwaitingFleet) {
        return false;
    }
    m_isAwaitingFleet = !m_fleet.ensureCurrent([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->m_isAwaitingFleet = false;
            self->advance();
        }
    });
    return !m_isAwaitingFleet;
}

void job_worker::startItems(time_point now)
{
    const route *matchedRoute = jobRoute();
    if (matchedRoute == nullptr) {
        return; // The route was removed, so nothing may run; the items expire at the end of their lifetime.
    }
    random_source random(m_context.randomSeed + m_nextRunNumber);
    while (const std::optional<std::size_t> index = m_progress.nextToRun(now)) {
        const std::string &service = chooseService(*matchedRoute, random);
        if (m_progress.state(*index).lastEvent > 0 && startContinuation(now, *index, *matchedRoute, service)) {
            continue;
        }
        const std::optional<backend_choice> server = m_fleet.backends().choose(now, selectionCriteria(*index, service));
        if (!server) {
            m_isShortOfPlaces = true;
            return;
        }
        startItem(now, *index, *matchedRoute, *server);
    }
}

/**
 * Goes on with the text of an item on a server of the build that began it, or puts it off while that is worth waiting for. Otherwise drops the text.
 * @return whether the item is dealt with; if not, it has no text any more
 */
bool job_worker::startContinuation(time_point now, std::size_t index, const route &matchedRoute, std::string_view service)
{
    const item_state &state = m_progress.state(index);
    backend_criteria criteria = continuationCriteria(index, service);
    text_continuation text;
    text.hasServerOfBuild = !state.build.empty() && m_fleet.backends().hasEligible(criteria);
    text.isOriginCertain = isOriginCertain(index);
    text.mayOriginBecomeCertain = text.isOriginCertain || m_fleet.proofOf(m_unprovenOrigins.at(index)) == contact_proof::Pending;
    text.waited = state.awaitsBuildSince == timeNever ? duration::zero() : now - state.awaitsBuildSince;
    text.timeToRepeat = state.lastEvent * m_fleet.backends().meanLatency(now, service);
    text.breaksWithoutEvent = state.consecutiveBreaks;
    if (text.mayStart()) {
        criteria.ignoresBackoff = text.mayUseFailedServer();
        if (const std::optional<backend_choice> server = m_fleet.backends().choose(now, criteria)) {
            startItem(now, index, matchedRoute, *server);
            return true;
        }
    }
    if (text.shouldWait()) {
        m_progress.awaitBuild(now, index, refusalRetryDelay);
        return true;
    }
    logLine(log_level::Info,
            "text-restarted",
            { { "job", m_job },
              { "item", m_progress.item(index).id },
              { "build", state.build },
              { "events", std::to_string(state.lastEvent) },
              { "reason", text.restartReason() } });
    m_context.metrics
        .counter("reedtrail_texts_restarted_total", "Texts of items that are begun anew, by reason", std::string("reason=\"") + text.restartReason() + "\"")
        .add();
    m_progress.restartText(index);
    m_unprovenOrigins.erase(index);
    return false;
}

/** Tells whether it is certain what began the text of an item. If not, finds out. */
bool job_worker::isOriginCertain(std::size_t index)
{
    const auto found = m_unprovenOrigins.find(index);
    if (found == m_unprovenOrigins.end()) {
        return true;
    }
    if (m_fleet.proofOf(found->second) == contact_proof::Certain) {
        m_unprovenOrigins.erase(found);
        return true;
    }
    if (m_originsBeingProven.insert(index).second) {
        m_fleet.proveContact(found->second, [weak = weak_from_this(), index](contact_proof) {
            if (const auto self = weak.lock()) {
                self->m_originsBeingProven.erase(index);
            }
        });
    }
    return false;
}

backend_criteria job_worker::selectionCriteria(std::size_t index, std::string_view service) const
{
    backend_criteria criteria;
    criteria.service = service;
    criteria.model = m_progress.spec().model.empty() ? std::string_view(m_progress.item(index).model) : std::string_view(m_progress.spec().model);
    criteria.minVersion = m_progress.spec().minVersion;
    criteria.preferred = m_progress.groupServer(index);
    return criteria;
}

/** Returns the criteria of a server that goes on with the text of an item. */
backend_criteria job_worker::continuationCriteria(std::size_t index, std::string_view service) const
{
    backend_criteria criteria = selectionCriteria(index, service);
    criteria.build = m_progress.state(index).build;
    return criteria;
}

void job_worker::startItem(time_point now, std::size_t index, const route &matchedRoute, const backend_choice &server)
{
    const auto newRun = std::make_shared<run>();
    newRun->item = index;
    m_moveBudget.onRunStarted();
    const std::uint64_t lastEvent = m_progress.state(index).lastEvent;
    newRun->isContinuation = lastEvent > 0;
    m_progress.started(now, index, server.id, matchedRoute.maxAttempts);
    http_request request = platform::itemRequest(m_progress.item(index), matchedRoute.host, server.id, lastEvent);
    const bool hasCustomers = m_fleet.routes().document().customers != nullptr;
    platform::nameCustomer(request, hasCustomers || !m_metadata.customer.empty() ? std::optional(m_metadata.customer) : std::nullopt);
    launch(now, newRun, server, std::move(request), runTimeout);
}

void job_worker::startScores(time_point now)
{
    random_source random(m_context.randomSeed + m_nextRunNumber);
    while (const std::optional<std::size_t> index = m_progress.nextToScore(now)) {
        const score_call &call = *m_progress.item(*index).score;
        const route *matchedRoute = m_fleet.routes().match(call.host, call.path);
        if (matchedRoute == nullptr) {
            m_progress.scoringStarted(now, *index, 0);
            m_progress.scoringFailed(now, *index, run_failure::NotRun, failureRetryDelay);
            logLine(log_level::Warning, "score-without-route", { { "job", m_job }, { "item", m_progress.item(*index).id }, { "score", call.id } });
            return;
        }
        backend_criteria criteria;
        criteria.service = chooseService(*matchedRoute, random);
        const std::optional<backend_choice> server = m_fleet.backends().choose(now, criteria);
        if (!server) {
            m_isShortOfPlaces = true;
            return;
        }
        startScore(now, *index, *matchedRoute, *server);
    }
}

void job_worker::startScore(time_point now, std::size_t index, const route &matchedRoute, const backend_choice &server)
{
    const auto newRun = std::make_shared<run>();
    newRun->item = index;
    newRun->isScore = true;
    // The protocol leaves open whether the route of the call or that of the job limits its failures; the larger limit satisfies both readings.
    const route *itemRoute = jobRoute();
    m_progress.scoringStarted(now, index, std::max(matchedRoute.maxAttempts, itemRoute == nullptr ? 0 : itemRoute->maxAttempts));
    const duration typicalLimit = fromSeconds(toSeconds(m_fleet.backends().meanLatency(now, matchedRoute.services.front().service)) * scorePaceFactor);
    const duration limit = std::clamp(typicalLimit, minScoreTimeout, maxScoreTimeout);
    launch(now, newRun, server, platform::scoreRequest(*m_progress.item(index).score, limit, server.id), limit);
}

void job_worker::launch(time_point now, const std::shared_ptr<run> &newRun, const backend_choice &server, http_request request, duration limit)
{
    newRun->number = m_nextRunNumber++;
    m_lastPlaceAt = now;
    newRun->server = server.id;
    newRun->configuration = m_fleet.routes().document().version;
    newRun->startedAt = now;
    newRun->lastActivityAt = now;
    m_fleet.backends().onRequestStarted(server.id);
    m_runs.push_back(newRun);
    const auto pending = std::make_shared<http_request>(std::move(request));
    m_fleet.admit(server,
                  { false, newRun->isScore ? maxScorePlaceWait : maxItemPlaceWait },
                  [weak = weak_from_this(), newRun, server, pending, limit](const limit_grant &grant) {
                      const auto self = weak.lock();
                      if (!self || self->m_isStopped) {
                          return;
                      }
                      if (grant.isGranted) {
                          self->send(newRun, server, std::move(*pending), limit);
                      } else {
                          self->putOff(newRun);
                      }
                  });
}

/** Puts a run off that has not been sent. */
void job_worker::putOff(const std::shared_ptr<run> &unsentRun)
{
    std::erase(m_runs, unsentRun);
    m_fleet.backends().onRequestEnded(unsentRun->server);
    const time_point now = m_context.loop.now();
    if (unsentRun->isScore) {
        m_progress.scoringFailed(now, unsentRun->item, run_failure::NotRun, refusalRetryDelay);
    } else {
        m_progress.runFailed(now, unsentRun->item, run_failure::NotRun, refusalRetryDelay);
    }
    advance();
}

void job_worker::send(const std::shared_ptr<run> &newRun, const backend_choice &server, http_request request, duration limit)
{
    newRun->startedAt = m_context.loop.now();
    newRun->lastActivityAt = newRun->startedAt;
    http_call_options options;
    options.connectTimeout = std::min(serverConnectTimeout, limit);
    options.silenceTimeout = limit;
    options.deadline = limit;
    options.maySend = [&fleet = m_fleet, id = server.id, startedAt = server.startedAt, configuration = newRun->configuration] {
        return fleet.maySend(id, startedAt) && fleet.isConfigurationUnchanged(configuration);
    };
    options.requestId = requestIdOf(*newRun);
    options.isOwnResponse = [id = requestIdOf(*newRun)](const http_response &head) {
        return platform::isResponseTo(head, id);
    };
    const auto guarded = [weak = weak_from_this(), weakRun = std::weak_ptr(newRun)](auto action) {
        const auto self = weak.lock();
        const auto current = weakRun.lock();
        if (self && current && !self->m_isStopped) {
            action(*self, current);
        }
    };
    http_call_handlers handlers;
    handlers.onHead = [guarded](const http_response &head) {
        guarded([&](job_worker &self, const std::shared_ptr<run> &current) {
            self.onResponseHead(current, head);
        });
    };
    handlers.onBody = [guarded](std::string_view part) {
        guarded([&](job_worker &self, const std::shared_ptr<run> &current) {
            self.onResponseBody(*current, part);
        });
    };
    handlers.onEnd = [guarded](const http_call_end &end) {
        guarded([&](job_worker &self, const std::shared_ptr<run> &current) {
            self.onRunEnded(current, end);
        });
    };
    newRun->sent = m_fleet.recordSend(server.id, server.startedAt, newRun->isScore ? send_kind::Score : send_kind::Item);
    newRun->call = m_context.serverClient.start(server.address, std::move(request), options, std::move(handlers));
}

/** Returns the id of the request that a run sends. */
const std::string &job_worker::requestIdOf(const run &current) const
{
    const job_item &item = m_progress.item(current.item);
    return current.isScore ? item.score->id : item.id;
}

void job_worker::onResponseHead(const std::shared_ptr<run> &answeredRun, const http_response &head)
{
    run &current = *answeredRun;
    current.answer = platform::decodeAnswer(head);
    current.lastActivityAt = m_context.loop.now();
    current.build = m_fleet.buildOf(current.server, current.sent.startedAt);
    m_fleet.backends().onResponse(current.server);
    if (current.answer.isLeaving) {
        m_fleet.recordLeaving(current.server, current.isScore ? "score" : "item");
    }
    m_fleet.recordLimit(current.sent, platform::decodeLimit(head), current.answer.isFromServer(requestIdOf(current)));
    if (current.answer.serverLoad) {
        m_fleet.backends().onLoad(current.lastActivityAt, current.server, current.answer.serverLoad->running, current.answer.serverLoad->waiting);
        if (current.answer.serverLoad->slowdown) {
            m_fleet.backends().onSlowdown(current.lastActivityAt, current.server, *current.answer.serverLoad->slowdown);
        }
    }
    if (current.answer.version) {
        current.version = *current.answer.version;
        m_fleet.backends().onVersion(current.server, m_progress.spec().model, current.version);
        m_fleet.backends().onAccepted(current.server, m_progress.spec().model);
    }
    if (current.isScore || current.answer.status != http_status::ok || current.isInvalidResponse) {
        return;
    }
    current.contact = { current.server, current.sent.startedAt, current.lastActivityAt - current.call->connectionAge() };
    if (!m_progress.runAnswered(current.item, current.build)) {
        current.isInvalidResponse = true;
        abortRun(current, "another build began the text");
    } else if (m_progress.state(current.item).lastEvent > 0) {
        proveContinuation(answeredRun);
    } else if (m_fleet.proofOf(current.contact) == contact_proof::Certain) {
        m_unprovenOrigins.erase(current.item);
    } else {
        m_unprovenOrigins[current.item] = current.contact;
    }
}

/** Holds the events of a run back until it is certain which instance makes them, and thus that they fit to the text. */
void job_worker::proveContinuation(const std::shared_ptr<run> &current)
{
    current->isHeld = true;
    m_fleet.proveContact(current->contact, [weak = weak_from_this(), weakRun = std::weak_ptr(current)](contact_proof proof) {
        const auto self = weak.lock();
        const auto held = weakRun.lock();
        if (!self || !held || self->m_isStopped) {
            return;
        }
        held->isHeld = false;
        if (proof == contact_proof::Certain) {
            self->takeEvents(*held, std::exchange(held->heldBytes, {}));
        } else {
            held->isInvalidResponse = true;
            if (!held->heldEnd) {
                self->abortRun(*held, "the instance that goes on with the text is not certain");
            }
        }
        if (held->heldEnd) {
            self->onRunEnded(held, *std::exchange(held->heldEnd, std::nullopt));
        }
    });
}

void job_worker::onResponseBody(run &current, std::string_view part)
{
    m_fleet.backends().onResponse(current.server);
    if (current.isScore || current.answer.status != http_status::ok || current.isInvalidResponse) {
        return;
    }
    if (current.isHeld) {
        current.lastActivityAt = m_context.loop.now();
        current.heldBytes.append(part);
        return;
    }
    takeEvents(current, part);
}

void job_worker::takeEvents(run &current, std::string_view part)
{
    const time_point now = m_context.loop.now();
    for (const server_event &event : current.events.feed(part)) {
        if (const auto version = platform::eventVersion(event)) {
            current.version = *version;
        }
        const std::optional<std::uint64_t> number = eventNumber(event.id);
        if (!number || !m_progress.addEvent(current.item, *number, event.data, current.version)) {
            current.isInvalidResponse = true;
            abortRun(current, "an event does not continue the text");
            return;
        }
        if (current.eventCount > 0) {
            m_fleet.backends().onLatency(now, current.server, now - current.lastActivityAt);
        } else if (current.isContinuation) {
            m_texts.onContinued(now - current.startedAt);
        }
        ++current.eventCount;
        current.lastActivityAt = now;
    }
}

void job_worker::abortRun(run &current, const char *reason)
{
    logRun(current, "broken-off", reason);
    current.call->cancel();
}

void job_worker::onRunEnded(const std::shared_ptr<run> &endedRun, const http_call_end &end)
{
    if (end.isWithdrawn) {
        logRun(*endedRun, "withdrawn", end.detail);
        putOff(endedRun);
        return;
    }
    if (endedRun->isHeld) {
        endedRun->heldEnd = end;
        return;
    }
    std::erase(m_runs, endedRun);
    m_fleet.backends().onRequestEnded(endedRun->server);
    if (end.isForeignResponse) {
        m_fleet.recordForeignResponse(endedRun->sent, requestIdOf(*endedRun));
    }
    const time_point now = m_context.loop.now();
    if (endedRun->isScore) {
        handleScoreRunEnd(now, *endedRun, end);
    } else {
        handleItemRunEnd(now, *endedRun, end);
    }
    m_recorder.onPlaceFreed ? m_recorder.onPlaceFreed() : advance();
}

/**
 * Reports a failed run to the backend table. A refused or reset connection shows that the server or its machine is reachable; a connection that times out, or
 * one without any response, may mean that the server's zone is cut off.
 */
void job_worker::reportBrokenServer(time_point now, const run &endedRun, const http_call_end &end)
{
    const bool hadNoConnection = end.error == error_kind::NoServer && now - endedRun.startedAt >= serverConnectTimeout;
    const bool hadNoAnswer = !end.hasHead && (end.error == error_kind::ServerSilent || end.error == error_kind::DeadlineExceeded);
    if (endedRun.wasAbortedAsSilent || hadNoConnection || hadNoAnswer) {
        m_fleet.backends().onNoResponse(now, endedRun.server);
    } else {
        m_fleet.backends().onFailure(now, endedRun.server);
    }
}

void job_worker::handleItemRunEnd(time_point now, run &endedRun, const http_call_end &end)
{
    backend_table &backends = m_fleet.backends();
    const std::uint16_t status = endedRun.answer.status;
    if (end.error == error_kind::None && !endedRun.isInvalidResponse && status == http_status::ok && endedRun.events.isBetweenEvents()
        && m_progress.state(endedRun.item).lastEvent > 0) {
        m_texts.onTextComplete(now - endedRun.startedAt, m_progress.state(endedRun.item).lastEvent, m_progress.item(endedRun.item).expectedTokens);
        m_progress.textEnded(now, endedRun.item);
        logRun(endedRun, "text-whole", "");
        return;
    }
    if (end.error == error_kind::None && endedRun.answer.isNotStarted) {
        logRun(endedRun, "refused", "status " + std::to_string(status));
        if (endedRun.answer.isOtherInstance) {
            backends.onFailure(now, endedRun.server);
        } else {
            backends.onRefused(now, endedRun.server, m_progress.spec().model);
        }
        m_progress.runFailed(now, endedRun.item, run_failure::NotRun, refusalRetryDelay);
        return;
    }
    if (end.error == error_kind::None && !endedRun.isInvalidResponse && (status == http_status::internalError || status == http_status::unprocessable)) {
        logRun(endedRun, "failed", "status " + std::to_string(status));
        m_progress.runFailed(now, endedRun.item, status == http_status::internalError ? run_failure::Failed : run_failure::NonRetryable, failureRetryDelay);
        return;
    }
    if (endedRun.wasAbortedToMove) {
        m_progress.runFailed(now, endedRun.item, run_failure::NotRun, duration::zero());
        return;
    }
    logRun(endedRun, "broken", end.error == error_kind::None ? "status " + std::to_string(status) : end.detail);
    reportBrokenServer(now, endedRun, end);
    m_progress.runFailed(now, endedRun.item, run_failure::Broken, brokenRunRetryDelay);
}

void job_worker::handleScoreRunEnd(time_point now, run &endedRun, const http_call_end &end)
{
    backend_table &backends = m_fleet.backends();
    const std::uint16_t status = endedRun.answer.status;
    const bool isWhole = end.error == error_kind::None && !endedRun.isInvalidResponse;
    if (isWhole && status >= http_status::ok && status < http_status::firstNonSuccess && !endedRun.answer.signature.empty()) {
        backends.onLatency(now, endedRun.server, now - endedRun.startedAt);
        m_progress.scored(now, endedRun.item, endedRun.answer.signature);
        logRun(endedRun, "scored", "");
        return;
    }
    logRun(endedRun, "score-failed", end.error == error_kind::None ? "status " + std::to_string(status) : end.detail);
    if (end.error == error_kind::None && endedRun.answer.isNotStarted) {
        if (endedRun.answer.isOtherInstance) {
            backends.onFailure(now, endedRun.server);
        } else {
            backends.onRefused(now, endedRun.server, "");
        }
        m_progress.scoringFailed(now, endedRun.item, run_failure::NotRun, refusalRetryDelay);
    } else if (isWhole && status == http_status::internalError) {
        m_progress.scoringFailed(now, endedRun.item, run_failure::Failed, failureRetryDelay);
    } else {
        reportBrokenServer(now, endedRun, end);
        m_progress.scoringFailed(now, endedRun.item, run_failure::Broken, brokenRunRetryDelay);
    }
}

/** Aborts runs whose server has sent nothing for far longer than its usual time per event. */
void job_worker::abortSilentRuns(time_point now)
{
    std::vector<std::shared_ptr<run>> silentRuns;
    for (const auto &current : m_runs) {
        if (current->isScore || !current->call || current->heldEnd) {
            continue;
        }
        const duration latency = m_fleet.backends().latency(now, current->server);
        const duration silenceLimit = std::max(minSilenceTimeout, fromSeconds(toSeconds(latency) * silenceLatencyFactor));
        const bool isEventDue = current->eventCount > 0 || m_fleet.backends().isZoneSuspect(now, current->server);
        if (now - current->lastActivityAt > (isEventDue ? silenceLimit : firstEventTimeout)) {
            silentRuns.push_back(current);
        }
    }
    for (const auto &current : silentRuns) {
        current->wasAbortedAsSilent = true;
        abortRun(*current, "the server is silent");
    }
}

/** Moves a text from a slow server to a faster one, which first reads the partial text as part of the prompt; that takes a few milliseconds. */
void job_worker::moveRunFromSlowServer(time_point now)
{
    if (now < m_nextMoveCheckAt) {
        return;
    }
    m_nextMoveCheckAt = now + moveCheckInterval;
    const route *matchedRoute = jobRoute();
    if (matchedRoute == nullptr || matchedRoute->isSingleVersion || matchedRoute->services.empty() || !m_moveBudget.allows(move_options())
        || m_progress.nextToRun(now)) {
        return; // Free slots go to items that are not running yet.
    }
    std::shared_ptr<run> slowRun;
    for (const auto &current : m_runs) {
        const bool mayMove = !current->isScore && current->eventCount >= minEventsBeforeMove && !m_progress.state(current->item).build.empty();
        if (!mayMove) {
            continue;
        }
        move_question question =
            m_fleet.backends().moveProspect(now, current->server, continuationCriteria(current->item, matchedRoute->services.front().service));
        question.eventsLeft = expectedEventsLeft(static_cast<double>(m_progress.state(current->item).lastEvent),
                                                 m_texts.expectedEvents(m_progress.item(current->item).expectedTokens));
        question.restartTime = m_texts.continuationTime();
        question.movesBefore = m_moves[current->item];
        if (isMoveWorthwhile(question)) {
            slowRun = current;
            logLine(log_level::Info,
                    "text-moved",
                    { { "job", m_job },
                      { "item", m_progress.item(current->item).id },
                      { "from", current->server },
                      { "events-left", std::to_string(static_cast<int>(question.eventsLeft)) },
                      { "event-ms-here", std::to_string(question.eventTimeHere / std::chrono::milliseconds(1)) },
                      { "event-ms-there", std::to_string(question.eventTimeThere / std::chrono::milliseconds(1)) },
                      { "restart-ms", std::to_string(question.restartTime / std::chrono::milliseconds(1)) },
                      { "free-share", std::to_string(question.freeShare) } });
            break;
        }
    }
    if (slowRun) {
        slowRun->wasAbortedToMove = true;
        ++m_moves[slowRun->item];
        m_moveBudget.onMoved();
        m_context.metrics.counter("reedtrail_texts_moved_total", "Texts that this node moved from a slow server to a faster one").add();
        abortRun(*slowRun, "another server is far faster");
    }
}

void job_worker::recordDueResults(time_point now)
{
    const std::size_t wantedGroups = m_progress.spec().wantedGroups;
    const bool isLast = m_progress.count(item_stage::Finished) + m_progress.count(item_stage::Recorded) == m_progress.spec().items.size();
    if (m_recorder.isRecording()) {
        return;
    }
    if (!m_progress.shouldRecord(now, maxRecordDelay) || (!isLast && now - m_lastRecordedAt < minRecordInterval)) {
        if (now - std::max(m_lastDraftsKeptAt, m_lastRecordedAt) > draftRecordInterval) {
            if (std::string drafts = encodeDraftsToKeep(now); !drafts.empty()) {
                m_recorder.keepDrafts(std::move(drafts));
            }
        }
        return;
    }
    m_lastRecordedAt = now;
    std::vector<item_result> results = m_progress.takeFinished();
    logLine(log_level::Info,
            "job-recording",
            { { "job", m_job },
              { "results", std::to_string(results.size()) },
              { "recorded", std::to_string(m_progress.count(item_stage::Recorded)) },
              { "whole-groups", std::to_string(m_progress.completeGroups()) },
              { "wanted-groups", std::to_string(wantedGroups) } });
    m_recorder.record(std::move(results), encodeDraftsToKeep(now));
}

/** Returns the encoded partial texts that are worth keeping for a new owner after a takeover; empty if there are none. */
std::string job_worker::encodeDraftsToKeep(time_point now)
{
    m_lastDraftsKeptAt = now;
    std::erase_if(m_unprovenOrigins, [this](const auto &each) {
        return m_fleet.proofOf(each.second) == contact_proof::Certain;
    });
    const std::vector<item_draft> drafts = m_progress.drafts(minDraftEvents, maxDraftBytes, [this](std::size_t index) {
        return !m_unprovenOrigins.contains(index);
    });
    return drafts.empty() ? std::string() : encodeDrafts(drafts);
}

void job_worker::logRun(const run &endedRun, const char *outcome, const std::string &detail) const
{
    const item_state &state = m_progress.state(endedRun.item);
    const time_point now = m_context.loop.now();
    logLine(
        log_level::Info,
        endedRun.isScore ? "score-run" : "item-run",
        { { "job", m_job },
          { "item", m_progress.item(endedRun.item).id },
          { "server", endedRun.server },
          { "build", endedRun.build },
          { "outcome", outcome },
          { "detail", detail },
          { "run-events", std::to_string(endedRun.eventCount) },
          { "version", std::to_string(endedRun.version) },
          { "events", std::to_string(state.lastEvent) },
          { "server-pace-ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(m_fleet.backends().latency(now, endedRun.server)).count()) },
          { "ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now - endedRun.startedAt).count()) } });
}

} // namespace reedtrail
