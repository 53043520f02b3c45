// A server downloads at shard size / stage time. Evenly spaced starts would bound the mean rate but not the peak, since downloads of different length overlap
// unevenly. The limiter therefore sums the rates of all active downloads: each server counts with its last measured rate, a server without one with the
// fastest rate measured. As in slow start, the number of active downloads by unmeasured servers never exceeds the number of measurements. Otherwise, if the
// first measured server were slow, all others would be taken for slow too and overload the weight store. The store refuses what still exceeds its rate with
// status 429, and the server downloads later.

#include "weights/staging_rate_limiter.h"

#include <algorithm>

namespace reedtrail {

void staging_rate_limiter::setRate(double bytesPerSecond, double shardBytes)
{
    m_bytesPerSecond = bytesPerSecond;
    m_shardBytes = shardBytes;
}

void staging_rate_limiter::recordStageTime(duration stageTime)
{
    if (stageTime > duration::zero()) {
        ++m_stageTimeCount;
        m_shortestStageTime = m_shortestStageTime == duration::zero() ? stageTime : std::min(m_shortestStageTime, stageTime);
    }
}

bool staging_rate_limiter::mayStart(std::span<const duration> stageTimes) const
{
    if (stageTimes.size() <= 1) {
        return true;
    }
    const auto unknown = static_cast<std::size_t>(std::ranges::count(stageTimes, duration::zero()));
    if (m_shortestStageTime == duration::zero() || unknown > m_stageTimeCount) {
        return false;
    }
    double rate = 0;
    for (const duration stageTime : stageTimes) {
        rate += m_shardBytes / toSeconds(stageTime == duration::zero() ? m_shortestStageTime : stageTime);
    }
    return rate <= m_bytesPerSecond;
}

} // namespace reedtrail
