/**
 * @file
 * The result of resolving an idempotency key (which gate may run its request) and the interface of the classes that resolve keys.
 */
#pragma once

#include "once/ticket.h"

#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

namespace reedtrail {

/** Tells who may run the request of a key. */
enum class key_resolution : std::uint8_t {
    Own, ///< This gate incarnation may run it.
    Foreign, ///< Another gate incarnation owns the key.
    Expired, ///< This incarnation owns the key, but the claim is so old that the outcome of the request may be forgotten.
    Unresolved, ///< The owner is not known now; the request may have run elsewhere.
};

/** Action: the owner of a request's key has been found, or the attempt was given up. */
struct resolved_key
{
    std::uint64_t request = 0; ///< The value passed to resolve().
    key_resolution resolution = key_resolution::Unresolved;
    gate_incarnation owner; ///< Owner of the key; valid if the resolution is Foreign.
};

/** Requirements on a class that resolves idempotency keys. Implemented by key_records and key_ranges. */
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
