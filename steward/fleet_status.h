/**
 * @file
 * The one-screen status of the fleet, as one steward sees it.
 */
#pragma once

#include "steward/fleet_service.h"
#include "steward/store_service.h"

#include <nlohmann/json.hpp>

namespace reedtrail {

/** Returns {"revision","zones","nodes","servers","runs","customers","store","problems":[{"what","doing"}]}. */
nlohmann::json fleetStatus(const fleet_service &fleet, const store_service &store);

} // namespace reedtrail
