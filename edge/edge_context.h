/**
 * @file
 * State and clients that the services of an edge process share.
 */
#pragma once

#include "edge/asio_loop.h"
#include "edge/edge_settings.h"
#include "fleet/node_lease.h"
#include "fleet/outage_tracker.h"
#include "fleet/usage_ledger.h"
#include "kernel/metrics.h"
#include "net/http_client.h"
#include "net/reception.h"
#include "platform/key_value_store.h"

#include <functional>
#include <memory>
#include <string>

namespace reedtrail {

using edge_store = platform::key_value_store;
using edge_lease = node_lease<edge_store, asio_loop>;

/** Shared state of an edge process. Everything it refers to outlives the services. */
struct edge_context
{
    edge_settings settings;
    std::string incarnation; ///< Identifies this process among all processes that ran under the node's name.
    asio_loop &loop;
    edge_store &store;
    http_client &serverClient; ///< Connection pool to backend servers.
    std::shared_ptr<edge_lease> lease;
    metric_registry &metrics;
    outage_tracker &outages; ///< Which calls the store answered.
    std::uint64_t randomSeed = 0; ///< Seed of this process's random choices.
    std::function<bool()> isIsolated; ///< Tells whether this node reaches neither the store nor other zones.
    std::shared_ptr<usage_ledger> usage; ///< What customers used by way of this node; null if the deployment reports no use.
    std::shared_ptr<reception> requests; ///< What all listeners hold of requests.
    bool isDraining = false;
    time_point drainStartedAt; ///< Time of the stop signal.
};

} // namespace reedtrail
