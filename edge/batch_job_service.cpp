#include "edge/batch_job_service.h"

#include "edge/job_order.h"
#include "kernel/log.h"
#include "net/http_status.h"

#include <algorithm>

namespace reedtrail {
namespace {

constexpr duration tickInterval = std::chrono::milliseconds(100); // Detection of silent servers, due records and expired reads is late by at most this.
constexpr duration minReadWait = std::chrono::milliseconds(200); // Time to ask the store for new results, also for reads without a long-poll time.
constexpr duration watchRetention = std::chrono::seconds(4); // A job is watched this long after its last call; callers read about twice a second.
constexpr duration entryRetention = std::chrono::seconds(15); // A job that is not owned stays in memory this long after its last call.
constexpr duration readRetryAfter = std::chrono::milliseconds(400); // Retry-After of reads while the store does not answer; callers read about twice a second.
constexpr duration submitRetryAfter = std::chrono::milliseconds(3000); // Retry-After of submissions: most store outages are over by then, and a job that
                                                                       // is accepted this late can still finish in its target time.
constexpr std::size_t documentCopies = 6; // Of a job that is being recorded: document, items, transaction, and its text for the store.
constexpr duration drainRetryAfter = std::chrono::milliseconds(50); // Retry-After of a node that is being stopped; others serve the caller at once.
constexpr duration roomLogInterval = std::chrono::seconds(1); // Between two lines on the order of jobs.
constexpr duration releaseMargin = std::chrono::milliseconds(2500); // Part of the grace period left to release jobs and send the last responses.

std::string_view outcomeName(accept_outcome outcome)
{
    switch (outcome) {
    case accept_outcome::Accepted:
        return "accepted";
    case accept_outcome::NotAccepted:
        return "not-recorded";
    case accept_outcome::Unknown:
        return "uncertain";
    case accept_outcome::TooLarge:
        break;
    }
    return "too-large";
}

} // namespace

batch_job_service::batch_job_service(edge_context &context, fleet_cache &fleet)
    : m_context(context)
    , m_fleet(fleet)
{
}

result<void> batch_job_service::start(kernel &)
{
    m_fleet.onChange([this] {
        scheduleAdvance();
    });
    return {};
}

nlohmann::json batch_job_service::dump() const
{
    nlohmann::json jobs = nlohmann::json::array();
    for (const auto &[id, entry] : m_entries) {
        jobs.push_back({ { "job", id },
                         { "owner", entry->session->isOwner() },
                         { "ended", entry->session->view().isEnded() },
                         { "recorded", entry->session->view().results().size() },
                         { "total", entry->total } });
    }
    return { { "jobs", jobs } };
}

std::shared_ptr<batch_job_service::job_entry> batch_job_service::findOrCreate(const std::string &job)
{
    std::shared_ptr<job_entry> &entry = m_entries[job];
    if (entry) {
        entry->lastUsedAt = m_context.loop.now();
        return entry;
    }
    entry = std::make_shared<job_entry>();
    entry->job = job;
    entry->knownSince = m_context.loop.now();
    entry->lastUsedAt = entry->knownSince;
    const auto guarded = [weak = std::weak_ptr(entry)](auto action) {
        return [weak, action](auto &&...arguments) {
            if (const auto self = weak.lock()) {
                action(self, arguments...);
            }
        };
    };
    job_session_handlers handlers;
    handlers.onOwnershipGained = guarded([this](const std::shared_ptr<job_entry> &self) {
        onOwnershipGained(self);
    });
    handlers.onOwnershipLost = guarded([this](const std::shared_ptr<job_entry> &self) {
        onOwnershipLost(*self);
    });
    handlers.onEnded = guarded([this](const std::shared_ptr<job_entry> &self) {
        logLine(log_level::Info, "job-ended", { { "job", self->job }, { "recorded", std::to_string(self->session->view().results().size()) } });
        onOwnershipLost(*self);
        completeDueReads(self);
    });
    handlers.onResults = guarded([this](const std::shared_ptr<job_entry> &self) {
        completeDueReads(self);
    });
    handlers.onRecorded = guarded([this](const std::shared_ptr<job_entry> &self, std::span<const item_result> results) {
        if (self->worker) {
            self->worker->noteRecorded(results);
        }
        completeDueReads(self);
        scheduleAdvance();
    });
    handlers.mayClaim = [this] {
        return !m_context.isDraining && m_fleet.isReady();
    };
    handlers.hasReaders = [weak = std::weak_ptr(entry)] {
        const auto self = weak.lock();
        return self && !self->pendingReads.empty();
    };
    entry->session = std::make_shared<session_type>(
        m_context.store, m_context.loop, m_context.lease, job, job_owner_record{ m_context.settings.node, m_context.incarnation }, std::move(handlers));
    if (!m_isTicking) {
        m_isTicking = true;
        m_context.loop.after(tickInterval, [this] {
            tick();
        });
    }
    return entry;
}

void batch_job_service::refuse(const std::shared_ptr<http_exchange> &exchange, std::uint16_t status, const char *reason, const std::string &job)
{
    logLine(log_level::Info,
            "job-call-refused",
            { { "job", job },
              { "request", std::string(platform::requestIdOf(exchange->request())) },
              { "call", exchange->request().method },
              { "status", std::to_string(status) },
              { "reason", reason },
              { "isolated", m_context.isIsolated() ? "yes" : "no" } });
    m_context.metrics.counter("reedtrail_job_calls_refused_total", "Calls about batch jobs that were refused", "status=\"" + std::to_string(status) + "\"")
        .add();
    http_response response = platform::encodeRefusal(status,
                                                     reason,
                                                     status != http_status::unavailable         ? duration::zero()
                                                         : m_context.isDraining                 ? drainRetryAfter
                                                         : exchange->request().method == "POST" ? submitRetryAfter
                                                                                                : readRetryAfter);
    platform::echoRequestId(exchange->request(), response);
    exchange->respond(std::move(response));
}

bool batch_job_service::ownsJob(const std::string &job) const
{
    const auto found = m_entries.find(job);
    return found != m_entries.end() && found->second->session->isOwner();
}

void batch_job_service::submit(std::shared_ptr<http_exchange> exchange, const std::string &job, const std::optional<std::string> &customer, bool mayBeRecorded)
{
    const http_request &request = exchange->request();
    if (request.body.size() > maximumDocumentPartBytes * maximumDocumentParts) {
        refuse(exchange, http_status::tooLarge, "the job is too large for the store", job);
        return;
    }
    if (!mayBeRecorded && !exchange->reserve(request.body.size() * documentCopies)) {
        refuse(exchange, http_status::unavailable, "this node has no memory for the job", job);
        return;
    }
    std::optional<job_spec> spec;
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_AUTO(decoded, platform::decodeJob(request.body));
        spec = std::move(decoded);
        return {};
    });
    if (error || job.empty()) {
        refuse(exchange, http_status::badRequest, error ? error->detail.c_str() : "a batch job needs an id", job);
        return;
    }
    const std::shared_ptr<job_entry> entry = findOrCreate(job);
    if (entry->session->view().isPresent()) {
        if (!mayUseJob(customer, entry->session->view().metadata().customer)) {
            refuse(exchange, http_status::conflict, "the id belongs to another batch job", job);
            return;
        }
        exchange->respond(textResponse(http_status::accepted, ""));
        return;
    }
    if (m_context.isIsolated() && !mayBeRecorded) {
        refuse(exchange, http_status::unavailable, "this node is cut off", job);
        return;
    }
    if (m_context.isDraining && !mayBeRecorded) {
        refuse(exchange, http_status::unavailable, "this node is being stopped", job);
        return;
    }
    entry->total = spec->items.size();
    double expectedTokens = 0;
    for (const job_item &item : spec->items) {
        expectedTokens += item.expectedTokens;
    }
    const job_metadata metadata{
        std::string(request.fields.get("Host")), std::string(request.path()), unixMilliseconds(), spec->model, expectedTokens, customer.value_or("")
    };
    entry->spec = std::move(spec);
    entry->session->accept(metadata, request.body, [this, exchange, entry, job, mayBeRecorded, startedAt = m_context.loop.now()](accept_outcome outcome) {
        const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(m_context.loop.now() - startedAt).count();
        logLine(
            log_level::Info,
            "job-submission",
            { { "job", job }, { "outcome", std::string(outcomeName(outcome)) }, { "items", std::to_string(entry->total) }, { "ms", std::to_string(took) } });
        if (outcome == accept_outcome::Accepted) {
            http_response response = textResponse(http_status::accepted, "");
            platform::echoRequestId(exchange->request(), response);
            exchange->respond(std::move(response));
        } else if (outcome == accept_outcome::NotAccepted && !mayBeRecorded) {
            refuse(exchange, http_status::unavailable, "the store took no record of the job", job);
        } else if (outcome == accept_outcome::TooLarge) {
            refuse(exchange, http_status::tooLarge, "the job is too large for the store", job);
        } else {
            refuse(exchange, http_status::gatewayTimeout, "the record of the job is uncertain", job);
        }
    });
}

