// Each run is read from the steward that holds it as owner (the highest epoch, if two believe so). A trainer is idle while a pull of it waits, so the
// share of samples with a waiting pull estimates the share of its time that it is idle. Fields that a dump does not have are left out.

#include "ctl/fleet_report.h"

#include <algorithm>

namespace reedtrail {
namespace {

enum chart_number : std::size_t { IdleTime, Staleness, Versions, Shares };

double numberAt(const nlohmann::json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_number() ? found->get<double>() : 0;
}

/** Returns the member @p key of @p object, or an empty object. */
nlohmann::json memberOf(const nlohmann::json &object, const char *key)
{
    const auto found = object.find(key);
    return object.is_object() && found != object.end() ? *found : nlohmann::json::object();
}

/** Returns the owners' views of all runs, by run, those of the highest epoch. */
std::map<std::string, nlohmann::json> ownersIn(const std::vector<nlohmann::json> &dumps)
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
    for (const auto &[run, owner] : ownersIn(dumps)) {
        run_waiting &waiting = m_waiting[run];
        ++waiting.seen;
        waiting.waiting += numberAt(owner, "waitingPulls") > 0 ? 1 : 0;
        m_charts[IdleTime].add(run, seconds, static_cast<double>(waiting.waiting) / static_cast<double>(waiting.seen));
        m_charts[Staleness].add(run, seconds, std::max(0.0, numberAt(owner, "trainerStep") - numberAt(owner, "served")));
        m_charts[Versions].add(run + " published", seconds, numberAt(owner, "published"));
        m_charts[Versions].add(run + " served", seconds, numberAt(owner, "served"));
    }
    addShares(seconds, dumps);
}

void fleet_report::addShares(double seconds, const std::vector<nlohmann::json> &dumps)
{
    std::map<std::string, double> underWay;
    for (const auto &[customer, points] : m_charts[Shares].lines()) {
        underWay[customer] = 0;
    }
    for (const nlohmann::json &dump : dumps) {
        const nlohmann::json requests = memberOf(memberOf(memberOf(dump, "traffic"), "broker"), "requests");
        for (const nlohmann::json &request : requests) {
            underWay[request.value("customer", "")] += 1;
        }
    }
    for (const auto &[customer, count] : underWay) {
        m_charts[Shares].add(customer, seconds, count);
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
