// Every benchmark also reports the number of failed internal checks with target 0, because figures of a run that broke an invariant are not valid.

#include "bench/benchmark.h"

#include "base/check.h"
#include "base/error_kind.h"
#include "kernel/command_line.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <map>
#include <sstream>

namespace reedtrail::bench {
namespace {

struct known_benchmark
{
    std::string purpose;
    bench_options defaults;
    bench_function run;
};

std::map<std::string, known_benchmark> &knownBenchmarks()
{
    static std::map<std::string, known_benchmark> known;
    return known;
}

constexpr int targetMissedExitCode = 1;
constexpr std::int64_t maximumFleetSize = 10000;

int usageError(const std::string &reason)
{
    std::fprintf(stderr, "reedtrail-bench: %s; see --help\n", reason.c_str());
    return answerFor(error_kind::BadUsage).exitCode;
}

/** Reads option @p name into @p value. @return false if it is not a whole number from @p low to @p high */
template<class Number>
bool readNumber(const parsed_line &parsed, std::string_view name, Number low, Number high, Number &value)
{
    const std::string text = parsed.value(name);
    if (text.empty()) {
        return !parsed.has(name);
    }
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size() && value >= low && value <= high;
}

int runBenchmark(const std::string &name, const known_benchmark &chosen, const bench_options &options)
{
    bench_report report;
    chosen.run(options, report);
    report.figure("failedChecks", static_cast<double>(failedChecks()), "checks", exactly(0));
    const nlohmann::json line{
        { "bench", name }, { "seed", options.seed }, { "nodes", options.nodes }, { "servers", options.servers }, { "figures", report.figures() }
    };
    std::printf("%s\n", line.dump().c_str());
    return report.allTargetsMet() ? 0 : targetMissedExitCode;
}

} // namespace

bool figure_target::isMetBy(double value) const
{
    switch (compare) {
    case comparison::AtMost:
        return value <= bound;
    case comparison::AtLeast:
        return value >= bound;
    case comparison::Exactly:
        return value == bound;
    }
    return false;
}

std::string figure_target::text() const
{
    std::ostringstream out;
    out << (compare == comparison::AtMost ? "<= " : compare == comparison::AtLeast ? ">= " : "= ") << bound;
    return out.str();
}

figure_target atMost(double bound)
{
    return { figure_target::comparison::AtMost, bound };
}

figure_target atLeast(double bound)
{
    return { figure_target::comparison::AtLeast, bound };
}

figure_target exactly(double bound)
{
    return { figure_target::comparison::Exactly, bound };
}

bench_figure &bench_figure::baseline(const std::string &name, double value)
{
    m_figure["baseline"][name] = value;
    return *this;
}

bench_figure bench_report::figure(const std::string &name, double value, std::string_view unit, std::optional<figure_target> target)
{
    nlohmann::json &entry = m_figures[name];
    entry = { { "value", value }, { "unit", unit }, { "baseline", nlohmann::json::object() } };
    if (target) {
        const bool isMet = target->isMetBy(value);
        entry["target"] = target->text();
        entry["met"] = isMet;
        m_allTargetsMet = m_allTargetsMet && isMet;
    }
    return bench_figure(entry);
}

registered_benchmark::registered_benchmark(std::string name, std::string purpose, bench_options defaults, bench_function run)
{
    knownBenchmarks()[std::move(name)] = { std::move(purpose), std::move(defaults), std::move(run) };
}

void printProgress(std::string_view text)
{
    std::fprintf(stderr, "%.*s\n", static_cast<int>(text.size()), text.data());
}

/** Runs the program. @return its exit code */
int runMain(int argc, char **argv)
{
    command_line line("reedtrail-bench", "Runs one benchmark and prints its figures as one JSON line on stdout. Exits with 1 if a target was missed.", "NAME");
    line.flag("list", "List the benchmarks and exit");
    line.option("seed", "N", "Seed of the random generator");
    line.option("nodes", "N", "Number of nodes of the simulated fleet");
    line.option("servers", "N", "Number of backend servers of the simulated fleet");
    line.option("settings", "FILE", "Settings file, for benchmarks of running processes");
    const parsed_line parsed = line.parse(argc, argv);
    if (parsed.exitCode) {
        return *parsed.exitCode;
    }
    if (parsed.has("list")) {
        for (const auto &[name, known] : knownBenchmarks()) {
            std::printf("%-12s %s\n", name.c_str(), known.purpose.c_str());
        }
        return 0;
    }
    if (parsed.words.size() != 1 || !knownBenchmarks().contains(parsed.words.front())) {
        return usageError("expected the name of one benchmark shown by --list");
    }
    const known_benchmark &chosen = knownBenchmarks().at(parsed.words.front());
    bench_options options = chosen.defaults;
    options.settingsFile = parsed.value("settings");
    if (!readNumber<std::uint64_t>(parsed, "seed", 0, UINT64_MAX, options.seed)) {
        return usageError("--seed must be a whole number");
    }
    if (!readNumber<std::int64_t>(parsed, "nodes", 1, maximumFleetSize, options.nodes)
        || !readNumber<std::int64_t>(parsed, "servers", 1, maximumFleetSize, options.servers)) {
        return usageError("--nodes and --servers must be whole numbers from 1 to " + std::to_string(maximumFleetSize));
    }
    return runBenchmark(parsed.words.front(), chosen, options);
}

} // namespace reedtrail::bench

int main(int argc, char **argv)
{
    return reedtrail::bench::runMain(argc, argv);
}
