// A refusal as not run is checked by attempt number. If the operation ran, the refusal of attempt n is correct only if a later attempt may have run. The
// caller raises the number only after such a refusal, so a successful response to the same or an earlier number contradicts the refusal even if a server's
// record cannot be read.

#include "standins/load/load_ledger.h"

#include <algorithm>

namespace reedtrail {
namespace {

constexpr std::size_t maximumExamples = 12;

void addExample(load_verdict &verdict, const std::string &what, const std::string &key)
{
    if (verdict.examples.size() < maximumExamples) {
        verdict.examples.push_back(what + ": " + key);
    }
}

double quantileMs(std::vector<duration> &latencies, double quantile)
{
    if (latencies.empty()) {
        return 0;
    }
    const auto index = std::min(latencies.size() - 1, static_cast<std::size_t>(quantile * static_cast<double>(latencies.size())));
    std::ranges::nth_element(latencies, latencies.begin() + static_cast<std::ptrdiff_t>(index));
    return toSeconds(latencies[index]) * 1000;
}

/** Returns whether a successful response to the same or an earlier attempt number contradicts the refusal @p refused. */
bool isContradicted(const std::vector<load_attempt> &attempts, const load_attempt &refused)
{
    return std::ranges::any_of(attempts, [&](const load_attempt &other) {
        return other.number <= refused.number && other.outcome == observed_outcome::Done;
    });
}

/** Returns whether a later attempt may have run, so that a recorded run does not contradict the refusal @p refused. */
bool hasLaterAttempt(const std::vector<load_attempt> &attempts, const load_attempt &refused)
{
    return std::ranges::any_of(attempts, [&](const load_attempt &other) {
        return other.number > refused.number && other.outcome != observed_outcome::NotRun;
    });
}

bool hasOutcome(const std::vector<load_attempt> &attempts, observed_outcome outcome)
{
    return std::ranges::any_of(attempts, [outcome](const load_attempt &attempt) {
        return attempt.outcome == outcome;
    });
}

} // namespace

std::string_view callerKindName(caller_kind kind)
{
    constexpr std::array<std::string_view, callerKindCount> names{ "note", "summary", "proof" };
    return names[static_cast<std::size_t>(kind)];
}

std::size_t load_ledger::begin(caller_kind kind, std::string key)
{
    m_indexByKey[key] = m_operations.size();
    m_operations.push_back({ kind, std::move(key), {}, {}, 0 });
    return m_operations.size() - 1;
}

void load_ledger::attemptEnded(std::size_t operation, load_attempt attempt)
{
    m_operations[operation].attempts.push_back(std::move(attempt));
}

void load_ledger::addCrossedAnswer(std::size_t operation, const std::string &detail)
{
    m_operations[operation].crossed.push_back(detail);
}

void load_ledger::addRuns(const std::string &key, std::uint64_t runs)
{
    const auto found = m_indexByKey.find(key);
    if (found != m_indexByKey.end()) {
        m_operations[found->second].runs += runs;
    }
}

void load_ledger::evaluate(const operation &each, load_verdict &verdict) const
{
    const std::string name = std::string(callerKindName(each.kind)) + " " + each.key;
    if (each.kind == caller_kind::Proof && each.runs > 1) {
        ++verdict.runTwice;
        addExample(verdict, "ran " + std::to_string(each.runs) + " times", name);
    }
    const auto isFalseNotRun = [&](const load_attempt &attempt) {
        const bool ran = each.runs > 0 && !hasLaterAttempt(each.attempts, attempt);
        return attempt.outcome == observed_outcome::NotRun && (ran || isContradicted(each.attempts, attempt));
    };
    if (std::ranges::any_of(each.attempts, isFalseNotRun)) {
        ++verdict.falseNotRun;
        addExample(verdict, "told not run, though it ran", name);
    }
    if (each.runs == 0 && !m_isRecordMissing && hasOutcome(each.attempts, observed_outcome::Done)) {
        ++verdict.lost;
        addExample(verdict, "answered, though no server ran it", name);
    }
    const load_attempt *first = nullptr;
    for (const load_attempt &attempt : each.attempts) {
        const bool isCompared = attempt.outcome == observed_outcome::Done && !attempt.answer.empty();
        if (isCompared && first != nullptr && attempt.answer != first->answer) {
            ++verdict.doubled;
            addExample(verdict, "two different answers", name);
            break;
        }
        first = isCompared && first == nullptr ? &attempt : first;
    }
    verdict.crossed += each.crossed.size();
    for (const std::string &detail : each.crossed) {
        addExample(verdict, "answer of another request: " + detail, name);
    }
    for (const load_attempt &attempt : each.attempts) {
        if (attempt.outcome == observed_outcome::Truncated || attempt.outcome == observed_outcome::Dropped) {
            ++verdict.cut;
            addExample(verdict, "cut off", name);
        }
    }
}

load_verdict load_ledger::verdict() const
{
    load_verdict verdict;
    for (const operation &each : m_operations) {
        evaluate(each, verdict);
    }
    return verdict;
}

kind_figures load_ledger::figures(caller_kind kind) const
{
    kind_figures figures;
    std::vector<duration> latencies;
    for (const operation &each : m_operations) {
        if (each.kind != kind) {
            continue;
        }
        ++figures.operations;
        const bool isDone = hasOutcome(each.attempts, observed_outcome::Done);
        const bool isNotRun = !isDone && !each.attempts.empty() && std::ranges::all_of(each.attempts, [](const load_attempt &attempt) {
            return attempt.outcome == observed_outcome::NotRun || attempt.outcome == observed_outcome::NoConnection;
        });
        figures.done += isDone ? 1 : 0;
        figures.notRun += isNotRun ? 1 : 0;
        figures.unknown += isDone || isNotRun ? 0 : 1;
        for (const load_attempt &attempt : each.attempts) {
            ++figures.attempts;
            figures.overdue += attempt.isOverdue ? 1 : 0;
            if (attempt.outcome == observed_outcome::Done) {
                latencies.push_back(attempt.latency);
            } else {
                ++figures.errors[attempt.error];
            }
        }
    }
    figures.p50Ms = quantileMs(latencies, 0.5);
    figures.p99Ms = quantileMs(latencies, 0.99);
    return figures;
}

} // namespace reedtrail
