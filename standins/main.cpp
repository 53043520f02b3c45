// The first argument selects the stand-in; the remaining arguments are that stand-in's command line.

#include "standins/subcommands.h"

#include "base/error_kind.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <string_view>

namespace {

struct subcommand
{
    std::string_view name;
    std::string_view purpose;
    int (*run)(int argc, char **argv);
};

constexpr std::array<subcommand, 7> subcommands{ {
    { "store", "the platform's store (etcd v3, JSON)", &reedtrail::runStore },
    { "vm-list", "the platform's list of VMs", &reedtrail::runVmList },
    { "weight-store", "the platform's weight store", &reedtrail::runWeightStore },
    { "engine", "a model engine", &reedtrail::runEngine },
    { "service", "a plain service", &reedtrail::runPlainService },
    { "scorer", "a service that scores samples", &reedtrail::runScorer },
    { "trainer", "a trainer", &reedtrail::runTrainer },
} };

void printUsage(std::FILE *out)
{
    std::fprintf(out, "Usage: reedtrail-standin SUBCOMMAND --listen=IP:PORT [OPTIONS]\nStands in for a part of the platform. Subcommands:\n");
    for (const subcommand &each : subcommands) {
        std::fprintf(out, "  %-14s %s\n", each.name.data(), each.purpose.data());
    }
    std::fprintf(out, "SUBCOMMAND --help lists its options. Every stand-in takes POST /fault and shows GET /record.\n");
}

} // namespace

int main(int argc, char **argv)
{
    const std::string_view name = argc > 1 ? argv[1] : "";
    if (name == "--help" || name == "--version") {
        name == "--help" ? printUsage(stdout) : static_cast<void>(std::printf("reedtrail-standin %s\n", REEDTRAIL_VERSION));
        return 0;
    }
    const auto found = std::ranges::find(subcommands, name, &subcommand::name);
    if (found == subcommands.end()) {
        printUsage(stderr);
        return reedtrail::answerFor(reedtrail::error_kind::BadUsage).exitCode;
    }
    return found->run(argc - 1, argv + 1);
}
