/**
 * @file
 * Salted hashes of tokens. Settings documents hold these in place of the tokens.
 *
 *     std::string stored = hashToken("secret", "s1");     // "s1$" followed by 64 hexadecimal digits
 *     bool isMatch = tokenMatches("secret", stored);
 */
#pragma once

#include <string>
#include <string_view>

namespace reedtrail {

/**
 * Returns "SALT$HEX", where HEX is the SHA-256 hash of "SALT$TOKEN".
 * @param token the secret
 * @param salt any text without '$'
 */
std::string hashToken(std::string_view token, std::string_view salt);

/** Returns whether @p stored is a hash of @p token. The hashes are compared in constant time. */
bool tokenMatches(std::string_view token, std::string_view stored);

} // namespace reedtrail
