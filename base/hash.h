/**
 * @file
 * Stable hashes (XXH3) and rendezvous ranking. The values are part of the peer protocol: every node must rank alike.
 */
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

/** Returns the XXH3 64-bit hash of @p text with @p seed. */
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

/** Returns the rank of @p candidate for @p key: the highest wins (highest random weight hashing, Thaler and Ravishankar 1998). */
std::uint64_t rendezvousRank(std::string_view key, std::string_view candidate);

/**
 * Chooses the candidates that rank highest for a key. All that see the same candidates choose alike; a candidate that goes away moves only its keys.
 * @param key what is to be placed
 * @param candidates any order, no doubles
 * @param count how many to choose
 * @return indexes into @p candidates, best first; fewer than @p count if there are not as many
 */
std::vector<std::size_t> rendezvousChoose(std::string_view key, std::span<const std::string> candidates, std::size_t count);

} // namespace reedtrail
