// While nobody is named who may confirm, the node file decides: whoever can write node files has the machines anyway. As soon as the document names one, the
// bootstrap token loses its power, so that it need not be changed on every VM when people change.

#include "fleet/operator_access.h"

#include "fleet/token_hash.h"

#include <algorithm>

namespace reedtrail {
namespace {

operator_role roleNamed(std::string_view name)
{
    if (name == "confirm") {
        return operator_role::Confirm;
    }
    return name == "plan" ? operator_role::Plan : operator_role::Read;
}

bool namesConfirmer(const fleet_document &document)
{
    return std::ranges::any_of(document.operators, [](const operator_settings &person) {
        return roleNamed(person.role) == operator_role::Confirm && !person.tokenHashes.empty();
    });
}

} // namespace

result<std::string> authorizeOperator(std::string_view token, operator_role needed, const fleet_document *document, std::string_view bootstrapHash)
{
    if (document == nullptr || !namesConfirmer(*document)) {
        if (bootstrapHash.empty() || tokenMatches(token, bootstrapHash)) {
            return std::string("bootstrap");
        }
    }
    if (document != nullptr) {
        for (const operator_settings &person : document->operators) {
            const bool fits = std::ranges::any_of(person.tokenHashes, [&](const std::string &hash) {
                return tokenMatches(token, hash);
            });
            if (fits && roleNamed(person.role) >= needed) {
                return person.name;
            }
            if (fits) {
                return fail(error_kind::Forbidden, "operator " + person.name + " has role " + person.role);
            }
        }
    }
    return fail(error_kind::Unauthorized, "no operator has this token");
}

} // namespace reedtrail
