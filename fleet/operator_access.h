/**
 * @file
 * Authentication and authorization of operators by token.
 *
 *     BOOST_LEAF_AUTO(name, authorizeOperator(token, operator_role::Confirm, document, bootstrapHash));
 */
#pragma once

#include "base/failure.h"
#include "fleet/fleet_document.h"

#include <string>
#include <string_view>

namespace reedtrail {

/** Permissions of an operator; each role includes the earlier ones. */
enum class operator_role : std::uint8_t { Read, Plan, Confirm };

/**
 * Finds the operator that @p token belongs to and checks the operator's role.
 * @param token token of the request, may be empty
 * @param needed role that the operation requires
 * @param document fleet document in force, or null if there is none
 * @param bootstrapHash hash of the node file's bootstrap token, which grants every role while the document names no operator who may confirm.
 *        If it is empty in that state, access is not checked.
 * @return the operator's name, or Unauthorized or Forbidden
 */
result<std::string> authorizeOperator(std::string_view token, operator_role needed, const fleet_document *document, std::string_view bootstrapHash);

} // namespace reedtrail
