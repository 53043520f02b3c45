// The outline costs nothing that grows with the body. Only requests whose outline equals that of a known suspect, or under which a server has ended, have their
// bodies read.

#include "fleet/request_identity.h"

#include "base/hash.h"

#include <array>
#include <cstdio>

namespace reedtrail {

std::string request_identity::text() const
{
    std::array<char, 17> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(digest));
    return digits.data();
}

request_outline outlineOf(std::string_view method, std::string_view host, std::string_view target, std::string_view body)
{
    return { stableHash(target, stableHash(host, stableHash(method))), body.size() };
}

request_identity identify(const request_outline &outline, std::string_view body)
{
    return { outline, stableHash(body, outline.target) };
}

} // namespace reedtrail
