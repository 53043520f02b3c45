/**
 * @file
 * Caches the routes and backend servers of the deployment, kept up to date by watches of the store. The cache stays in use while the store is unavailable.
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

/** Caches the deployment's routes and backend servers. */
class fleet_cache : public service
{
public:
    explicit fleet_cache(edge_context &context);

    result<void> start(kernel &process) override;
    void stop() override;
    nlohmann::json dump() const override;

    /** Tells whether routes and servers have been read, so that requests can be served. */
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

    void applyConfiguration(const store_key_value &item);
    void replaceServers(std::span<const store_key_value> items);
    void applyServerEvent(const store_watch_event &event);
    std::optional<server_entry> decodeServerEntry(const store_key_value &item) const;
    void onServersChanged();
    void removeExpiredServers();
    bool hadStoreOutage() const;

    edge_context &m_context;
    std::shared_ptr<mirror> m_configurationMirror;
    std::shared_ptr<mirror> m_serverMirror;
    route_table m_routes;
    server_directory m_directory;
    backend_table m_backends;
    outage_tracker m_outages;
    std::uint64_t m_appliedDirectoryChanges = 0;
    std::vector<std::function<void()>> m_listeners;
};

} // namespace reedtrail
