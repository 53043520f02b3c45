/**
 * @file
 * The waiting requests of one pool on one gate, by customer, and whose turn it is.
 *
 * A customer's share is of the whole fleet: what its requests use through other gates counts (see onTotal). Within a customer, interactive requests go before
 * drafts, and drafts of several runs take turns by the runs' weights.
 */
#pragma once

#include "base/time.h"
#include "routing/fair_share.h"
#include "routing/request_list.h"

#include <cstdint>
#include <limits>
#include <vector>

namespace reedtrail {

/** The drafts of one run that wait. */
struct run_queue
{
    std::uint32_t run = noIndex;
    double weight = 1;
    double virtualTime = 0; ///< Work sent over weight; the least goes first.
    request_list waiting;
};

/** One customer's part of the queue. */
struct customer_flow
{
    std::uint32_t customer = noIndex;
    double weight = 1;
    std::int32_t running = 0; ///< Own requests handed to servers.
    std::int32_t waiting = 0; ///< Own requests that wait here.
    request_list interactive;
    std::vector<run_queue> runs;
    double virtualTime = 0; ///< Work sent over weight; the least goes first.
    double runVirtualTime = 0; ///< Of the run sent last; a run that begins to wait starts from it.
    double othersRunning = 0; ///< Through other gates, as last told.
    double othersWaiting = 0;
    std::int32_t reportedRunning = 0; ///< Own numbers in the last report sent, which the next total contains.
    std::int32_t reportedWaiting = 0;
    double fairShare = std::numeric_limits<double>::infinity(); ///< Slots that are its due while all others want theirs.
    double limit = std::numeric_limits<double>::infinity(); ///< Most own requests on servers, on average over time.
    double balance = 0; ///< Slot-seconds it stayed below its limit; lets a fractional limit be met on average.

    /** Returns its requests on servers through all gates, as far as known. */
    double fleetRunning() const
    {
        return running + othersRunning;
    }
    /** Tells whether it uses its fair share or more. */
    bool isOverShare() const
    {
        return fleetRunning() >= fairShare;
    }
};

/** The next request to send. */
struct queue_selection
{
    std::uint32_t flow = noIndex;
    std::uint32_t run = noIndex; ///< noIndex for an interactive request.
    std::uint32_t request = noIndex;
};

/** The queue of one pool. */
class fair_queue
{
public:
    /** @param links of all requests; outlives the queue @param reservedShare of the capacity that those above their share leave free */
    fair_queue(request_links &links, double reservedShare);

    /** Returns the flow of @p customer, new if it has none. */
    std::uint32_t flowOf(std::uint32_t customer);
    /** Returns the queue of @p run in @p flow, new if it has none. */
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

    /** Adds a request. @param run its run's queue, or noIndex @param isFirst whether it goes before those that wait, for a repeated attempt */
    void push(std::uint32_t flow, std::uint32_t run, std::uint32_t request, bool isFirst);
    /** Takes a request out, wherever it stands. */
    void remove(std::uint32_t flow, std::uint32_t run, std::uint32_t request);
    /** Notes that a request was handed to a server. @param work it is expected to take, in any unit that is the same for all */
    void onDispatched(std::uint32_t flow, std::uint32_t run, double work);
    /** Notes that a request is on a server no more. */
    void onRequestEnd(std::uint32_t flow);

    /** Begins a round of turns: everybody may be asked again. */
    void beginRound();
    /** Returns whose turn it is, without taking the request out; all noIndex if nobody's is. */
    queue_selection next() const;
    /** Leaves a flow's drafts or interactive requests out for the rest of the round, because no server can take them. */
    void skip(const queue_selection &turn);
    /** Returns the number of requests that wait. */
    std::size_t waiting() const
    {
        return m_waiting;
    }

    /** Takes the numbers of one customer from a total over the fleet. @param running, waiting through all gates, this one's last report included */
    void setFleetTotal(std::uint32_t flow, double running, double waiting);
    /** Forgets what was told of other gates. */
    void clearFleetTotals();
    /** Notes the own numbers of a flow as reported. */
    void markReported(std::uint32_t flow);
    /** Calculates shares and limits anew. @param capacity slots of the pool @param elapsed since the last call */
    void updateShares(double capacity, duration elapsed);
    /** Tells whether the fleet wants more than the pool has. */
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
    request_list &listOf(std::uint32_t flow, std::uint32_t run);
    bool mayDispatch(const customer_flow &flow) const;
    bool precedes(const customer_flow &left, const customer_flow &right) const;
    queue_selection selectFrom(std::uint32_t flow) const;

    request_links &m_links;
    double m_reservedShare;
    std::vector<customer_flow> m_flows;
    std::vector<round_state> m_rounds; ///< Of each flow, for the round under way.
    std::vector<share_demand> m_demands; ///< Scratch of updateShares().
    std::vector<std::uint32_t> m_flowByCustomer;
    double m_virtualTime = 0; ///< Of the customer sent last; one that begins to wait starts from it.
    std::size_t m_waiting = 0;
    bool m_isContended = false;
};

} // namespace reedtrail
