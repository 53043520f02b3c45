/**
 * @file
 * Startup settings of an edge process: listen addresses, the store's address, and the time limits of its deployment.
 */
#pragma once

#include "base/time.h"
#include "net/endpoint.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace reedtrail {

/** Largest request body accepted from callers. No configuration so far allows more, and the store limits batch jobs to less. */
inline constexpr std::size_t maxCallerBodyBytes = 33U << 20U;

/** When and where the use of customers is reported. */
struct usage_settings
{
    endpoint address; ///< Of the platform's API.
    duration window = std::chrono::seconds(5); ///< Length of the windows, which are counted from the start of 1970.
    duration due = std::chrono::seconds(10); ///< After the end of a window, when its report must have arrived.
};

/** Settings of an edge process. Time limits that the settings file leaves out keep these defaults, which are the limits of the first two deployments. */
struct edge_settings
{
    std::string node; ///< Name of this node.
    std::string zone; ///< Availability zone of this node.
    endpoint callers; ///< Listen address for requests and batch jobs.
    endpoint readiness; ///< Listen address for readiness probes, metrics and dumps.
    std::optional<endpoint> peers; ///< Listen address for other nodes; empty if this process serves none.
    std::vector<endpoint> seeds; ///< Peer addresses of a few nodes, to learn of the others from; they may be out of date.
    endpoint store; ///< Address of the platform's store.
    bool isFirstStart = false; ///< Whether the whole deployment starts for the first time, so that all nodes register together.
    double processorShare = 0; ///< Share of one processor core that this process may use; 0 if unknown.
    double memoryMegabytes = 0; ///< Memory that this process may use, in MiB; 0 if unknown.
    double descriptors = 0; ///< File descriptors that this process may have open; 0 if unknown.
    duration maxDrainDelay = std::chrono::milliseconds(2000); ///< A server that announces its shutdown receives no new requests after this time.
    duration maxConfigurationDelay = std::chrono::milliseconds(2000); ///< Requests are judged by a new configuration after this time.
    duration serverHeartbeat = std::chrono::milliseconds(1200); ///< Time between two renewals of a server's registration.
    duration shutdownGracePeriod = std::chrono::seconds(8); ///< Time from the stop signal until the process is killed.
    std::optional<usage_settings> usage; ///< Nothing if the deployment reports no use.
    duration orderHandoverInterval = std::chrono::milliseconds(3000); ///< Minimum time between load orders of two different nodes to the same server.
};

} // namespace reedtrail
