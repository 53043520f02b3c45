// Invariants are checked in release builds too, since the faults that break them come with load. There a failed check must not take the process
// down with every request in flight, so it is counted and reported instead; the count is part of each process's metrics and state dump.

#include "base/check.h"

#include <atomic>
#include <cstdio>
#include <cstdlib>

namespace reedtrail {
namespace {

std::atomic<std::uint64_t> failedCheckCount{ 0 };

#ifdef NDEBUG
std::atomic<bool> abortOnFailedCheck{ false };
#else
std::atomic<bool> abortOnFailedCheck{ true };
#endif

} // namespace

std::uint64_t failedChecks()
{
    return failedCheckCount.load();
}

bool setAbortOnFailedCheck(bool abortOnFailure)
{
    return abortOnFailedCheck.exchange(abortOnFailure);
}

void detail::reportFailedCheck(const char *expression, const char *reason, const char *file, int line)
{
    failedCheckCount.fetch_add(1);
    std::fprintf(stderr, "internal check failed: %s (%s) at %s:%d\n", reason, expression, file, line);
    if (abortOnFailedCheck.load()) {
        std::abort();
    }
}

} // namespace reedtrail
