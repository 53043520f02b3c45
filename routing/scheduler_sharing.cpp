// Sharing of capacity by the usage of the whole fleet. A usage total older than its lifetime is discarded, and the gate then shares only by what it sees
// itself. In that case its capacity is the larger of two estimates: an equal part of the pool among the gates of the last total, or the slots that the other
// gates leave free according to the load reports.

#include "routing/scheduler_implementation.h"

#include <algorithm>

namespace reedtrail {

void request_scheduler::implementation::applyCustomers(const fleet_document &document)
{
    for (scheduler_customer &customer : customers) {
        customer.isListed = false;
    }
    for (const customer_settings &settings : document.customers) {
        if (!customerIndex.contains(settings.id) && customers.size() >= options.maximumCustomers) {
            continue;
        }
        const auto [found, isNew] = customerIndex.try_emplace(settings.id, static_cast<std::uint32_t>(customers.size()));
        if (isNew) {
            customers.emplace_back();
        }
        customers[found->second] = { settings.id, settings.weight, settings.maximumQueued, true };
        for (const std::unique_ptr<scheduler_pool> &pool : pools) {
            pool->queue.setWeight(pool->queue.flowOf(found->second), settings.weight);
        }
    }
    for (const run_settings &settings : document.runs) {
        runWeights[runOf(settings.id)] = settings.weight;
    }
}

std::uint32_t request_scheduler::implementation::findCustomer(const customer_id &id) const
{
    const auto found = customerIndex.find(id);
    return found == customerIndex.end() ? noIndex : found->second;
}

std::uint32_t request_scheduler::implementation::runOf(const run_id &id)
{
    const auto [found, isNew] = runIndex.try_emplace(id, static_cast<std::uint32_t>(runWeights.size()));
    if (isNew) {
        runWeights.push_back(1);
    }
    return found->second;
}

std::uint32_t request_scheduler::implementation::runQueueOf(std::uint32_t pool, std::uint32_t flow, const run_id &id)
{
    const std::uint32_t run = runOf(id);
    const std::uint32_t queue = pools[pool]->queue.runOf(flow, run);
    pools[pool]->queue.setRunWeight(flow, queue, runWeights[run]);
    return queue;
}

std::uint32_t request_scheduler::implementation::flowOf(std::uint32_t pool, std::uint32_t customer)
{
    return pools[pool]->queue.flowOf(options.sharing == sharing_mode::Unshared ? 0 : customer);
}

double request_scheduler::implementation::capacityOf(time_point now, std::uint32_t pool) const
{
    const pool_row &row = servers.pool(pool);
    const bool hasFreshUsageTotal = hasUsageTotal && now - usageTotalAt <= options.usageLifetime;
    if (hasFreshUsageTotal || gateCount <= 1) {
        return row.usableSlots;
    }
    const double others = row.meanOthersLoad * row.usableCount;
    return std::max(row.usableSlots / gateCount, row.usableSlots - others);
}

void request_scheduler::implementation::updateShares(time_point now)
{
    const duration elapsed = now - sharedAt;
    sharedAt = now;
    const bool isExpired = hasUsageTotal && now - usageTotalAt > options.usageLifetime;
    for (std::uint32_t pool = 0; pool < pools.size(); ++pool) {
        if (isExpired) {
            pools[pool]->queue.clearFleetTotals();
        }
        pools[pool]->queue.updateShares(capacityOf(now, pool), elapsed);
    }
}

usage_report request_scheduler::makeUsageReport(const node_id &node)
{
    implementation &self = *m_implementation;
    usage_report report{ node, ++self.reportSequence, 1, {} };
    for (std::uint32_t pool = 0; pool < self.pools.size(); ++pool) {
        fair_queue &queue = self.pools[pool]->queue;
        for (std::uint32_t index = 0; index < queue.flowCount(); ++index) {
            const customer_flow &flow = queue.flow(index);
            queue.markReported(index);
            if (flow.running > 0 || flow.waiting > 0) {
                report.usage.push_back(
                    { self.servers.pool(pool).id, self.customers[flow.customer].id, static_cast<double>(flow.running), static_cast<double>(flow.waiting) });
            }
        }
    }
    return report;
}

void request_scheduler::onUsageTotal(time_point now, const usage_total &total, actions &out)
{
    implementation &self = *m_implementation;
    if (self.options.sharing == sharing_mode::LocalOnly || self.options.sharing == sharing_mode::Unshared) {
        self.gateCount = std::max(1U, total.gates);
        self.servers.setGateCount(self.gateCount);
        return;
    }
    self.hasUsageTotal = true;
    self.usageTotalAt = now;
    self.gateCount = std::max(1U, total.gates);
    self.servers.setGateCount(self.gateCount);
    for (const std::unique_ptr<scheduler_pool> &pool : self.pools) {
        pool->queue.clearFleetTotals();
    }
    for (const customer_usage &usage : total.usage) {
        const std::uint32_t pool = self.servers.findPool(usage.pool);
        const std::uint32_t customer = self.findCustomer(usage.customer);
        if (pool != noIndex && customer != noIndex) {
            self.pools[pool]->queue.setFleetTotal(self.flowOf(pool, customer), usage.running, usage.waiting);
        }
    }
    self.updateShares(now);
    for (std::uint32_t pool = 0; pool < self.pools.size(); ++pool) {
        self.dispatchWaiting(now, pool, out);
    }
}

open_report request_scheduler::makeOpenReport(const node_id &node)
{
    implementation &self = *m_implementation;
    open_report report{ node, ++self.reportSequence, {} };
    for (std::uint32_t index = 0; index < self.servers.serverCount(); ++index) {
        const server_row &row = self.servers.server(index);
        if (row.isListed) {
            report.open.push_back({ row.id, row.ownOpen });
        }
    }
    return report;
}

void request_scheduler::onOpenTotal(time_point now, const open_total &total, actions &out)
{
    implementation &self = *m_implementation;
    for (const server_open &each : total.open) {
        const std::uint32_t server = self.servers.findServer(each.server);
        if (server != noIndex) {
            self.servers.onOpenTotal(now, server, static_cast<double>(each.open));
        }
    }
    for (std::uint32_t pool = 0; pool < self.pools.size(); ++pool) {
        self.dispatchWaiting(now, pool, out);
    }
}

std::vector<credit_request> request_scheduler::makeCreditRequests(time_point, const node_id &)
{
    return {};
}

void request_scheduler::onCreditGrant(time_point, const credit_grant &, actions &)
{
}

} // namespace reedtrail
