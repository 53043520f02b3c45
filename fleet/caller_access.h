/**
 * @file
 * Decides whether a caller may use a route or a batch job, from the key that it presents. Pure: no I/O.
 *
 * Load pattern: every call is judged before anything of it is queued or sent, by the configuration at hand. A node whose configuration may be out of date does
 * not deny a key that it does not know, because the key may be newer; it asks the caller to come back.
 */
#pragma once

#include "fleet/customer_directory.h"

#include <optional>
#include <string>
#include <string_view>

namespace reedtrail {

/** The key that a request carries. */
struct presented_key
{
    enum class kind : std::uint8_t {
        Absent,
        Single,
        Malformed, ///< The field comes twice, or its value is no key.
    };
    kind what = kind::Absent;
    std::string_view key; ///< Valid as long as the request; empty unless Single.
};

/** The judgement of a call. */
struct access_verdict
{
    enum class outcome : std::uint8_t {
        Open, ///< The deployment has no customers, or the route is open to all.
        Granted, ///< The key belongs to a customer.
        Denied,
        Unsure, ///< The key is unknown, and the configuration at hand may be older than it.
    };
    outcome what = outcome::Open;
    std::optional<std::string> customer; ///< For whom the call is made: empty on an open route without a key; nothing if the deployment has no customers.
    const char *reason = ""; ///< Of a denial, for the log and the caller.

    bool isAllowed() const
    {
        return what == outcome::Open || what == outcome::Granted;
    }
};

/**
 * Judges a call.
 * @param customers of the configuration in force; null if it has none
 * @param isOpen whether the route takes requests without a key
 * @param isConfigurationCurrent whether the configuration is as young as a judgement requires
 */
inline access_verdict judgeAccess(const customer_directory *customers, bool isOpen, const presented_key &presented, bool isConfigurationCurrent)
{
    using outcome = access_verdict::outcome;
    if (customers == nullptr) {
        return { outcome::Open, std::nullopt, "" };
    }
    const customer *holder = presented.what == presented_key::kind::Single ? customers->find(presented.key) : nullptr;
    if (holder != nullptr) {
        return { outcome::Granted, holder->name, "" };
    }
    if (isOpen) {
        return { outcome::Open, std::string(), "" };
    }
    if (presented.what == presented_key::kind::Absent) {
        return { outcome::Denied, std::nullopt, "the request carries no key" };
    }
    if (presented.what == presented_key::kind::Malformed) {
        return { outcome::Denied, std::nullopt, "the request carries two keys, or one that can't be a key" };
    }
    return { isConfigurationCurrent ? outcome::Denied : outcome::Unsure, std::nullopt, "no customer holds the key" };
}

/**
 * Tells whether a caller may see a batch job. Jobs that were handed in without a customer are open to all.
 * @param caller customer of the caller, as access_verdict::customer
 * @param owner customer that handed the job in; empty if none did
 */
inline bool mayUseJob(const std::optional<std::string> &caller, std::string_view owner)
{
    return owner.empty() || !caller || *caller == owner;
}

} // namespace reedtrail
