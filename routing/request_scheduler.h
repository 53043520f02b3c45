/**
 * @file
 * Decides, for one gate, when each request is dispatched to which backend server, and which requests are refused.
 *
 * A pure core: it takes events with their time and produces actions, and the same seed and events always give the same actions.
 *
 *     request_scheduler scheduler({}, zone_id("a"), seed);
 *     request_scheduler::actions actions;
 *     scheduler.applyDocument(now, document, leaving, actions);
 *     scheduler.onArrival(now, std::move(request), actions);
 *     for (const request_action &action : actions) { std::visit(..., action); }     // dispatch, refuse, cancel
 *     actions.clear();
 *     ... scheduler.onFirstToken(now, id); scheduler.onAttemptEnd(now, id, attempt, attempt_end::Answered, actions);
 *     ... at scheduler.nextDeadline(): scheduler.onTimer(now, actions);
 *
 * Guarantees: each request ends exactly once, by an attempt that ends as Answered, by one refuse_request, or by its own cancellation. A refusal whose kind
 * means "not run" (see base/error_kind.h) is given only while no attempt may have run. At most one attempt of a request is open at a time.
 *
 * Actions must be carried out in order. Events about requests or attempts that have ended are ignored.
 */
#pragma once

#include "base/decision_log.h"
#include "base/error_kind.h"
#include "base/ids.h"
#include "base/time.h"
#include "fleet/fleet_document.h"
#include "routing/scheduler_options.h"
#include "routing/sharing_messages.h"

#include <cstdint>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <span>
#include <variant>
#include <vector>

namespace reedtrail {

/** The properties of a caller's request that matter for scheduling. */
struct arriving_request
{
    request_id id; ///< Unique among the requests in progress on this gate. Ids of up to 15 characters need no allocation.
    customer_id customer;
    pool_id pool;
    bool isInteractive = true;
    time_point deadline = timeNever; ///< Time by which the whole answer must have arrived.
    std::vector<std::uint64_t> prefixHashes; ///< Hashes of the prompt's prefixes, the longest last; empty for services.
    weight_version minimumVersion = 0; ///< Servers with an older or unknown version are not eligible; 0 for any version.
    bool isIdempotent = true; ///< Whether the request may be retried after an attempt that may have run.
    run_id run; ///< Run that a draft belongs to; empty if there is none.
    double expectedTokens = 0; ///< Expected length of the answer in tokens; 0 if unknown.
};

/** A backend server's load report. */
struct server_load
{
    server_id server;
    std::int64_t waiting = 0; ///< Requests in the server's own queue.
    std::int64_t running = 0; ///< Requests that the server is running.
    std::int64_t slots = 0; ///< Requests that the server runs concurrently.
    weight_version version = 0;
    bool isLeaving = false;
    bool isVersionUnknown = false;
    std::uint64_t sequence = 0; ///< Increases with each report; reports that arrive out of order are dropped.
};

/** How an attempt ended. */
enum class attempt_end : std::uint8_t {
    Answered, ///< The whole answer arrived.
    NotStarted, ///< Nothing ran: no connection was made, or the server reported that it did not start the request.
    Failed, ///< The attempt failed and may have run.
    Silent, ///< The connection was silent for too long; the attempt may have run.
    Cancelled, ///< The attempt was stopped by cancel_attempt.
};

/** Kind of an event about a server's prefix cache. */
enum class cache_event_kind : std::uint8_t {
    Stored,
    Removed,
    Gap, ///< Events were lost, so that earlier information about this server's cache may be wrong.
};

/** Action: send the request to a server. */
struct dispatch_request
{
    request_id request;
    server_id server;
    std::uint32_t attempt = 1; ///< Number of the attempt, counted from 1 for each request.
    std::int32_t enginePriority = 0; ///< Priority at the engine; lower values run first.
};

/** Action: end the request with an error. */
struct refuse_request
{
    request_id request;
    error_kind kind = error_kind::None;
    duration retryAfter{}; ///< Value of Retry-After, with jitter.
};

/** Action: stop an attempt on its server. Its end need not be reported to onAttemptEnd(). */
struct cancel_attempt
{
    request_id request;
    server_id server;
    std::uint32_t attempt = 1;
};

/** An action to be carried out by the caller of the scheduler. */
using request_action = std::variant<dispatch_request, refuse_request, cancel_attempt>;

/** The scheduler of one gate. */
class request_scheduler
{
public:
    /** Output of the calls, which append to it. The caller clears and reuses it, so that no memory is allocated. */
    using actions = std::vector<request_action>;

    /** @param ownZone availability zone of this gate @param seed seed of all random decisions */
    request_scheduler(scheduler_options options, zone_id ownZone, std::uint64_t seed);
    ~request_scheduler();
    request_scheduler(const request_scheduler &) = delete;
    request_scheduler &operator=(const request_scheduler &) = delete;

    /**
     * Applies a fleet document. Servers that it no longer names get no new requests, while their open attempts continue.
     * @param leaving servers that are known to be leaving by other means than the document
     */
    void applyDocument(time_point now, const fleet_document &document, std::span<const server_id> leaving, actions &out);
    /** Applies a load report of a server. */
    void onLoad(time_point now, const server_load &load, actions &out);
    /** Applies a cache event of a server. @param prefixHash hash of the prefix that was stored or removed; unused for a gap */
    void onCacheEvent(time_point now, const server_id &server, std::uint64_t prefixHash, cache_event_kind kind);

    /** Accepts a request, which is dispatched or refused at once or waits in its customer's queue. */
    void onArrival(time_point now, arriving_request request, actions &out);
    /** Records that the open attempt of @p request produced its first token or byte. */
    void onFirstToken(time_point now, const request_id &request);
    /** Handles the end of an attempt. After an attempt that may have run, the request is retried only if it is idempotent and has produced no token. */
    void onAttemptEnd(time_point now, const request_id &request, std::uint32_t attempt, attempt_end end, actions &out);
    /** Ends a request whose caller has gone and cancels its open attempt. */
    void onCancel(time_point now, const request_id &request, actions &out);
    /** Handles due deadlines, ends of ejections and waiting requests. */
    void onTimer(time_point now, actions &out);
    /** Returns when onTimer() must be called next; timeNever if nothing is due. */
    time_point nextDeadline() const;

    /** Starts the drain: new requests are refused, while waiting requests and open attempts continue. */
    void beginDrain(time_point now, actions &out);
    /** Tells whether no request is waiting or dispatched. */
    bool isIdle() const;

    /** Returns the usage of this gate by customer, for the node that aggregates usage. @param node id of this node */
    usage_report makeUsageReport(const node_id &node);
    /** Applies the usage of the whole fleet, which includes this gate's own. */
    void onUsageTotal(time_point now, const usage_total &total, actions &out);
    /** Returns how many requests this gate has open on each listed server; the caller splits it by watcher. @param node id of this node */
    open_report makeOpenReport(const node_id &node);
    /** Applies a watcher's counts of open requests over all gates, which include this gate's own. */
    void onOpenTotal(time_point now, const open_total &total, actions &out);
    /** Returns the credit requests to be sent now, each to the watcher of its server. Not implemented: returns none. @param node id of this node */
    std::vector<credit_request> makeCreditRequests(time_point now, const node_id &node);
    /** Applies a credit grant. Not implemented: does nothing. */
    void onCreditGrant(time_point now, const credit_grant &grant, actions &out);

    /** Returns the state as JSON, for operators and tools. */
    nlohmann::json dump() const;
    /** Returns the log of decisions. */
    decision_log &decisions();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace reedtrail
