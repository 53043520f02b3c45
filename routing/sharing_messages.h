/**
 * @file
 * Typed messages that carry what customers use and what they are granted, between gates, the nodes that add usage up, and the watchers of servers.
 *
 * All of it is soft state: a lost message costs fairness for a moment, never a promise.
 */
#pragma once

#include "base/ids.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string_view>
#include <vector>

namespace reedtrail {

/** What one customer uses and wants of one pool, in slots. Written as an array to keep messages small. */
struct customer_usage
{
    pool_id pool;
    customer_id customer;
    double running = 0; ///< Requests handed to backend servers.
    double waiting = 0; ///< Requests that wait for one.
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

/** What the gates below a node of the usage tree use, told to its parent; see usage_tree.h. */
struct usage_report
{
    static constexpr std::string_view messageName = "usage-report";
    node_id node;
    std::uint64_t sequence = 0; ///< Rises; an older report that arrives late is dropped.
    std::uint32_t gates = 1; ///< Gates in the sum.
    std::vector<customer_usage> usage;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(usage_report, node, sequence, gates, usage)
};

/** The sum over a zone, exchanged between zones. */
struct zone_usage
{
    static constexpr std::string_view messageName = "zone-usage";
    zone_id zone;
    node_id node; ///< Who added it up.
    std::uint64_t sequence = 0;
    std::uint32_t gates = 0; ///< Gates in the sum.
    std::vector<customer_usage> usage;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(zone_usage, zone, node, sequence, gates, usage)
};

/** The sum over the fleet, told to each gate. */
struct usage_total
{
    static constexpr std::string_view messageName = "usage-total";
    node_id node; ///< Who added it up.
    std::uint64_t sequence = 0;
    std::uint32_t gates = 0;
    std::vector<customer_usage> usage;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(usage_total, node, sequence, gates, usage)
};

/** Requests open on one server. Written as an array to keep messages small. */
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

/** A gate tells the watcher of some servers how many requests it has open on each; see open_request_aggregator.h. */
struct open_report
{
    static constexpr std::string_view messageName = "open-report";
    node_id node;
    std::uint64_t sequence = 0;
    std::vector<server_open> open; ///< Of all servers the watcher watches, those with 0 included.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(open_report, node, sequence, open)
};

/** The watcher's sums over all gates. */
struct open_total
{
    static constexpr std::string_view messageName = "open-total";
    node_id node;
    std::uint64_t sequence = 0;
    std::vector<server_open> open;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(open_total, node, sequence, open)
};

/** A gate asks the watcher of a server for credits. */
struct credit_request
{
    static constexpr std::string_view messageName = "credit-request";
    node_id node;
    server_id server;
    std::uint64_t sequence = 0;
    std::vector<customer_usage> usage; ///< Running on this server, and waiting for any server, as far as this server is asked for them.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(credit_request, node, server, sequence, usage)
};

/** Credits of one customer: it may have this many requests on the server. */
struct customer_credit
{
    customer_id customer;
    std::int64_t slots = 0;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(customer_credit, customer, slots)
};

/** The watcher's answer: replaces the gate's earlier credits for this server. */
struct credit_grant
{
    static constexpr std::string_view messageName = "credit-grant";
    server_id server;
    node_id watcher;
    std::uint64_t sequence = 0; ///< Of the request answered.
    std::vector<customer_credit> credits;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(credit_grant, server, watcher, sequence, credits)
};

} // namespace reedtrail
