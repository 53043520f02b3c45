/**
 * @file
 * Typed messages about customers' usage and credits, between gates, the nodes that aggregate usage, and the nodes that watch servers.
 *
 * All of this is soft state: a lost message makes sharing less fair for a moment, and has no effect on correctness.
 */
#pragma once

#include "base/ids.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string_view>
#include <vector>

namespace reedtrail {

/** One customer's usage of one pool, in slots. Encoded as an array to keep messages small. */
struct customer_usage
{
    pool_id pool;
    customer_id customer;
    double running = 0; ///< Requests on backend servers.
    double waiting = 0; ///< Requests that wait for a backend server.
    template<class Json>
    friend void to_json(Json &out, const customer_usage &usage)
    {
        out = Json::array({ usage.pool, usage.customer, usage.running, usage.waiting });
    }
    template<class Json>
    friend void from_json(const Json &in, customer_usage &usage)
    {
        usage.pool = in.at(0).template get<pool_id>();
        usage.customer = in.at(1).template get<customer_id>();
        usage.running = in.at(2).template get<double>();
        usage.waiting = in.at(3).template get<double>();
    }
};

/** Aggregated usage of a node and its subtree, sent to its parent in the usage tree; see usage_tree.h. */
struct usage_report
{
    static constexpr std::string_view messageName = "usage-report";
    node_id node;
    std::uint64_t sequence = 0; ///< Increases with each report; a reordered older report is dropped.
    std::uint32_t gates = 1; ///< Number of gates in the sum.
    std::vector<customer_usage> usage;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(usage_report, node, sequence, gates, usage)
};

/** Aggregated usage of a zone, exchanged between the roots of the zones. */
struct zone_usage
{
    static constexpr std::string_view messageName = "zone-usage";
    zone_id zone;
    node_id node; ///< Root that computed the sum.
    std::uint64_t sequence = 0;
    std::uint32_t gates = 0; ///< Number of gates in the sum.
    std::vector<customer_usage> usage;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(zone_usage, zone, node, sequence, gates, usage)
};

/** Aggregated usage of the fleet, sent to each gate. */
struct usage_total
{
    static constexpr std::string_view messageName = "usage-total";
    node_id node; ///< Root that computed the sum.
    std::uint64_t sequence = 0;
    std::uint32_t gates = 0; ///< Number of gates in the sum.
    std::vector<customer_usage> usage;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(usage_total, node, sequence, gates, usage)
};

/** Number of open requests on one server. Encoded as an array to keep messages small. */
struct server_open
{
    server_id server;
    std::int64_t open = 0;
    template<class Json>
    friend void to_json(Json &out, const server_open &count)
    {
        out = Json::array({ count.server, count.open });
    }
    template<class Json>
    friend void from_json(const Json &in, server_open &count)
    {
        count.server = in.at(0).template get<server_id>();
        count.open = in.at(1).template get<std::int64_t>();
    }
};

/** A gate's number of open requests on each server, sent to the node that watches these servers; see open_request_aggregator. */
struct open_report
{
    static constexpr std::string_view messageName = "open-report";
    node_id node;
    std::uint64_t sequence = 0;
    std::vector<server_open> open; ///< One entry for each watched server, also for those with 0 requests.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(open_report, node, sequence, open)
};

/** Open requests of all gates on each server, as summed by the watching node. */
struct open_total
{
    static constexpr std::string_view messageName = "open-total";
    node_id node;
    std::uint64_t sequence = 0;
    std::vector<server_open> open;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(open_total, node, sequence, open)
};

/** A gate's request for credits, sent to the node that watches a server. */
struct credit_request
{
    static constexpr std::string_view messageName = "credit-request";
    node_id node;
    server_id server;
    std::uint64_t sequence = 0;
    std::vector<customer_usage> usage; ///< Requests on this server, and waiting requests for which credits on this server are requested.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(credit_request, node, server, sequence, usage)
};

/** Credits of one customer: the number of requests that it may have on the server through the gate. */
struct customer_credit
{
    customer_id customer;
    std::int64_t slots = 0;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(customer_credit, customer, slots)
};

/** Answer to a credit_request; replaces the gate's earlier credits for this server. */
struct credit_grant
{
    static constexpr std::string_view messageName = "credit-grant";
    server_id server;
    node_id watcher;
    std::uint64_t sequence = 0; ///< Sequence of the answered request.
    std::vector<customer_credit> credits;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(credit_grant, server, watcher, sequence, credits)
};

} // namespace reedtrail
