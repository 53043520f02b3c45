/**
 * @file
 * Typed messages of a weight rollout: from the run's owner to one deputy in each availability zone, and back.
 */
#pragma once

#include "base/ids.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

/** Operation of a weight order, as engines name it. */
inline constexpr std::string_view stageOperation = "stage";
inline constexpr std::string_view switchOperation = "switch";
inline constexpr std::string_view adapterOperation = "load-adapter";
inline constexpr std::string_view roleOperation = "role";

/** The owner of a run orders something of the servers of a zone. Doing it twice is the same as once. */
struct weight_order
{
    static constexpr std::string_view messageName = "weight-order";
    run_id run;
    pool_id pool;
    epoch_number epoch = 0; ///< Fencing number.
    weight_version version = 0; ///< Versions only rise; an order for an older one is ignored.
    std::string operation;
    std::string argument; ///< Name of the adapter or role; empty for weights.
    std::vector<server_id> servers;
    std::int64_t validForMs = 0; ///< From receipt: servers that ignore fencing numbers get nothing later than this.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(weight_order, run, pool, epoch, version, operation, argument, servers, validForMs)
};

/** What a deputy knows of a server. */
struct server_weights
{
    server_id server;
    weight_version staged = 0; ///< Newest version that it said it has staged.
    weight_version version = 0; ///< Newest version that it reported to serve; 0 if it does not know or was not heard.
    weight_version staging = 0; ///< Version it was told to stage and has not answered for; 0 if none.
    std::int64_t stageMs = 0; ///< Time that its last staging took; 0 if not known.
    std::string state; ///< As the server reported; "silent" if it does not answer.
    std::uint64_t failures = 0; ///< Orders that failed since one succeeded.
    std::string failedOperation; ///< Of the last failure.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(server_weights, server, staged, version, staging, stageMs, state, failures, failedOperation)
};

/** A deputy reports the servers of its zone. */
struct weight_report
{
    static constexpr std::string_view messageName = "weight-report";
    run_id run;
    zone_id zone;
    std::string deputy; ///< Tells one deputy, and one life of it, from another.
    std::uint64_t number = 0; ///< Rises with each report of a deputy, so that one overtaken on its way is known.
    epoch_number epoch = 0; ///< Highest that the deputy has seen for the run.
    std::vector<server_weights> servers;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(weight_report, run, zone, deputy, number, epoch, servers)
};

} // namespace reedtrail
