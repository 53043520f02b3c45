// One libFuzzer program for each entry point, chosen by REEDTRAIL_FUZZ_TARGET. A failed check ends the program, so that libFuzzer keeps the input.

#include "base/check.h"
#include "fuzz/targets.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size);

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace reedtrail;
    static const fuzz_target *const target = std::ranges::find(fuzzTargets, REEDTRAIL_FUZZ_TARGET, &fuzz_target::name);
    setAbortOnFailedCheck(true);
    target->run(std::string_view(reinterpret_cast<const char *>(data), size));
    return 0;
}
