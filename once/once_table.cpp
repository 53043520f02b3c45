// One entry a name, from its first submission to a fixed time after its end. While it is there, a second submission of the same name never runs anything: it
// waits for the end, or gets it. The entry of an ended request outlives every way of submitting its name here again (a ticket expires before, a claim of an
// idempotency key is refused when it is older), so "at most once" does not depend on what is kept for convenience, the answers, which are bounded by number
// and bytes and whose oldest give way.
//
// "Not run" is final for an attempt number: a copy of the request that was delayed on its way cannot run after its caller was told that it did not. A caller
// that wants it run after all says so with a higher attempt number (the sequence number of "Kafka Transactions", which likewise lets a receiver tell a new
// send from an old one that arrives late) or takes a new name.

#include "once/once_table.h"

#include "base/check.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

namespace reedtrail {

std::size_t kept_answer::bytes() const
{
    std::size_t count = sizeof(kept_answer) + body.size();
    for (const auto &[name, value] : fields) {
        count += name.size() + value.size();
    }
    return count;
}

once_table::once_table(once_table_options options)
    : m_options(options)
{
}

void once_table::onSubmission(time_point now, const once_submission &submission, actions &out)
{
    onTimer(now);
    const auto found = m_entries.find(submission.name);
    if (found == m_entries.end()) {
        if (m_entries.size() >= m_options.maximumEntries) {
            out.push_back(give_error{ submission.waiter, error_kind::PeerUnreachable, "this gate remembers as many requests as it may", {} });
            return;
        }
        entry &fresh = m_entries[submission.name];
        fresh.customer = submission.customer;
        fresh.contentHash = submission.contentHash;
        ++m_counts.entries;
        begin(fresh, submission, out);
        return;
    }
    entry &known = found->second;
    if (known.customer != submission.customer || known.contentHash != submission.contentHash) {
        out.push_back(give_error{ submission.waiter, error_kind::TicketUnknown, "the name belongs to another request", {} });
        return;
    }
    const life_state state = known.life.state();
    if (state == life_state::NotRun && submission.attempt > known.attempt) {
        known.life = request_life();
        known.ending = 0;
        begin(known, submission, out);
    } else if (state == life_state::Admitted || state == life_state::Dispatched) {
        if (known.waiters.size() >= m_options.maximumWaiters) {
            out.push_back(give_error{ submission.waiter, error_kind::PeerUnreachable, "too many repeats wait for this request", {} });
            return;
        }
        ++m_counts.joined;
        known.waiters.push_back(submission.waiter);
    } else {
        answerFromEnd(known, submission, out);
    }
}

void once_table::begin(entry &fresh, const once_submission &submission, actions &out)
{
    const bool isBegun = fresh.life.apply(life_event::Admit);
    REEDTRAIL_CHECK(isBegun, "a life begins once");
    fresh.attempt = submission.attempt;
    fresh.waiters.assign(1, submission.waiter);
    ++m_counts.open;
    ++m_counts.runs;
    out.push_back(run_once{ submission.name, submission.waiter });
}

void once_table::answerFromEnd(entry &ended, const once_submission &submission, actions &out)
{
    REEDTRAIL_CHECK(ended.customer == submission.customer, "a kept answer is replayed to its own customer only");
    if (ended.answer) {
        ++m_counts.replays;
        out.push_back(give_answer{ submission.waiter, ended.answer, true });
    } else if (ended.life.state() == life_state::Answered) {
        out.push_back(give_error{ submission.waiter, error_kind::TicketSpent, "the request ran; its answer is no longer kept", {} });
    } else {
        out.push_back(give_error{ submission.waiter, ended.error, ended.detail, ended.retryAfter });
    }
}

void once_table::onDispatched(const std::string &name)
{
    const auto found = m_entries.find(name);
    const bool isDispatched = found != m_entries.end() && found->second.life.apply(life_event::Dispatch);
    REEDTRAIL_CHECK(isDispatched, "a request that must run at most once is dispatched only while nothing of it may have run");
}

void once_table::onNotStarted(const std::string &name)
{
    const auto found = m_entries.find(name);
    const bool isBack = found != m_entries.end() && found->second.life.apply(life_event::ServerDidNotStart);
    REEDTRAIL_CHECK(isBack, "only an open attempt can turn out not to have started");
}

void once_table::onAnswered(time_point now, const std::string &name, kept_answer answer, actions &out)
{
    const auto found = m_entries.find(name);
    const bool isAnswered = found != m_entries.end() && found->second.life.apply(life_event::Answer);
    REEDTRAIL_CHECK(isAnswered, "only a dispatched request is answered, once");
    if (!isAnswered) {
        return;
    }
    entry &answered = found->second;
    noteEnd(now, name, answered);
    keepAnswer(name, answered, std::move(answer));
    for (const waiter_id waiter : std::exchange(answered.waiters, {})) {
        out.push_back(give_answer{ waiter, answered.answer, false });
    }
    dropAnswersBeyondBounds();
}

void once_table::onNotRun(time_point now, const std::string &name, error_kind kind, std::string detail, duration retryAfter, actions &out)
{
    const auto found = m_entries.find(name);
    if (found == m_entries.end()) {
        return;
    }
    const bool isRefused = found->second.life.apply(life_event::Refuse);
    REEDTRAIL_CHECK(isRefused, "not run is told only of a request that nothing may have run of");
    if (!isRefused) {
        onUnknown(now, name, error_kind::ServerFailed, std::move(detail), out);
        return;
    }
    found->second.error = kind;
    found->second.detail = std::move(detail);
    found->second.retryAfter = retryAfter;
    noteEnd(now, name, found->second);
    failWaiters(found->second, out);
}

void once_table::onUnknown(time_point now, const std::string &name, error_kind kind, std::string detail, actions &out)
{
    const auto found = m_entries.find(name);
    const bool isLost = found != m_entries.end() && found->second.life.apply(life_event::Lose);
    REEDTRAIL_CHECK(isLost, "only a dispatched request has an unknown outcome");
    if (!isLost) {
        return;
    }
    found->second.error = kind;
    found->second.detail = std::move(detail);
    noteEnd(now, name, found->second);
    failWaiters(found->second, out);
}

void once_table::onWaiterGone(const std::string &name, waiter_id waiter)
{
    const auto found = m_entries.find(name);
    if (found != m_entries.end()) {
        std::erase(found->second.waiters, waiter);
    }
}

void once_table::noteEnd(time_point now, const std::string &name, entry &ended)
{
    --m_counts.open;
    ended.ending = ++m_endings;
    m_ended.push_back({ now, name, ended.ending });
}

void once_table::keepAnswer(const std::string &name, entry &answered, kept_answer answer)
{
    answered.answer = std::make_shared<const kept_answer>(std::move(answer));
    ++m_counts.answers;
    m_counts.answerBytes += answered.answer->bytes();
    m_kept.emplace_back(name, answered.ending);
}

void once_table::dropAnswersBeyondBounds()
{
    while (m_counts.answers > m_options.maximumAnswers || m_counts.answerBytes > m_options.maximumAnswerBytes) {
        const auto [name, ending] = std::move(m_kept.front());
        m_kept.pop_front();
        const auto found = m_entries.find(name);
        if (found != m_entries.end() && found->second.ending == ending && found->second.answer) {
            --m_counts.answers;
            m_counts.answerBytes -= found->second.answer->bytes();
            found->second.answer.reset();
        }
    }
}

void once_table::failWaiters(entry &ended, actions &out)
{
    for (const waiter_id waiter : std::exchange(ended.waiters, {})) {
        out.push_back(give_error{ waiter, ended.error, ended.detail, ended.retryAfter });
    }
}

void once_table::onTimer(time_point now)
{
    while (!m_ended.empty() && now - m_ended.front().at > m_options.entryLifetime) {
        const ended_entry oldest = std::move(m_ended.front());
        m_ended.pop_front();
        const auto found = m_entries.find(oldest.name);
        if (found == m_entries.end() || found->second.ending != oldest.ending) {
            continue;
        }
        if (found->second.answer) {
            --m_counts.answers;
            m_counts.answerBytes -= found->second.answer->bytes();
        }
        m_entries.erase(found);
        --m_counts.entries;
    }
    while (!m_kept.empty()) {
        const auto found = m_entries.find(m_kept.front().first);
        if (found != m_entries.end() && found->second.ending == m_kept.front().second) {
            break;
        }
        m_kept.pop_front();
    }
}

nlohmann::json once_table::dump() const
{
    std::map<std::string_view, std::size_t> states;
    for (const auto &[name, each] : m_entries) {
        ++states[lifeStateName(each.life.state())];
    }
    nlohmann::json byState = nlohmann::json::object();
    for (const auto &[state, count] : states) {
        byState[std::string(state)] = count;
    }
    return { { "entries", m_counts.entries }, { "open", m_counts.open },       { "answers", m_counts.answers }, { "answerBytes", m_counts.answerBytes },
             { "runs", m_counts.runs },       { "replays", m_counts.replays }, { "joined", m_counts.joined },   { "states", std::move(byState) } };
}

} // namespace reedtrail
