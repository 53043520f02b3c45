/**
 * @file
 * Predicts the slowdown of a server's machine from its last report, and learns from consecutive reports how long one stays valid.
 * Pure core: no I/O and no clock of its own.
 *
 * Load pattern: servers share their machines with others, so for some time work takes two or three times as long as usual. A report
 * that is some hundred milliseconds old is still valid where such a time lasts seconds, and says nothing where it changes many times a second.
 *
 *     forecast.onReport(now, "s1", 2.5);                 // work takes 2.5 times as long as usual there
 *     double factor = forecast.factor(now + 80ms, "s1"); // between 1 and 2.5, by how long the reports of all servers stayed valid so far
 */
#pragma once

#include "base/time.h"

#include <array>
#include <cmath>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace reedtrail {

/** Predicts the pace of the servers of one service. */
class pace_forecast
{
public:
    /** Reported factors are clamped to this range. */
    static constexpr double minFactor = 0.2;
    static constexpr double maxFactor = 10;

    /** Records a report. @param factor time that work takes on its machine now, as a multiple of the usual; other than finite and positive is ignored
     */
    void onReport(time_point now, std::string_view server, double factor)
    {
        if (!std::isfinite(factor) || factor <= 0) {
            return;
        }
        const double deviation = std::fmin(std::fmax(factor, minFactor), maxFactor) - 1;
        const auto found = m_reports.find(server);
        if (found == m_reports.end()) {
            m_reports.emplace(server, last_report{ deviation, now });
            return;
        }
        learn(now - found->second.at, found->second.deviation, deviation);
        found->second = { deviation, now };
    }
    /** Returns the expected factor of a server; 1 if it has reported nothing. */
    double factor(time_point now, std::string_view server) const
    {
        const auto found = m_reports.find(server);
        return found == m_reports.end() ? 1 : 1 + found->second.deviation * persistence(now - found->second.at);
    }
    /** Returns the share of a deviation that is expected to be left after @p age, from 0 to 1. */
    double persistence(duration age) const
    {
        return m_ages[bucketOf(age)].share();
    }
    /** Forgets a server, for instance because it has started again. */
    void forget(std::string_view server)
    {
        if (const auto found = m_reports.find(server); found != m_reports.end()) {
            m_reports.erase(found);
        }
    }

private:
    /** The last report of one server. */
    struct last_report
    {
        double deviation = 0; ///< Of the factor from 1.
        time_point at;
    };
    /** How deviations of one span of ages have lasted: the least-squares slope of the later one over the earlier one. */
    struct age_bucket
    {
        double products = 0;
        double squares = 0;
        double share() const
        {
            return std::fmin(std::fmax(products / squares, 0), 1);
        }
    };
    static constexpr std::size_t bucketCount = 10; // The first ends at firstAge, each further one at twice the age of the one before.
    static constexpr duration firstAge = std::chrono::milliseconds(10);
    static constexpr double priorWeight = 1; // Squares that each bucket begins with: a single server that takes twice as long.
    static constexpr double forgetting = 0.995; // Of each sample; neighbours of last hour say nothing of those of now.

    static std::size_t bucketOf(duration age)
    {
        std::size_t bucket = 0;
        for (duration end = firstAge; bucket + 1 < bucketCount && age > end; end *= 2) {
            ++bucket;
        }
        return bucket;
    }
    void learn(duration age, double before, double after)
    {
        age_bucket &bucket = m_ages[bucketOf(age)];
        bucket.products = bucket.products * forgetting + before * after;
        bucket.squares = bucket.squares * forgetting + before * before;
        if (bucket.squares < priorWeight) {
            bucket.squares = priorWeight; // Servers at their usual pace say nothing about how long a deviation holds.
        }
    }
    /** Without any samples, half of a deviation is expected to be left after each doubling of the age. */
    static std::array<age_bucket, bucketCount> priors()
    {
        std::array<age_bucket, bucketCount> buckets;
        for (std::size_t i = 0; i < bucketCount; ++i) {
            buckets[i] = { priorWeight * std::exp2(-static_cast<double>(i)), priorWeight };
        }
        return buckets;
    }

    std::map<std::string, last_report, std::less<>> m_reports;
    std::array<age_bucket, bucketCount> m_ages = priors();
};

} // namespace reedtrail