void batch_job_service::withLoadedView(const std::shared_ptr<job_entry> &entry, std::function<void(load_outcome)> action)
{
    if (!entry->session->needsListing()) {
        action(load_outcome::Present);
        return;
    }
    if (m_context.isIsolated()) {
        action(load_outcome::Unavailable);
        return;
    }
    entry->loadCallbacks.push_back(std::move(action));
    if (entry->isLoading) {
        return;
    }
    entry->isLoading = true;
    entry->session->load([entry](load_outcome outcome) {
        entry->isLoading = false;
        for (const auto &callback : std::exchange(entry->loadCallbacks, {})) {
            callback(outcome);
        }
    });
}

bool batch_job_service::decodeDocument(job_entry &entry)
{
    if (entry.spec) {
        return true;
    }
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_AUTO(decoded, platform::decodeJob(entry.session->view().document()));
        entry.total = decoded.items.size();
        entry.spec = std::move(decoded);
        return {};
    });
    if (error) {
        logLine(log_level::Error, "job-document-unreadable", { { "job", entry.job }, { "reason", error->detail } });
    }
    return !error;
}

/** Tells whether a call gets the response for an unknown job. Drops the entry of a job that the store does not have. */
bool batch_job_service::isHidden(const job_entry &entry, load_outcome outcome, const std::optional<std::string> &customer)
{
    if (outcome == load_outcome::Absent) {
        m_entries.erase(std::string(entry.job));
        return true;
    }
    const job_view &view = entry.session->view();
    const bool isForeign = view.isPresent() && !mayUseJob(customer, view.metadata().customer);
    if (isForeign) {
        logLine(log_level::Info, "job-of-another-customer", { { "job", entry.job }, { "caller", customer.value_or("-") } });
    }
    return isForeign;
}

