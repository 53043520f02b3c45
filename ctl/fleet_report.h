/**
 * @file
 * Samples the dumps of processes over some time and plots trainers' idle time, staleness, weight versions and customers' shares.
 */
#pragma once

#include "ctl/time_chart.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace reedtrail {

/** The charts, filled dump by dump. */
class fleet_report
{
public:
    fleet_report();
    /** Adds the dumps of all processes taken at one time. @param seconds since the first */
    void add(double seconds, const std::vector<nlohmann::json> &dumps);
    /** Returns the charts as SVG. */
    std::string svg() const;
    /** Returns the charts in an HTML page. */
    std::string html() const;
    std::size_t samples() const
    {
        return m_samples;
    }

private:
    struct run_waiting
    {
        std::size_t waiting = 0;
        std::size_t seen = 0;
    };

    void addShares(double seconds, const std::vector<nlohmann::json> &dumps);

    std::vector<time_chart> m_charts;
    std::map<std::string, run_waiting> m_waiting; ///< By run.
    std::size_t m_samples = 0;
};

} // namespace reedtrail
