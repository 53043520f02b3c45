/**
 * @file
 * Limits the rate at which the servers of one run download weights: the weight store's rate is divided among the open runs by weight.
 *
 *     staging_rate_limiter limiter;
 *     limiter.setRate(bytesPerSecond * runWeight / sumOfWeights, shardBytes);
 *     limiter.recordStageTime(stageTime);                               // of any server
 *     if (limiter.mayStart(downloads)) { order one server to stage }
 *
 * The division needs no messages, so it holds in a network partition too: whichever nodes own the runs, all their downloads together stay within the rate.
 */
#pragma once

#include "base/time.h"

#include <cstddef>
#include <span>

namespace reedtrail {

/** Rate limiter of one run's downloads. */
class staging_rate_limiter
{
public:
    /** Sets the limit. @param bytesPerSecond rate of this run @param shardBytes size of one server's download of a version */
    void setRate(double bytesPerSecond, double shardBytes);
    /** Records how long a server took to stage; ignores 0. */
    void recordStageTime(duration stageTime);
    /**
     * Returns whether one more server may start its download.
     * @param stageTimes of the servers that download now and of the next one; 0 for a server without a measured time
     */
    bool mayStart(std::span<const duration> stageTimes) const;

private:
    double m_bytesPerSecond = 0;
    double m_shardBytes = 0;
    duration m_shortestStageTime{}; ///< Shortest recorded stage time; 0 while there is none.
    std::size_t m_stageTimeCount = 0; ///< Number of recorded stage times.
};

} // namespace reedtrail
