// A customer's part of a pool depends on weights and on which customers have open runs there, never on how urgent a run is, so urgency moves slots only between
// runs of one customer. Every owner computes this alone from the same document; needs that are late or missing shift slots within a customer for a second or
// two, and nothing else. A run whose step has few open slots leaves the rest of its part to the customer's other runs.

#include "sampling/run_share.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace reedtrail {
namespace {

constexpr double longestUrgency = 4;

/** A trainer that will want a step sooner than this is close to stalling. */
constexpr duration nearNeed = std::chrono::seconds(60);

double slotsOf(const pool_settings &pool)
{
    double slots = 0;
    for (const server_settings &server : pool.servers) {
        slots += server.isLeaving ? 0 : static_cast<double>(server.slots);
    }
    return slots;
}

} // namespace

double urgency(const run_need &need)
{
    if (need.isTrainerWaiting) {
        return longestUrgency;
    }
    const double closeness = 1 - std::clamp(toSeconds(need.untilNeeded) / toSeconds(nearNeed), 0.0, 1.0);
    return 1 + (longestUrgency - 1) * closeness;
}

std::uint64_t draftsOf(const fleet_document &document, const run_id &run, const std::map<run_id, run_need> &needs)
{
    const run_settings *wanted = document.findRun(run);
    const pool_settings *pool = wanted == nullptr ? nullptr : document.findPool(wanted->pool);
    if (pool == nullptr || wanted->state != run_state::Open) {
        return 0;
    }
    std::set<customer_id> customers;
    double siblings = 0;
    double own = 0;
    for (const run_settings &each : document.runs) {
        if (each.pool != wanted->pool || each.state != run_state::Open) {
            continue;
        }
        customers.insert(each.customer);
        if (each.customer != wanted->customer) {
            continue;
        }
        const auto need = needs.find(each.id);
        const double claim = each.weight * (need == needs.end() ? 1 : urgency(need->second));
        siblings += claim;
        own += each.id == run ? claim : 0;
    }
    double weights = 0;
    for (const customer_id &customer : customers) {
        const customer_settings *settings = document.findCustomer(customer);
        weights += settings == nullptr ? 0 : settings->weight;
    }
    const customer_settings *customer = document.findCustomer(wanted->customer);
    if (customer == nullptr || weights <= 0 || siblings <= 0) {
        return 0;
    }
    const double part = slotsOf(*pool) * draftsPerSlot * customer->weight / weights * own / siblings;
    return std::max<std::uint64_t>(1, static_cast<std::uint64_t>(std::llround(part)));
}

} // namespace reedtrail
