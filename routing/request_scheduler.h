/**
 * @file
 * Decides for one gate which request goes to which backend server and when, and which is refused.
 *
 * A pure core: events go in with the time, actions come out, and one seed gives one run.
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
 * What a request can count on: it gets exactly one end, which is an attempt that ends Answered, or one refuse_request, or its own cancellation. A refusal
 * whose kind means "not run" (see base/error_kind.h) is given only while no attempt may have run. At most one attempt of a request is open at a time.
 * Actions must be carried out in their order. Events about requests or attempts that have ended are ignored.
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

/** A caller's request, as the scheduler sees it. */
struct arriving_request
{
    request_id id; ///< Differs from every request under way on this gate. Up to 15 characters are handled without allocation.
    customer_id customer;
    pool_id pool;
    bool isInteractive = true;
    time_point deadline = timeNever; ///< The whole answer must be there by then.
    std::vector<std::uint64_t> prefixHashes; ///< Of the prompt's prefix blocks, longest last; empty for services.
    weight_version minimumVersion = 0; ///< Servers with an older or unknown version are not used; 0 for any.
    bool isIdempotent = true; ///< Whether it may be sent again after an attempt that may have run.
    run_id run; ///< Run of a draft; empty if there is none.
    double expectedTokens = 0; ///< Length of the answer as far as known; 0 if not.
};

/** A backend server's load report. */
struct server_load
{
    server_id server;
    std::int64_t waiting = 0; ///< Requests in its own queue.
    std::int64_t running = 0;
    std::int64_t slots = 0; ///< Requests it runs at once.
    weight_version version = 0;
    bool isLeaving = false;
    bool isVersionUnknown = false;
    std::uint64_t sequence = 0; ///< Rises with each report; an older one that arrives late is dropped.
};

/** How an attempt ended. */
enum class attempt_end : std::uint8_t {
    Answered, ///< The whole answer arrived.
    NotStarted, ///< Nothing ran: no connection was made, or the server's own word was that it did not start.
    Failed, ///< It may have run.
    Silent, ///< It may have run; the connection gave no proof of life.
    Cancelled, ///< Stopped on cancel_attempt.
};

/** What a cache event says. */
enum class cache_event_kind : std::uint8_t {
    Stored,
    Removed,
    Gap, ///< Events were lost: what was known of this server's cache may be wrong.
};

/** Hand the request to a server. */
struct dispatch_request
{
    request_id request;
    server_id server;
    std::uint32_t attempt = 1; ///< Rises from 1 for each request.
    std::int32_t enginePriority = 0; ///< Lower runs first.
};

/** End the request with an error. */
struct refuse_request
{
    request_id request;
    error_kind kind = error_kind::None;
    duration retryAfter{}; ///< To be sent as Retry-After; spread by seeded jitter.
};

/** Stop an attempt on its server; its end need not be reported. */
struct cancel_attempt
{
    request_id request;
    server_id server;
    std::uint32_t attempt = 1;
};

/** What the scheduler wants done. */
using request_action = std::variant<dispatch_request, refuse_request, cancel_attempt>;

/** The scheduler of one gate. */
class request_scheduler
{
public:
    /** Filled by each call; the caller clears it, and reuses it so that no memory is allocated. */
    using actions = std::vector<request_action>;

    /** @param ownZone availability zone of this gate @param seed of every random choice */
    request_scheduler(scheduler_options options, zone_id ownZone, std::uint64_t seed);
    ~request_scheduler();
    request_scheduler(const request_scheduler &) = delete;
    request_scheduler &operator=(const request_scheduler &) = delete;

    /** Takes over a fleet document. Servers it no longer names get nothing new; open attempts go on. @param leaving servers that leave by any hint */
    void applyDocument(time_point now, const fleet_document &document, std::span<const server_id> leaving, actions &out);
    /** Takes a load report. */
    void onLoad(time_point now, const server_load &load, actions &out);
    /** Takes a cache event. @param prefixHash of the block; not used for a gap */
    void onCacheEvent(time_point now, const server_id &server, std::uint64_t prefixHash, cache_event_kind kind);

    /** Takes a request: it is dispatched or refused at once, or waits. */
    void onArrival(time_point now, arriving_request request, actions &out);
    /** Notes that the open attempt of @p request gave its first token or byte. */
    void onFirstToken(time_point now, const request_id &request);
    /** Takes the end of an attempt. An attempt that may have run is sent again only if the request is idempotent and gave no token yet. */
    void onAttemptEnd(time_point now, const request_id &request, std::uint32_t attempt, attempt_end end, actions &out);
    /** Ends a request whose caller went away; its open attempt is cancelled. */
    void onCancel(time_point now, const request_id &request, actions &out);
    /** Handles what is due: deadlines, returns of servers, waiting requests. */
    void onTimer(time_point now, actions &out);
    /** Returns when onTimer() must be called next; timeNever if nothing is due. */
    time_point nextDeadline() const;

    /** Refuses everything new from now on; what waits and what is open goes on. */
    void beginDrain(time_point now, actions &out);
    /** Tells whether nothing waits and nothing is open. */
    bool isIdle() const;

    /** Returns what this gate's customers use, to be sent to the node that adds usage up. @param node this node */
    usage_report makeUsageReport(const node_id &node);
    /** Takes the sum over the fleet, this gate's own usage included. */
    void onUsageTotal(time_point now, const usage_total &total, actions &out);
    /** Returns how many requests this gate has open on each server of the document; the caller splits it by watcher. @param node this node */
    open_report makeOpenReport(const node_id &node);
    /** Takes a watcher's sums over all gates, this one included. */
    void onOpenTotal(time_point now, const open_total &total, actions &out);
    /** Returns the requests for credits to be sent now, each to the watcher of its server. @param node this node */
    std::vector<credit_request> makeCreditRequests(time_point now, const node_id &node);
    /** Takes credits. */
    void onCreditGrant(time_point now, const credit_grant &grant, actions &out);

    /** Returns the whole state. */
    nlohmann::json dump() const;
    /** Returns the records of decisions. */
    decision_log &decisions();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace reedtrail
