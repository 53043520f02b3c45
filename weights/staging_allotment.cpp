// Starts are spaced by the time one shard takes at the allotted rate. A server draws its shard in about that time or longer, so what all draw in any window of
// a few shards stays within the rate; a burst after a quiet time would not.

#include "weights/staging_allotment.h"

namespace reedtrail {

void staging_allotment::setRate(double bytesPerSecond, double shardBytes)
{
    m_interval = bytesPerSecond > 0 ? fromSeconds(shardBytes / bytesPerSecond) : std::chrono::hours(1);
}

bool staging_allotment::take(time_point now)
{
    if (now < m_nextAt) {
        return false;
    }
    m_nextAt = now + m_interval;
    return true;
}

} // namespace reedtrail
