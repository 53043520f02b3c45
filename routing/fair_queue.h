/**
 * @file
 * Fair queue of the requests that wait on one gate for the servers of one pool.
 *
 * A customer's share is of the whole fleet, so its requests through other gates count too (see setFleetTotal()). Within a customer, interactive requests go
 * before drafts, and the drafts of several runs are scheduled by the runs' weights.
 */
#pragma once

#include "base/time.h"
#include "routing/fair_share.h"
#include "routing/request_list.h"

#include <cstdint>
#include <limits>
#include <vector>

namespace reedtrail {

/** Waiting drafts of one run. */
struct run_queue
{
    std::uint32_t run = noIndex;
    double weight = 1;
    double virtualTime = 0; ///< Dispatched work divided by weight; the run with the least is next.
    request_list waiting;
};

/** Queue and usage of one customer. */
struct customer_flow
{
    std::uint32_t customer = noIndex;
    double weight = 1;
    std::int32_t running = 0; ///< Requests that this gate has on servers.
    std::int32_t waiting = 0; ///< Requests that wait on this gate.
    request_list interactive;
    std::vector<run_queue> runs;
    double virtualTime = 0; ///< Dispatched work divided by weight; the customer with the least is next.
    double runVirtualTime = 0; ///< Virtual time of the run dispatched last; a run that becomes backlogged starts from it.
    double othersRunning = 0; ///< Requests on servers through other gates, by the last fleet total.
    double othersWaiting = 0; ///< Requests that wait on other gates, by the last fleet total.
    std::int32_t reportedRunning = 0; ///< Value of running in the last report sent, which the next total contains.
    std::int32_t reportedWaiting = 0; ///< Value of waiting in the last report sent.
    double fairShare = std::numeric_limits<double>::infinity(); ///< Slots that it is entitled to while all active customers use theirs.
    double limit = std::numeric_limits<double>::infinity(); ///< Limit of running, as an average over time.
    double balance = 0; ///< Unused slot-seconds below the limit, negative if overused; a fractional limit is met on average by it.

    /** Returns the number of its requests on servers through all gates, as far as known. */
    double fleetRunning() const
    {
        return running + othersRunning;
    }
    /** Returns whether it uses its fair share or more. */
    bool isOverShare() const
    {
        return fleetRunning() >= fairShare;
    }
};

/** The request to dispatch next; all fields are noIndex if there is none. */
struct queue_selection
{
    std::uint32_t flow = noIndex;
    std::uint32_t run = noIndex; ///< noIndex for an interactive request.
    std::uint32_t request = noIndex;
};

/** Fair queue of one pool. */
class fair_queue
{
public:
    /**
     * @param links links of all requests; must outlive the queue
     * @param reservedShare fraction of the capacity that customers above their share leave free
     */
    fair_queue(request_links &links, double reservedShare);

    /** Returns the index of the flow of @p customer; creates it if needed. */
    std::uint32_t flowOf(std::uint32_t customer);
    /** Returns the index of the queue of @p run in @p flow; creates it if needed. */
    std::uint32_t runOf(std::uint32_t flow, std::uint32_t run);
    /** Sets a customer's weight. */
    void setWeight(std::uint32_t flow, double weight);
    /** Sets a run's weight. */
    void setRunWeight(std::uint32_t flow, std::uint32_t run, double weight);
    const customer_flow &flow(std::uint32_t index) const
    {
        return m_flows[index];
    }
    std::size_t flowCount() const
    {
        return m_flows.size();
    }

    /** Adds a request. @param run its run's queue, or noIndex if interactive @param isFirst whether it goes to the front, as a retry does */
    void push(std::uint32_t flow, std::uint32_t run, std::uint32_t request, bool isFirst);
    /** Removes a request at any position. */
    void remove(std::uint32_t flow, std::uint32_t run, std::uint32_t request);
    /** Records that a request was dispatched to a server. @param work expected work, in any unit common to all requests */
    void onDispatched(std::uint32_t flow, std::uint32_t run, double work);
    /** Records that a request is no longer on a server. */
    void onRequestEnd(std::uint32_t flow);

    /** Begins a dispatch round; clears what skip() excluded. */
    void beginRound();
    /** Returns the request to dispatch next without removing it. */
    queue_selection next() const;
    /** Excludes a flow's drafts or interactive requests for the rest of the round, because no server can take them. */
    void skip(const queue_selection &selection);
    /** Returns the number of waiting requests. */
    std::size_t waiting() const
    {
        return m_waiting;
    }

    /**
     * Sets one customer's usage through other gates from a fleet total, which includes this gate's last report.
     * @param running requests on servers through all gates
     * @param waiting requests that wait on any gate
     */
    void setFleetTotal(std::uint32_t flow, double running, double waiting);
    /** Clears the usage through other gates. */
    void clearFleetTotals();
    /** Records that the flow's current usage was reported. */
    void markReported(std::uint32_t flow);
    /** Recalculates all shares and limits. @param capacity slots of the pool @param elapsed time since the last call */
    void updateShares(double capacity, duration elapsed);
    /** Returns whether the fleet's demand exceeds the pool's shared capacity. */
    bool isContended() const
    {
        return m_isContended;
    }

private:
    struct round_state
    {
        bool skipsInteractive = false;
        bool skipsDrafts = false;
    };
    request_list &waitingList(std::uint32_t flow, std::uint32_t run);
    bool mayDispatch(const customer_flow &flow) const;
    bool precedes(const customer_flow &left, const customer_flow &right) const;
    queue_selection selectFrom(std::uint32_t flow) const;

    request_links &m_links;
    double m_reservedShare;
    std::vector<customer_flow> m_flows;
    std::vector<round_state> m_rounds; ///< State of each flow in the current round.
    std::vector<share_demand> m_demands; ///< Scratch space of updateShares().
    std::vector<std::uint32_t> m_flowByCustomer;
    double m_virtualTime = 0; ///< Virtual time of the customer dispatched last; a customer that becomes backlogged starts from it.
    std::size_t m_waiting = 0;
    bool m_isContended = false;
};

} // namespace reedtrail
