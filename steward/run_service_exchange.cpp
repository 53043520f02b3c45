// Handles pulls, forwards results to the owner of a run, and hands runs over at a graceful shutdown. A node that does not own the run forwards a pull at most
// once. Results whose owner cannot be reached are buffered for a limited time and up to a limited number, so that drafts completed during a takeover are not
// lost.

#include "base/hash.h"
#include "kernel/log.h"
#include "steward/run_service_implementation.h"

#include <algorithm>

namespace reedtrail {
namespace {

/** Time that a graceful shutdown waits for successors to take over before it releases the runs. */
constexpr duration handoverTimeout = std::chrono::seconds(4);

/** Maximum number of draft results buffered while their owners cannot be reached. */
constexpr std::size_t maximumBufferedResults = 8192;
/** Time after which a buffered result is discarded. */
constexpr duration bufferedResultLifetime = std::chrono::seconds(60);

/** Time that a forwarded pull may take beyond the wait that the caller asked for. */
constexpr duration forwardTimeoutMargin = std::chrono::seconds(2);

pull_answer refusedPull(const pull_question &question, error_kind kind)
{
    pull_answer answer;
    answer.error = answerFor(kind).name;
    answer.number = question.number;
    return answer;
}

} // namespace

void run_service::implementation::handlePull(link_id from, pull_question question, peer_bus::reply<pull_answer> reply)
{
    const auto managed = managedRuns.find(question.run);
    if (managed == managedRuns.end()) {
        reply(refusedPull(question, error_kind::NotFound));
        return;
    }
    if (!managed->second.claim.isOwning()) {
        forwardPull(std::move(question), reply);
        return;
    }
    const pull_token token = nextPullToken++;
    pulls[token] = { question.run, from, std::move(reply) };
    dispatchToOwner(question.run, run_event::pull_requested{ token, question });
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
    const duration timeout = std::chrono::milliseconds(question.waitMs) + forwardTimeoutMargin;
    fleet->bus().ask<pull_answer>(*link, question, timeout, [question, reply](const std::optional<failure> &error, const pull_answer &answer) {
        reply(error ? refusedPull(question, error_kind::PeerUnreachable) : answer);
    });
}

void run_service::implementation::handleResult(const draft_result &result)
{
    if (!forward(result.slot.run, result) && bufferedResults.size() < maximumBufferedResults) {
        bufferedResults.push_back({ result, monotonicNow() + bufferedResultLifetime });
    }
}

void run_service::implementation::forwardBufferedResults()
{
    std::deque<buffered_result> buffered;
    buffered.swap(bufferedResults);
    for (const buffered_result &each : buffered) {
        if (monotonicNow() < each.until && !forward(each.result.slot.run, each.result)) {
            bufferedResults.push_back(each);
        }
    }
}

void run_service::implementation::handleLinkClosed(link_id link)
{
    std::vector<std::pair<pull_token, run_id>> closedPulls;
    for (const auto &[token, pull] : pulls) {
        if (pull.from == link) {
            closedPulls.emplace_back(token, pull.run);
        }
    }
    for (const auto &[token, run] : closedPulls) {
        pulls.erase(token);
        dispatchToOwner(run, run_event::pull_abandoned{ token });
    }
}

void run_service::implementation::armTimer()
{
    time_point next = timeNever;
    for (const auto &[run, managed] : managedRuns) {
        next = std::min({ next, managed.claim.nextDeadline(), managed.owner.nextDeadline() });
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
    for (const auto &[run, managed] : managedRuns) {
        due.push_back(run);
    }
    for (const run_id &run : due) {
        if (managedRuns.at(run).claim.nextDeadline() <= now) {
            dispatchToClaim(run, ownership_event::timer{});
        }
        if (managedRuns.at(run).owner.nextDeadline() <= now) {
            dispatchToOwner(run, run_event::timer{});
        }
    }
    armTimer();
}

void run_service::implementation::beginDrain(std::function<void()> done)
{
    isDraining = true;
    onDrained = std::move(done);
    drainDeadline = monotonicNow() + handoverTimeout;
    for (auto &[run, managed] : managedRuns) {
        if (managed.claim.isOwning()) {
            handOver(run, managed);
        }
    }
    finishDrainIfDone();
}

void run_service::implementation::handOver(const run_id &run, managed_run &managed)
{
    std::vector<std::string> others;
    for (const member_info &member : fleet->members()) {
        if (member.node != fleet->self() && member.isStoreReachable) {
            others.push_back(member.node.str());
        }
    }
    for (const std::size_t index : rendezvousChoose(run.view(), others, others.size())) {
        const std::optional<link_id> link = fleet->linkToSteward(node_id(others[index]));
        if (link && fleet->bus().send(*link, run_handover{ run, managed.claim.epoch() })) {
            managed.isHandedOver = true;
            return;
        }
    }
}

void run_service::implementation::finishDrainIfDone()
{
    if (!onDrained) {
        return;
    }
    const bool isTimedOut = monotonicNow() >= drainDeadline;
    bool isOwner = false;
    for (auto &[run, managed] : managedRuns) {
        if (managed.claim.isOwning() && (isTimedOut || !managed.isHandedOver)) {
            dispatchToClaim(run, ownership_event::release_requested{});
        }
        isOwner = isOwner || managed.claim.isOwning();
    }
    if (!isOwner) {
        std::exchange(onDrained, nullptr)();
    }
}

} // namespace reedtrail
