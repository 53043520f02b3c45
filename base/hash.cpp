// XXH3 is fast on short keys and its values do not differ between machines, unlike std::hash. Rendezvous hashing needs no ring state: each chooser
// ranks the candidates by hash(key, candidate), so that choosers with the same list agree without talking.

#include "base/hash.h"

#include <algorithm>
#include <numeric>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace reedtrail {

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t rendezvousRank(std::string_view key, std::string_view candidate)
{
    return stableHash(candidate, stableHash(key));
}

std::vector<std::size_t> rendezvousChoose(std::string_view key, std::span<const std::string> candidates, std::size_t count)
{
    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), 0);
    const auto rank = [&](std::size_t index) {
        return rendezvousRank(key, candidates[index]);
    };
    std::ranges::sort(order, std::greater{}, rank);
    order.resize(std::min(count, order.size()));
    return order;
}

} // namespace reedtrail
