#include "edge/batch_job_service.h"

#include "kernel/log.h"
#include "net/http_status.h"

#include <algorithm>

namespace reedtrail {
namespace {

constexpr duration tickInterval = std::chrono::milliseconds(100); // For silent servers, due records and waiting readers: each may be this late.
constexpr duration shortestWait = std::chrono::milliseconds(200); // To ask the store what is new, also for reads that do not want to wait.
constexpr duration followTime = std::chrono::seconds(4); // A job is followed this long after its last read: readers come twice a second.
constexpr duration keepTime = std::chrono::seconds(15); // A job that is not followed stays in memory this long.
constexpr duration returnWhenStoreAway = std::chrono::milliseconds(400); // Retry-After of reads while the store does not answer: callers look twice a second.
constexpr duration submitWhenStoreAway = std::chrono::milliseconds(3000); // Retry-After of submissions: most troubles of the store are over by then, and
                                                                          // a job that is accepted this late can still be done in its time.
constexpr duration drainReserve = std::chrono::milliseconds(2500); // Of the time to stop, for the release of jobs and the last answers.

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
        schedulePump();
    });
    return {};
}

nlohmann::json batch_job_service::dump() const
{
    nlohmann::json jobs = nlohmann::json::array();
    for (const auto &[id, place] : m_entries) {
        jobs.push_back({ { "job", id },
                         { "owner", place->session->isOwner() },
                         { "ended", place->session->image().isEnded() },
                         { "recorded", place->session->image().results().size() },
                         { "total", place->total } });
    }
    return { { "jobs", jobs } };
}

std::shared_ptr<batch_job_service::entry> batch_job_service::open(const std::string &job)
{
    std::shared_ptr<entry> &place = m_entries[job];
    if (place) {
        place->usedAt = m_context.loop.now();
        return place;
    }
    place = std::make_shared<entry>();
    place->job = job;
    place->usedAt = m_context.loop.now();
    const auto guarded = [weak = std::weak_ptr(place)](auto action) {
        return [weak, action](auto &&...arguments) {
            if (const auto self = weak.lock()) {
                action(self, arguments...);
            }
        };
    };
    job_session_handlers handlers;
    handlers.onOwned = guarded([this](const std::shared_ptr<entry> &self) {
        owned(self);
    });
    handlers.onDisowned = guarded([this](const std::shared_ptr<entry> &self) {
        disowned(*self);
    });
    handlers.onEnded = guarded([this](const std::shared_ptr<entry> &self) {
        logLine(log_level::Info, "job-ended", { { "job", self->job }, { "recorded", std::to_string(self->session->image().results().size()) } });
        disowned(*self);
        answerReaders(self);
    });
    handlers.onResults = guarded([this](const std::shared_ptr<entry> &self) {
        answerReaders(self);
    });
    handlers.onRecorded = guarded([this](const std::shared_ptr<entry> &self, std::span<const item_result> results) {
        if (self->worker) {
            self->worker->noteRecorded(results);
        }
        answerReaders(self);
        schedulePump();
    });
    handlers.mayClaim = [this] {
        return !m_context.isDraining && m_fleet.isReady();
    };
    handlers.isFollowed = [weak = std::weak_ptr(place)] {
        const auto self = weak.lock();
        return self && !self->readers.empty();
    };
    place->session = std::make_shared<session_type>(
        m_context.store, m_context.loop, m_context.lease, job, job_owner_record{ m_context.settings.node, m_context.incarnation }, std::move(handlers));
    if (!m_isTicking) {
        m_isTicking = true;
        m_context.loop.after(tickInterval, [this] {
            tick();
        });
    }
    return place;
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
                                                         : exchange->request().method == "POST" ? submitWhenStoreAway
                                                                                                : returnWhenStoreAway);
    platform::echoRequestId(exchange->request(), response);
    exchange->respond(std::move(response));
}

bool batch_job_service::runs(const std::string &job) const
{
    const auto found = m_entries.find(job);
    return found != m_entries.end() && found->second->session->isOwner();
}

