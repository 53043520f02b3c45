/**
 * @file
 * Charts of values over time, as SVG.
 *
 *     time_chart chart("Staleness", "steps");
 *     chart.add("run-1", 0.5, 1);              // at 0.5 s the value was 1
 *     std::string svg = svgOf({chart});
 */
#pragma once

#include <map>
#include <span>
#include <string>
#include <vector>

namespace reedtrail {

/** One value at one time. */
struct chart_point
{
    double seconds = 0;
    double value = 0;
};

/** Lines over one time axis. */
class time_chart
{
public:
    time_chart(std::string title, std::string unit);
    /** Adds a point to the line @p name; times rise. */
    void add(const std::string &name, double seconds, double value);
    const std::string &title() const
    {
        return m_title;
    }
    const std::string &unit() const
    {
        return m_unit;
    }
    const std::map<std::string, std::vector<chart_point>> &lines() const
    {
        return m_lines;
    }

private:
    std::string m_title;
    std::string m_unit;
    std::map<std::string, std::vector<chart_point>> m_lines;
};

/** Returns one SVG with the charts below each other. */
std::string svgOf(std::span<const time_chart> charts);

} // namespace reedtrail
