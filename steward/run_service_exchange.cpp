// Pulls, results on their way to the owner of a run, and the handover at a graceful shutdown. A node that does not own the run passes a pull on once; results
// that find no owner are kept for a bounded time and number, so that a takeover does not cost the drafts made meanwhile.

#include "base/hash.h"
#include "kernel/log.h"
#include "steward/run_service_implementation.h"

#include <algorithm>

namespace reedtrail {
namespace {

/** Longest wait for successors at a graceful shutdown. */
constexpr duration handoverPatience = std::chrono::seconds(4);

/** Results of drafts kept while no owner can be reached. */
constexpr std::size_t maximumKeptResults = 8192;
constexpr duration keptResultPatience = std::chrono::seconds(60);

constexpr duration forwardMargin = std::chrono::seconds(2);

pull_answer refusedPull(const pull_question &question, error_kind kind)
{
    pull_answer answer;
    answer.error = answerFor(kind).name;
    answer.number = question.number;
    return answer;
}

} // namespace

void run_service::implementation::takePull(link_id from, pull_question question, peer_bus::reply<pull_answer> reply)
{
    const auto unit = units.find(question.run);
    if (unit == units.end()) {
        reply(refusedPull(question, error_kind::NotFound));
        return;
    }
    if (!unit->second.claim.isOwning()) {
        forwardPull(std::move(question), reply);
        return;
    }
    const pull_token token = nextToken++;
    pulls[token] = { question.run, from, std::move(reply) };
    tellOwner(question.run, run_event::pull_requested{ token, question });
}

void run_service::implementation::forwardPull(pull_question question, const peer_bus::reply<pull_answer> &reply)
{
    const std::optional<run_owner_view> owner = question.isForwarded ? std::nullopt : ownerOf(question.run);
    const std::optional<link_id> link = owner && owner->node != fleet->self() ? fleet->linkToSteward(owner->node) : std::nullopt;
    if (!link) {
        reply(refusedPull(question, error_kind::NotOwner));
        return;
    }
    question.isForwarded = true;
    const duration timeout = std::chrono::milliseconds(question.waitMs) + forwardMargin;
    fleet->bus().ask<pull_answer>(*link, question, timeout, [question, reply](const std::optional<failure> &error, const pull_answer &answer) {
        reply(error ? refusedPull(question, error_kind::PeerUnreachable) : answer);
    });
}

void run_service::implementation::takeResult(const draft_result &result)
{
    if (!forward(result.slot.run, result) && keptResults.size() < maximumKeptResults) {
        keptResults.push_back({ result, monotonicNow() + keptResultPatience });
    }
}

void run_service::implementation::forwardKept()
{
    std::deque<kept_result> kept;
    kept.swap(keptResults);
    for (const kept_result &each : kept) {
        if (monotonicNow() < each.until && !forward(each.result.slot.run, each.result)) {
            keptResults.push_back(each);
        }
    }
}

void run_service::implementation::linkClosed(link_id link)
{
    std::vector<std::pair<pull_token, run_id>> gone;
    for (const auto &[token, pull] : pulls) {
        if (pull.from == link) {
            gone.emplace_back(token, pull.run);
        }
    }
    for (const auto &[token, run] : gone) {
        pulls.erase(token);
        tellOwner(run, run_event::pull_abandoned{ token });
    }
}

void run_service::implementation::armTimer()
{
    time_point next = timeNever;
    for (const auto &[run, unit] : units) {
        next = std::min({ next, unit.claim.nextDeadline(), unit.owner.nextDeadline() });
    }
    if (next == timeNever || isStopped) {
        return;
    }
    timer.expires_after(std::max(duration(1000), next - monotonicNow()));
    timer.async_wait([self = weak_from_this()](const boost::system::error_code &error) {
        const auto strong = self.lock();
        if (!error && strong && !strong->isStopped) {
            strong->onTimer();
        }
    });
}

void run_service::implementation::onTimer()
{
    const time_point now = monotonicNow();
    std::vector<run_id> due;
    for (const auto &[run, unit] : units) {
        due.push_back(run);
    }
    for (const run_id &run : due) {
        if (units.at(run).claim.nextDeadline() <= now) {
            tellClaim(run, ownership_event::timer{});
        }
        if (units.at(run).owner.nextDeadline() <= now) {
            tellOwner(run, run_event::timer{});
        }
    }
    armTimer();
}

void run_service::implementation::beginDrain(std::function<void()> done)
{
    isDraining = true;
    onDrained = std::move(done);
    drainUntil = monotonicNow() + handoverPatience;
    for (auto &[run, unit] : units) {
        if (unit.claim.isOwning()) {
            handOver(run, unit);
        }
    }
    finishDrainIfDone();
}

void run_service::implementation::handOver(const run_id &run, run_unit &unit)
{
    std::vector<std::string> others;
    for (const member_info &member : fleet->members()) {
        if (member.node != fleet->self() && member.isStoreReachable) {
            others.push_back(member.node.str());
        }
    }
    for (const std::size_t index : rendezvousChoose(run.view(), others, others.size())) {
        const std::optional<link_id> link = fleet->linkToSteward(node_id(others[index]));
        if (link && fleet->bus().send(*link, run_handover{ run, unit.claim.epoch() })) {
            unit.isHandedOver = true;
            return;
        }
    }
}

void run_service::implementation::finishDrainIfDone()
{
    if (!onDrained) {
        return;
    }
    const bool isLate = monotonicNow() >= drainUntil;
    bool isOwner = false;
    for (auto &[run, unit] : units) {
        if (unit.claim.isOwning() && (isLate || !unit.isHandedOver)) {
            tellClaim(run, ownership_event::release_requested{});
        }
        isOwner = isOwner || unit.claim.isOwning();
    }
    if (!isOwner) {
        std::exchange(onDrained, nullptr)();
    }
}

} // namespace reedtrail