void batch_job_service::submit(std::shared_ptr<http_exchange> exchange, const std::string &job, bool mayBeRecorded)
{
    const http_request &request = exchange->request();
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
    const std::shared_ptr<entry> place = open(job);
    if (place->session->image().isPresent()) {
        exchange->respond(textResponse(http_status::accepted, ""));
        return;
    }
    if (m_context.isIsolated() && !mayBeRecorded) {
        refuse(exchange, http_status::unavailable, "this node is cut off", job);
        return;
    }
    place->total = spec->items.size();
    double expectedTokens = 0;
    for (const job_item &item : spec->items) {
        expectedTokens += item.expectedTokens;
    }
    const job_facts facts{ std::string(request.fields.get("Host")), std::string(request.path()), unixMilliseconds(), spec->model, expectedTokens };
    place->spec = std::move(spec);
    place->session->accept(facts, request.body, [this, exchange, place, job, mayBeRecorded, startedAt = m_context.loop.now()](accept_outcome outcome) {
        const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(m_context.loop.now() - startedAt).count();
        logLine(
            log_level::Info,
            "job-submission",
            { { "job", job }, { "outcome", std::string(outcomeName(outcome)) }, { "items", std::to_string(place->total) }, { "ms", std::to_string(took) } });
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

void batch_job_service::withImage(const std::shared_ptr<entry> &place, std::function<void(load_outcome)> action)
{
    if (!place->session->needsListing()) {
        action(load_outcome::Present);
        return;
    }
    if (m_context.isIsolated()) {
        action(load_outcome::Unavailable);
        return;
    }
    place->loading.push_back(std::move(action));
    if (place->isLoading) {
        return;
    }
    place->isLoading = true;
    place->session->load([place](load_outcome outcome) {
        place->isLoading = false;
        for (const auto &waiting : std::exchange(place->loading, {})) {
            waiting(outcome);
        }
    });
}

bool batch_job_service::decodeDocument(entry &place)
{
    if (place.spec) {
        return true;
    }
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_AUTO(decoded, platform::decodeJob(place.session->image().document()));
        place.total = decoded.items.size();
        place.spec = std::move(decoded);
        return {};
    });
    if (error) {
        logLine(log_level::Error, "job-document-unreadable", { { "job", place.job }, { "reason", error->detail } });
    }
    return !error;
}

void batch_job_service::read(std::shared_ptr<http_exchange> exchange, const platform::job_read &call)
{
    const std::shared_ptr<entry> place = open(call.job);
    withImage(place, [this, exchange, place, call](load_outcome outcome) {
        const job_image &image = place->session->image();
        if (outcome == load_outcome::Absent) {
            m_entries.erase(call.job);
            refuse(exchange, http_status::notFound, "no such batch job", call.job);
            return;
        }
        // A result that was recorded once is there for good, so it is shown whatever the store is doing now.
        const bool hasResult = image.results().size() > call.from;
        if (outcome == load_outcome::Unavailable && !hasResult) {
            refuse(exchange, http_status::unavailable, "the store does not answer", call.job);
            return;
        }
        if (place->total == 0 && !decodeDocument(*place)) {
            refuse(exchange, http_status::unavailable, "the job's document cannot be read", call.job);
            return;
        }
        const reader waiting{ exchange, call.from, m_context.loop.now() + std::clamp(call.wait, shortestWait, longestWait) };
        if (hasResult || image.isEnded() || image.results().size() >= place->total) {
            settleRead(place, waiting);
        } else {
            place->readers.push_back(waiting);
            place->session->catchUp();
        }
    });
}

/** Answers a read that is due. That there is nothing new is only said after the store has said so. */
void batch_job_service::settleRead(const std::shared_ptr<entry> &place, const reader &waiting)
{
    const auto isAnswerable = [place, from = waiting.from] {
        const std::size_t known = place->session->image().results().size();
        return from < known || known >= place->total;
    };
    if (isAnswerable()) {
        answerRead(*place, waiting);
        return;
    }
    if (m_context.isIsolated()) {
        refuse(waiting.exchange, http_status::unavailable, "this node is cut off", place->job);
        return;
    }
    place->session->verify([this, place, waiting, isAnswerable](bool isCaughtUp) {
        if (waiting.exchange->isGone()) {
            return;
        }
        if (isCaughtUp || isAnswerable()) {
            answerRead(*place, waiting);
        } else {
            refuse(waiting.exchange, http_status::unavailable, "the store does not answer", place->job);
        }
    });
}

void batch_job_service::answerRead(const entry &place, const reader &waiting)
{
    const std::vector<item_result> &results = place.session->image().results();
    const std::size_t from = waiting.from;
    const std::span<const item_result> shown = from < results.size() ? std::span(results).subspan(from) : std::span<const item_result>();
    http_response response = platform::encodeResults(place.total, from, shown);
    platform::echoRequestId(waiting.exchange->request(), response);
    waiting.exchange->respond(std::move(response));
}

void batch_job_service::answerReaders(const std::shared_ptr<entry> &place)
{
    const std::size_t known = place->session->image().results().size();
    const bool isOver = place->session->image().isEnded() || (place->total > 0 && known >= place->total);
    std::vector<reader> due;
    std::erase_if(place->readers, [&](const reader &waiting) {
        const bool isDue = isOver || waiting.from < known;
        if (isDue) {
            due.push_back(waiting);
        }
        return isDue || waiting.exchange->isGone();
    });
    for (const reader &waiting : due) {
        settleRead(place, waiting);
    }
}

void batch_job_service::readItem(std::shared_ptr<http_exchange> exchange, const platform::job_item_read &call)
{
    const std::shared_ptr<entry> place = open(call.job);
    withImage(place, [this, exchange, place, call](load_outcome outcome) {
        if (outcome == load_outcome::Unavailable) {
            refuse(exchange, http_status::unavailable, "the store does not answer", call.job);
            return;
        }
        if (outcome == load_outcome::Absent) {
            m_entries.erase(call.job);
            refuse(exchange, http_status::notFound, "no such batch job", call.job);
            return;
        }
        if (!decodeDocument(*place)) {
            refuse(exchange, http_status::unavailable, "the job's document cannot be read", call.job);
            return;
        }
        for (const job_item &item : place->spec->items) {
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

void batch_job_service::end(std::shared_ptr<http_exchange> exchange, const platform::job_end &call)
{
    const std::shared_ptr<entry> place = open(call.job);
    withImage(place, [this, exchange, place, call](load_outcome outcome) {
        if (outcome == load_outcome::Absent) {
            m_entries.erase(call.job);
            refuse(exchange, http_status::notFound, "no such batch job", call.job);
            return;
        }
        if (outcome == load_outcome::Unavailable && !place->session->image().isPresent()) {
            refuse(exchange, http_status::unavailable, "the store does not answer", call.job);
            return;
        }
        std::vector<store_put> beside;
        if (place->worker && !place->worker->progress().spec().model.empty()) {
            const job_spec &spec = place->worker->progress().spec();
            beside.push_back({ job_key::left(spec.model, spec.step), encodeGroupsLeft(place->worker->progress().openGroups()), 0 });
        }
        place->session->end(beside, [this, exchange, call](bool isRecorded) {
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

void batch_job_service::owned(const std::shared_ptr<entry> &place)
{
    if (place->worker) {
        place->worker->noteRecorded(place->session->image().results());
        schedulePump();
        return;
    }
    if (place->isStarting || !decodeDocument(*place)) {
        return;
    }
    if (place->spec->model.empty()) {
        startWorker(place, {});
        return;
    }
    place->isStarting = true;
    m_context.store.range({ job_key::leftPrefix(place->spec->model), true, 0 }, [this, weak = std::weak_ptr(place)](const store_range_answer &answer) {
        const auto self = weak.lock();
        if (!self || !std::exchange(self->isStarting, false) || !self->session->isOwner() || !decodeDocument(*self)) {
            return;
        }
        startWorker(self, answer.items); // Without an answer the order is that of a first job.
    });
}

void batch_job_service::startWorker(const std::shared_ptr<entry> &place, std::span<const store_key_value> left)
{
    const job_image &image = place->session->image();
    job_spec spec = *place->spec;
    for (const store_key_value &item : left) {
        const std::vector<std::string> groups = decodeGroupsLeft(item.value);
        spec.groupsLeft.insert(spec.groupsLeft.end(), groups.begin(), groups.end());
    }
    job_worker::recorder recorder;
    recorder.record = [weak = std::weak_ptr(place)](std::vector<item_result> results, std::string drafts) {
        if (const auto self = weak.lock()) {
            self->session->append(std::move(results), std::move(drafts));
        }
    };
    recorder.keepDrafts = [weak = std::weak_ptr(place)](std::string drafts) {
        if (const auto self = weak.lock()) {
            self->session->keepDrafts(drafts);
        }
    };
    recorder.isRecording = [weak = std::weak_ptr(place)] {
        const auto self = weak.lock();
        return self && self->session->isAppending();
    };
    place->worker = std::make_shared<job_worker>(m_context, m_fleet, place->job, image.facts(), std::move(spec), std::move(recorder));
    place->worker->noteRecorded(image.results());
    const std::vector<item_draft> drafts = place->session->draftsLeft().empty() ? std::vector<item_draft>() : decodeDrafts(place->session->draftsLeft());
    place->worker->restore(drafts);
    logLine(log_level::Info,
            "job-started",
            { { "job", place->job },
              { "recorded", std::to_string(image.results().size()) },
              { "drafts", std::to_string(drafts.size()) },
              { "groups-left-before", std::to_string(place->worker->progress().spec().groupsLeft.size()) } });
    schedulePump();
}

void batch_job_service::disowned(entry &place)
{
    place.isStarting = false;
    if (place.worker) {
        place.worker->stop();
        place.worker.reset();
    }
}

void batch_job_service::schedulePump()
{
    if (m_isPumpScheduled) {
        return;
    }
    m_isPumpScheduled = true;
    m_context.loop.after(duration::zero(), [this] {
        m_isPumpScheduled = false;
        pump();
    });
}

void batch_job_service::pump()
{
    for (const auto &[id, place] : m_entries) {
        if (place->worker) {
            place->worker->pump();
        }
    }
}

void batch_job_service::tick()
{
    const time_point now = m_context.loop.now();
    pump();
    for (const auto &each : m_entries) {
        const std::shared_ptr<entry> &place = each.second;
        std::vector<reader> late;
        std::erase_if(place->readers, [&](const reader &waiting) {
            if (waiting.until <= now) {
                late.push_back(waiting);
            }
            return waiting.until <= now;
        });
        if (!late.empty()) {
            // What the store has sent already is taken in first: on a busy machine it may have been waiting as long as the reader.
            m_context.loop.after(duration::zero(), [this, place, late] {
                for (const reader &waiting : late) {
                    if (!waiting.exchange->isGone()) {
                        settleRead(place, waiting);
                    }
                }
            });
        }
    }
    forgetUnused(now);
    if (m_drained) {
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

void batch_job_service::forgetUnused(time_point now)
{
    std::erase_if(m_entries, [&](const auto &place) {
        entry &unused = *place.second;
        if (unused.session->isOwner() || unused.isLoading || !unused.readers.empty()) {
            return false;
        }
        if (now - unused.usedAt > followTime) {
            unused.session->unfollow();
            unused.spec.reset();
        }
        return now - unused.usedAt > keepTime;
    });
}

std::size_t batch_job_service::ownedJobs() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_entries, [](const auto &place) {
        return place.second->worker && !place.second->worker->isDone();
    }));
}

void batch_job_service::storeRegained()
{
    for (const auto &[id, place] : m_entries) {
        place->session->storeRegained();
    }
}

bool batch_job_service::needsLease() const
{
    return std::ranges::any_of(m_entries, [](const auto &place) {
        return place.second->session->isOwner();
    });
}

void batch_job_service::drain(std::function<void()> done)
{
    m_drained = std::move(done);
    m_drainBy = m_context.drainStartedAt + m_context.settings.shutdownGracePeriod - drainReserve;
    finishDrain();
}

/** Owned jobs are finished while there is time; then they are given back, so that another node takes them at once. */
void batch_job_service::finishDrain()
{
    if (ownedJobs() > 0 && m_context.loop.now() < m_drainBy) {
        return;
    }
    const auto waiting = std::make_shared<std::size_t>(1);
    const auto answered = [waiting, done = std::exchange(m_drained, nullptr)] {
        if (--*waiting == 0 && done) {
            done();
        }
    };
    for (const auto &[id, place] : m_entries) {
        if (place->session->isOwner()) {
            logLine(log_level::Info, "job-given-back", { { "job", id }, { "recorded", std::to_string(place->session->image().results().size()) } });
            ++*waiting;
            place->session->release(answered);
        }
    }
    answered();
}

} // namespace reedtrail
