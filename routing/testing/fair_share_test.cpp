#include "routing/fair_share.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <vector>

namespace reedtrail {
namespace {

// Slow reference implementation: assigns the capacity in small portions, each to the customer with unmet demand that has least relative to its weight.
std::vector<double> shareBySmallPortions(double capacity, const std::vector<share_demand> &demands, double portion)
{
    std::vector<double> shares(demands.size(), 0);
    for (double remaining = capacity; remaining >= portion; remaining -= portion) {
        std::size_t best = demands.size();
        for (std::size_t i = 0; i < demands.size(); ++i) {
            const bool wants = shares[i] + portion <= demands[i].demand + 1e-9;
            if (wants && (best == demands.size() || shares[i] / demands[i].weight < shares[best] / demands[best].weight)) {
                best = i;
            }
        }
        if (best == demands.size()) {
            break;
        }
        shares[best] += portion;
    }
    return shares;
}

RC_GTEST_PROP(fair_share, matchesReferenceImplementation, ())
{
    constexpr double portion = 0.01;
    const auto count = *rc::gen::inRange<std::size_t>(0, 7);
    std::vector<share_demand> demands(count);
    for (share_demand &each : demands) {
        each.weight = *rc::gen::inRange(1, 5);
        each.demand = *rc::gen::inRange(0, 20);
    }
    const double capacity = *rc::gen::inRange(0, 40);
    allocateMaxMinShares(capacity, demands);
    const std::vector<double> expected = shareBySmallPortions(capacity, demands, portion);
    for (std::size_t i = 0; i < count; ++i) {
        RC_ASSERT(std::abs(demands[i].share - expected[i]) <= portion * 20);
        RC_ASSERT(demands[i].share <= demands[i].demand + 1e-9);
    }
}

RC_GTEST_PROP(fair_share, assignsAllDemandedCapacity, ())
{
    const auto raw = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
    std::vector<share_demand> demands;
    double wanted = 0;
    for (const int demand : raw) {
        demands.push_back({ 1.0 + demand % 3, static_cast<double>(demand), 0 });
        wanted += demand;
    }
    const double capacity = *rc::gen::inRange(0, 500);
    allocateMaxMinShares(capacity, demands);
    double given = 0;
    for (const share_demand &each : demands) {
        given += each.share;
    }
    RC_ASSERT(std::abs(given - std::min(capacity, wanted)) < 1e-6);
}

} // namespace
} // namespace reedtrail
