// Each run is one HTTP call. The decisions (which item, which server, when to record, what a failure costs) are those of job_progress and backend_table; this
// file turns them into calls and the answers into events.

#include "edge/job_worker.h"

#include "batch/job_store.h"
#include "kernel/log.h"
#include "net/http_status.h"

#include <algorithm>
#include <charconv>

namespace reedtrail {
namespace {

constexpr duration runLimit = std::chrono::seconds(60); // No text takes longer; a run that hangs is found by its silence long before.
constexpr duration firstEventLimit = std::chrono::milliseconds(2500); // Queueing at the server included: a load of weights takes 0.9 s, three in a row 2.7.
constexpr duration connectLimit = std::chrono::milliseconds(400); // A hundred times the way between zones and the time that a server takes for it.
constexpr duration silenceLeast = std::chrono::milliseconds(1000); // Between events; servers that are slow by the usual four times take 0.2 s.
constexpr double silenceFactor = 8; // The same in times of the server's own pace.
constexpr std::size_t eventsBeforeMove = 3; // Of a run, so that the pace of its server is known from it too.
constexpr duration scoreLimitMost = std::chrono::milliseconds(3000); // The deadline that scores carry: above five times the mean work of all sheets.
constexpr duration scoreLimitLeast = std::chrono::milliseconds(800);
constexpr double scoreFactor = 8; // A score is asked for elsewhere after this many times the service's usual time.
constexpr duration retryAfterRefusal = std::chrono::milliseconds(30); // Another server is asked meanwhile; this bounds the asking when all refuse.
constexpr duration retryAfterBreak = std::chrono::milliseconds(10);
constexpr duration retryAfterFailure = std::chrono::milliseconds(100);
constexpr duration recordPatience = std::chrono::milliseconds(600); // Results of groups that are not whole help only a successor, so they wait for company;
                                                                    // texts under way are kept less often than that.
constexpr duration draftInterval = std::chrono::milliseconds(900); // Between records of texts under way alone: what a lost owner costs at most.
constexpr std::uint64_t draftLeastEvents = 16; // Shorter texts are made again in less time than a takeover takes: 0.7 s at 45 ms an event.
constexpr std::size_t draftMostBytes = 256U << 10U; // A quarter of the store's bound for a value.
constexpr duration recordInterval = std::chrono::milliseconds(120); // Least time between two records, so that bursts share one.

std::optional<std::uint64_t> eventNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() ? std::optional(number) : std::nullopt;
}

time_point submissionTime(time_point now, const job_facts &facts)
{
    return now - std::chrono::milliseconds(std::max<std::int64_t>(0, unixMilliseconds() - facts.submittedAtMs));
}

} // namespace

job_worker::job_worker(edge_context &context, fleet_view &fleet, std::string job, job_facts facts, job_spec spec, recorder record)
    : m_context(context)
    , m_fleet(fleet)
    , m_job(std::move(job))
    , m_facts(std::move(facts))
    , m_progress(spec, optionsFor(fleet, m_facts, spec), submissionTime(context.loop.now(), m_facts))
    , m_recorder(std::move(record))
{
}

job_worker::~job_worker()
{
    stop();
}

job_progress_options job_worker::optionsFor(const fleet_view &fleet, const job_facts &facts, const job_spec &spec)
{
    job_progress_options options;
    if (const route *where = fleet.routes().match(facts.host, facts.path)) {
        options.maxFailures = where->maxAttempts;
        options.isSingleVersion = where->isSingleVersion;
        if (where->itemLifetime > duration::zero()) {
            options.itemLifetime = where->itemLifetime;
        }
    }
    for (const job_item &item : spec.items) {
        if (!item.score) {
            continue;
        }
        if (const route *where = fleet.routes().match(item.score->host, item.score->path)) {
            options.maxScoreFailures = where->maxAttempts;
        }
        break;
    }
    return options;
}

const route *job_worker::jobRoute() const
{
    return m_fleet.routes().match(m_facts.host, m_facts.path);
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
        m_fleet.backends().ended(current->server);
        current->call->cancel();
    }
}

void job_worker::pump()
{
    if (m_isStopped) {
        return;
    }
    const time_point now = m_context.loop.now();
    m_progress.expire(now);
    checkSilence(now);
    leaveSlowServers(now);
    startScores(now);
    startItems(now);
    recordDue(now);
}

