/**
 * @file
 * Time as the core sees it: a number handed in with each event.
 *
 * The core never reads a clock. A program passes its monotonic clock, a randomised test passes virtual time, and one seed gives one run.
 *
 *     void onTimer(time_point now);
 *     time_point deadline = now + std::chrono::seconds(3);
 */
#pragma once

#include <chrono>
#include <cstdint>

namespace reedtrail {

/** A span of time in microseconds. */
using duration = std::chrono::duration<std::int64_t, std::micro>;

/** The monotonic clock of one process. It has no now() on purpose: time reaches the core with its events. */
struct monotonic_clock
{
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<monotonic_clock, duration>;
    static constexpr bool is_steady = true;
};

/** An instant on the monotonic clock of one process. Instants of two processes cannot be compared. */
using time_point = monotonic_clock::time_point;

/** The instant that no deadline reaches. */
inline constexpr time_point timeNever = time_point::max();

/** Converts @p span to seconds. */
constexpr double toSeconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

/** Longest span that fromSeconds() returns; a time point of this machine plus two of them can be represented. */
inline constexpr duration maxSpan = std::chrono::hours(24 * 365 * 100);

/** Converts @p seconds to a span, rounded towards zero to a microsecond. Longer spans than maxSpan are cut to it; what is no number is zero. */
constexpr duration fromSeconds(double seconds)
{
    const double microseconds = seconds * 1e6;
    if (microseconds >= static_cast<double>(maxSpan.count())) {
        return maxSpan;
    }
    if (microseconds <= -static_cast<double>(maxSpan.count())) {
        return -maxSpan;
    }
    return duration(microseconds == microseconds ? static_cast<std::int64_t>(microseconds) : 0);
}

} // namespace reedtrail
