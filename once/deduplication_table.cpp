// The table keeps one entry per name, from the first submission until a fixed time after the request ended. While the entry exists, a second submission of the
// name runs nothing: it waits for the outcome, or gets it. The entry outlives every way to submit its name here again: a ticket expires earlier, and an older
// claim of an idempotency key is refused. At-most-once therefore does not depend on the cached answers, which are limited by number and bytes and evicted
// oldest first.
//
// "Not run" is final for an attempt number, so a delayed copy of a request cannot run after its caller was told that it did not run. A caller that still wants
// the request run sends it with a higher attempt number or under a new name. The attempt number plays the role of the sequence number in "Kafka Transactions",
// by which a receiver tells a new send from a late copy of an old one.

#include "once/deduplication_table.h"

#include "base/check.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

namespace reedtrail {

std::size_t cached_answer::bytes() const
{
    std::size_t count = sizeof(cached_answer) + body.size();
    for (const auto &[name, value] : fields) {
        count += name.size() + value.size();
    }
    return count;
}

deduplication_table::deduplication_table(deduplication_options options)
    : m_options(options)
{
}

void deduplication_table::onSubmission(time_point now, const request_submission &submission, actions &out)
{
    onTimer(now);
    const auto found = m_entries.find(submission.name);
    if (found == m_entries.end()) {
        if (m_entries.size() >= m_options.maximumEntries) {
            out.push_back(send_error{ submission.waiter, error_kind::PeerUnreachable, "this gate remembers as many requests as it may", {} });
            return;
        }
        entry &fresh = m_entries[submission.name];
        fresh.customer = submission.customer;
        fresh.contentHash = submission.contentHash;
        ++m_counts.entries;
        startRun(fresh, submission, out);
        return;
    }
    entry &known = found->second;
    if (known.customer != submission.customer || known.contentHash != submission.contentHash) {
        out.push_back(send_error{ submission.waiter, error_kind::TicketUnknown, "the name belongs to another request", {} });
        return;
    }
    const lifecycle_state state = known.lifecycle.state();
    if (state == lifecycle_state::NotRun && submission.attempt > known.attempt) {
        known.lifecycle = request_lifecycle();
        known.endNumber = 0;
        startRun(known, submission, out);
    } else if (state == lifecycle_state::Admitted || state == lifecycle_state::Dispatched) {
        if (known.waiters.size() >= m_options.maximumWaiters) {
            out.push_back(send_error{ submission.waiter, error_kind::PeerUnreachable, "too many repeats wait for this request", {} });
            return;
        }
        ++m_counts.joined;
        known.waiters.push_back(submission.waiter);
    } else {
        answerFromOutcome(known, submission, out);
    }
}

void deduplication_table::startRun(entry &fresh, const request_submission &submission, actions &out)
{
    const bool isAdmitted = fresh.lifecycle.apply(lifecycle_event::Admit);
    REEDTRAIL_CHECK(isAdmitted, "a request can be admitted only once");
    fresh.attempt = submission.attempt;
    fresh.waiters.assign(1, submission.waiter);
    ++m_counts.open;
    ++m_counts.runs;
    out.push_back(run_request{ submission.name, submission.waiter });
}

void deduplication_table::answerFromOutcome(entry &ended, const request_submission &submission, actions &out)
{
    REEDTRAIL_CHECK(ended.customer == submission.customer, "a cached answer is returned only to the customer of the request");
    if (ended.answer) {
        ++m_counts.replays;
        out.push_back(send_answer{ submission.waiter, ended.answer, true });
    } else if (ended.lifecycle.state() == lifecycle_state::Answered) {
        out.push_back(send_error{ submission.waiter, error_kind::TicketSpent, "the request ran; its answer is no longer kept", {} });
    } else {
        out.push_back(send_error{ submission.waiter, ended.error, ended.detail, ended.retryAfter });
    }
}

void deduplication_table::onDispatched(const std::string &name)
{
    const auto found = m_entries.find(name);
    const bool isDispatched = found != m_entries.end() && found->second.lifecycle.apply(lifecycle_event::Dispatch);
    REEDTRAIL_CHECK(isDispatched, "a request that may have run must not be dispatched again");
}

void deduplication_table::onNotStarted(const std::string &name)
{
    const auto found = m_entries.find(name);
    const bool isReturned = found != m_entries.end() && found->second.lifecycle.apply(lifecycle_event::ServerDidNotStart);
    REEDTRAIL_CHECK(isReturned, "only a dispatched attempt can be reported as not started");
}

void deduplication_table::onAnswered(time_point now, const std::string &name, cached_answer answer, actions &out)
{
    const auto found = m_entries.find(name);
    const bool isAnswered = found != m_entries.end() && found->second.lifecycle.apply(lifecycle_event::Answer);
    REEDTRAIL_CHECK(isAnswered, "only a dispatched request can be answered, and only once");
    if (!isAnswered) {
        return;
    }
    entry &answered = found->second;
    recordEnd(now, name, answered);
    cacheAnswer(name, answered, std::move(answer));
    for (const waiter_id waiter : std::exchange(answered.waiters, {})) {
        out.push_back(send_answer{ waiter, answered.answer, false });
    }
    evictAnswers();
}

void deduplication_table::onNotRun(time_point now, const std::string &name, error_kind kind, std::string detail, duration retryAfter, actions &out)
{
    const auto found = m_entries.find(name);
    if (found == m_entries.end()) {
        return;
    }
    const bool isRefused = found->second.lifecycle.apply(lifecycle_event::Refuse);
    REEDTRAIL_CHECK(isRefused, "a request that may have run must not be reported as not run");
    if (!isRefused) {
        onUnknown(now, name, error_kind::ServerFailed, std::move(detail), out);
        return;
    }
    found->second.error = kind;
    found->second.detail = std::move(detail);
    found->second.retryAfter = retryAfter;
    recordEnd(now, name, found->second);
    failWaiters(found->second, out);
}

void deduplication_table::onUnknown(time_point now, const std::string &name, error_kind kind, std::string detail, actions &out)
{
    const auto found = m_entries.find(name);
    const bool isOutcomeLost = found != m_entries.end() && found->second.lifecycle.apply(lifecycle_event::LoseOutcome);
    REEDTRAIL_CHECK(isOutcomeLost, "only a dispatched request can have an unknown outcome");
    if (!isOutcomeLost) {
        return;
    }
    found->second.error = kind;
    found->second.detail = std::move(detail);
    recordEnd(now, name, found->second);
    failWaiters(found->second, out);
}

void deduplication_table::onWaiterGone(const std::string &name, waiter_id waiter)
{
    const auto found = m_entries.find(name);
    if (found != m_entries.end()) {
        std::erase(found->second.waiters, waiter);
    }
}

void deduplication_table::recordEnd(time_point now, const std::string &name, entry &ended)
{
    --m_counts.open;
    ended.endNumber = ++m_lastEndNumber;
    m_ended.push_back({ now, name, ended.endNumber });
}

void deduplication_table::cacheAnswer(const std::string &name, entry &answered, cached_answer answer)
{
    answered.answer = std::make_shared<const cached_answer>(std::move(answer));
    ++m_counts.answers;
    m_counts.answerBytes += answered.answer->bytes();
    m_cached.emplace_back(name, answered.endNumber);
}

void deduplication_table::evictAnswers()
{
    while (m_counts.answers > m_options.maximumAnswers || m_counts.answerBytes > m_options.maximumAnswerBytes) {
        const auto [name, endNumber] = std::move(m_cached.front());
        m_cached.pop_front();
        const auto found = m_entries.find(name);
        if (found != m_entries.end() && found->second.endNumber == endNumber && found->second.answer) {
            --m_counts.answers;
            m_counts.answerBytes -= found->second.answer->bytes();
            found->second.answer.reset();
        }
    }
}

void deduplication_table::failWaiters(entry &ended, actions &out)
{
    for (const waiter_id waiter : std::exchange(ended.waiters, {})) {
        out.push_back(send_error{ waiter, ended.error, ended.detail, ended.retryAfter });
    }
}

void deduplication_table::onTimer(time_point now)
{
    while (!m_ended.empty() && now - m_ended.front().at > m_options.entryLifetime) {
        const ended_entry oldest = std::move(m_ended.front());
        m_ended.pop_front();
        const auto found = m_entries.find(oldest.name);
        if (found == m_entries.end() || found->second.endNumber != oldest.endNumber) {
            continue;
        }
        if (found->second.answer) {
            --m_counts.answers;
            m_counts.answerBytes -= found->second.answer->bytes();
        }
        m_entries.erase(found);
        --m_counts.entries;
    }
    while (!m_cached.empty()) {
        const auto found = m_entries.find(m_cached.front().first);
        if (found != m_entries.end() && found->second.endNumber == m_cached.front().second) {
            break;
        }
        m_cached.pop_front();
    }
}

nlohmann::json deduplication_table::dump() const
{
    std::map<std::string_view, std::size_t> states;
    for (const auto &[name, each] : m_entries) {
        ++states[lifecycleStateName(each.lifecycle.state())];
    }
    nlohmann::json byState = nlohmann::json::object();
    for (const auto &[state, count] : states) {
        byState[std::string(state)] = count;
    }
    return { { "entries", m_counts.entries }, { "open", m_counts.open },       { "answers", m_counts.answers }, { "answerBytes", m_counts.answerBytes },
             { "runs", m_counts.runs },       { "replays", m_counts.replays }, { "joined", m_counts.joined },   { "states", std::move(byState) } };
}

} // namespace reedtrail
