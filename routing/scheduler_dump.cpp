// Dumps the whole state of a scheduler as JSON, for operators and tools.

#include "routing/scheduler_implementation.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace reedtrail {

namespace {

using nlohmann::json;

json finiteOrNull(double value)
{
    return std::isfinite(value) ? json(value) : json(nullptr);
}

json dumpServer(const server_row &row)
{
    return { { "server", row.id },
             { "listed", row.isListed },
             { "leaving", row.isMarkedLeaving || row.isReportedLeaving },
             { "ejected", row.isEjected },
             { "version", row.version },
             { "slots", row.slots },
             { "ownOpen", row.ownOpen },
             { "othersLoad", row.othersLoad },
             { "speed", row.speed },
             { "failuresInRow", row.failuresInRow },
             { "reportSequence", row.sequence } };
}

json dumpFlow(const customer_flow &flow, const customer_id &customer)
{
    return { { "customer", customer },
             { "weight", flow.weight },
             { "running", flow.running },
             { "waiting", flow.waiting },
             { "othersRunning", flow.othersRunning },
             { "othersWaiting", flow.othersWaiting },
             { "fairShare", finiteOrNull(flow.fairShare) },
             { "limit", finiteOrNull(flow.limit) } };
}

} // namespace

json request_scheduler::dump() const
{
    const implementation &self = *m_implementation;
    json pools = json::array();
    for (std::uint32_t pool = 0; pool < self.pools.size(); ++pool) {
        const pool_row &row = self.servers.pool(pool);
        const fair_queue &queue = self.pools[pool]->queue;
        json servers = json::array();
        for (const std::uint32_t server : row.servers) {
            servers.push_back(dumpServer(self.servers.server(server)));
        }
        json flows = json::array();
        for (std::uint32_t flow = 0; flow < queue.flowCount(); ++flow) {
            flows.push_back(dumpFlow(queue.flow(flow), self.customers[queue.flow(flow).customer].id));
        }
        pools.push_back({ { "pool", row.id },
                          { "usableServers", row.usableCount },
                          { "usableSlots", row.usableSlots },
                          { "meanLoad", row.meanLoad },
                          { "serviceSeconds", row.serviceSeconds },
                          { "contended", queue.isContended() },
                          { "retryBudget", self.pools[pool]->budget.balance() },
                          { "customers", std::move(flows) },
                          { "servers", std::move(servers) } });
    }
    const scheduler_counters &counters = self.counters;
    return { { "requests", self.requests.size() },  { "draining", self.isDraining },   { "gates", self.gateCount },     { "arrived", counters.arrived },
             { "dispatched", counters.dispatched }, { "answered", counters.answered }, { "refused", counters.refused }, { "retried", counters.retried },
             { "cancelled", counters.cancelled },   { "ejected", counters.ejected },   { "pools", std::move(pools) } };
}

} // namespace reedtrail
