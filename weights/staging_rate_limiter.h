/**
 * @file
 * The share of the weight store's rate that one run may draw: one budget for the fleet, split among the open runs by weight.
 *
 *     staging_allotment allotment;
 *     allotment.setRate(bytesPerSecond * runWeight / sumOfWeights, shardBytes);
 *     allotment.learn(stageTime);                                       // of any server
 *     if (allotment.mayStart(drawsUnderWay)) { order one server to stage }
 *
 * The split needs no messages, so it holds in every partition: the sum of what all runs draw never exceeds the rate, whoever owns them.
 */
#pragma once

#include "base/time.h"

#include <cstddef>
#include <span>

namespace reedtrail {

/** The allotment. */
class staging_rate_limiter
{
public:
    /** Sets the rate. @param bytesPerSecond of this run @param shardBytes that one server draws for a version */
    void setRate(double bytesPerSecond, double shardBytes);
    /** Notes how long a server took to stage. */
    void recordStageTime(duration stageTime);
    /**
     * Tells whether one more server may draw beside those that do.
     * @param stageTimes of the servers drawing now and of the next one; 0 for a server whose time is not known
     */
    bool mayStart(std::span<const duration> stageTimes) const;

private:
    double m_bytesPerSecond = 0;
    double m_shardBytes = 0;
    duration m_shortestStageTime{}; ///< Shortest stage time seen; 0 while none was.
    std::size_t m_stageTimeCount = 0; ///< Stage times seen.
};

} // namespace reedtrail
