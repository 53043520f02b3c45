/**
 * @file
 * The share of the weight store's rate that one run may draw: one budget for the fleet, split among the open runs by weight.
 *
 *     staging_allotment allotment;
 *     allotment.setRate(bytesPerSecond * runWeight / sumOfWeights, shardBytes);
 *     if (allotment.take(now)) { order one server to stage }
 *
 * The split needs no messages, so it holds in every partition: the sum of what all runs draw never exceeds the rate, whoever owns them.
 */
#pragma once

#include "base/time.h"

namespace reedtrail {

/** The allotment; it paces starts evenly, without burst. */
class staging_allotment
{
public:
    /** Sets the rate. @param bytesPerSecond of this run @param shardBytes that one server draws for a version */
    void setRate(double bytesPerSecond, double shardBytes);
    /** Takes the right to let one more server stage. @return false if it is too early */
    bool take(time_point now);
    /** Returns when take() will next succeed. */
    time_point nextAt() const
    {
        return m_nextAt;
    }
    /** Returns the time between two starts. */
    duration interval() const
    {
        return m_interval;
    }

private:
    duration m_interval{};
    time_point m_nextAt{};
};

} // namespace reedtrail
