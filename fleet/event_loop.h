/**
 * @file
 * The clock and timers that the components of this folder need. The programs implement them with Boost.Asio (asio_loop), tests with harness::virtual_time.
 */
#pragma once

#include "base/time.h"

#include <concepts>
#include <functional>

namespace reedtrail {

/** A single-threaded event loop: now() returns its time, and after() runs an action once a delay has passed. */
template<class Loop>
concept event_loop = requires(Loop loop, duration delay, std::function<void()> action)
{
    {
        loop.now()
        } -> std::convertible_to<time_point>;
    loop.after(delay, action);
};

} // namespace reedtrail
