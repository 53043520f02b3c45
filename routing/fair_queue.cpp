// Design. The fleet's capacity is divided by weighted max-min fairness over the demand of all customers through all gates. Each gate receives the fleet's
// totals with a short delay, replaces its own part in them by its current numbers, and solves the same small problem (fair_share.h). The shares determine two
// things:
//  * The order of dispatch: customers below their fair share go before those above it. Within each group the customer with the least dispatched work relative
//    to its weight is next (start-time fair queueing, Goyal, Vin and Cheng, SIGCOMM 1996). This stays exact when a gate has fewer slots than customers.
//  * A limit for each customer above its fair share while the pool is contended: the customer's share times this gate's part of its demand. The limits of all
//    gates add up to the share without messages between gates (flow proportional share, Raghavan et al., "Cloud control with distributed rate limiting",
//    SIGCOMM 2007).
// A customer below its fair share has no limit, so its new requests never wait for the next total. A limit of 1.3 requests is met on average over time by a
// balance of slot-seconds; otherwise 400 gates with fractional limits would all round up.
//
// Cost: next() visits each customer once, updateShares() a few times. Memory is allocated only for a new customer or run.

#include "routing/fair_queue.h"

#include "base/check.h"

#include <algorithm>
#include <cmath>

namespace reedtrail {

namespace {
constexpr double unlimited = std::numeric_limits<double>::infinity();
constexpr double maxBalanceSeconds = 1.0; ///< Bound on the absolute value of a balance, in slot-seconds.
} // namespace

fair_queue::fair_queue(request_links &links, double reservedShare)
    : m_links(links)
    , m_reservedShare(reservedShare)
{
}

std::uint32_t fair_queue::flowOf(std::uint32_t customer)
{
    if (m_flowByCustomer.size() <= customer) {
        m_flowByCustomer.resize(customer + 1, noIndex);
    }
    if (m_flowByCustomer[customer] == noIndex) {
        m_flowByCustomer[customer] = static_cast<std::uint32_t>(m_flows.size());
        m_flows.emplace_back().customer = customer;
        m_rounds.emplace_back();
        m_demands.reserve(m_flows.size());
    }
    return m_flowByCustomer[customer];
}

std::uint32_t fair_queue::runOf(std::uint32_t flow, std::uint32_t run)
{
    std::vector<run_queue> &runs = m_flows[flow].runs;
    for (std::uint32_t index = 0; index < runs.size(); ++index) {
        if (runs[index].run == run) {
            return index;
        }
    }
    runs.emplace_back().run = run;
    return static_cast<std::uint32_t>(runs.size() - 1);
}

void fair_queue::setWeight(std::uint32_t flow, double weight)
{
    m_flows[flow].weight = weight;
}

void fair_queue::setRunWeight(std::uint32_t flow, std::uint32_t run, double weight)
{
    m_flows[flow].runs[run].weight = weight;
}

request_list &fair_queue::waitingList(std::uint32_t flow, std::uint32_t run)
{
    return run == noIndex ? m_flows[flow].interactive : m_flows[flow].runs[run].waiting;
}

void fair_queue::push(std::uint32_t flow, std::uint32_t run, std::uint32_t request, bool isFirst)
{
    customer_flow &customerFlow = m_flows[flow];
    if (customerFlow.waiting == 0) {
        customerFlow.virtualTime = std::max(customerFlow.virtualTime, m_virtualTime);
    }
    if (run != noIndex && customerFlow.runs[run].waiting.size == 0) {
        customerFlow.runs[run].virtualTime = std::max(customerFlow.runs[run].virtualTime, customerFlow.runVirtualTime);
    }
    if (isFirst) {
        m_links.pushFront(waitingList(flow, run), request);
    } else {
        m_links.pushBack(waitingList(flow, run), request);
    }
    ++customerFlow.waiting;
    ++m_waiting;
}

void fair_queue::remove(std::uint32_t flow, std::uint32_t run, std::uint32_t request)
{
    m_links.remove(waitingList(flow, run), request);
    --m_flows[flow].waiting;
    --m_waiting;
    REEDTRAIL_CHECK(m_flows[flow].waiting >= 0, "a customer's number of waiting requests is not negative");
}

void fair_queue::onDispatched(std::uint32_t flow, std::uint32_t run, double work)
{
    customer_flow &customerFlow = m_flows[flow];
    ++customerFlow.running;
    m_virtualTime = std::max(m_virtualTime, customerFlow.virtualTime);
    customerFlow.virtualTime += work / customerFlow.weight;
    if (run != noIndex) {
        customerFlow.runVirtualTime = std::max(customerFlow.runVirtualTime, customerFlow.runs[run].virtualTime);
        customerFlow.runs[run].virtualTime += work / customerFlow.runs[run].weight;
    }
}

void fair_queue::onRequestEnd(std::uint32_t flow)
{
    --m_flows[flow].running;
    REEDTRAIL_CHECK(m_flows[flow].running >= 0, "a customer's number of running requests is not negative");
}

void fair_queue::beginRound()
{
    std::ranges::fill(m_rounds, round_state{});
}

bool fair_queue::mayDispatch(const customer_flow &flow) const
{
    if (flow.limit == unlimited || !flow.isOverShare()) {
        return true;
    }
    const double wholeSlots = std::floor(flow.limit);
    return flow.running < wholeSlots || (flow.running < wholeSlots + 1 && flow.balance > 0);
}

queue_selection fair_queue::selectFrom(std::uint32_t index) const
{
    const customer_flow &flow = m_flows[index];
    if (flow.interactive.size > 0 && !m_rounds[index].skipsInteractive) {
        return { index, noIndex, flow.interactive.head };
    }
    queue_selection selection;
    double least = unlimited;
    if (m_rounds[index].skipsDrafts) {
        return selection;
    }
    for (std::uint32_t run = 0; run < flow.runs.size(); ++run) {
        const run_queue &queue = flow.runs[run];
        if (queue.waiting.size > 0 && queue.virtualTime < least) {
            least = queue.virtualTime;
            selection = { index, run, queue.waiting.head };
        }
    }
    return selection;
}

bool fair_queue::precedes(const customer_flow &left, const customer_flow &right) const
{
    if (left.isOverShare() != right.isOverShare()) {
        return right.isOverShare();
    }
    return left.virtualTime < right.virtualTime;
}

queue_selection fair_queue::next() const
{
    queue_selection best;
    for (std::uint32_t index = 0; index < m_flows.size(); ++index) {
        const customer_flow &flow = m_flows[index];
        if (flow.waiting == 0 || (best.flow != noIndex && !precedes(flow, m_flows[best.flow])) || !mayDispatch(flow)) {
            continue;
        }
        const queue_selection selection = selectFrom(index);
        best = selection.flow == noIndex ? best : selection;
    }
    return best;
}

void fair_queue::skip(const queue_selection &selection)
{
    (selection.run == noIndex ? m_rounds[selection.flow].skipsInteractive : m_rounds[selection.flow].skipsDrafts) = true;
}

void fair_queue::setFleetTotal(std::uint32_t flow, double running, double waiting)
{
    m_flows[flow].othersRunning = std::max(0.0, running - m_flows[flow].reportedRunning);
    m_flows[flow].othersWaiting = std::max(0.0, waiting - m_flows[flow].reportedWaiting);
}

void fair_queue::clearFleetTotals()
{
    for (customer_flow &flow : m_flows) {
        flow.othersRunning = 0;
        flow.othersWaiting = 0;
    }
}

void fair_queue::markReported(std::uint32_t flow)
{
    m_flows[flow].reportedRunning = m_flows[flow].running;
    m_flows[flow].reportedWaiting = m_flows[flow].waiting;
}

void fair_queue::updateShares(double capacity, duration elapsed)
{
    m_demands.clear();
    double totalDemand = 0;
    double activeWeight = 0;
    for (const customer_flow &flow : m_flows) {
        const double demand = flow.fleetRunning() + flow.waiting + flow.othersWaiting;
        m_demands.push_back({ flow.weight, demand, 0 });
        totalDemand += demand;
        activeWeight += demand > 0 ? flow.weight : 0;
    }
    const double usable = capacity * (1 - m_reservedShare);
    m_isContended = totalDemand > usable;
    allocateMaxMinShares(usable, m_demands);
    for (std::size_t index = 0; index < m_flows.size(); ++index) {
        customer_flow &flow = m_flows[index];
        const share_demand &share = m_demands[index];
        flow.fairShare = activeWeight > 0 ? usable * flow.weight / std::max(activeWeight, flow.weight) : unlimited;
        flow.limit = m_isContended && share.demand > 0 ? share.share * (flow.running + flow.waiting) / share.demand : unlimited;
        if (flow.limit != unlimited) {
            flow.balance = std::clamp(flow.balance + (flow.limit - flow.running) * toSeconds(elapsed), -maxBalanceSeconds, maxBalanceSeconds);
        }
    }
}

} // namespace reedtrail
