// A server draws at shard / stage time. Spacing starts evenly would keep the mean within the rate, not the peak: draws of different length overlap unevenly. So
// the draws under way are added up, each at its server's own rate as last measured, or at the quickest measured for one that is new. Beside those already
// measured no more new ones draw than were measured, as in slow start: were the first measured a slow server, all others would be taken for slow ones. What is
// over the rate all the same is refused by the weight store with 429 and drawn later.

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
