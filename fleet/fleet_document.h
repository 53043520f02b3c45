/**
 * @file
 * The fleet document: the configuration of the whole system. It is kept in the platform's store, and operators change it by planning and confirming a change.
 *
 *     BOOST_LEAF_AUTO(document, parseFleetDocument(json, "fleet.json"));
 *     const pool_settings *pool = document.findPool(pool_id("summarizer"));
 *
 * Parsing validates the whole document: ids are unique, references resolve, numbers are in range. A document that fails validation reaches no node.
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

/** A customer: its access tokens, its share of the backend servers and its queue limit. */
struct customer_settings
{
    customer_id id;
    double weight = 1; ///< Share of the backend servers under load, relative to the weights of the other customers.
    std::vector<std::string> tokenHashes; ///< Salted hashes of the customer's access tokens, see token_hash.h.
    std::int64_t maximumQueued = 1000; ///< Maximum number of queued requests on one node.
};

/** One backend server. */
struct server_settings
{
    server_id id;
    std::string address; ///< "ip:port".
    zone_id zone;
    bool checksFencing = false; ///< Whether the server refuses an order with an outdated fencing token.
    std::int64_t slots = 8; ///< Maximum number of concurrent requests.
    bool isLeaving = false; ///< Set by an operator to drain the server before a planned stop.
};

/** Protocol of the servers in a pool. */
enum class pool_kind : std::uint8_t { Engine, Service };

/** Interchangeable backend servers. */
struct pool_settings
{
    pool_id id;
    pool_kind kind = pool_kind::Engine;
    std::vector<server_settings> servers;
    std::vector<std::string> nonIdempotent; ///< Requests that must run at most once, as "METHOD /path-prefix".
    duration defaultDeadline = std::chrono::seconds(30); ///< Deadline of requests that name none.
    duration silenceTimeout = std::chrono::seconds(5); ///< A connection to a server that delivers no byte for this long has failed.
};

/** State that operators set for a run. */
enum class run_state : std::uint8_t { Open, Paused, Closed };

/** A training run and its sampling parameters. */
struct run_settings
{
    run_id id;
    customer_id customer;
    pool_id pool; ///< Pool of kind Engine that generates the run's drafts.
    pool_id scorerPool; ///< Pool of kind Service that scores the drafts.
    run_state state = run_state::Open;
    std::int64_t groups = 4; ///< Groups per step.
    std::int64_t groupSize = 4; ///< Samples per group.
    std::int64_t stalenessBound = 2; ///< Maximum number of steps that the oldest weight version of a sample may lag behind the trainer's step.
    duration stepDeadline = std::chrono::minutes(10); ///< Deadline of a draft, counted from its order.
    std::int64_t maximumTokens = 64; ///< Maximum number of tokens per sample.
    double idleTimeWeight = 0.5; ///< Objective of the scheduler: 0 minimizes staleness, 1 minimizes trainer idle time.
    double weight = 1; ///< Share relative to other runs on the same engines.
    std::int64_t weightBytesPerServer = 100000000; ///< Bytes that one server downloads from the weight store per version; used to pace staging.
    std::vector<std::string> prompts; ///< Prompts, assigned to groups in round-robin order.
};

/** An operator's account. */
struct operator_settings
{
    std::string name;
    std::string role; ///< "read", "plan" or "confirm"; each role includes the earlier ones.
    std::vector<std::string> tokenHashes; ///< Salted hashes of the operator's tokens, see token_hash.h.
};

/** The fleet document in typed form. */
struct fleet_document
{
    std::vector<customer_settings> customers;
    std::vector<pool_settings> pools;
    std::vector<run_settings> runs;
    std::vector<operator_settings> operators;
    std::string vmListAddress; ///< Address of the platform's VM list; empty if there is none.
    std::string weightStoreAddress; ///< Address of the weight store; empty if there is none.
    double weightStoreBytesPerSecond = 1e9; ///< Maximum download rate of all backend servers together.

    /** Returns the customer with @p id, or null. */
    const customer_settings *findCustomer(const customer_id &id) const;
    /** Returns the pool with @p id, or null. */
    const pool_settings *findPool(const pool_id &id) const;
    /** Returns the run with @p id, or null. */
    const run_settings *findRun(const run_id &id) const;
};

/**
 * Parses and validates a fleet document.
 * @param object the document as JSON
 * @param file name of the source, used in error messages
 * @return the document, or BadSettings
 */
result<fleet_document> parseFleetDocument(const nlohmann::json &object, std::string_view file);

} // namespace reedtrail
