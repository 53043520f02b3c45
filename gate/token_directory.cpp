// Salted hashes cannot be looked up by token, so a token that is not cached is compared with every hash. Hits are cached. Misses are not, because an attacker
// could fill the cache with them. A full cache is cleared, which costs one search for each token in use.

#include "gate/token_directory.h"

#include "fleet/token_hash.h"

namespace reedtrail {
namespace {

constexpr std::string_view bearerPrefix = "Bearer ";

} // namespace

token_directory::token_directory(std::size_t cacheCapacity)
    : m_cacheCapacity(cacheCapacity)
{
}

void token_directory::load(const fleet_document &document)
{
    m_tokens.clear();
    m_cache.clear();
    for (const customer_settings &customer : document.customers) {
        for (const std::string &hash : customer.tokenHashes) {
            m_tokens.push_back({ hash, customer.id });
        }
    }
}

std::optional<customer_id> token_directory::customerOf(std::string_view authorization)
{
    if (!authorization.starts_with(bearerPrefix)) {
        return std::nullopt;
    }
    const std::string token(authorization.substr(bearerPrefix.size()));
    const auto cached = m_cache.find(token);
    if (cached != m_cache.end()) {
        return cached->second;
    }
    for (const token_entry &known : m_tokens) {
        if (tokenMatches(token, known.hash)) {
            if (m_cache.size() >= m_cacheCapacity) {
                m_cache.clear();
            }
            m_cache.emplace(token, known.customer);
            return known.customer;
        }
    }
    return std::nullopt;
}

} // namespace reedtrail
