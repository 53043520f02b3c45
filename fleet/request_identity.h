/**
 * @file
 * Identifies a request over its repeats: by what its caller asks for, not by its id, its connection, its header fields or the framing of its body.
 */
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace reedtrail {

/** What is known of a request without reading its body. Two requests with different outlines are never the same. */
struct request_outline
{
    std::uint64_t target = 0; ///< Hash of method, host, path and query.
    std::uint64_t bodyBytes = 0;

    auto operator<=>(const request_outline &) const = default;
};

/** Identifies a request over its repeats. */
struct request_identity
{
    request_outline outline;
    std::uint64_t digest = 0; ///< Hash of the outline and the body.

    auto operator<=>(const request_identity &) const = default;
    /** Returns the digest in hexadecimal, as log lines and metrics name it. */
    std::string text() const;
};

/** Returns the outline of a request. @param body decoded, so that its framing plays no part */
request_outline outlineOf(std::string_view method, std::string_view host, std::string_view target, std::string_view body);

/** Returns the identity of a request with this outline; reads the body once. */
request_identity identify(const request_outline &outline, std::string_view body);

} // namespace reedtrail
