/**
 * @file
 * Decides when a request under which backend servers ended may be sent to a server again. Makes no I/O calls.
 *
 * Failure pattern: one request ends each server that begins to run it, and its caller repeats it at any node, many times a second. Each server that ends takes
 * the requests with it that it ran beside, so that innocent requests see an end or two as well. While many servers are lost at once for another reason, all
 * requests do.
 *
 * All nodes ask one node, the first keeper of the request, before they send it again; a second one is asked if the first does not answer. A keeper grants one
 * attempt at a time over all nodes, and takes an attempt of which it hears nothing more for one under which a server has ended. Up to the third end it grants
 * at once: most requests that see an end are innocent. After the third it grants three retries in all, two by the first keeper and one by the second one, so
 * that both together stay within three although neither knows of the other's last one. It waits before each, but not before the first one while servers end
 * without the request, too. A server that survives the request ends the suspicion.
 */
#pragma once

#include "fleet/crash_table.h"

#include <map>
#include <string>
#include <string_view>

namespace reedtrail {

/** Times of a crash_keeper. */
struct crash_keeper_options
{
    duration attemptTime = std::chrono::seconds(2); ///< An attempt that was granted is under way for this long, unless its end is reported.
    duration returnWhileUnderWay = std::chrono::milliseconds(500); ///< When to come back while another attempt is under way.
    duration pauseAfterThirdEnd = std::chrono::seconds(10); ///< Longer than a server takes to start again.
    duration pauseAfterRetry = std::chrono::minutes(10); ///< A new version of the servers may bear the request by then. Three times as long after the second.
    duration returnAfterLastRetry = std::chrono::minutes(30); ///< What callers are told when no retry is left.
    std::uint32_t endsOfLoss = 3; ///< Servers that ended lately without the request, from which on it may be as innocent as others.
};

/** Grants attempts of suspect requests on one node. */
class crash_keeper
{
public:
    explicit crash_keeper(crash_keeper_options options = {})
        : m_options(options)
    {
    }

    /** Answers a question by what @p table knows, and records there a retry that it grants. */
    crash_grant serve(time_point now, crash_table &table, const crash_ask &ask);
    /** Handles that a server ended under the request, or survived it: the attempt is over. */
    void onAttemptEnded(time_point now, std::uint64_t digest);
    /** Handles that an attempt ended without either. */
    void release(std::uint64_t digest, std::string_view asker);

private:
    struct kept_request
    {
        std::string asker; ///< Whose attempt is under way.
        time_point underWayUntil;
        time_point lastEndAt;
        time_point lastGrantAt;
    };
    duration pauseAfter(const crash_table::row &request, const crash_ask &ask) const;
    void presumeEnd(time_point now, crash_table &table, const crash_table::row &request);
    bool hasRetryLeft(const crash_table::row &request, bool isSecond) const;
    kept_request &find(time_point now, std::uint64_t digest);

    crash_keeper_options m_options;
    std::map<std::uint64_t, kept_request> m_requests; ///< By digest; those asked for lately.
};

} // namespace reedtrail