void job_worker::startItems(time_point now)
{
    const route *where = jobRoute();
    if (where == nullptr) {
        return; // Its route is gone, so nothing may run; the items end with their lifetime.
    }
    random_source random(m_context.seed + m_nextRun);
    while (const std::optional<std::size_t> index = m_progress.nextToRun(now)) {
        const std::string &service = chooseService(*where, random);
        const std::optional<backend_choice> server = m_fleet.backends().choose(now, wishFor(*index, service));
        if (!server) {
            return;
        }
        startItem(now, *index, *where, *server);
    }
}

backend_wish job_worker::wishFor(std::size_t index, std::string_view service) const
{
    backend_wish wish;
    wish.service = service;
    wish.model = m_progress.spec().model.empty() ? std::string_view(m_progress.item(index).model) : std::string_view(m_progress.spec().model);
    wish.minVersion = m_progress.spec().minVersion;
    wish.preferred = m_progress.groupServer(index);
    return wish;
}

void job_worker::startItem(time_point now, std::size_t index, const route &where, const backend_choice &server)
{
    const auto started = std::make_shared<run>();
    started->item = index;
    const std::uint64_t lastEvent = m_progress.state(index).lastEvent;
    m_progress.started(now, index, server.id);
    launch(now, started, server, platform::itemRequest(m_progress.item(index), where.host, server.id, lastEvent), runLimit);
}

void job_worker::startScores(time_point now)
{
    random_source random(m_context.seed + m_nextRun);
    while (const std::optional<std::size_t> index = m_progress.nextToScore(now)) {
        const score_call &call = *m_progress.item(*index).score;
        const route *where = m_fleet.routes().match(call.host, call.path);
        if (where == nullptr) {
            m_progress.scoringStarted(now, *index);
            m_progress.scoringFailed(now, *index, run_failure::NotRun, retryAfterFailure);
            logLine(log_level::Warning, "score-without-route", { { "job", m_job }, { "item", m_progress.item(*index).id }, { "score", call.id } });
            return;
        }
        backend_wish wish;
        wish.service = chooseService(*where, random);
        const std::optional<backend_choice> server = m_fleet.backends().choose(now, wish);
        if (!server) {
            return;
        }
        startScore(now, *index, *where, *server);
    }
}

void job_worker::startScore(time_point now, std::size_t index, const route &where, const backend_choice &server)
{
    const auto started = std::make_shared<run>();
    started->item = index;
    started->isScore = true;
    m_progress.scoringStarted(now, index);
    const duration usual = fromSeconds(toSeconds(m_fleet.backends().typicalPace(now, where.services.front().service)) * scoreFactor);
    const duration limit = std::clamp(usual, scoreLimitLeast, scoreLimitMost);
    launch(now, started, server, platform::scoreRequest(*m_progress.item(index).score, limit, server.id), limit);
}

void job_worker::launch(time_point now, const std::shared_ptr<run> &started, const backend_choice &server, http_request request, duration limit)
{
    started->number = m_nextRun++;
    started->server = server.id;
    started->startedAt = now;
    started->lastActivity = now;
    m_fleet.backends().started(server.id);
    http_call_options options;
    options.connectTimeout = std::min(connectLimit, limit);
    options.silenceTimeout = limit;
    options.deadline = limit;
    const auto guarded = [weak = weak_from_this(), weakRun = std::weak_ptr(started)](auto action) {
        const auto self = weak.lock();
        const auto current = weakRun.lock();
        if (self && current && !self->m_isStopped) {
            action(*self, current);
        }
    };
    http_call_handlers handlers;
    handlers.onHead = [guarded](const http_response &head) {
        guarded([&](job_worker &self, const std::shared_ptr<run> &current) {
            self.gotHead(*current, head);
        });
    };
    handlers.onBody = [guarded](std::string_view part) {
        guarded([&](job_worker &self, const std::shared_ptr<run> &current) {
            self.gotBody(*current, part);
        });
    };
    handlers.onEnd = [guarded](const http_call_end &end) {
        guarded([&](job_worker &self, const std::shared_ptr<run> &current) {
            self.runEnded(current, end);
        });
    };
    m_runs.push_back(started);
    started->call = m_context.servers.start(server.address, std::move(request), options, std::move(handlers));
}

void job_worker::gotHead(run &current, const http_response &head)
{
    current.answer = platform::decodeAnswer(head);
    current.lastActivity = m_context.loop.now();
    m_fleet.backends().heard(current.server);
    const std::string &expected = current.isScore ? m_progress.item(current.item).score->id : m_progress.item(current.item).id;
    if (!current.answer.isNotStarted && current.answer.requestId != expected) {
        current.isBadAnswer = true;
    }
    if (current.answer.serverLoad) {
        m_fleet.backends().loadSeen(current.lastActivity, current.server, current.answer.serverLoad->running, current.answer.serverLoad->waiting);
    }
    if (current.answer.version) {
        current.version = *current.answer.version;
        m_fleet.backends().versionSeen(current.server, m_progress.spec().model, current.version);
        m_fleet.backends().accepted(current.server, m_progress.spec().model);
    }
}

