/**
 * @file
 * Builds the status report of the fleet for operators, from the state that one steward knows.
 */
#pragma once

#include "steward/fleet_service.h"
#include "steward/store_service.h"

#include <nlohmann/json.hpp>

namespace reedtrail {

/**
 * Returns the status as {"node","revision","zones","nodes","store","servers","runs","customers","problems":[{"what","doing"}]}.
 *
 * "servers", "runs" and "customers" are left out while no settings are known.
 */
nlohmann::json fleetStatus(const fleet_service &fleet, const store_service &store);

} // namespace reedtrail
