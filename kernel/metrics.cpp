// Boost.Histogram keeps the bins; a logarithmic axis gives the same relative error at 1 ms and at 100 s with 140 counters a histogram.

#include "kernel/metrics.h"

#include <boost/histogram.hpp>
#include <cmath>
#include <cstdio>

namespace reedtrail {
namespace {

namespace bh = boost::histogram;

constexpr double lowestSeconds = 1e-4;
constexpr double highestSeconds = 1e3;
constexpr unsigned binCount = 140;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using histogram_type = decltype(bh::make_histogram(log_axis(binCount, lowestSeconds, highestSeconds)));

std::string numberText(double value)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.9g", value);
    return text;
}

std::string sample(const std::string &name, const std::string &labels, const std::string &value)
{
    return name + (labels.empty() ? "" : "{" + labels + "}") + " " + value + "\n";
}

std::string heading(const std::string &name, const std::string &help, const std::string &type)
{
    return "# HELP " + name + " " + help + "\n# TYPE " + name + " " + type + "\n";
}

} // namespace

struct metric_latency::implementation
{
    mutable std::mutex mutex;
    histogram_type histogram = bh::make_histogram(log_axis(binCount, lowestSeconds, highestSeconds));
    std::uint64_t count = 0;
    double sum = 0;
};

metric_latency::metric_latency()
    : m_implementation(std::make_unique<implementation>())
{
}

metric_latency::~metric_latency() = default;

void metric_latency::record(duration latency)
{
    const std::scoped_lock lock(m_implementation->mutex);
    m_implementation->histogram(std::max(toSeconds(latency), lowestSeconds));
    m_implementation->sum += toSeconds(latency);
    ++m_implementation->count;
}

double metric_latency::quantile(double share) const
{
    const std::scoped_lock lock(m_implementation->mutex);
    const double wanted = share * static_cast<double>(m_implementation->count);
    double seen = 0;
    for (unsigned bin = 0; bin < binCount; ++bin) {
        seen += m_implementation->histogram.at(static_cast<int>(bin));
        if (seen >= wanted && seen > 0) {
            return m_implementation->histogram.axis().bin(static_cast<int>(bin)).upper();
        }
    }
    return m_implementation->count == 0 ? 0 : highestSeconds;
}

std::uint64_t metric_latency::count() const
{
    const std::scoped_lock lock(m_implementation->mutex);
    return m_implementation->count;
}

void metric_latency::appendTo(std::string &page, const std::string &name, const std::string &labels) const
{
    const std::scoped_lock lock(m_implementation->mutex);
    const std::string separator = labels.empty() ? "" : labels + ",";
    double cumulative = 0;
    for (int bin = 0; bin < static_cast<int>(binCount); ++bin) {
        const double count = m_implementation->histogram.at(bin);
        cumulative += count;
        if (count > 0) {
            const std::string bound = numberText(m_implementation->histogram.axis().bin(bin).upper());
            page += sample(name + "_bucket", separator + "le=\"" + bound + "\"", numberText(cumulative));
        }
    }
    page += sample(name + "_bucket", separator + "le=\"+Inf\"", std::to_string(m_implementation->count));
    page += sample(name + "_sum", labels, numberText(m_implementation->sum));
    page += sample(name + "_count", labels, std::to_string(m_implementation->count));
}

namespace {

template<class Families>
auto &findOrAdd(Families &families, const std::string &name, const std::string &help, const std::string &labels)
{
    auto &family = families[name];
    family.help = help;
    auto &metric = family.byLabels[labels];
    if (!metric) {
        metric = std::make_unique<typename std::decay_t<decltype(metric)>::element_type>();
    }
    return *metric;
}

} // namespace

metric_counter &metric_registry::counter(const std::string &name, const std::string &help, const std::string &labels)
{
    const std::scoped_lock lock(m_mutex);
    return findOrAdd(m_counters, name, help, labels);
}

metric_gauge &metric_registry::gauge(const std::string &name, const std::string &help, const std::string &labels)
{
    const std::scoped_lock lock(m_mutex);
    return findOrAdd(m_gauges, name, help, labels);
}

metric_latency &metric_registry::latency(const std::string &name, const std::string &help, const std::string &labels)
{
    const std::scoped_lock lock(m_mutex);
    return findOrAdd(m_latencies, name, help, labels);
}

std::string metric_registry::page() const
{
    const std::scoped_lock lock(m_mutex);
    std::string text;
    for (const auto &[name, family] : m_counters) {
        text += heading(name, family.help, "counter");
        for (const auto &[labels, metric] : family.byLabels) {
            text += sample(name, labels, std::to_string(metric->value()));
        }
    }
    for (const auto &[name, family] : m_gauges) {
        text += heading(name, family.help, "gauge");
        for (const auto &[labels, metric] : family.byLabels) {
            text += sample(name, labels, numberText(metric->value()));
        }
    }
    for (const auto &[name, family] : m_latencies) {
        text += heading(name, family.help, "histogram");
        for (const auto &[labels, metric] : family.byLabels) {
            metric->appendTo(text, name, labels);
        }
    }
    return text;
}

} // namespace reedtrail