void job_worker::gotBody(run &current, std::string_view part)
{
    const time_point now = m_context.loop.now();
    m_fleet.backends().heard(current.server);
    if (current.isScore || current.answer.status != http_status::ok || current.isBadAnswer) {
        return;
    }
    for (const server_event &event : current.events.feed(part)) {
        if (const auto version = platform::eventVersion(event)) {
            current.version = *version;
        }
        const std::optional<std::uint64_t> number = eventNumber(event.id);
        if (!number || !m_progress.addEvent(current.item, *number, event.data, current.version)) {
            current.isBadAnswer = true;
            breakOff(current, "an event does not follow the text so far");
            return;
        }
        if (current.eventCount > 0) {
            m_fleet.backends().paceSeen(now, current.server, now - current.lastActivity);
        }
        ++current.eventCount;
        current.lastActivity = now;
    }
}

void job_worker::breakOff(run &current, const char *reason)
{
    logRun(current, "broken-off", reason);
    current.call->cancel();
}

void job_worker::runEnded(const std::shared_ptr<run> &ended, const http_call_end &end)
{
    std::erase(m_runs, ended);
    m_fleet.backends().ended(ended->server);
    const time_point now = m_context.loop.now();
    if (ended->isScore) {
        scoreEnded(now, *ended, end);
    } else {
        itemEnded(now, *ended, end);
    }
    pump();
}

/** A connection that is refused or reset comes from the server or its machine; one that does not come about, or brings nothing, from nobody. */
void job_worker::noteBroken(time_point now, const run &ended, const http_call_end &end)
{
    const bool hadNoConnection = end.error == error_kind::NoServer && now - ended.startedAt >= connectLimit;
    const bool hadNoAnswer = !end.hasHead && (end.error == error_kind::ServerSilent || end.error == error_kind::DeadlineExceeded);
    if (ended.isSilent || hadNoConnection || hadNoAnswer) {
        m_fleet.backends().fellSilent(now, ended.server);
    } else {
        m_fleet.backends().broke(now, ended.server);
    }
}

void job_worker::itemEnded(time_point now, run &ended, const http_call_end &end)
{
    backend_table &backends = m_fleet.backends();
    const std::uint16_t status = ended.answer.status;
    if (end.error == error_kind::None && !ended.isBadAnswer && status == http_status::ok && ended.events.isBetweenEvents()
        && m_progress.state(ended.item).lastEvent > 0) {
        m_progress.textEnded(now, ended.item);
        logRun(ended, "text-whole", "");
        return;
    }
    if (end.error == error_kind::None && ended.answer.isNotStarted) {
        logRun(ended, "refused", "status " + std::to_string(status));
        if (ended.answer.isOtherInstance) {
            backends.broke(now, ended.server);
        } else {
            backends.refused(now, ended.server, m_progress.spec().model);
        }
        m_progress.runFailed(now, ended.item, run_failure::NotRun, retryAfterRefusal);
        return;
    }
    if (end.error == error_kind::None && !ended.isBadAnswer && (status == http_status::internalError || status == http_status::unprocessable)) {
        logRun(ended, "failed", "status " + std::to_string(status));
        m_progress.runFailed(now, ended.item, status == http_status::internalError ? run_failure::Failed : run_failure::Impossible, retryAfterFailure);
        return;
    }
    if (ended.isMoving) {
        m_progress.runFailed(now, ended.item, run_failure::NotRun, duration::zero());
        return;
    }
    logRun(ended, "broken", end.error == error_kind::None ? "status " + std::to_string(status) : end.detail);
    noteBroken(now, ended, end);
    m_progress.runFailed(now, ended.item, run_failure::Broken, retryAfterBreak);
}

