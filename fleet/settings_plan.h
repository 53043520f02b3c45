/**
 * @file
 * Turns an operator's intended change of the fleet document into a plan, which lists the differences and the risks.
 *
 *     BOOST_LEAF_AUTO(desired, desiredDocument(base, intent));       // the complete new document, from a document or a patch
 *     const settings_plan plan = describePlan(base, desired);
 */
#pragma once

#include "base/failure.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace reedtrail {

/** Description of a change for operators. */
struct settings_plan
{
    std::vector<std::string> changes; ///< One line per changed field or list item.
    std::vector<std::string> risks; ///< One line per known risk.
};

/**
 * Builds the complete new document from an operator's intent.
 * @param base the document in force, or null if there is none
 * @param intent {"document": …} or {"patch": JSON merge patch}
 * @return the new document, which has passed validation, or BadRequest or BadSettings
 */
result<nlohmann::json> desiredDocument(const nlohmann::json &base, const nlohmann::json &intent);

/**
 * Lists the differences between two validated documents and the risks of the change.
 * @param base the document in force, or null if there is none
 * @param desired the new document
 */
settings_plan describePlan(const nlohmann::json &base, const nlohmann::json &desired);

} // namespace reedtrail