void batch_job_service::read(std::shared_ptr<http_exchange> exchange, const platform::job_read &call, const std::optional<std::string> &customer)
{
    const std::shared_ptr<job_entry> entry = findOrCreate(call.job);
    withLoadedView(entry, [this, exchange, entry, call, customer](load_outcome outcome) {
        const job_view &view = entry->session->view();
        if (isHidden(*entry, outcome, customer)) {
            refuse(exchange, http_status::notFound, "no such batch job", call.job);
            return;
        }
        // Recorded results are never removed, so known ones are returned even while the store does not answer.
        const bool hasResult = view.results().size() > call.from;
        if (outcome == load_outcome::Unavailable && !hasResult) {
            refuse(exchange, http_status::unavailable, "the store does not answer", call.job);
            return;
        }
        if (entry->total == 0 && !decodeDocument(*entry)) {
            refuse(exchange, http_status::unavailable, "the job's document cannot be read", call.job);
            return;
        }
        const pending_read pendingRead{ exchange, call.from, m_context.loop.now() + std::clamp(call.wait, minReadWait, maxReadWait) };
        if (hasResult || view.isEnded() || view.results().size() >= entry->total) {
            completeRead(entry, pendingRead);
        } else {
            entry->pendingReads.push_back(pendingRead);
            entry->session->catchUp();
        }
    });
}

/** Answers a read that is due. An empty response is sent only after the store has confirmed that there is no new result. */
void batch_job_service::completeRead(const std::shared_ptr<job_entry> &entry, const pending_read &pendingRead)
{
    const auto isAnswerable = [entry, from = pendingRead.from] {
        const std::size_t recorded = entry->session->view().results().size();
        return from < recorded || recorded >= entry->total;
    };
    if (isAnswerable()) {
        respondToRead(*entry, pendingRead);
        return;
    }
    if (m_context.isIsolated()) {
        refuse(pendingRead.exchange, http_status::unavailable, "this node is cut off", entry->job);
        return;
    }
    entry->session->verify([this, entry, pendingRead, isAnswerable](bool isCaughtUp) {
        if (pendingRead.exchange->isGone()) {
            return;
        }
        if (isCaughtUp || isAnswerable()) {
            respondToRead(*entry, pendingRead);
        } else {
            refuse(pendingRead.exchange, http_status::unavailable, "the store does not answer", entry->job);
        }
    });
}

