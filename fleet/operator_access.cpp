// While the fleet document names no operator who may confirm, the bootstrap token of the node file grants access: whoever can write node files controls the
// machines already. Once the document names such an operator, the bootstrap token is no longer accepted, so it need not be replaced on every VM when an
// operator leaves.

#include "fleet/operator_access.h"

#include "fleet/token_hash.h"

#include <algorithm>

namespace reedtrail {
namespace {

operator_role parseRole(std::string_view name)
{
    if (name == "confirm") {
        return operator_role::Confirm;
    }
    return name == "plan" ? operator_role::Plan : operator_role::Read;
}

bool hasConfirmer(const fleet_document &document)
{
    return std::ranges::any_of(document.operators, [](const operator_settings &account) {
        return parseRole(account.role) == operator_role::Confirm && !account.tokenHashes.empty();
    });
}

} // namespace

result<std::string> authorizeOperator(std::string_view token, operator_role needed, const fleet_document *document, std::string_view bootstrapHash)
{
    if (document == nullptr || !hasConfirmer(*document)) {
        if (bootstrapHash.empty() || tokenMatches(token, bootstrapHash)) {
            return std::string("bootstrap");
        }
    }
    if (document != nullptr) {
        for (const operator_settings &account : document->operators) {
            const bool isMatch = std::ranges::any_of(account.tokenHashes, [&](const std::string &hash) {
                return tokenMatches(token, hash);
            });
            if (isMatch && parseRole(account.role) >= needed) {
                return account.name;
            }
            if (isMatch) {
                return fail(error_kind::Forbidden, "operator " + account.name + " has role " + account.role);
            }
        }
    }
    return fail(error_kind::Unauthorized, "no operator has this token");
}

} // namespace reedtrail
