/**
 * @file
 * Named constants for the HTTP status codes in use.
 */
#pragma once

#include <cstdint>

namespace reedtrail::http_status {

inline constexpr std::uint16_t switchingProtocols = 101;
inline constexpr std::uint16_t ok = 200;
inline constexpr std::uint16_t accepted = 202;
inline constexpr std::uint16_t noContent = 204;
inline constexpr std::uint16_t firstNonSuccess = 300;
inline constexpr std::uint16_t badRequest = 400;
inline constexpr std::uint16_t unauthorized = 401;
inline constexpr std::uint16_t notFound = 404;
inline constexpr std::uint16_t requestTimeout = 408;
inline constexpr std::uint16_t conflict = 409;
inline constexpr std::uint16_t gone = 410;
inline constexpr std::uint16_t preconditionFailed = 412;
inline constexpr std::uint16_t tooLarge = 413;
inline constexpr std::uint16_t misdirected = 421;
inline constexpr std::uint16_t unprocessable = 422;
inline constexpr std::uint16_t tooMany = 429;
inline constexpr std::uint16_t internalError = 500;
inline constexpr std::uint16_t badGateway = 502;
inline constexpr std::uint16_t unavailable = 503;
inline constexpr std::uint16_t gatewayTimeout = 504;

inline constexpr std::uint16_t firstInterim = 100;
inline constexpr std::uint16_t firstUndefined = 600;

/** Tells whether a response with the status announces another one (RFC 9110, 15.2). What follows 101 is no HTTP, and no request here asks for it. */
constexpr bool isInterim(std::uint16_t status)
{
    return status >= firstInterim && status < ok && status != switchingProtocols;
}

/** Tells whether the status is that of a final response (RFC 9110, 15). */
constexpr bool isFinal(std::uint16_t status)
{
    return status >= ok && status < firstUndefined;
}

/** Tells whether a caller takes the status for a promise that its request has not run and never will. */
constexpr bool isPromiseNotToRun(std::uint16_t status)
{
    return status == requestTimeout || status == misdirected || status == tooMany || status == unavailable;
}

} // namespace reedtrail::http_status
