/**
 * @file
 * Generates requests for the virtual fleet: Poisson arrivals, prompts with shared prefixes and answers of varying length.
 *
 *     workload load(fleet, {.requestsPerSecond = 200}, random);
 *     load.run(world, until);
 */
#pragma once

#include "routing/testing/virtual_fleet.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <vector>

namespace reedtrail::testing {

/** Distribution of the requests. */
struct workload_options
{
    double requestsPerSecond = 100;
    std::vector<double> customerRates{ 1 }; ///< Relative arrival rates.
    double medianTokens = 170; ///< Median length of an answer; the lengths are lognormal.
    double tokensSigma = 0.6; ///< Shape parameter of the lengths.
    double lengthNoise = 0.3; ///< Shape parameter of the lognormal error of the expected length.
    std::uint32_t templates = 200; ///< Number of prompt templates, which are chosen by Zipf's law.
    double zipfExponent = 0.9;
    std::uint32_t prefixBlocks = 6; ///< Number of blocks of a template; the first block is the same for all templates.
    std::uint32_t ownBlocks = 2; ///< Number of blocks that are unique to a prompt.
    bool isInteractive = true;
    double nonIdempotentShare = 0; ///< Share of requests that are not idempotent.
    duration deadline = std::chrono::seconds(30); ///< Time from arrival to deadline.
};

/** Returns the mean length of an answer in tokens. */
inline double meanTokens(const workload_options &options)
{
    return options.medianTokens * std::exp(options.tokensSigma * options.tokensSigma / 2);
}

/** Generates requests and submits them to random gates. */
class workload
{
public:
    workload(virtual_fleet &fleet, workload_options options, random_source random)
        : m_fleet(fleet)
        , m_options(std::move(options))
        , m_random(random)
    {
        double sum = 0;
        for (std::uint32_t index = 0; index < m_options.templates; ++index) {
            sum += 1 / std::pow(index + 1.0, m_options.zipfExponent);
            m_templateCumulativeWeights.push_back(sum);
        }
        sum = 0;
        for (const double rate : m_options.customerRates) {
            sum += rate;
            m_customerCumulativeRates.push_back(sum);
        }
    }
    /** Generates arrivals from the current virtual time until @p end. */
    void run(harness::virtual_time &world, time_point end)
    {
        const duration gap = fromSeconds(m_random.exponential(1 / m_options.requestsPerSecond));
        world.after(gap, [this, &world, end] {
            if (world.now() <= end) {
                m_fleet.submit(static_cast<std::uint32_t>(m_random.below(m_fleet.setup().gates)), makeRequest());
                run(world, end);
            }
        });
    }
    /** Sets the arrival rate from now on. */
    void setRate(double requestsPerSecond)
    {
        m_options.requestsPerSecond = requestsPerSecond;
    }
    /** Generates one request. */
    fleet_request makeRequest()
    {
        fleet_request request;
        request.customer = draw(m_customerCumulativeRates);
        request.tokens = std::max(1.0, m_random.lognormal(m_options.medianTokens, m_options.tokensSigma));
        request.expectedTokens = request.tokens * m_random.lognormal(1, m_options.lengthNoise);
        request.isInteractive = m_options.isInteractive;
        request.isIdempotent = !m_random.chance(m_options.nonIdempotentShare);
        request.deadline = m_options.deadline;
        request.promptBlocks = m_options.prefixBlocks + m_options.ownBlocks;
        const std::uint64_t templateNumber = draw(m_templateCumulativeWeights) + 1;
        for (std::uint64_t block = 0; block < m_options.prefixBlocks; ++block) {
            request.prefixHashes.push_back(block == 0 ? 1 : (templateNumber * 64 + block) * 0x9E3779B97F4A7C15U);
        }
        return request;
    }

private:
    std::uint32_t draw(const std::vector<double> &sums)
    {
        const double point = m_random.uniform(0, sums.back());
        return static_cast<std::uint32_t>(std::ranges::upper_bound(sums, point) - sums.begin());
    }

    virtual_fleet &m_fleet;
    workload_options m_options;
    random_source m_random;
    std::vector<double> m_templateCumulativeWeights;
    std::vector<double> m_customerCumulativeRates;
};

/** Returns the quantile of @p values for @p share from 0 to 1; 0 if there are no values. */
inline double quantile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const auto position =
        values.begin() + static_cast<std::ptrdiff_t>(std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size()))));
    std::ranges::nth_element(values, position);
    return *position;
}

} // namespace reedtrail::testing
