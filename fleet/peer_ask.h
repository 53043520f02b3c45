/**
 * @file
 * How a question to another node ends.
 */
#pragma once

#include <cstdint>

namespace reedtrail {

/** How the question to another node ended. */
enum class peer_ask_end : std::uint8_t {
    Answered,
    Silent, ///< The node may be at work on it.
    Gone, ///< The node certainly does nothing for it: nothing listens there, or it declines because it stops.
};

} // namespace reedtrail
