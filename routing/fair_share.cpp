// Water-filling: a customer whose demand divided by its weight is at most the common level gets its demand; the others get level × weight. Each pass assigns
// the demand of all customers at or below the current level. The level never decreases, so there are at most as many passes as customers, and in practice a
// few. No memory is allocated.

#include "routing/fair_share.h"

#include <algorithm>

namespace reedtrail {

void allocateMaxMinShares(double capacity, std::span<share_demand> demands)
{
    constexpr double unassigned = -1;
    double remainingCapacity = std::max(0.0, capacity);
    double remainingWeight = 0;
    for (share_demand &each : demands) {
        each.share = unassigned;
        remainingWeight += each.weight;
    }
    bool isStable = false;
    while (!isStable && remainingWeight > 0) {
        isStable = true;
        const double level = remainingCapacity / remainingWeight;
        for (share_demand &each : demands) {
            if (each.share == unassigned && each.demand <= level * each.weight) {
                each.share = each.demand;
                remainingCapacity = std::max(0.0, remainingCapacity - each.demand);
                remainingWeight -= each.weight;
                isStable = false;
            }
        }
    }
    for (share_demand &each : demands) {
        if (each.share == unassigned) {
            each.share = remainingWeight > 0 ? remainingCapacity * each.weight / remainingWeight : 0;
        }
    }
}

} // namespace reedtrail
