/**
 * @file
 * Finds the customer to whom a caller's access token belongs.
 *
 *     token_directory tokens(4096);
 *     tokens.load(document);
 *     std::optional<customer_id> customer = tokens.customerOf("Bearer secret");
 */
#pragma once

#include "base/ids.h"
#include "fleet/fleet_document.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace reedtrail {

/** Hashes of the access tokens of all customers, with a bounded cache of tokens that were found. */
class token_directory
{
public:
    /** @param cacheCapacity maximum number of cached tokens */
    explicit token_directory(std::size_t cacheCapacity);

    /** Replaces the tokens by those in @p document and clears the cache. */
    void load(const fleet_document &document);
    /** Returns the customer of the token in an Authorization header, or nothing if the token is unknown. @param authorization value of the header */
    std::optional<customer_id> customerOf(std::string_view authorization);

private:
    struct token_entry
    {
        std::string hash;
        customer_id customer;
    };
    std::size_t m_cacheCapacity;
    std::vector<token_entry> m_tokens;
    std::unordered_map<std::string, customer_id> m_cache;
};

} // namespace reedtrail
