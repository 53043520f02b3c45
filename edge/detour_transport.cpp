// Short calls tell which way works; waiting calls are given up with the way that fails, so that their askers read anew by one that works.

#include "edge/detour_transport.h"

#include "edge/peer_protocol.h"
#include "kernel/log.h"

#include <algorithm>

namespace reedtrail {

using namespace peer_protocol;

namespace {

constexpr duration directPatience = std::chrono::milliseconds(700); // Twice what the slowest store that was seen takes; beyond it the lease would lapse.
constexpr duration detourAllowance = std::chrono::milliseconds(300); // For the way to the peer and back.
constexpr duration probeLimit = std::chrono::milliseconds(450); // Of a question whether the store is back: shorter than the time to the next one.
constexpr duration pingLimit = std::chrono::milliseconds(300); // A hundred times the way between zones.
constexpr duration detourWait = std::chrono::milliseconds(1000); // Of a waiting read through a peer, after which it is sent anew by the way that is best
                                                                 // then: the peer's own trouble must not last longer here than this node's own would.
constexpr duration inTouchTime = std::chrono::milliseconds(850); // A renewal of the lease, each 0.6 s, and its way to a store that takes its time.
constexpr double hubHoldShare = 0.25; // Of the bound for draining servers: half a second, in which a follower finds out a reader that stands still.
constexpr duration hubPollWait = std::chrono::seconds(15); // Of the reader's own poll of the store; silent connections are found by TCP's probes.
constexpr duration hubPollTimeout = std::chrono::seconds(17);
constexpr unsigned generationShift = 16; // Room for the failed polls of a process before its hub's numbers could meet those of the next.

bool isTurnedAway(const platform::store_transport::reply &answer)
{
    return !answer.isAnswered || answer.status == http_status::tooMany || answer.status == http_status::unavailable;
}

} // namespace

/** A call on its way. */
struct detour_transport::pending
{
    std::string method;
    std::string target;
    std::string body;
    duration timeout{};
    reply_handler onReply;
    cancel_action cancel;
    bool isCancelled = false;
    bool hasFailedDirectly = false;

