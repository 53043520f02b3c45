/**
 * @file
 * Intent → plan: what a change of the fleet document changes, for whom, what it costs and what it risks.
 *
 *     BOOST_LEAF_AUTO(wanted, wantedDocument(base, intent));         // the whole new document, from a document or a patch
 *     const settings_plan plan = describePlan(base, wanted);
 */
#pragma once

#include "base/failure.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace reedtrail {

/** What a change does. */
struct settings_plan
{
    std::vector<std::string> changes; ///< One line each.
    std::vector<std::string> risks; ///< One line each; empty if none is known.
};

/**
 * Makes the whole new document from an operator's intent.
 * @param base the document in force, or null if there is none
 * @param intent {"document": …} or {"patch": JSON merge patch}
 * @return the new document, checked, or BadRequest or BadSettings
 */
result<nlohmann::json> wantedDocument(const nlohmann::json &base, const nlohmann::json &intent);

/** Compares two checked documents. @param base the document in force, or null if there is none */
settings_plan describePlan(const nlohmann::json &base, const nlohmann::json &wanted);

} // namespace reedtrail
