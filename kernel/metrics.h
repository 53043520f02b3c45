/**
 * @file
 * Counters, gauges and latency histograms (Boost.Histogram), shown in the Prometheus text form.
 *
 *     metric_counter &refused = metrics.counter("reedtrail_refused_total", "Requests refused", R"(kind="queue-deadline")");
 *     refused.add();
 *     metrics.latency("reedtrail_request_seconds", "Time to answer").record(std::chrono::milliseconds(12));
 *
 * Counters and gauges may be changed from any thread; a histogram belongs to the thread that records, and the page is made on that thread
 * or under its lock.
 */
#pragma once

#include "base/time.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

/** A number that only rises. */
class metric_counter
{
public:
    void add(std::uint64_t amount = 1)
    {
        m_value.fetch_add(amount, std::memory_order_relaxed);
    }
    std::uint64_t value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> m_value{ 0 };
};

/** A number that rises and falls. */
class metric_gauge
{
public:
    void set(double value)
    {
        m_value.store(value, std::memory_order_relaxed);
    }
    double value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<double> m_value{ 0 };
};

/** Latencies from 0.1 ms to 1000 s in 140 logarithmic bins, 20 a decade: quantiles are within 12 %. */
class metric_latency
{
public:
    metric_latency();
    ~metric_latency();
    void record(duration latency);
    /** Returns the latency that @p share (0 to 1) of the records do not exceed, in seconds; 0 without records. */
    double quantile(double share) const;
    std::uint64_t count() const;
    /** Appends the Prometheus lines of this histogram. */
    void appendTo(std::string &page, const std::string &name, const std::string &labels) const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

/** All metrics of a process, by name and labels. References stay valid as long as the registry. */
class metric_registry
{
public:
    metric_counter &counter(const std::string &name, const std::string &help, const std::string &labels = "");
    metric_gauge &gauge(const std::string &name, const std::string &help, const std::string &labels = "");
    metric_latency &latency(const std::string &name, const std::string &help, const std::string &labels = "");
    /** Returns the page in Prometheus text form. */
    std::string page() const;

private:
    template<class Metric>
    struct family
    {
        std::string help;
        std::map<std::string, std::unique_ptr<Metric>> byLabels;
    };
    mutable std::mutex m_mutex;
    std::map<std::string, family<metric_counter>> m_counters;
    std::map<std::string, family<metric_gauge>> m_gauges;
    std::map<std::string, family<metric_latency>> m_latencies;
};

} // namespace reedtrail
