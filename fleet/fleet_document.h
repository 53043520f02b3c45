/**
 * @file
 * The fleet document: what operators set for the whole system, kept in the platform's store and changed by plan and confirm.
 *
 *     BOOST_LEAF_AUTO(document, parseFleetDocument(json, "fleet.json"));
 *     const pool_settings *pool = document.findPool(pool_id("summarizer"));
 *
 * A document is checked whole: ids differ, references exist, numbers are in range. What is not accepted here reaches no node.
 */
#pragma once

#include "base/failure.h"
#include "base/ids.h"
#include "base/time.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

/** Who sends requests and what share of the back ends is theirs. */
struct customer_settings
{
    customer_id id;
    double weight = 1; ///< Share relative to other customers.
    std::vector<std::string> tokenHashes; ///< Of the tokens that act for this customer.
    std::int64_t maximumQueued = 1000; ///< Requests waiting on one node.
};

/** One backend server. */
struct server_settings
{
    server_id id;
    std::string address; ///< "ip:port".
    zone_id zone;
    bool checksFencing = false; ///< Whether it refuses an order with an old fencing number.
    std::int64_t slots = 8; ///< Requests it runs at once.
    bool isLeaving = false; ///< Set by operators before a planned stop.
};

/** What a pool's servers speak. */
enum class pool_kind : std::uint8_t { Engine, Service };

/** Backend servers that serve the same thing. */
struct pool_settings
{
    pool_id id;
    pool_kind kind = pool_kind::Engine;
    std::vector<server_settings> servers;
    std::vector<std::string> nonIdempotent; ///< "METHOD /path-prefix" of requests that must run at most once.
    duration defaultDeadline = std::chrono::seconds(30);
    duration silenceTimeout = std::chrono::seconds(5);
};

/** State of a run that operators ask for. */
enum class run_state : std::uint8_t { Open, Paused, Closed };

/** A training run. */
struct run_settings
{
    run_id id;
    customer_id customer;
    pool_id pool; ///< Engines that make its drafts.
    pool_id scorerPool; ///< Services that score them.
    run_state state = run_state::Open;
    std::int64_t groups = 4; ///< Groups a step.
    std::int64_t groupSize = 4; ///< Samples a group.
    std::int64_t stalenessBound = 2; ///< Most steps a sample's oldest version may lie behind the trainer's step.
    duration stepDeadline = std::chrono::minutes(10);
    std::int64_t maximumTokens = 64;
    double idleTimeWeight = 0.5; ///< Objective between staleness (0) and trainer idle time (1).
    double weight = 1; ///< Share among runs on the same engines.
    std::int64_t weightBytesPerServer = 100000000; ///< Bytes that one server draws from the weight store for a version; paces staging.
    std::vector<std::string> prompts; ///< Drawn round robin by group.
};

/** Who may operate. */
struct operator_settings
{
    std::string name;
    std::string role; ///< "read", "plan" or "confirm"; each includes those before it.
    std::vector<std::string> tokenHashes;
};

/** The whole document. */
struct fleet_document
{
    std::vector<customer_settings> customers;
    std::vector<pool_settings> pools;
    std::vector<run_settings> runs;
    std::vector<operator_settings> operators;
    std::string vmListAddress; ///< Empty if there is none.
    std::string weightStoreAddress; ///< Empty if there is none.
    double weightStoreBytesPerSecond = 1e9; ///< Rate that all backend servers together may draw.

    const customer_settings *findCustomer(const customer_id &id) const;
    const pool_settings *findPool(const pool_id &id) const;
    const run_settings *findRun(const run_id &id) const;
};

/** Reads and checks a document. @param object the JSON @param file name for the error line @return the document, or BadSettings */
result<fleet_document> parseFleetDocument(const nlohmann::json &object, std::string_view file);

} // namespace reedtrail
