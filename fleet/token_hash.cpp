// Tokens are long and random, unlike passwords, so one round of salted SHA-256 is enough: the hash cannot be inverted, and equal tokens with different salts
// have different hashes. The comparison takes constant time.

#include "fleet/token_hash.h"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>

namespace reedtrail {

std::string hashToken(std::string_view token, std::string_view salt)
{
    const std::string text = std::string(salt) + "$" + std::string(token);
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned size = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
    constexpr std::string_view digits = "0123456789abcdef";
    std::string stored = std::string(salt) + "$";
    for (unsigned i = 0; i < size; ++i) {
        stored += digits[digest[i] >> 4U];
        stored += digits[digest[i] & 15U];
    }
    return stored;
}

bool tokenMatches(std::string_view token, std::string_view stored)
{
    const std::size_t end = stored.find('$');
    if (end == std::string_view::npos) {
        return false;
    }
    const std::string expected = hashToken(token, stored.substr(0, end));
    return expected.size() == stored.size() && CRYPTO_memcmp(expected.data(), stored.data(), stored.size()) == 0;
}

} // namespace reedtrail
