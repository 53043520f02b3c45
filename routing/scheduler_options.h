/**
 * @file
 * Options of the request scheduler, including the bounds of all its tables.
 */
#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>

namespace reedtrail {

/** How the fleet's capacity is shared among customers. */
enum class sharing_mode : std::uint8_t {
    Unshared, ///< One queue for all customers on each gate; only a baseline for comparison.
    LocalOnly, ///< Each gate shares its part of the capacity by the usage that it sees itself.
    GossipedUsage, ///< Each gate's fair queue takes the usage of the whole fleet into account, with a small delay.
    Credits, ///< The watchers of the servers grant credits; local sharing is the fallback.
};

/** All options, with their defaults. */
struct scheduler_options
{
    // Bounds of tables.
    std::size_t maximumRequests = 20000; ///< Requests waiting or dispatched on this gate; further ones are refused.
    std::size_t maximumServers = 4096; ///< Backend servers of all pools.
    std::size_t maximumCustomers = 1024;
    std::size_t maximumPrefixes = 65536; ///< Prefix hashes kept; the least recently used ones are evicted.
    std::size_t decisionLogCapacity = 4096;

    // Selection of a server.
    std::uint32_t candidateCount = 2; ///< Random servers compared per selection, besides those for the prefix.
    double affinityRateBound = 1.5; ///< Bound of the requests sent to a server for prefix affinity, as a multiple of its share of the gate's send rate.
    double affinityBurst = 4; ///< Requests that a server may get at once for prefix affinity.
    double prefixSavingSeconds = 0.05; ///< Value of a cached prefix block: the prefill time it saves, and the blocks of other prompts that are not evicted.
    std::uint32_t lookahead = 16; ///< Waiting requests searched for one whose prefix is on a server with room; it may overtake the others.
    duration maximumPrefixWait = std::chrono::milliseconds(300); ///< Time that a waiting request waits for a server with its prefix before it takes any server.
    double crossZoneSeconds = 0.003; ///< Cost of a call into another availability zone, in seconds of waiting time.
    double queueAllowance = 0.05; ///< Requests that a server may queue beyond its slots, as a share of the slots.
    duration reportLag = std::chrono::seconds(1); ///< Age of a load report on arrival.
    duration reportPeriod = std::chrono::milliseconds(500); ///< Interval between two load reports of a server.
    duration openTotalLag = std::chrono::milliseconds(60); ///< Age of a watcher's count of open requests on arrival.
    duration openTotalLifetime = std::chrono::milliseconds(500); ///< Age from which a watcher's count is ignored in favor of the server's own load reports.
    duration reportLifetime = std::chrono::seconds(10); ///< Age from which a load report is ignored.

    // Health of servers.
    std::int32_t failuresToEject = 3; ///< Consecutive failures after which a server is ejected.
    double slowFactor = 2.5; ///< Ratio to the pool's median service time from which a server counts as slow.
    double minimumUsableShare = 0.5; ///< Share of a pool's servers that is never ejected.
    duration ejectionTime = std::chrono::seconds(2); ///< Duration of the first ejection; doubles with each consecutive one.
    duration maximumEjectionTime = std::chrono::seconds(30);
    duration slowStartDuration = std::chrono::seconds(5); ///< Time over which the share of a returned server grows from a tenth to the whole.

    // Sharing.
    sharing_mode sharing = sharing_mode::GossipedUsage;
    double reservedShare = 0.02; ///< Share of all slots that is kept free from customers above their fair share.
    duration usageLifetime = std::chrono::milliseconds(1500); ///< Age from which a usage total of the fleet is ignored.
    duration creditLifetime = std::chrono::milliseconds(1500); ///< Age from which credits are void.

    // Retries and limits.
    std::uint32_t maximumAttempts = 3; ///< Attempts per request, including the first.
    double retryShare = 0.08; ///< Retries earned per success.
    double retryReserve = 10; ///< Retries available before any success; also the most that can be saved up.
    duration maximumInteractiveWait = std::chrono::seconds(2); ///< Longest time that an interactive request waits before it is sent.
    duration retryAfterBase = std::chrono::milliseconds(500); ///< Base of the Retry-After of a refusal, before jitter.
    duration retryAfterMaximum = std::chrono::seconds(20); ///< Upper bound of Retry-After, before jitter.
};

} // namespace reedtrail
