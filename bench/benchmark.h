/**
 * @file
 * The frame of all benchmarks: a benchmark registers itself by name, reports figures with targets and baselines, and the frame prints the JSON line.
 *
 *     namespace {
 *     void runRouting(const bench_options &options, bench_report &report)
 *     {
 *         progress("load 0.9");                                       // one line on stderr
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

/** What the command line asks for; a benchmark states its defaults when it registers. */
struct bench_options
{
    std::uint64_t seed = 1;
    std::int64_t nodes = 8;
    std::int64_t servers = 20;
    std::string settingsFile; ///< From --settings, for benchmarks of running processes; empty otherwise.
};

/** What a figure must satisfy. */
struct figure_target
{
    enum class comparison { AtMost, AtLeast, Exactly };
    comparison compare = comparison::AtMost;
    double bound = 0;

    /** Tells whether @p value meets this target. */
    bool isMetBy(double value) const;
    /** Returns the target as "<= 4". */
    std::string text() const;
};

/** Target: the figure is at most @p bound. */
figure_target atMost(double bound);
/** Target: the figure is at least @p bound. */
figure_target atLeast(double bound);
/** Target: the figure is @p bound. */
figure_target exactly(double bound);

/** One figure of a report; add baselines to it. */
class bench_figure
{
public:
    explicit bench_figure(nlohmann::json &figure)
        : m_figure(figure)
    {
    }
    /** Adds what another way of doing it gave in the same run. */
    bench_figure &baseline(const std::string &name, double value);

private:
    nlohmann::json &m_figure;
};

/** The figures of one run. */
class bench_report
{
public:
    /** Adds a figure. @param name stable name @param unit as "ms" or "calls/s" */
    bench_figure figure(const std::string &name, double value, std::string_view unit, std::optional<figure_target> target = {});
    /** Tells whether every target was met. */
    bool allMet() const
    {
        return m_allMet;
    }
    /** Returns the figures by name. */
    const nlohmann::json &figures() const
    {
        return m_figures;
    }

private:
    nlohmann::json m_figures = nlohmann::json::object();
    bool m_allMet = true;
};

/** The body of a benchmark. */
using bench_function = std::function<void(const bench_options &options, bench_report &report)>;

/** A benchmark known by its name; define one as a constant of the file. */
class registered_benchmark
{
public:
    registered_benchmark(std::string name, std::string purpose, bench_options defaults, bench_function run);
};

/** Prints one line of progress on stderr. */
void progress(std::string_view text);

} // namespace reedtrail::bench
