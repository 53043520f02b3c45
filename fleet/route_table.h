/**
 * @file
 * Routing configuration of a deployment. A route maps a host and a path prefix to services, with the timeouts, priority and retry rules of its requests.
 *
 *     route_table table(document);
 *     const route *found = table.match("shop.example", "/orders/17");
 *     const std::string &service = chooseService(*found, random);
 */
#pragma once

#include "base/random.h"
#include "base/time.h"
#include "fleet/customer_directory.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

/** How the requests of a route may be retried. */
enum class route_kind : std::uint8_t {
    Idempotent, ///< A request may run more than once.
    NonIdempotent, ///< A request runs at most once.
    Streaming, ///< The response is a stream of events. A request runs at most once unless the route is resumable.
    Batch, ///< The route accepts batch jobs, whose items may run more than once.
};

/** A service and its weight among the services of a route. */
struct weighted_service
{
    std::string service;
    double weight = 1;
};

/** One route: the requests that it matches, how they are handled, and the services that they go to. */
struct route
{
    std::string name;
    std::string host;
    std::string prefix; ///< Path prefix, which begins and ends with a slash.
    route_kind kind = route_kind::Idempotent;
    bool isResumable = false; ///< Whether a broken stream may be resumed on another server.
    bool isOpen = false; ///< Whether requests need no key, also where the deployment has customers.
    bool isSingleVersion = false; ///< Whether all tokens of a sample must come from one weight version.
    duration timeout{}; ///< Maximum time until the final response; zero means no limit.
    duration latencyTarget{}; ///< A response within this time counts as on time.
    duration jobTarget{}; ///< Time from the submission of a batch job until all its results are due.
    duration itemLifetime{}; ///< Time from the submission of a batch job after which its items may be abandoned.
    int priority = 0; ///< Lower numbers are more urgent; 0 is the most urgent.
    int maxAttempts = 1; ///< Maximum number of servers that one request is sent to.
    std::vector<weighted_service> services;
};

/** Capacity and models of a service whose servers run models. */
struct model_pool
{
    std::uint32_t slots = 1; ///< Concurrent requests per server.
    std::uint64_t memoryTokens = 0; ///< Tokens that fit into the KV cache of each server.
    std::vector<std::string> models;
};

/** One service: the health check and the limits of its servers. */
struct service_spec
{
    std::string name;
    std::string healthPath;
    std::uint32_t maxConnections = 0; ///< Maximum connections to one server, over all its callers; 0 means not specified.
    std::optional<model_pool> engine; ///< Set if the servers of this service run models.
};

/** Limits on the requests and connections of callers. */
struct caller_limits
{
    std::size_t headerBytes = 16U << 10U;
    std::size_t bodyBytes = 33U << 20U;
    duration headerTimeout = std::chrono::seconds(15); ///< From the first byte of a head to its last.
    duration idleTimeout = std::chrono::seconds(60); ///< Between two requests on a connection.
};

/** A complete routing configuration. */
struct route_document
{
    std::uint64_t version = 0; ///< Increases with each change.
    std::vector<route> routes;
    std::map<std::string, service_spec> services;
    caller_limits limits;
    std::shared_ptr<const customer_directory> customers; ///< Null if the deployment has none; then no request needs a key.
};

/** Finds the route of a request in one configuration. */
class route_table
{
public:
    route_table() = default;
    explicit route_table(route_document document);

    /** Returns the route of @p host whose prefix is the longest that @p path begins with, or null. The host may include a port and is case-insensitive. */
    const route *match(std::string_view host, std::string_view path) const;
    /** Tells whether a route of @p host takes batch jobs without a key. */
    bool hasOpenJobRoute(std::string_view host) const;
    /** Returns the service named @p name, or null. */
    const service_spec *service(std::string_view name) const;
    const route_document &document() const
    {
        return m_document;
    }

private:
    route_document m_document;
    std::map<std::string, std::vector<std::size_t>, std::less<>> m_byHost; ///< Route indexes by host in lower case, longest prefix first.
};

/** Chooses a service of @p matched at random by weight. @return its name, or an empty string if the route has no service */
const std::string &chooseService(const route &matched, random_source &random);

} // namespace reedtrail
