/**
 * @file
 * The deployment as this process knows it: routes and backend servers, followed in the store. What was learned is kept while the store is away.
 */
#pragma once

#include "edge/edge_context.h"
#include "fleet/outage_memory.h"
#include "fleet/prefix_mirror.h"
#include "fleet/route_table.h"
#include "fleet/server_directory.h"
#include "kernel/service.h"
#include "routing/backend_table.h"

#include <functional>
#include <memory>
#include <vector>

namespace reedtrail {

/** The view. */
class fleet_cache : public service
{
public:
    explicit fleet_cache(edge_context &context);

    result<void> start(kernel &process) override;
    void stop() override;
    nlohmann::json dump() const override;

    /** Tells whether routes and servers are known, so that requests can be served. */
    bool isReady() const;
    const route_table &routes() const
    {
        return m_routes;
    }
    const server_directory &directory() const
    {
        return m_directory;
    }
    backend_table &backends()
    {
        return m_backends;
    }
    /** Adds an action that runs after each change of routes or servers. */
    void onChange(std::function<void()> action)
    {
        m_listeners.push_back(std::move(action));
    }

private:
    using mirror = prefix_mirror<edge_store, asio_loop>;

    void takeConfiguration(const store_key_value &item);
    void listServers(std::span<const store_key_value> items);
    void takeServerEvent(const store_watch_event &event);
    std::optional<server_entry> readServer(const store_key_value &item) const;
    void serversChanged();
    void expireServers();
    bool storeWasDisturbed() const;

    edge_context &m_context;
    std::shared_ptr<mirror> m_configuration;
    std::shared_ptr<mirror> m_servers;
    route_table m_routes;
    server_directory m_directory;
    backend_table m_backends;
    outage_memory m_outages;
    std::uint64_t m_directoryChanges = 0;
    std::vector<std::function<void()>> m_listeners;
};

} // namespace reedtrail
