/**
 * @file
 * Common code of all benchmarks. A benchmark registers itself by name and reports figures with optional targets and baselines; the program prints them as
 * one JSON line.
 *
 *     namespace {
 *     void runRouting(const bench_options &options, bench_report &report)
 *     {
 *         printProgress("load 0.9");                                       // one line on stderr
 *         report.figure("p99Ms", 12.5, "ms", atMost(20)).baseline("random", 80);
 *         report.figure("hitRate", 0.93, "share", atLeast(0.9));
 *         report.figure("storeCalls", 3, "calls/s");                  // without a target
 *     }
 *     const registered_benchmark routing("routing", "Time to first token against baselines", {.nodes = 8, .servers = 20}, runRouting);
 *     }
 */
#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace reedtrail::bench {

/** Options from the command line. A benchmark passes its defaults when it registers. */
struct bench_options
{
    std::uint64_t seed = 1;
    std::int64_t nodes = 8;
    std::int64_t servers = 20;
    std::string settingsFile; ///< Value of --settings, for benchmarks of running processes; empty if not given.
};

/** Condition that the value of a figure must satisfy. */
struct figure_target
{
    enum class comparison { AtMost, AtLeast, Exactly };
    comparison compare = comparison::AtMost;
    double bound = 0;

    /** Tells whether @p value meets this target. */
    bool isMetBy(double value) const;
    /** Returns the target as text, for example "<= 4". */
    std::string text() const;
};

/** Returns the target that a value is at most @p bound. */
figure_target atMost(double bound);
/** Returns the target that a value is at least @p bound. */
figure_target atLeast(double bound);
/** Returns the target that a value equals @p bound. */
figure_target exactly(double bound);

/** Handle to one figure of a report, used to add baselines to it. Valid as long as the report. */
class bench_figure
{
public:
    explicit bench_figure(nlohmann::json &figure)
        : m_figure(figure)
    {
    }
    /** Adds the value that the alternative @p name reached in the same run. @return this figure */
    bench_figure &baseline(const std::string &name, double value);

private:
    nlohmann::json &m_figure;
};

/** Collects the figures of one benchmark run. */
class bench_report
{
public:
    /**
     * Adds a figure.
     * @param name stable name, the key in the JSON line
     * @param unit unit of the value, for example "ms" or "calls/s"
     * @param target condition that the value must satisfy; none if empty
     */
    bench_figure figure(const std::string &name, double value, std::string_view unit, std::optional<figure_target> target = {});
    /** Tells whether all figures added so far met their targets. */
    bool allTargetsMet() const
    {
        return m_allTargetsMet;
    }
    /** Returns the figures as a JSON object with the names as keys. */
    const nlohmann::json &figures() const
    {
        return m_figures;
    }

private:
    nlohmann::json m_figures = nlohmann::json::object();
    bool m_allTargetsMet = true;
};

/** Function that runs a benchmark and adds its figures to @p report. */
using bench_function = std::function<void(const bench_options &options, bench_report &report)>;

/** Registers a benchmark when constructed; define one as a constant of the benchmark's file. */
class registered_benchmark
{
public:
    registered_benchmark(std::string name, std::string purpose, bench_options defaults, bench_function run);
};

/** Prints @p text as one line on stderr. */
void printProgress(std::string_view text);

} // namespace reedtrail::bench
