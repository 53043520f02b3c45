#include "ctl/fleet_report.h"
#include "ctl/shell_completion.h"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>

namespace reedtrail {
namespace {

nlohmann::json stewardDump(std::uint64_t epoch, std::uint64_t step, std::uint64_t served, int waitingPulls)
{
    const nlohmann::json owner = {
        { "epoch", epoch }, { "trainerStep", step }, { "served", served }, { "published", served }, { "waitingPulls", waitingPulls }
    };
    return { { "runs", { { "runs", { { "run-1", { { "owner", owner } } } } } } } };
}

TEST(fleet_report, usesOwnerWithHighestEpoch)
{
    fleet_report report;
    report.add(0, { stewardDump(1, 3, 1, 1), stewardDump(2, 9, 7, 0) });
    report.add(1, { stewardDump(2, 10, 7, 1) });
    EXPECT_EQ(report.samples(), 2U);
    const std::string svg = report.svg();
    EXPECT_NE(svg.find("run-1 served"), std::string::npos);
    EXPECT_EQ(std::ranges::count(svg, '\n') > 10, true);
    EXPECT_EQ(svg.substr(svg.size() - 7), "</svg>\n");
}

TEST(fleet_report, skipsFieldsMissingFromDump)
{
    fleet_report report;
    report.add(0, { nlohmann::json::object(), nlohmann::json::array(), nlohmann::json("text") });
    EXPECT_EQ(report.svg().find("polyline"), std::string::npos);
}

TEST(time_chart, escapesNames)
{
    time_chart chart("a<b", "&");
    chart.add("<script>", 0, 1);
    const std::array<time_chart, 1> charts{ chart };
    EXPECT_EQ(svgOf(charts).find("<script>"), std::string::npos);
}

TEST(shell_completion, completesCommandsOptionsAndKinds)
{
    const std::vector<std::string> options{ "steward", "json" };
    const std::string script = bashCompletion(ctlCommands(), options);
    EXPECT_NE(script.find("--steward --json"), std::string::npos);
    EXPECT_NE(script.find("explain) COMPREPLY=($(compgen -W \"request slot run"), std::string::npos);
    EXPECT_NE(script.find("plan) COMPREPLY=($(compgen -f"), std::string::npos);
}

} // namespace
} // namespace reedtrail
