/**
 * @file
 * An IP number and port. Host names are not resolved: all addresses in the system are numeric.
 *
 *     BOOST_LEAF_AUTO(where, parseEndpoint("127.0.0.1:8000"));
 */
#pragma once

#include "base/failure.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace reedtrail {

/** The address and port on which a process listens. */
struct endpoint
{
    std::string ip;
    std::uint16_t port = 0;

    /** Returns "ip:port", with brackets around an IPv6 number. */
    std::string text() const;
    auto operator<=>(const endpoint &) const = default;
};

/** Parses "127.0.0.1:8000" or "[::1]:8000". @return the endpoint, or BadSettings with @p text and the accepted format */
result<endpoint> parseEndpoint(std::string_view text);

} // namespace reedtrail