void batch_job_service::respondToRead(const job_entry &entry, const pending_read &pendingRead)
{
    const std::vector<item_result> &results = entry.session->view().results();
    const std::size_t from = pendingRead.from;
    const std::span<const item_result> unread = from < results.size() ? std::span(results).subspan(from) : std::span<const item_result>();
    http_response response = platform::encodeResults(entry.total, from, unread);
    platform::echoRequestId(pendingRead.exchange->request(), response);
    pendingRead.exchange->respond(std::move(response));
}

void batch_job_service::completeDueReads(const std::shared_ptr<job_entry> &entry)
{
    const std::size_t recorded = entry->session->view().results().size();
    const bool isOver = entry->session->view().isEnded() || (entry->total > 0 && recorded >= entry->total);
    std::vector<pending_read> due;
    std::erase_if(entry->pendingReads, [&](const pending_read &pendingRead) {
        const bool isDue = isOver || pendingRead.from < recorded;
        if (isDue) {
            due.push_back(pendingRead);
        }
        return isDue || pendingRead.exchange->isGone();
    });
    for (const pending_read &pendingRead : due) {
        completeRead(entry, pendingRead);
    }
}

void batch_job_service::readItem(std::shared_ptr<http_exchange> exchange, const platform::job_item_read &call, const std::optional<std::string> &customer)
{
    const std::shared_ptr<job_entry> entry = findOrCreate(call.job);
    withLoadedView(entry, [this, exchange, entry, call, customer](load_outcome outcome) {
        if (outcome == load_outcome::Unavailable) {
            refuse(exchange, http_status::unavailable, "the store does not answer", call.job);
            return;
        }
        if (isHidden(*entry, outcome, customer)) {
            refuse(exchange, http_status::notFound, "no such batch job", call.job);
            return;
        }
        if (!decodeDocument(*entry)) {
            refuse(exchange, http_status::unavailable, "the job's document cannot be read", call.job);
            return;
        }
        for (const job_item &item : entry->spec->items) {
            if (item.id == call.item) {
                http_response response;
                response.fields.set("Content-Type", "application/octet-stream");
                response.body = item.body;
                platform::echoRequestId(exchange->request(), response);
                exchange->respond(std::move(response));
                return;
            }
        }
        refuse(exchange, http_status::notFound, "no such item", call.job);
    });
}

void batch_job_service::end(std::shared_ptr<http_exchange> exchange, const platform::job_end &call, const std::optional<std::string> &customer)
{
    const std::shared_ptr<job_entry> entry = findOrCreate(call.job);
    withLoadedView(entry, [this, exchange, entry, call, customer](load_outcome outcome) {
        if (isHidden(*entry, outcome, customer)) {
            refuse(exchange, http_status::notFound, "no such batch job", call.job);
            return;
        }
        if (outcome == load_outcome::Unavailable && !entry->session->view().isPresent()) {
            refuse(exchange, http_status::unavailable, "the store does not answer", call.job);
            return;
        }
        std::vector<store_put> additionalPuts;
        if (entry->worker && !entry->worker->progress().spec().model.empty()) {
            const job_spec &spec = entry->worker->progress().spec();
            additionalPuts.push_back(
                { job_key::incompleteGroups(spec.model, spec.step), encodeIncompleteGroups(entry->worker->progress().incompleteGroups()), 0 });
        }
        entry->session->end(additionalPuts, [this, exchange, call](bool isRecorded) {
            if (!isRecorded) {
                refuse(exchange, http_status::unavailable, "the store took no record of the end", call.job);
                return;
            }
            http_response response = jsonResponse(http_status::ok, "{}");
            platform::echoRequestId(exchange->request(), response);
            exchange->respond(std::move(response));
        });
    });
}

