/**
 * @file
 * Line charts of values over time, rendered as SVG.
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

/** A value at a time. */
struct chart_point
{
    double seconds = 0;
    double value = 0;
};

/** A chart with a named line for each series of values. */
class time_chart
{
public:
    time_chart(std::string title, std::string unit);
    /** Adds a point to the line @p name. @param seconds time of the point, not lower than that of the line's last point */
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

/** Returns an SVG image with the charts one below another. */
std::string svgOf(std::span<const time_chart> charts);

} // namespace reedtrail
