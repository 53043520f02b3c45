// One libFuzzer program for each entry point, named by REEDTRAIL_FUZZ_ENTRY. A failed check ends the program, so that libFuzzer keeps the input.

#include "base/check.h"
#include "fuzz/targets.h"

#include <cstddef>
#include <cstdint>

// The build names the entry point; the linter reads this file by itself.
#ifndef REEDTRAIL_FUZZ_ENTRY
#define REEDTRAIL_FUZZ_ENTRY fuzzSettings
#endif

// libFuzzer gives the name.
// NOLINTBEGIN(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size);

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    reedtrail::setAbortOnFailedCheck(true);
    reedtrail::REEDTRAIL_FUZZ_ENTRY(std::string_view(reinterpret_cast<const char *>(data), size));
    return 0;
}
// NOLINTEND(readability-identifier-naming)
