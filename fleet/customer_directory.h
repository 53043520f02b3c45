/**
 * @file
 * The customers of a deployment and the keys by which their callers prove who they are. Replaced as a whole with each configuration. Pure: no I/O.
 *
 *     BOOST_LEAF_AUTO(customers, customer_directory::make(specs));
 *     const customer *caller = customers->find(key);      // null if no customer holds the key
 *
 * Keys are kept as digests only, so neither a dump nor a core file of the process names one.
 */
#pragma once

#include "base/failure.h"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

/** A customer as the configuration describes it. */
struct customer_spec
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< Replaces the priority of the routes that the customer uses; lower numbers are more urgent.
};

/** A customer as requests are handled for it. */
struct customer
{
    std::string name;
    std::optional<int> priority; ///< As customer_spec::priority.
};

/** Finds the customer of a key. */
class customer_directory
{
public:
    static constexpr std::size_t maxKeyBytes = 256; ///< Longer keys are unknown.
    static constexpr std::size_t maxNameBytes = 200; ///< As long as a key of the platform's store.

    /**
     * Makes the directory of a configuration.
     * @return the directory, or BadSettings if a customer has no name or one that may not stand in a header, if two have the same name, or if a key is empty,
     * too long or belongs to two customers
     */
    static result<std::shared_ptr<const customer_directory>> make(std::span<const customer_spec> specs);

    /** Returns the customer that holds @p key, or null. Takes time that does not depend on how much of a key is right. */
    const customer *find(std::string_view key) const;
    /** Returns the customer named @p name, or null. */
    const customer *named(std::string_view name) const;
    std::size_t size() const
    {
        return m_customers.size();
    }

    /** Returns a short digest of @p key for log lines. It tells two keys apart and does not reveal them. */
    static std::string label(std::string_view key);

private:
    using digest = std::array<std::uint8_t, 32>;
    struct key_row
    {
        digest key{};
        std::size_t holder = 0; ///< Index of the customer.
    };
    static digest digestOf(std::string_view key);

    std::vector<customer> m_customers;
    std::vector<key_row> m_keys; ///< Ordered by digest.
};

} // namespace reedtrail
