/**
 * @file
 * Charts over time of trainer idle time, staleness, weight versions and requests in flight by customer, from samples of the processes' dumps.
 */
#pragma once

#include "ctl/time_chart.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace reedtrail {

/** Collects samples of dumps and renders them as charts. */
class fleet_report
{
public:
    fleet_report();
    /** Adds one sample. @param seconds time since the first sample @param dumps dumps of all processes at that time */
    void add(double seconds, const std::vector<nlohmann::json> &dumps);
    /** Returns the charts as SVG. */
    std::string svg() const;
    /** Returns an HTML page with the charts. */
    std::string html() const;
    /** Returns the number of samples added. */
    std::size_t samples() const
    {
        return m_samples;
    }

private:
    /** Sample counts of a run, from which the idle share of its trainer is computed. */
    struct run_sample_counts
    {
        std::size_t waitingSamples = 0; ///< Samples with a waiting pull.
        std::size_t samples = 0; ///< Samples with an owner of the run.
    };

    /** Adds the requests in flight of each customer. */
    void addRequestsInFlight(double seconds, const std::vector<nlohmann::json> &dumps);

    std::vector<time_chart> m_charts;
    std::map<std::string, run_sample_counts> m_sampleCounts; ///< Keyed by run id.
    std::size_t m_samples = 0;
};

} // namespace reedtrail
