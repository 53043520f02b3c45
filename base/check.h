/**
 * @file
 * Invariants asserted inside the program.
 *
 *     REEDTRAIL_CHECK(epoch >= m_epoch, "epoch must not fall");
 *
 * A check that fails stops a debug build. A release build counts it, writes it to stderr and carries on; tests and benchmarks ask
 * failedChecks() at the end and fail if it is not 0.
 */
#pragma once

#include <cstdint>

namespace reedtrail {

/** Returns how many checks have failed in this process. */
std::uint64_t failedChecks();

/** Sets whether a failed check aborts (the default of debug builds). @return the setting before */
bool setAbortOnFailedCheck(bool abortOnFailure);

namespace detail {

/** Counts and reports a failed check. */
void reportFailedCheck(const char *expression, const char *reason, const char *file, int line);

} // namespace detail
} // namespace reedtrail

/** Checks an invariant in every build; @p reason says what it protects. */
#define REEDTRAIL_CHECK(expression, reason)                                                                                                                    \
    ((expression) ? static_cast<void>(0) : ::reedtrail::detail::reportFailedCheck(#expression, reason, __FILE__, __LINE__))
