/**
 * @file
 * Typed messages of a weight rollout between a run's owner and the deputy of each availability zone, the node that relays orders to the zone's servers.
 */
#pragma once

#include "base/ids.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

/** Operations of a weight order, by the names that backend servers use. */
inline constexpr std::string_view stageOperation = "stage";
inline constexpr std::string_view switchOperation = "switch";
inline constexpr std::string_view adapterOperation = "load-adapter";
inline constexpr std::string_view roleOperation = "role";

/** An order from a run's owner to the servers of a zone; idempotent. */
struct weight_order
{
    static constexpr std::string_view messageName = "weight-order";
    run_id run;
    pool_id pool;
    epoch_number epoch = 0; ///< Epoch of the ownership; the fencing token.
    weight_version version = 0; ///< Versions increase monotonically; a switch to an older one is ignored.
    std::string operation;
    std::string argument; ///< Name of the adapter or role; empty for stage and switch.
    std::vector<server_id> servers;
    std::int64_t validForMs = 0; ///< Validity in milliseconds from receipt; servers that ignore fencing tokens are sent nothing after it.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(weight_order, run, pool, epoch, version, operation, argument, servers, validForMs)
};

/** Status of a server, as its deputy knows it. */
struct server_weights
{
    server_id server;
    weight_version staged = 0; ///< Newest version that the server confirmed as staged.
    weight_version version = 0; ///< Version that the server last reported to serve; 0 if the server does not know it or has not reported.
    weight_version staging = 0; ///< Version that the server was ordered to stage and has not confirmed; 0 if none.
    std::int64_t stageMs = 0; ///< Duration of its last staging in milliseconds; 0 if unknown.
    std::string state; ///< State that the server reported; "silent" if it does not answer.
    std::uint64_t failures = 0; ///< Number of failed orders since the last success.
    std::string failedOperation; ///< Operation of the last failed order.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(server_weights, server, staged, version, staging, stageMs, state, failures, failedOperation)
};

/** A deputy's report on the servers of its zone. */
struct weight_report
{
    static constexpr std::string_view messageName = "weight-report";
    run_id run;
    zone_id zone;
    std::string deputy; ///< Identifies the deputy and its incarnation.
    std::uint64_t number = 0; ///< Increases with each report of a deputy; exposes reordered reports.
    epoch_number epoch = 0; ///< Highest epoch that the deputy has received for the run.
    std::vector<server_weights> servers;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(weight_report, run, zone, deputy, number, epoch, servers)
};

} // namespace reedtrail
