/**
 * @file
 * Finds the customer that a caller's token acts for.
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

/** Tokens of all customers, with a bounded cache of those seen. */
class token_directory
{
public:
    /** @param cacheCapacity tokens remembered with their customer */
    explicit token_directory(std::size_t cacheCapacity);

    /** Takes over the customers of @p document and forgets what was cached. */
    void load(const fleet_document &document);
    /** Returns the customer of the value of an Authorization header, if its token is known. */
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
