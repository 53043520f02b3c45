// The value axis begins at 0, so that the heights of lines can be compared. The legend shows the name of each line in its colour.

#include "ctl/time_chart.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace reedtrail {
namespace {

constexpr double chartWidth = 860;
constexpr double chartHeight = 200;
constexpr double leftMargin = 60;
constexpr double rightMargin = 180;
constexpr double topMargin = 34;
constexpr double bottomMargin = 30;
constexpr double legendLine = 15;
constexpr std::array<const char *, 8> colours{ "#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#8c564b", "#17becf", "#7f7f7f" };

std::string formatNumber(double value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.4g", value);
    return text.data();
}

std::string escaped(const std::string &text)
{
    std::string safe;
    for (const char letter : text) {
        switch (letter) {
        case '&':
            safe += "&amp;";
            break;
        case '<':
            safe += "&lt;";
            break;
        case '>':
            safe += "&gt;";
            break;
        default:
            safe += letter;
        }
    }
    return safe;
}

/** Returns an SVG text element. @param attributes further attributes of the element */
std::string label(double x, double y, const std::string &text, const std::string &attributes = "")
{
    return "<text x=\"" + formatNumber(x) + "\" y=\"" + formatNumber(y) + "\" " + attributes + ">" + escaped(text) + "</text>\n";
}

/** Upper ends of a chart's axes; both axes begin at 0. */
struct chart_range
{
    double seconds = 1;
    double value = 1;
};

/** Returns the range that contains all points, with 1 in place of an empty axis. */
chart_range rangeOf(const time_chart &chart)
{
    chart_range range{ 0, 0 };
    for (const auto &[name, points] : chart.lines()) {
        for (const chart_point &point : points) {
            range.seconds = std::max(range.seconds, point.seconds);
            range.value = std::max(range.value, point.value);
        }
    }
    return { range.seconds > 0 ? range.seconds : 1, range.value > 0 ? range.value : 1 };
}

/** Returns the SVG elements of a chart. @param top vertical offset of the chart in the image */
std::string renderChart(const time_chart &chart, double top)
{
    const chart_range range = rangeOf(chart);
    const double plotWidth = chartWidth - leftMargin - rightMargin;
    const double plotHeight = chartHeight - topMargin - bottomMargin;
    const double bottom = top + topMargin + plotHeight;
    std::string svg = label(leftMargin, top + topMargin - 12, chart.title() + " (" + chart.unit() + ")", "font-weight=\"bold\"");
    svg += "<rect x=\"" + formatNumber(leftMargin) + "\" y=\"" + formatNumber(top + topMargin) + "\" width=\"" + formatNumber(plotWidth) + "\" height=\""
        + formatNumber(plotHeight) + "\" fill=\"none\" stroke=\"#999\"/>\n";
    svg += label(leftMargin - 6, top + topMargin + 8, formatNumber(range.value), "text-anchor=\"end\"")
        + label(leftMargin - 6, bottom, "0", "text-anchor=\"end\"");
    svg += label(leftMargin, bottom + 16, "0 s") + label(leftMargin + plotWidth, bottom + 16, formatNumber(range.seconds) + " s", "text-anchor=\"end\"");
    std::size_t index = 0;
    for (const auto &[name, points] : chart.lines()) {
        const std::string colour = colours[index % colours.size()];
        svg += "<polyline fill=\"none\" stroke=\"" + colour + "\" stroke-width=\"1.5\" points=\"";
        for (const chart_point &point : points) {
            svg += formatNumber(leftMargin + plotWidth * point.seconds / range.seconds) + "," + formatNumber(bottom - plotHeight * point.value / range.value)
                + " ";
        }
        svg += "\"/>\n" + label(leftMargin + plotWidth + 10, top + topMargin + 10 + legendLine * static_cast<double>(index), name, "fill=\"" + colour + "\"");
        ++index;
    }
    return svg;
}

} // namespace

time_chart::time_chart(std::string title, std::string unit)
    : m_title(std::move(title))
    , m_unit(std::move(unit))
{
}

void time_chart::add(const std::string &name, double seconds, double value)
{
    m_lines[name].push_back({ seconds, value });
}

std::string svgOf(std::span<const time_chart> charts)
{
    const double height = chartHeight * static_cast<double>(charts.size());
    std::string svg = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" + formatNumber(chartWidth) + "\" height=\"" + formatNumber(height)
        + "\" font-family=\"sans-serif\" font-size=\"12\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
    double top = 0;
    for (const time_chart &chart : charts) {
        svg += renderChart(chart, top);
        top += chartHeight;
    }
    return svg + "</svg>\n";
}

} // namespace reedtrail
