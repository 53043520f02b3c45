/**
 * @file
 * Who may run the request of an idempotency key, however that is found out.
 */
#pragma once

#include "once/ticket.h"

#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

namespace reedtrail {

/** Who may run the request of a key. */
enum class key_resolution : std::uint8_t {
    Own, ///< This incarnation.
    Foreign, ///< Another one, named in the record.
    Expired, ///< This incarnation, but the claim is so old that whether it ran may be forgotten.
    Unresolved, ///< The store did not say: it may have run elsewhere.
};

/** A key is resolved. */
struct resolved_key
{
    std::uint64_t request = 0; ///< As given to resolve().
    key_resolution resolution = key_resolution::Unresolved;
    gate_incarnation owner; ///< Of a foreign key.
};

/** A way to find out who may run the request of a key: key_records and key_ranges. */
template<class Keys>
concept key_resolver = requires(Keys keys, time_point now, std::uint64_t request, std::string key, typename Keys::actions actions)
{
    typename Keys::store_request;
    Keys::hasFixedOwners;
    keys.resolve(now, request, key, actions);
    keys.onTimer(now, actions);
    {
        keys.nextDeadline()
        } -> std::same_as<time_point>;
};

} // namespace reedtrail
