// A set of claims on one resource can be in time if and only if it is in order of due times. Which set has the most value is a knapsack whose capacity grows
// with the due times (Lawler and Moore): claims are taken in that order, and of the sets so far those are kept that no other one beats in both work and value.
// Their number is bounded; beyond that the lighter ones go, which is then no longer exact. Costs n times that bound for n claims; a node has a few claims.

#include "routing/room_order.h"

#include <algorithm>
#include <cstdint>
#include <numeric>

namespace reedtrail {
namespace {

constexpr std::size_t maxSets = 512;
constexpr std::size_t maxClaims = 64; // Those due first; the others are far off and stay in order of due times.

/** Claims that are served in time, one after the other. */
struct claim_set
{
    duration work{};
    double value = 0;
    std::uint64_t members = 0; ///< A bit for each claim, by its place in the order of due times.
};

/** Drops the sets that another one beats. Leaves them in order of increasing work and value. */
void keepBest(std::vector<claim_set> &sets)
{
    std::ranges::sort(sets, [](const claim_set &left, const claim_set &right) {
        return left.work != right.work ? left.work < right.work : left.value > right.value;
    });
    double best = -1;
    std::erase_if(sets, [&best](const claim_set &set) {
        const bool isBeaten = set.value <= best;
        best = std::max(best, set.value);
        return isBeaten;
    });
    if (sets.size() > maxSets) {
        sets.erase(sets.begin() + 1, sets.end() - static_cast<std::ptrdiff_t>(maxSets)); // The empty set stays, from which all others can be made.
    }
}

/** Chooses the claims that are served in time. @param byDue all claims in order of due times */
std::vector<bool> chooseInTime(time_point now, std::span<const work_claim> claims, std::span<const std::size_t> byDue, double places)
{
    std::vector<claim_set> sets = { {} };
    const std::size_t count = std::min(byDue.size(), maxClaims);
    for (std::size_t i = 0; i < count; ++i) {
        const work_claim &claim = claims[byDue[i]];
        const duration work = fromSeconds(toSeconds(claim.work) / places);
        const std::size_t before = sets.size();
        for (std::size_t each = 0; each < before; ++each) {
            if (sets[each].work + work <= claim.due - now) {
                sets.push_back({ sets[each].work + work, sets[each].value + claim.value, sets[each].members | std::uint64_t{ 1 } << i });
            }
        }
        keepBest(sets);
    }
    std::vector<bool> isChosen(claims.size());
    for (std::size_t i = 0; i < byDue.size(); ++i) {
        isChosen[byDue[i]] = i >= maxClaims || (sets.back().members >> i & 1U) != 0;
    }
    return isChosen;
}

} // namespace

std::vector<room_place> orderWork(time_point now, std::span<const work_claim> claims, double places, const room_order_options &options)
{
    std::vector<std::size_t> byDue(claims.size());
    std::iota(byDue.begin(), byDue.end(), 0);
    std::ranges::stable_sort(byDue, {}, [&](std::size_t each) {
        return claims[each].due;
    });
    const std::vector<bool> isInTime = chooseInTime(now, claims, byDue, std::max(places, 1.0));
    std::vector<room_place> order;
    for (const std::size_t index : byDue) {
        const bool isOverdue = now - claims[index].waitingSince >= options.maxWait;
        order.push_back({ index, isOverdue ? room_rank::Overdue : isInTime[index] ? room_rank::InTime : room_rank::PutOff });
    }
    std::ranges::stable_sort(order, [&](const room_place &left, const room_place &right) {
        if (left.rank != right.rank) {
            return left.rank < right.rank;
        }
        if (left.rank == room_rank::Overdue) {
            return claims[left.claim].waitingSince < claims[right.claim].waitingSince;
        }
        return claims[left.claim].priority < claims[right.claim].priority;
    });
    return order;
}

} // namespace reedtrail
