#include "fleet/crash_keeper.h"

#include "base/hash.h"

#include <algorithm>

namespace reedtrail {
namespace {

constexpr std::array<std::uint32_t, 2> retriesOfKeeper{ 2, 1 }; // Their sum is what all nodes together may send after three servers have ended.
constexpr std::size_t maxKeptRequests = 4096;

crash_grant denial(duration returnAfter)
{
    return { false, returnAfter.count() };
}

} // namespace

crash_grant crash_keeper::serve(time_point now, crash_table &table, const crash_ask &ask)
{
    const crash_table::row *request = table.find(ask.digest);
    if (request == nullptr) {
        return { true, 0 };
    }
    table.touch(now, ask.digest);
    kept_request &kept = find(now, ask.digest);
    const bool isOthers = !kept.asker.empty() && kept.asker != ask.asker;
    if (isOthers && kept.underWayUntil > now) {
        return denial(m_options.returnWhileUnderWay);
    }
    if (isOthers) {
        presumeEnd(now, table, *request);
    }
    if (request->isCrashing() && !hasRetryLeft(*request, ask.isSecond)) {
        return denial(m_options.returnAfterLastRetry);
    }
    const time_point due = std::max(kept.lastEndAt, kept.lastGrantAt) + pauseAfter(*request, ask);
    if (due > now) {
        return denial(due - now);
    }
    if (request->isCrashing()) {
        table.recordRetry(now, ask.digest, ask.isSecond);
    }
    kept.asker = ask.asker;
    kept.underWayUntil = now + m_options.attemptTime;
    kept.lastGrantAt = now;
    return { true, 0 };
}

/** Counts an attempt of which nothing was heard as one under which a server ended: the node that made it may have ended before it could tell. */
void crash_keeper::presumeEnd(time_point now, crash_table &table, const crash_table::row &request)
{
    kept_request &kept = find(now, request.identity.digest);
    table.recordEnd(now, request.identity, stableHash(kept.asker));
    kept.asker.clear();
    kept.lastEndAt = kept.underWayUntil;
}

void crash_keeper::onAttemptEnded(time_point now, std::uint64_t digest)
{
    kept_request &kept = find(now, digest);
    kept.asker.clear();
    kept.lastEndAt = now;
}

void crash_keeper::release(std::uint64_t digest, std::string_view asker)
{
    const auto found = m_requests.find(digest);
    if (found != m_requests.end() && found->second.asker == asker) {
        found->second.asker.clear();
    }
}

/** Returns how long the request must not be sent after the last server ended under it. */
duration crash_keeper::pauseAfter(const crash_table::row &request, const crash_ask &ask) const
{
    if (!request.isCrashing()) {
        return duration::zero();
    }
    switch (request.retries[0] + request.retries[1]) {
    case 0:
        return ask.endsElsewhere >= m_options.endsOfLoss ? duration::zero() : m_options.pauseAfterThirdEnd;
    case 1:
        return m_options.pauseAfterRetry;
    default:
        return m_options.pauseAfterRetry * 3;
    }
}

bool crash_keeper::hasRetryLeft(const crash_table::row &request, bool isSecond) const
{
    const std::size_t own = isSecond ? 1 : 0;
    return request.retries[own] < retriesOfKeeper[own];
}

/** Returns the state of a request. One that this node did not keep before counts as just ended, because the node can't know when it was sent last. */
crash_keeper::kept_request &crash_keeper::find(time_point now, std::uint64_t digest)
{
    const auto found = m_requests.find(digest);
    if (found != m_requests.end()) {
        return found->second;
    }
    if (m_requests.size() >= maxKeptRequests) {
        m_requests.erase(std::ranges::min_element(m_requests, {}, [](const auto &each) {
            return std::max(each.second.lastEndAt, each.second.lastGrantAt);
        }));
    }
    kept_request fresh;
    fresh.lastEndAt = now;
    return m_requests.emplace(digest, fresh).first->second;
}

} // namespace reedtrail
