// A look-up computes one SHA-256 and searches a sorted vector, so it allocates nothing. Keys are long and random, so an unsalted digest cannot be inverted, and
// the order of digests tells an attacker nothing about a key.

#include "fleet/customer_directory.h"

#include "net/http_message.h"

#include <algorithm>
#include <openssl/evp.h>
#include <set>

namespace reedtrail {

customer_directory::digest customer_directory::digestOf(std::string_view key)
{
    // One context per thread: creating one takes longer than the digest of a key.
    thread_local const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    digest bytes{};
    EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
    EVP_DigestUpdate(context.get(), key.data(), key.size());
    EVP_DigestFinal_ex(context.get(), bytes.data(), nullptr);
    return bytes;
}

result<std::shared_ptr<const customer_directory>> customer_directory::make(std::span<const customer_spec> specs)
{
    const auto made = std::make_shared<customer_directory>();
    std::set<std::string_view> names;
    for (const customer_spec &spec : specs) {
        if (spec.name.empty() || spec.name.size() > maxNameBytes || !isFieldValue(spec.name)) {
            return fail(error_kind::BadSettings, "customer " + std::to_string(made->m_customers.size()) + " has no usable name");
        }
        if (!names.insert(spec.name).second) {
            return fail(error_kind::BadSettings, "two customers are named " + spec.name);
        }
        for (const std::string &key : spec.keys) {
            if (key.empty() || key.size() > maxKeyBytes) {
                return fail(error_kind::BadSettings, "customer " + spec.name + " has a key that is empty or too long");
            }
            made->m_keys.push_back({ digestOf(key), made->m_customers.size() });
        }
        made->m_customers.push_back({ spec.name, spec.priority });
    }
    std::ranges::sort(made->m_keys, {}, [](const key_row &row) {
        return std::pair(row.key, row.holder);
    });
    const auto duplicate = std::ranges::adjacent_find(made->m_keys, [](const key_row &left, const key_row &right) {
        return left.key == right.key && left.holder != right.holder;
    });
    if (duplicate != made->m_keys.end()) {
        return fail(error_kind::BadSettings, "customers " + made->m_customers[duplicate->holder].name + " and another one hold the same key");
    }
    return std::shared_ptr<const customer_directory>(made);
}

const customer *customer_directory::find(std::string_view key) const
{
    if (key.empty() || key.size() > maxKeyBytes) {
        return nullptr;
    }
    const digest wanted = digestOf(key);
    const auto found = std::ranges::lower_bound(m_keys, wanted, {}, &key_row::key);
    return found != m_keys.end() && found->key == wanted ? &m_customers[found->holder] : nullptr;
}

const customer *customer_directory::named(std::string_view name) const
{
    const auto found = std::ranges::find(m_customers, name, &customer::name);
    return found == m_customers.end() ? nullptr : &*found;
}

std::string customer_directory::label(std::string_view key)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr std::size_t labelBytes = 4;
    const digest bytes = digestOf(key);
    std::string text;
    for (std::size_t i = 0; i < labelBytes; ++i) {
        text += digits[bytes[i] >> 4U];
        text += digits[bytes[i] & 15U];
    }
    return text;
}

} // namespace reedtrail
