// A customer's share of a pool depends only on the weights of the customers and on which of them have open runs there, never on how urgent a run is. Urgency
// therefore moves slots only between runs of the same customer. Every owner computes its limit on its own from the same document; a late or missing need shifts
// slots within a customer for a second or two and has no other effect. A run whose step has few open slots leaves the rest of its share to the customer's other
// runs.

#include "sampling/run_share.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace reedtrail {
namespace {

/** Urgency of a run whose trainer waits now. */
constexpr double maximumUrgency = 4;

/** The urgency of a run rises during this time before its trainer needs the next step. */
constexpr duration urgencyWindow = std::chrono::seconds(60);

/** Returns the number of slots of the servers that are not leaving @p pool. */
double usableSlots(const pool_settings &pool)
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
        return maximumUrgency;
    }
    const double closeness = 1 - std::clamp(toSeconds(need.untilNeeded) / toSeconds(urgencyWindow), 0.0, 1.0);
    return 1 + (maximumUrgency - 1) * closeness;
}

std::uint64_t maximumDraftsInFlight(const fleet_document &document, const run_id &run, const std::map<run_id, run_need> &needs)
{
    const run_settings *runSettings = document.findRun(run);
    const pool_settings *pool = runSettings == nullptr ? nullptr : document.findPool(runSettings->pool);
    if (pool == nullptr || runSettings->state != run_state::Open) {
        return 0;
    }
    std::set<customer_id> customers;
    double customerEffectiveWeight = 0;
    double ownEffectiveWeight = 0;
    for (const run_settings &candidate : document.runs) {
        if (candidate.pool != runSettings->pool || candidate.state != run_state::Open) {
            continue;
        }
        customers.insert(candidate.customer);
        if (candidate.customer != runSettings->customer) {
            continue;
        }
        const auto need = needs.find(candidate.id);
        const double effectiveWeight = candidate.weight * (need == needs.end() ? 1 : urgency(need->second));
        customerEffectiveWeight += effectiveWeight;
        ownEffectiveWeight += candidate.id == run ? effectiveWeight : 0;
    }
    double totalCustomerWeight = 0;
    for (const customer_id &customer : customers) {
        const customer_settings *customerSettings = document.findCustomer(customer);
        totalCustomerWeight += customerSettings == nullptr ? 0 : customerSettings->weight;
    }
    const customer_settings *customer = document.findCustomer(runSettings->customer);
    if (customer == nullptr || totalCustomerWeight <= 0 || customerEffectiveWeight <= 0) {
        return 0;
    }
    const double maximumDrafts =
        usableSlots(*pool) * inFlightDraftsPerSlot * customer->weight / totalCustomerWeight * ownEffectiveWeight / customerEffectiveWeight;
    return std::max<std::uint64_t>(1, static_cast<std::uint64_t>(std::llround(maximumDrafts)));
}

} // namespace reedtrail