void batch_job_service::onOwnershipGained(const std::shared_ptr<job_entry> &entry)
{
    if (entry->worker) {
        entry->worker->noteRecorded(entry->session->view().results());
        scheduleAdvance();
        return;
    }
    if (entry->isWorkerStarting || !decodeDocument(*entry)) {
        return;
    }
    if (entry->spec->model.empty()) {
        startWorker(entry, {});
        return;
    }
    entry->isWorkerStarting = true;
    m_context.store.range({ job_key::incompleteGroupsPrefix(entry->spec->model), true, 0 },
                          [this, weak = std::weak_ptr(entry)](const store_range_answer &answer) {
                              const auto self = weak.lock();
                              if (!self || !std::exchange(self->isWorkerStarting, false) || !self->session->isOwner() || !decodeDocument(*self)) {
                                  return;
                              }
                              startWorker(self, answer.items); // If the read failed, no groups count as left over, as for the first job of a model.
                          });
}

void batch_job_service::startWorker(const std::shared_ptr<job_entry> &entry, std::span<const store_key_value> earlierGroups)
{
    const job_view &view = entry->session->view();
    job_spec spec = *entry->spec;
    for (const store_key_value &item : earlierGroups) {
        const std::vector<std::string> groups = decodeIncompleteGroups(item.value);
        spec.carriedOverGroups.insert(spec.carriedOverGroups.end(), groups.begin(), groups.end());
    }
    job_worker::recorder recorder;
    recorder.record = [weak = std::weak_ptr(entry)](std::vector<item_result> results, std::string drafts) {
        if (const auto self = weak.lock()) {
            self->session->append(std::move(results), std::move(drafts));
        }
    };
    recorder.keepDrafts = [weak = std::weak_ptr(entry)](std::string drafts) {
        if (const auto self = weak.lock()) {
            self->session->keepDrafts(drafts);
        }
    };
    recorder.isRecording = [weak = std::weak_ptr(entry)] {
        const auto self = weak.lock();
        return self && self->session->isAppending();
    };
    recorder.onPlaceFreed = [this, job = entry->job] {
        onPlaceFreed(job);
    };
    entry->worker = std::make_shared<job_worker>(m_context, m_fleet, entry->job, view.metadata(), std::move(spec), entry->knownSince, std::move(recorder));
    entry->worker->noteRecorded(view.results());
    const std::vector<item_draft> drafts =
        entry->session->inheritedDrafts().empty() ? std::vector<item_draft>() : decodeDrafts(entry->session->inheritedDrafts());
    for (const item_draft &each : drafts) {
        logLine(log_level::Info,
                "text-inherited",
                { { "job", entry->job },
                  { "item", each.id },
                  { "build", each.build },
                  { "events", std::to_string(each.lastEvent) },
                  { "complete", each.isTextComplete ? "yes" : "no" } });
    }
    entry->worker->restore(drafts);
    logLine(log_level::Info,
            "job-started",
            { { "job", entry->job },
              { "recorded", std::to_string(view.results().size()) },
              { "drafts", std::to_string(drafts.size()) },
              { "groups-left-before", std::to_string(entry->worker->progress().spec().carriedOverGroups.size()) } });
    scheduleAdvance();
}

void batch_job_service::onOwnershipLost(job_entry &entry)
{
    entry.isWorkerStarting = false;
    if (entry.worker) {
        entry.worker->stop();
        entry.worker.reset();
    }
}

void batch_job_service::scheduleAdvance()
{
    if (m_isAdvanceScheduled) {
        return;
    }
    m_isAdvanceScheduled = true;
    m_context.loop.after(duration::zero(), [this] {
        m_isAdvanceScheduled = false;
        advance();
    });
}

void batch_job_service::advance()
{
    advanceInOrder([](const job_worker &) {
        return true;
    });
}

/** Advances the jobs that @p isAffected selects, those that wait for places in their order. */
void batch_job_service::advanceInOrder(const std::function<bool(const job_worker &)> &isAffected)
{
    std::vector<std::shared_ptr<job_worker>> workers;
    for (const auto &[id, entry] : m_entries) {
        if (entry->worker && isAffected(*entry->worker)) {
            workers.push_back(entry->worker);
        }
    }
    const time_point now = m_context.loop.now();
    const std::vector<waiting_job> waiting = orderWaitingJobs(now, workers);
    if (isRoomShort(waiting) && now - m_lastRoomLogAt >= roomLogInterval) {
        m_lastRoomLogAt = now;
        logLine(log_level::Info, "room-order", { { "jobs", describeOrder(now, waiting) } });
        m_context.metrics.counter("reedtrail_room_shortages_total", "Seconds in which several jobs waited for places at this node").add();
    }
    for (const waiting_job &job : waiting) {
        job.worker->advance();
        std::erase(workers, job.worker);
    }
    for (const std::shared_ptr<job_worker> &worker : workers) {
        worker->advance();
    }
}

