/**
 * @file
 * What an edge process must know to start: where it listens, where the store is, and the bounds its deployment asks for.
 */
#pragma once

#include "base/time.h"
#include "net/endpoint.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace reedtrail {

/** The largest body that a configuration has allowed callers so far; the store bounds jobs more closely. */
inline constexpr std::size_t maxCallerBodyBytes = 33U << 20U;

/** The settings. Times without a value in the source keep the defaults here, which are the bounds of the two first deployments. */
struct edge_settings
{
    std::string node;
    std::string zone;
    endpoint callers; ///< Requests and batch jobs.
    endpoint readiness; ///< Readiness and metrics.
    std::optional<endpoint> peers; ///< Other nodes; empty if this process serves none.
    endpoint store;
    double processorShare = 0; ///< Of a core that this process has; 0 if unknown.
    duration maxDrainDelay = std::chrono::milliseconds(2000); ///< A server that announces its end gets nothing new after this time.
    duration shutdownGracePeriod = std::chrono::seconds(8); ///< From the signal to stop until the process is killed.
    duration orderHandoverInterval = std::chrono::milliseconds(3000); ///< Least time between the orders of two nodes to one server.
};

} // namespace reedtrail
