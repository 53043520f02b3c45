// Water-filling. Those whose demand for their weight lies below the common level get their demand; the rest get level × weight. Each pass settles everybody
// below the present level, and the level only rises, so there are at most as many passes as customers; in practice a few. No memory is allocated.

#include "routing/fair_share.h"

#include <algorithm>

namespace reedtrail {

void allocateMaxMinShares(double capacity, std::span<share_demand> demands)
{
    constexpr double unsettled = -1;
    double left = std::max(0.0, capacity);
    double weights = 0;
    for (share_demand &each : demands) {
        each.share = unsettled;
        weights += each.weight;
    }
    bool isSettled = false;
    while (!isSettled && weights > 0) {
        isSettled = true;
        const double level = left / weights;
        for (share_demand &each : demands) {
            if (each.share == unsettled && each.demand <= level * each.weight) {
                each.share = each.demand;
                left = std::max(0.0, left - each.demand);
                weights -= each.weight;
                isSettled = false;
            }
        }
    }
    for (share_demand &each : demands) {
        if (each.share == unsettled) {
            each.share = weights > 0 ? left * each.weight / weights : 0;
        }
    }
}

} // namespace reedtrail