    /** Whether the call may be sent a second time after one whose outcome is unknown: reads, and renewals, which do the same twice as once. */
    bool mayRepeat() const
    {
        return method == "GET" || body.empty();
    }
    /** Waiting reads are long by design; everything else is short. */
    bool isWaiting() const
    {
        return timeout > std::chrono::seconds(5);
    }
};

detour_transport::detour_transport(asio_loop &loop, http_client &client, const edge_settings &settings)
    : m_loop(loop)
    , m_client(client)
    , m_settings(settings)
    , m_direct(client, settings.store)
    , m_path(settings.node, settings.zone, std::hash<std::string>()(settings.node))
    , m_hub(static_cast<std::uint64_t>(unixMilliseconds()) << generationShift)
{
}

platform::store_transport::cancel_action
detour_transport::call(const std::string &method, const std::string &target, std::string body, duration timeout, reply_handler onReply)
{
    const auto call = std::make_shared<pending>();
    call->method = method;
    call->target = target;
    call->body = std::move(body);
    call->timeout = timeout;
    call->onReply = std::move(onReply);
    send(call);
    return [weak = std::weak_ptr(call)] {
        if (const auto waiting = weak.lock()) {
            waiting->isCancelled = true;
            if (const auto cancel = std::exchange(waiting->cancel, nullptr)) {
                cancel();
            }
        }
    };
}

void detour_transport::send(const std::shared_ptr<pending> &call)
{
    if (const auto peer = m_path.choose(m_loop.now())) {
        goThrough(call, peer->first, peer->second);
    } else {
        goDirectly(call);
    }
}

void detour_transport::goDirectly(const std::shared_ptr<pending> &call)
{
    const duration limit = call->isWaiting() ? call->timeout : std::min(call->timeout, directPatience);
    if (call->isWaiting()) {
        std::erase_if(m_waitingCalls, [](const auto &each) {
            return each.expired();
        });
        m_waitingCalls.push_back(call);
    }
    call->cancel = m_direct.call(call->method, call->target, call->body, limit, [this, call](const reply &answer) {
        if (!call->isCancelled) {
            directEnded(call, answer);
        }
    });
}

void detour_transport::directEnded(const std::shared_ptr<pending> &call, const reply &answer)
{
    const time_point now = m_loop.now();
    const bool isServed = !isTurnedAway(answer);
    if (call->isWaiting() && !isServed) {
        call->onReply(answer); // Waiting reads are cut also by a store that serves this node; short calls tell.
        return;
    }
    const bool wasOnDetour = m_path.isOnDetour(now);
    const bool wasLost = m_path.isStoreLost();
    m_path.directEnded(now, isServed);
    tellIfRegained(wasLost);
    if (!wasOnDetour && m_path.isOnDetour(now)) {
        logLine(log_level::Info, "store-by-peer", { { "last-status", std::to_string(answer.status) }, { "answered", answer.isAnswered ? "yes" : "no" } });
        dropWaitingCalls();
    }
    // Certainly not done, or harmless twice: it can go another way at once.
    const bool isNotDone = answer.isAnswered || !answer.isHandedOver;
    if (!isServed && !call->hasFailedDirectly && (isNotDone || call->mayRepeat())) {
        call->hasFailedDirectly = true;
        if (const auto peer = m_path.fallback(now)) {
            goThrough(call, peer->first, peer->second);
            return;
        }
    }
    call->onReply(answer);
}

/** Calls that wait on a way that fails would wait for nothing; their askers read anew, by a way that works. */
void detour_transport::dropWaitingCalls()
{
    for (const auto &weak : std::exchange(m_waitingCalls, {})) {
        const auto call = weak.lock();
        if (!call || call->isCancelled || !call->cancel) {
            continue;
        }
        call->isCancelled = true;
        std::exchange(call->cancel, nullptr)();
        m_loop.after(duration::zero(), [call] {
            call->onReply({});
        });
    }
}

void detour_transport::tellIfRegained(bool wasLost)
{
    if (wasLost && !m_path.isStoreLost()) {
        m_loop.after(duration::zero(), [this] {
            m_onRegained();
        });
    }
}

void detour_transport::probeStore()
{
    const std::string ownKey = std::string(nodesPrefix) + m_settings.node;
    m_direct.call("GET", platform::readTarget(ownKey), "", probeLimit, [this](const reply &answer) {
        if (!isTurnedAway(answer)) {
            const bool wasLost = m_path.isStoreLost();
            m_path.directEnded(m_loop.now(), true);
            tellIfRegained(wasLost);
        }
    });
}

void detour_transport::ping(const endpoint &peer, std::function<void(bool isReached)> done)
{
    http_request request;
    request.target = pingPath;
    http_call_options options;
    options.connectTimeout = pingLimit;
    options.deadline = pingLimit;
    m_client.call(peer, std::move(request), options, [done](const http_call_end &end, const http_response &) {
        done(end.error == error_kind::None);
    });
}

bool detour_transport::isInTouch() const
{
    return m_path.servedBefore(m_loop.now()) < inTouchTime;
}

void detour_transport::goThrough(const std::shared_ptr<pending> &call, const std::string &peer, const endpoint &where)
{
    http_request request;
    request.method = "POST";
    request.target = storePath;
    request.fields.set(methodField, call->method);
    request.fields.set(targetField, call->target);
    request.fields.set(timeoutField, std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(call->timeout).count()));
    request.body = call->body;
    http_call_options options;
    options.connectTimeout = detourAllowance;
    options.deadline = call->isWaiting() ? detourWait : call->timeout + detourAllowance;
    options.silenceTimeout = options.deadline;
    const auto started = m_client.call(where, std::move(request), options, [this, call, peer](const http_call_end &end, const http_response &response) {
        if (!call->isCancelled) {
            detourEnded(call, peer, end, response);
        }
    });
    call->cancel = [weak = std::weak_ptr(started)] {
        if (const auto running = weak.lock()) {
            running->cancel();
        }
    };
}

void detour_transport::detourEnded(const std::shared_ptr<pending> &call, const std::string &peer, const http_call_end &end, const http_response &response)
{
    const time_point now = m_loop.now();
    if (call->isWaiting() && end.isHandedOver && (end.error == error_kind::DeadlineExceeded || end.error == error_kind::ServerSilent)) {
        send(call);
        return;
    }
    const bool isAnswered = end.error == error_kind::None;
    const bool isNotDone = isAnswered ? response.status == statusNotDone : !end.isHandedOver;
    const bool isUnknown = isAnswered ? response.status == statusNoAnswer : end.isHandedOver;
    const bool isRefused = isAnswered && (response.status == http_status::tooMany || response.status == http_status::unavailable);
    const bool wasLost = m_path.isStoreLost();
    m_path.detourEnded(now, peer, !isNotDone && !isUnknown && !isRefused, isAnswered);
    tellIfRegained(wasLost);
    if ((isNotDone || isRefused) && !call->hasFailedDirectly) {
        call->hasFailedDirectly = true;
        goDirectly(call);
        return;
    }
    call->onReply({ !isNotDone && !isUnknown, isUnknown, response.status, response.body });
}

/** A question about a shared prefix on its way. */
struct detour_transport::following
{
    shared_watch watch;
    reply_handler onReply;
    cancel_action cancel;
    bool isCancelled = false;
};

duration detour_transport::hubHold() const
{
    return fromSeconds(toSeconds(m_settings.drainBound) * hubHoldShare);
}

platform::store_transport::cancel_action detour_transport::pollShared(const shared_watch &watch, reply_handler onReply)
{
    const auto question = std::make_shared<following>(following{ watch, std::move(onReply), nullptr, false });
    askReader(question);
    return [weak = std::weak_ptr(question)] {
        if (const auto waiting = weak.lock()) {
            waiting->isCancelled = true;
            if (const auto cancel = std::exchange(waiting->cancel, nullptr)) {
                cancel();
            }
        }
    };
}

