#include "base/check.h"
#include "base/random.h"
#include "fuzz/targets.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace reedtrail {
namespace {

class fuzz_replay : public testing::TestWithParam<fuzz_target>
{
};

/** Returns the contents of the files in the corpus folder @p name, ordered by path. */
std::vector<std::string> readCorpus(std::string_view name)
{
    std::vector<std::filesystem::path> paths;
    for (const auto &entry : std::filesystem::directory_iterator(std::filesystem::path(REEDTRAIL_CORPUS) / name)) {
        paths.push_back(entry.path());
    }
    std::ranges::sort(paths);
    std::vector<std::string> inputs;
    for (const std::filesystem::path &path : paths) {
        std::ifstream stream(path, std::ios::binary);
        std::ostringstream content;
        content << stream.rdbuf();
        inputs.push_back(content.str());
    }
    return inputs;
}

/** Applies one to four random mutations to @p input: overwrites a byte, truncates, repeats a part, or removes a part. */
std::string mutated(std::string input, random_source &random)
{
    const std::uint64_t mutations = 1 + random.below(4);
    for (std::uint64_t i = 0; i < mutations && !input.empty(); ++i) {
        const std::size_t at = random.below(input.size());
        switch (random.below(4)) {
        case 0:
            input[at] = static_cast<char>(random.next());
            break;
        case 1:
            input.resize(at);
            break;
        case 2:
            input.insert(at, input.substr(random.below(input.size()), 1 + random.below(32)));
            break;
        default:
            input.erase(at, 1 + random.below(8));
            break;
        }
    }
    return input;
}

// Guards against input that makes a parser crash or break a property that its fuzz target checks. Runs the target on its corpus and on mutations of it from a
// fixed seed, so that every build covers this without libFuzzer.
TEST_P(fuzz_replay, corpusAndMutationsPassAllChecks)
{
    constexpr int mutationsPerInput = 300;
    const bool before = setAbortOnFailedCheck(false);
    const std::uint64_t failedBefore = failedChecks();
    const std::vector<std::string> inputs = readCorpus(GetParam().name);
    EXPECT_GE(inputs.size(), 3U);
    random_source random(7);
    for (const std::string &input : inputs) {
        GetParam().run(input);
        for (int i = 0; i < mutationsPerInput; ++i) {
            const std::string other = mutated(input, random);
            const std::uint64_t failed = failedChecks();
            GetParam().run(other);
            ASSERT_EQ(failedChecks(), failed) << "a check failed for this input: " << testing::PrintToString(other);
        }
    }
    EXPECT_EQ(failedChecks(), failedBefore);
    setAbortOnFailedCheck(before);
}

INSTANTIATE_TEST_SUITE_P(targets, fuzz_replay, testing::ValuesIn(fuzzTargets), [](const auto &info) {
    return std::string(info.param.name);
});

} // namespace
} // namespace reedtrail