/**
 * Lets the jobs of this node take the place that a run of @p job has left. Jobs of the same model that found no place take part; each of them looks at all
 * servers, so the others wait for the next tick.
 */
void batch_job_service::onPlaceFreed(const std::string &job)
{
    const auto found = m_entries.find(job);
    if (found == m_entries.end() || !found->second->worker) {
        return;
    }
    const std::shared_ptr<job_worker> freeing = found->second->worker;
    advanceInOrder([&freeing](const job_worker &each) {
        return &each == freeing.get() || (each.isShortOfPlaces() && each.model() == freeing->model());
    });
}

/** Runs every tickInterval while there are jobs: advances the workers, answers expired reads, evicts unused entries and continues the drain. */
void batch_job_service::tick()
{
    const time_point now = m_context.loop.now();
    advance();
    for (const auto &each : m_entries) {
        const std::shared_ptr<job_entry> &entry = each.second;
        std::vector<pending_read> expired;
        std::erase_if(entry->pendingReads, [&](const pending_read &pendingRead) {
            if (pendingRead.deadline <= now) {
                expired.push_back(pendingRead);
            }
            return pendingRead.deadline <= now;
        });
        if (!expired.empty()) {
            // Processes store replies that have already arrived first: on a busy machine they may have been queued as long as the read.
            m_context.loop.after(duration::zero(), [this, entry, expired] {
                for (const pending_read &pendingRead : expired) {
                    if (!pendingRead.exchange->isGone()) {
                        completeRead(entry, pendingRead);
                    }
                }
            });
        }
    }
    evictUnused(now);
    if (m_onDrained) {
        finishDrain();
    }
    if (m_entries.empty()) {
        m_isTicking = false;
        return;
    }
    m_context.loop.after(tickInterval, [this] {
        tick();
    });
}

void batch_job_service::evictUnused(time_point now)
{
    std::erase_if(m_entries, [&](const auto &keyAndEntry) {
        job_entry &unused = *keyAndEntry.second;
        if (unused.session->isOwner() || unused.isLoading || !unused.pendingReads.empty()) {
            return false;
        }
        if (now - unused.lastUsedAt > watchRetention) {
            unused.session->stopWatching();
            unused.spec.reset();
        }
        return now - unused.lastUsedAt > entryRetention;
    });
}

std::size_t batch_job_service::countUnfinishedOwnedJobs() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_entries, [](const auto &keyAndEntry) {
        return keyAndEntry.second->worker && !keyAndEntry.second->worker->isDone();
    }));
}

void batch_job_service::onStoreRecovered()
{
    for (const auto &[id, entry] : m_entries) {
        entry->session->storeRegained();
    }
}

bool batch_job_service::needsLease() const
{
    return std::ranges::any_of(m_entries, [](const auto &keyAndEntry) {
        return keyAndEntry.second->session->isOwner();
    });
}

void batch_job_service::drain(std::function<void()> done)
{
    m_onDrained = std::move(done);
    m_drainDeadline = m_context.drainStartedAt + m_context.settings.shutdownGracePeriod - releaseMargin;
    finishDrain();
}

/** Stops the workers: pending handlers keep them alive beyond the services that they use. */
void batch_job_service::stop()
{
    for (const auto &[id, entry] : m_entries) {
        onOwnershipLost(*entry);
    }
}

/** Lets owned jobs finish until the drain deadline, then releases the remaining ones, so that another node can claim them at once. */
void batch_job_service::finishDrain()
{
    if (countUnfinishedOwnedJobs() > 0 && m_context.loop.now() < m_drainDeadline) {
        return;
    }
    const auto pendingReleases = std::make_shared<std::size_t>(1);
    const auto onReleased = [pendingReleases, done = std::exchange(m_onDrained, nullptr)] {
        if (--*pendingReleases == 0 && done) {
            done();
        }
    };
    for (const auto &[id, entry] : m_entries) {
        if (entry->session->isOwner()) {
            logLine(log_level::Info, "job-given-back", { { "job", id }, { "recorded", std::to_string(entry->session->view().results().size()) } });
            ++*pendingReleases;
            entry->session->release(onReleased);
        }
    }
    onReleased();
}

} // namespace reedtrail