void detour_transport::askReader(const std::shared_ptr<following> &question)
{
    const auto reader = m_path.zoneReader(m_loop.now());
    if (!reader) {
        const std::uint64_t generation = question->watch.isFirstPoll ? 0 : m_generations[question->watch.prefix];
        question->cancel = askHub(question->watch.prefix, question->watch.after, generation, [this, question](const reply &answer) {
            m_generations[question->watch.prefix] = hubGeneration(question->watch.prefix);
            if (question->isCancelled) {
                return;
            }
            if (answer.isAnswered && answer.status == statusTooOld) {
                followDirectly(question);
            } else {
                question->onReply(answer);
            }
        });
        return;
    }
    http_request request;
    request.method = "POST";
    request.target = followPath;
    request.fields.set(prefixField, question->watch.prefix);
    request.fields.set(afterField, std::to_string(question->watch.after));
    request.fields.set(generationField, std::to_string(question->watch.isFirstPoll ? 0 : m_generations[question->watch.prefix]));
    http_call_options options;
    options.connectTimeout = detourAllowance;
    options.silenceTimeout = hubHold() + detourAllowance;
    options.deadline = options.silenceTimeout;
    const auto started = m_client.call(
        reader->second, std::move(request), options, [this, question, name = reader->first](const http_call_end &end, const http_response &response) {
            if (question->isCancelled) {
                return;
            }
            if (end.error == error_kind::None && response.status == statusUnchanged) {
                askReader(question);
                return;
            }
            if (end.error == error_kind::None && response.status == http_status::ok) {
                question->onReply({ true, true, response.status, response.body, response.fields.get(moreField) == "1" });
                return;
            }
            if (end.error == error_kind::None && response.status == statusTooOld) {
                followDirectly(question);
                return;
            }
            if (end.error != error_kind::None || response.status == http_status::unavailable) {
                m_path.readerFailed(m_loop.now(), name);
            }
            // Not asked again from the same revision: the reader's watch may have been cut because the history before it is gone.
            question->onReply({});
        });
    question->cancel = [weak = std::weak_ptr(started)] {
        if (const auto running = weak.lock()) {
            running->cancel();
        }
    };
}

void detour_transport::followDirectly(const std::shared_ptr<following> &question)
{
    question->cancel = call("GET",
                            platform::watchTarget(question->watch.prefix, question->watch.after, question->watch.wait),
                            "",
                            question->watch.timeout,
                            [question](const reply &answer) {
                                if (!question->isCancelled) {
                                    question->onReply(answer);
                                }
                            });
}

platform::store_transport::cancel_action
detour_transport::askHub(const std::string &prefix, store_revision after, std::uint64_t generation, reply_handler onReply)
{
    const hub_decision decision = m_hub.ask(prefix, after, generation);
    if (decision.what != hub_decision::kind::StartPoll && decision.what != hub_decision::kind::Wait) {
        const bool isKnown = decision.what == hub_decision::kind::Reply;
        const bool isLost = decision.what == hub_decision::kind::Lost;
        const auto isWithdrawn = std::make_shared<bool>(false);
        m_loop.after(duration::zero(),
                     [isWithdrawn,
                      onReply,
                      answer = reply{ !isLost, true, isKnown ? http_status::ok : statusTooOld, isKnown ? *decision.reply : "", decision.hasMore }] {
                         if (!*isWithdrawn) {
                             onReply(answer);
                         }
                     });
        return [isWithdrawn] {
            *isWithdrawn = true;
        };
    }
    const std::uint64_t number = m_nextFollower++;
    m_followers[prefix].push_back({ after, std::move(onReply), number });
    if (decision.what == hub_decision::kind::StartPoll) {
        pollForHub(prefix, after);
    }
    return [this, prefix, number] {
        std::erase_if(m_followers[prefix], [number](const hub_follower &each) {
            return each.number == number;
        });
    };
}

void detour_transport::pollForHub(const std::string &prefix, store_revision after)
{
    call("GET", platform::watchTarget(prefix, after, hubPollWait), "", hubPollTimeout, [this, prefix](const reply &answer) {
        hubPolled(prefix, answer);
    });
}

void detour_transport::hubPolled(const std::string &prefix, const reply &answer)
{
    const std::optional<platform::watch_summary> summary =
        answer.isAnswered && answer.status == http_status::ok ? platform::summarizeWatchReply(answer.body) : std::nullopt;
    if (summary) {
        m_hub.ended(prefix, summary->reached, summary->hasEvents, answer.body);
    } else {
        m_hub.failed(prefix);
    }
    for (const hub_follower &each : std::exchange(m_followers[prefix], {})) {
        each.onReply(summary ? answer : reply{});
    }
}

} // namespace reedtrail
