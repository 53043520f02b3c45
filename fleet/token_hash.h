/**
 * @file
 * Salted hashes of tokens, so that a settings document never holds a token itself.
 *
 *     std::string stored = hashToken("secret", "s1");     // "s1$" and 64 hexadecimal digits
 *     bool fits = tokenMatches("secret", stored);
 */
#pragma once

#include <string>
#include <string_view>

namespace reedtrail {

/** Returns "SALT$HEX" with HEX the SHA-256 of salt and token. @param token the secret @param salt any text without '$' */
std::string hashToken(std::string_view token, std::string_view salt);

/** Tells whether @p token is the one that @p stored was made from; takes the same time for every token. */
bool tokenMatches(std::string_view token, std::string_view stored);

} // namespace reedtrail
