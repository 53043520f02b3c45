/**
 * @file
 * State and internal operations of request_scheduler; private to its implementation files.
 */
#pragma once

#include "base/random.h"
#include "routing/deadline_heap.h"
#include "routing/fair_queue.h"
#include "routing/prefix_index.h"
#include "routing/request_scheduler.h"
#include "routing/request_table.h"
#include "routing/retry_budget.h"
#include "routing/server_selector.h"
#include "routing/server_table.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace reedtrail {

/** Queue and retry budget of one pool on this gate. */
struct scheduler_pool
{
    fair_queue queue;
    retry_budget budget;
    double meanTokens = 0; ///< Moving average of the expected tokens of requests that specify them; 0 while none did.
};

/** A customer named by the current or an earlier fleet document. */
struct scheduler_customer
{
    customer_id id;
    double weight = 1;
    std::int64_t maximumQueued = 0; ///< Most waiting requests of the customer in a pool on this gate.
    bool isListed = false; ///< Whether the current document names the customer.
};

/** Counters since the start of the process, for the dump. */
struct scheduler_counters
{
    std::uint64_t arrived = 0;
    std::uint64_t dispatched = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t retried = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t ejected = 0;
};

struct request_scheduler::implementation
{
    implementation(scheduler_options givenOptions, zone_id zone, std::uint64_t seed);

    // Requests (request_scheduler.cpp).
    /** Returns why an arriving request cannot be admitted; None if it can. @param pool, customer indexes, or noIndex if unknown */
    error_kind admissionError(const arriving_request &request, std::uint32_t pool, std::uint32_t customer) const;
    /** Puts a request into its queue. @param isFirst whether it goes ahead of the waiting requests, as for a retry */
    void enqueue(time_point now, std::uint32_t index, bool isFirst);
    void removeFromQueue(std::uint32_t index);
    /** Dispatches waiting requests of the pool in fair order as long as servers have room. */
    void dispatchWaiting(time_point now, std::uint32_t pool, actions &out);
    /** Dispatches one request of the flow whose turn it is. @return false if no server accepts one */
    bool dispatchNext(time_point now, std::uint32_t pool, const queue_selection &turn, actions &out);
    server_criteria criteriaFor(time_point now, const request_row &row) const;
    void dispatch(time_point now, std::uint32_t index, std::uint32_t server, actions &out);
    /** Ends the accounting of the open attempt. */
    void closeAttempt(time_point now, std::uint32_t index);
    /** Queues a request again after a failed attempt, or refuses it if it may not be retried or the retry budget is empty. */
    void retryOrRefuse(time_point now, std::uint32_t index, error_kind kind, actions &out);
    bool mayRetry(const request_row &row, time_point now) const;
    void refuse(time_point now, std::uint32_t index, error_kind kind, actions &out);
    /** Refuses a request that is not in the request table. */
    void refuseOnArrival(time_point now, const arriving_request &request, error_kind kind, actions &out);
    void removeRequest(std::uint32_t index);
    /** Refuses a request whose deadline, or latest start if it is waiting, has passed; cancels its open attempt. */
    void onDeadline(time_point now, std::uint32_t index, actions &out);
    /** Recalculates server health and shares, and dispatches or refuses waiting requests. */
    void refresh(time_point now, actions &out);
    /** Refuses all waiting requests of a pool that has no usable server. */
    void refuseAllWaiting(time_point now, std::uint32_t pool, actions &out);
    void recordFailure(time_point now, std::uint32_t server);
    duration expectedServiceTime(const request_row &row) const;
    /** Returns the expected tokens of a request, or the pool's mean if unknown; also updates that mean. */
    double expectedWork(request_row &row);
    duration expectedWait(const request_row &row) const;
    /** Returns the time after which a waiting request is refused, because it could no longer end before its deadline or has waited too long. */
    time_point latestStart(const request_row &row) const;
    /** Returns the Retry-After of a refusal, with jitter. @param wait expected waiting time */
    duration retryAfter(duration wait);

    // Sharing (scheduler_sharing.cpp).
    void applyCustomers(const fleet_document &document);
    /** Returns the index of a customer, or noIndex. */
    std::uint32_t findCustomer(const customer_id &id) const;
    /** Returns the index of a run, which is added if it is new. */
    std::uint32_t runOf(const run_id &id);
    /** Returns the queue of a run within a flow and applies the run's weight to it. */
    std::uint32_t runQueueOf(std::uint32_t pool, std::uint32_t flow, const run_id &id);
    /** Returns the flow of a customer in the pool's queue; all customers have the same one if sharing is Unshared. */
    std::uint32_t flowOf(std::uint32_t pool, std::uint32_t customer);
    /** Recalculates the fair shares of all pools. */
    void updateShares(time_point now);
    /** Returns the slots of the pool that the fair queue divides. */
    double capacityOf(time_point now, std::uint32_t pool) const;

    const scheduler_options options;
    const zone_id ownZone;
    random_source random;
    server_table servers;
    server_selector selector;
    prefix_index prefixes;
    request_table requests;
    request_links links;
    deadline_heap deadlines;
    std::vector<std::unique_ptr<scheduler_pool>> pools; ///< Indexed as in the server table.
    std::vector<scheduler_customer> customers;
    std::unordered_map<customer_id, std::uint32_t> customerIndex;
    std::unordered_map<run_id, std::uint32_t> runIndex;
    std::vector<double> runWeights; ///< By run index.
    time_point refreshedAt;
    time_point sharedAt; ///< When shares were last recalculated.
    time_point usageTotalAt; ///< Arrival of the last usage total.
    std::uint32_t gateCount = 1; ///< Number of gates in the last usage total.
    bool hasUsageTotal = false;
    std::uint64_t usageTotalSequence = 0;
    std::uint64_t reportSequence = 0; ///< Sequence number of the last report that this gate made.
    bool isDraining = false;
    scheduler_counters counters;
    decision_log log;
};

} // namespace reedtrail
