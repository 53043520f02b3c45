/**
 * @file
 * Options of the request scheduler. Every table it keeps has its bound here.
 */
#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>

namespace reedtrail {

/** How the fleet's capacity is shared among customers. */
enum class sharing_mode : std::uint8_t {
    Unshared, ///< One queue for all on each gate; only to compare with.
    LocalOnly, ///< Each gate shares only what it sees itself.
    GossipedUsage, ///< Gate-local fair queues that know the usage of the whole fleet, a little late.
    Credits, ///< Watchers of the servers grant credits; the local share is the fall-back.
};

/** All options, with their defaults. */
struct scheduler_options
{
    // Bounds of tables.
    std::size_t maximumRequests = 20000; ///< Requests waiting or dispatched on this gate; more are refused.
    std::size_t maximumServers = 4096; ///< Backend servers of all pools.
    std::size_t maximumCustomers = 1024;
    std::size_t maximumPrefixes = 65536; ///< Prefix hashes remembered; the ones unused for longest give way.
    std::size_t decisionLogCapacity = 4096;

    // Choice of a server.
    std::uint32_t choices = 2; ///< Servers compared for each decision, besides those for the prefix.
    double affinityRateBound = 1.5; ///< Requests sent to a server for its prefixes are at most this many times its part of the gate's rate.
    double affinityBurst = 4; ///< Requests it may get at once for its prefixes.
    double prefixSavingSeconds = 0.05; ///< What a cached prefix block is worth: the prefill it saves, and the blocks of others it does not push out.
    std::uint32_t lookAhead = 16; ///< Waiting requests that may be overtaken by one whose prefix is on a server with room.
    duration prefixPatience = std::chrono::milliseconds(300); ///< Time that a waiting request waits for a server with its prefix before it takes any.
    double otherZoneSeconds = 0.003; ///< Cost of a call into another availability zone, as seconds of wait.
    double queueAllowance = 0.05; ///< Requests sent to a server beyond its slots, as a share of the slots.
    duration reportLag = std::chrono::seconds(1); ///< Age of a load report when it arrives.
    duration reportPeriod = std::chrono::milliseconds(500); ///< Between two load reports of a server.
    duration openTotalLag = std::chrono::milliseconds(60); ///< Age of a watcher's count of open requests when it arrives.
    duration openTotalLifetime = std::chrono::milliseconds(500); ///< Without a newer count, the server's own reports are used again.
    duration reportLifetime = std::chrono::seconds(10); ///< A load report older than this says nothing more.

    // Health of servers.
    std::int32_t failuresToEject = 3; ///< Failures in a row after which a server is ejected.
    double slowFactor = 2.5; ///< A server whose service time is this many times the pool's median is slow.
    double ejectionFloor = 0.5; ///< Share of a pool's servers that is never ejected.
    duration ejectionTime = std::chrono::seconds(2); ///< First ejection; doubles with each in a row.
    duration maximumEjectionTime = std::chrono::seconds(30);
    duration returnTime = std::chrono::seconds(5); ///< A returned server's share grows from a tenth to the whole over this span.

    // Sharing.
    sharing_mode sharing = sharing_mode::GossipedUsage;
    double reservedShare = 0.02; ///< Slots kept free from customers above their share, as a share of all slots.
    duration usageLifetime = std::chrono::milliseconds(1500); ///< Usage of the fleet older than this is not used.
    duration creditLifetime = std::chrono::milliseconds(1500); ///< Credits older than this are void.

    // Retries and limits.
    std::uint32_t maximumAttempts = 3; ///< Of one request, with the first.
    double retryShare = 0.08; ///< Retries allowed, as a share of successes.
    double retryReserve = 10; ///< Retries allowed before any success.
    duration interactiveWait = std::chrono::seconds(2); ///< Longest wait of an interactive request before it is sent.
    duration retryAfterBase = std::chrono::milliseconds(500); ///< Least Retry-After of a refusal.
    duration retryAfterMaximum = std::chrono::seconds(20);
};

} // namespace reedtrail