void job_worker::scoreEnded(time_point now, run &ended, const http_call_end &end)
{
    backend_table &backends = m_fleet.backends();
    const std::uint16_t status = ended.answer.status;
    const bool isWhole = end.error == error_kind::None && !ended.isBadAnswer;
    if (isWhole && status >= http_status::ok && status < http_status::firstNonSuccess && !ended.answer.signature.empty()) {
        backends.paceSeen(now, ended.server, now - ended.startedAt);
        m_progress.scored(now, ended.item, ended.answer.signature);
        logRun(ended, "scored", "");
        return;
    }
    logRun(ended, "score-failed", end.error == error_kind::None ? "status " + std::to_string(status) : end.detail);
    if (end.error == error_kind::None && ended.answer.isNotStarted) {
        if (ended.answer.isOtherInstance) {
            backends.broke(now, ended.server);
        } else {
            backends.refused(now, ended.server, "");
        }
        m_progress.scoringFailed(now, ended.item, run_failure::NotRun, retryAfterRefusal);
    } else if (isWhole && status == http_status::internalError) {
        m_progress.scoringFailed(now, ended.item, run_failure::Failed, retryAfterFailure);
    } else {
        noteBroken(now, ended, end);
        m_progress.scoringFailed(now, ended.item, run_failure::Broken, retryAfterBreak);
    }
}

/** Gives up runs whose server has said nothing for far longer than it should take. */
void job_worker::checkSilence(time_point now)
{
    std::vector<std::shared_ptr<run>> silent;
    for (const auto &current : m_runs) {
        if (current->isScore) {
            continue;
        }
        const duration pace = m_fleet.backends().pace(now, current->server);
        const duration between = std::max(silenceLeast, fromSeconds(toSeconds(pace) * silenceFactor));
        const bool isDue = current->eventCount > 0 || m_fleet.backends().isZoneSuspect(now, current->server);
        if (now - current->lastActivity > (isDue ? between : firstEventLimit)) {
            silent.push_back(current);
        }
    }
    for (const auto &current : silent) {
        current->isSilent = true;
        breakOff(*current, "the server is silent");
    }
}

/** Lets texts on slow servers go on elsewhere; their first part is read in again, which takes a few milliseconds. */
void job_worker::leaveSlowServers(time_point now)
{
    const route *where = jobRoute();
    if (where == nullptr || where->isSingleVersion || where->services.empty() || m_progress.nextToRun(now)) {
        return; // Free slots go to items that have none yet.
    }
    std::shared_ptr<run> slow;
    for (const auto &current : m_runs) {
        const bool hasSettled = !current->isScore && current->eventCount >= eventsBeforeMove;
        if (hasSettled && m_fleet.backends().isWorthMoving(now, current->server, wishFor(current->item, where->services.front().service))) {
            slow = current;
            break;
        }
    }
    if (slow) {
        slow->isMoving = true;
        breakOff(*slow, "another server is far faster");
    }
}

void job_worker::recordDue(time_point now)
{
    const std::size_t wanted = m_progress.spec().wantedGroups;
    const bool isLast = m_progress.count(item_stage::Finished) + m_progress.count(item_stage::Recorded) == m_progress.spec().items.size();
    if (m_recorder.isRecording()) {
        return;
    }
    if (!m_progress.wantsRecording(now, recordPatience) || (!isLast && now - m_recordedAt < recordInterval)) {
        if (now - std::max(m_draftsKeptAt, m_recordedAt) > draftInterval) {
            if (std::string drafts = draftsToKeep(now); !drafts.empty()) {
                m_recorder.keepDrafts(std::move(drafts));
            }
        }
        return;
    }
    m_recordedAt = now;
    std::vector<item_result> results = m_progress.takeFinished();
    logLine(log_level::Info,
            "job-recording",
            { { "job", m_job },
              { "results", std::to_string(results.size()) },
              { "recorded", std::to_string(m_progress.count(item_stage::Recorded)) },
              { "whole-groups", std::to_string(m_progress.wholeGroups()) },
              { "wanted-groups", std::to_string(wanted) } });
    m_recorder.record(std::move(results), draftsToKeep(now));
}

/** Returns the encoded texts under way that a successor should not have to make again; empty if there are none. */
std::string job_worker::draftsToKeep(time_point now)
{
    m_draftsKeptAt = now;
    const std::vector<item_draft> drafts = m_progress.drafts(draftLeastEvents, draftMostBytes);
    return drafts.empty() ? std::string() : encodeDrafts(drafts);
}

void job_worker::logRun(const run &ended, const char *outcome, const std::string &detail) const
{
    const item_state &state = m_progress.state(ended.item);
    const time_point now = m_context.loop.now();
    logLine(log_level::Info,
            ended.isScore ? "score-run" : "item-run",
            { { "job", m_job },
              { "item", m_progress.item(ended.item).id },
              { "server", ended.server },
              { "outcome", outcome },
              { "detail", detail },
              { "version", std::to_string(ended.version) },
              { "events", std::to_string(state.lastEvent) },
              { "server-pace-ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(m_fleet.backends().pace(now, ended.server)).count()) },
              { "ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now - ended.startedAt).count()) } });
}

} // namespace reedtrail
