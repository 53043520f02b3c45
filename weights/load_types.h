/**
 * @file
 * Types for loading weight versions on model servers that carry out one order at a time.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace reedtrail {

/** State report of a model server. */
struct engine_report
{
    bool isBusy = false; ///< Whether an order is being carried out.
    std::uint64_t ordersAccepted = 0; ///< Number of orders accepted since the server started.
    std::map<std::string, std::uint64_t, std::less<>> versions; ///< Version of each loaded model.
};

/** What happens to running requests when weights are loaded: they finish before the load, start over, or continue on the new weights. */
enum class load_mode : std::uint8_t { FinishFirst, Restart, Continue };

/** An order to load a version of a model. */
struct load_order
{
    std::string server;
    std::string model;
    std::uint64_t version = 0;
    load_mode mode = load_mode::Continue;
    std::uint64_t ordersSeen = 0; ///< The server accepts the order only if its ordersAccepted equals this, so that a delayed order has no effect.
    std::string holder;
    std::uint64_t fencingToken = 0;
};

/** A server's answer to an order; Unknown if none arrived, so that the load may have started. */
enum class order_answer : std::uint8_t { Started, AlreadyLoaded, Conflict, Fenced, Refused, NotFound, Unknown };

} // namespace reedtrail
