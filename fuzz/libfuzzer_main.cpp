// Main file of each libFuzzer program; REEDTRAIL_FUZZ_ENTRY names the function to run. A failed check aborts, so that libFuzzer saves the input.

#include "base/check.h"
#include "fuzz/targets.h"

#include <cstddef>
#include <cstdint>

// The build defines the entry point. The default serves the linter, which reads this file without the definitions of the build.
#ifndef REEDTRAIL_FUZZ_ENTRY
#define REEDTRAIL_FUZZ_ENTRY fuzzSettings
#endif

// libFuzzer requires this function name.
// NOLINTBEGIN(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size);

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    reedtrail::setAbortOnFailedCheck(true);
    reedtrail::REEDTRAIL_FUZZ_ENTRY(std::string_view(reinterpret_cast<const char *>(data), size));
    return 0;
}
// NOLINTEND(readability-identifier-naming)
