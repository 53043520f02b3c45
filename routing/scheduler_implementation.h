/**
 * @file
 * The parts of a request_scheduler and the steps it is made of; private to its implementation files.
 */
#pragma once

#include "base/random.h"
#include "routing/deadline_heap.h"
#include "routing/fair_queue.h"
#include "routing/prefix_index.h"
#include "routing/request_scheduler.h"
#include "routing/request_table.h"
#include "routing/retry_budget.h"
#include "routing/server_choice.h"
#include "routing/server_table.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace reedtrail {

/** What a gate has of one pool besides its servers. */
struct scheduler_pool
{
    fair_queue queue;
    retry_budget budget;
    double meanTokens = 0; ///< Of the requests that say their length; 0 while none did.
};

/** A customer known by the document. */
struct scheduler_customer
{
    customer_id id;
    double weight = 1;
    std::int64_t maximumQueued = 0;
    bool isListed = false;
};

/** Counters since the start, for the dump. */
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
    implementation(scheduler_options wanted, zone_id zone, std::uint64_t seed);

    // Requests (request_scheduler.cpp).
    error_kind whyNotTaken(const arriving_request &request, std::uint32_t pool, std::uint32_t customer) const;
    void enqueue(time_point now, std::uint32_t index, bool isFirst);
    void takeFromQueue(std::uint32_t index);
    void pump(time_point now, std::uint32_t pool, actions &out);
    bool sendOne(time_point now, std::uint32_t pool, const queue_selection &turn, actions &out);
    server_wish wishOf(time_point now, const request_row &row) const;
    void dispatch(time_point now, std::uint32_t index, std::uint32_t server, actions &out);
    void closeAttempt(time_point now, std::uint32_t index);
    void retryOrRefuse(time_point now, std::uint32_t index, error_kind kind, actions &out);
    bool mayRetry(const request_row &row, time_point now) const;
    void refuse(time_point now, std::uint32_t index, error_kind kind, actions &out);
    void refuseUnknown(time_point now, const arriving_request &request, error_kind kind, actions &out);
    void forget(std::uint32_t index);
    void onDue(time_point now, std::uint32_t index, actions &out);
    void refresh(time_point now, actions &out);
    void refuseStranded(time_point now, std::uint32_t pool, actions &out);
    void noteFailure(time_point now, std::uint32_t server);
    duration expectedService(const request_row &row) const;
    double expectedWork(request_row &row);
    duration expectedWait(const request_row &row) const;
    time_point latestStart(const request_row &row) const;
    duration retryAfter(duration wait);

    // Sharing (scheduler_sharing.cpp).
    void applyCustomers(const fleet_document &document);
    std::uint32_t customerOf(const customer_id &id) const;
    std::uint32_t runOf(const run_id &id);
    std::uint32_t runQueueOf(std::uint32_t pool, std::uint32_t flow, const run_id &id);
    std::uint32_t flowOf(std::uint32_t pool, std::uint32_t customer);
    void shareAll(time_point now);
    double capacityOf(time_point now, std::uint32_t pool) const;

    const scheduler_options options;
    const zone_id ownZone;
    random_source random;
    server_table servers;
    server_choice choice;
    prefix_index prefixes;
    request_table requests;
    request_links links;
    deadline_heap deadlines;
    std::vector<std::unique_ptr<scheduler_pool>> pools; ///< By pool index of the server table.
    std::vector<scheduler_customer> customers;
    std::unordered_map<customer_id, std::uint32_t> customerIndex;
    std::unordered_map<run_id, std::uint32_t> runIndex;
    std::vector<double> runWeights;
    time_point refreshedAt;
    time_point sharedAt;
    time_point totalAt;
    std::uint32_t gates = 1; ///< In the last total.
    bool hasTotal = false;
    std::uint64_t totalSequence = 0;
    std::uint64_t reportSequence = 0;
    bool isDraining = false;
    scheduler_counters counters;
    decision_log log;
};

} // namespace reedtrail
