/**
 * @file
 * Loading of weight versions on model servers that take orders one at a time.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace reedtrail {

/** State of a model server. */
struct engine_report
{
    bool isBusy = false; ///< An order is being carried out.
    std::uint64_t ordersAccepted = 0; ///< Since its start.
    std::map<std::string, std::uint64_t, std::less<>> versions; ///< Of each model.
};

/** How running requests meet new weights. */
enum class load_mode : std::uint8_t { FinishFirst, Restart, Continue };

/** An order to load a version of a model. */
struct load_order
{
    std::string server;
    std::string model;
    std::uint64_t version = 0;
    load_mode mode = load_mode::Continue;
    std::uint64_t ordersSeen = 0; ///< The order holds only if the server has accepted this many, so that one that comes late does nothing.
    std::string holder;
    std::uint64_t fencingToken = 0;
};

/** How a server took an order. */
enum class order_answer : std::uint8_t { Started, AlreadyLoaded, Conflict, Fenced, Refused, NotFound, Unknown };

} // namespace reedtrail
