/**
 * @file
 * Which operator a token belongs to, and what that operator may do.
 *
 *     BOOST_LEAF_AUTO(name, authorizeOperator(token, operator_role::Confirm, document, bootstrapHash));
 */
#pragma once

#include "base/failure.h"
#include "fleet/fleet_document.h"

#include <string>
#include <string_view>

namespace reedtrail {

/** What an operator may do; each role includes those before it. */
enum class operator_role : std::uint8_t { Read, Plan, Confirm };

/**
 * Checks a token.
 * @param token as sent, may be empty
 * @param needed what is to be done
 * @param document in force, or null if there is none
 * @param bootstrapHash of the node file; counts while the document names nobody who may confirm. If it is empty as well, everybody may do everything.
 * @return the operator's name, or Unauthorized or Forbidden
 */
result<std::string> authorizeOperator(std::string_view token, operator_role needed, const fleet_document *document, std::string_view bootstrapHash);

} // namespace reedtrail
