// A run's values come from the steward that owns it; if two stewards claim ownership, the higher epoch counts. A trainer is idle while one of its pulls
// waits, so the share of samples with a waiting pull estimates the share of its time that it is idle. Fields that are missing from a dump are skipped.

#include "ctl/fleet_report.h"

#include <algorithm>

namespace reedtrail {
namespace {

enum chart_index : std::size_t { IdleTime, Staleness, Versions, RequestsInFlight };

/** Returns the number at @p key of @p object, or 0 if there is none. */
double numberAt(const nlohmann::json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_number() ? found->get<double>() : 0;
}

/** Returns the member @p key of @p object, or an empty object if there is none. */
nlohmann::json memberOf(const nlohmann::json &object, const char *key)
{
    const auto found = object.find(key);
    return object.is_object() && found != object.end() ? *found : nlohmann::json::object();
}

/** Returns the owner's state of each run by run id; of several owners, the one with the highest epoch. */
std::map<std::string, nlohmann::json> ownersByRun(const std::vector<nlohmann::json> &dumps)
{
    std::map<std::string, nlohmann::json> owners;
    for (const nlohmann::json &dump : dumps) {
        const nlohmann::json runs = memberOf(memberOf(dump, "runs"), "runs");
        for (const auto &item : runs.items()) {
            const nlohmann::json owner = memberOf(item.value(), "owner");
            nlohmann::json &best = owners[item.key()];
            if (numberAt(owner, "epoch") > 0 && (best.is_null() || numberAt(owner, "epoch") > numberAt(best, "epoch"))) {
                best = owner;
            }
        }
    }
    std::erase_if(owners, [](const auto &entry) {
        return entry.second.is_null();
    });
    return owners;
}

} // namespace

fleet_report::fleet_report()
    : m_charts{ { "Trainer idle, so far", "share of the time" },
                { "Versions that engines are behind the trainer's step", "steps" },
                { "Weight versions", "version" },
                { "Requests under way by customer", "requests" } }
{
}

void fleet_report::add(double seconds, const std::vector<nlohmann::json> &dumps)
{
    ++m_samples;
    for (const auto &[run, owner] : ownersByRun(dumps)) {
        run_sample_counts &counts = m_sampleCounts[run];
        ++counts.samples;
        counts.waitingSamples += numberAt(owner, "waitingPulls") > 0 ? 1 : 0;
        m_charts[IdleTime].add(run, seconds, static_cast<double>(counts.waitingSamples) / static_cast<double>(counts.samples));
        m_charts[Staleness].add(run, seconds, std::max(0.0, numberAt(owner, "trainerStep") - numberAt(owner, "served")));
        m_charts[Versions].add(run + " published", seconds, numberAt(owner, "published"));
        m_charts[Versions].add(run + " served", seconds, numberAt(owner, "served"));
    }
    addRequestsInFlight(seconds, dumps);
}

void fleet_report::addRequestsInFlight(double seconds, const std::vector<nlohmann::json> &dumps)
{
    std::map<std::string, double> inFlight;
    for (const auto &[customer, points] : m_charts[RequestsInFlight].lines()) {
        inFlight[customer] = 0;
    }
    for (const nlohmann::json &dump : dumps) {
        const nlohmann::json requests = memberOf(memberOf(memberOf(dump, "traffic"), "broker"), "requests");
        for (const nlohmann::json &request : requests) {
            inFlight[request.value("customer", "")] += 1;
        }
    }
    for (const auto &[customer, count] : inFlight) {
        m_charts[RequestsInFlight].add(customer, seconds, count);
    }
}

std::string fleet_report::svg() const
{
    return svgOf(m_charts);
}

std::string fleet_report::html() const
{
    return "<!doctype html>\n<html><head><meta charset=\"utf-8\"><title>reedtrail report</title></head><body>\n" + svg() + "</body></html>\n";
}

} // namespace reedtrail
