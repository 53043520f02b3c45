#include "edge/fleet_cache.h"

#include "kernel/log.h"
#include "platform/fleet_wire.h"

namespace reedtrail {
namespace {

// Share of maxDrainDelay between two reports of server changes. Registrations change with every load of weights, so changes are reported in batches. The
// remaining 0.8 s of the default maxDrainDelay are left for the read itself and for one retry.
constexpr double serverReportIntervalShare = 0.6;

backend_table_options optionsFor(const edge_settings &settings)
{
    backend_table_options options;
    options.ownZone = settings.zone;
    return options;
}

} // namespace

fleet_cache::fleet_cache(edge_context &context)
    : m_context(context)
    , m_backends(optionsFor(context.settings), context.randomSeed)
{
    m_backends.setConnectionQuery([this](const endpoint &address) {
        return m_context.serverClient.hasIdle(address);
    });
}

result<void> fleet_cache::start(kernel &)
{
    prefix_mirror_handlers configurationHandlers;
    configurationHandlers.onListing = [this](std::span<const store_key_value> items) {
        for (const store_key_value &item : items) {
            applyConfiguration(item);
        }
    };
    configurationHandlers.onEvent = [this](const store_watch_event &event) {
        if (event.type == store_watch_event::kind::Put) {
            applyConfiguration(event.item);
        }
    };
    configurationHandlers.onConnectionChange = [](bool isConnected) {
        logLine(log_level::Info, isConnected ? "store-regained" : "store-lost", { { "watch", "configuration" } });
    };
    prefix_mirror_options configurationOptions;
    configurationOptions.isPrefix = false;
    // Changes must arrive within a time limit, so each node watches the store itself: a fault of a shared reader would delay its whole zone.
    configurationOptions.isShared = false;
    m_configurationMirror =
        std::make_shared<mirror>(m_context.store, m_context.loop, std::string(platform::configurationKey), configurationOptions, configurationHandlers);
    m_configurationMirror->start();

    prefix_mirror_handlers serverHandlers;
    serverHandlers.onListing = [this](std::span<const store_key_value> items) {
        replaceServers(items);
    };
    serverHandlers.onEvent = [this](const store_watch_event &event) {
        applyServerEvent(event);
    };
    serverHandlers.onCaughtUp = [this] {
        onServersChanged();
    };
    serverHandlers.onConnectionChange = [this](bool isConnected) {
        isConnected ? m_outages.recordReconnect(m_context.loop.now()) : m_outages.recordDisconnect(m_context.loop.now());
        logLine(log_level::Info, isConnected ? "store-regained" : "store-lost", { { "watch", "servers" } });
    };
    prefix_mirror_options serversOptions;
    serversOptions.isShared = false; // Same reason as for the configuration.
    serversOptions.reportInterval = fromSeconds(toSeconds(m_context.settings.maxDrainDelay) * serverReportIntervalShare);
    m_serverMirror = std::make_shared<mirror>(m_context.store, m_context.loop, std::string(platform::serversPrefix), serversOptions, serverHandlers);
    m_serverMirror->start();
    return {};
}

void fleet_cache::stop()
{
    m_configurationMirror->stop();
    m_serverMirror->stop();
}

nlohmann::json fleet_cache::dump() const
{
    nlohmann::json servers = nlohmann::json::array();
    for (const server_entry *entry : m_directory.allUsable()) {
        servers.push_back({ { "id", entry->id }, { "service", entry->service }, { "zone", entry->zone }, { "running", m_backends.running(entry->id) } });
    }
    return { { "configuration", m_routes.document().version }, { "routes", m_routes.document().routes.size() }, { "servers", servers } };
}

bool fleet_cache::isReady() const
{
    return m_routes.document().version > 0 && m_serverMirror->hasListed();
}

void fleet_cache::applyConfiguration(const store_key_value &item)
{
    std::optional<route_document> document;
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_AUTO(decoded, platform::decodeConfiguration(item.value));
        document = std::move(decoded);
        return {};
    });
    if (error) {
        logLine(log_level::Error, "configuration-unreadable", { { "revision", std::to_string(item.modRevision) }, { "reason", error->detail } });
        return;
    }
    if (document->version <= m_routes.document().version) {
        return;
    }
    logLine(log_level::Info,
            "configuration-adopted",
            { { "version", std::to_string(document->version) },
              { "before", std::to_string(m_routes.document().version) },
              { "revision", std::to_string(item.modRevision) },
              { "routes", std::to_string(document->routes.size()) } });
    m_routes = route_table(std::move(*document));
    for (const auto &listener : m_listeners) {
        listener();
    }
}

std::optional<server_entry> fleet_cache::decodeServerEntry(const store_key_value &item) const
{
    const std::string id = item.key.substr(platform::serversPrefix.size());
    std::optional<server_entry> entry = platform::decodeServer(id, item.value);
    if (!entry) {
        logLine(log_level::Warning, "server-entry-unusable", { { "server", id }, { "revision", std::to_string(item.modRevision) } });
    }
    return entry;
}

void fleet_cache::replaceServers(std::span<const store_key_value> items)
{
    std::vector<server_entry> entries;
    for (const store_key_value &item : items) {
        if (std::optional<server_entry> entry = decodeServerEntry(item)) {
            entries.push_back(std::move(*entry));
        }
    }
    m_directory.replaceAll(m_context.loop.now(), std::move(entries), hadStoreOutage());
}

void fleet_cache::applyServerEvent(const store_watch_event &event)
{
    if (event.type == store_watch_event::kind::Delete) {
        const std::string id = event.item.key.substr(platform::serversPrefix.size());
        logLine(log_level::Info, "server-unregistered", { { "server", id }, { "store-disturbed", hadStoreOutage() ? "yes" : "no" } });
        m_directory.remove(m_context.loop.now(), id, hadStoreOutage());
        return;
    }
    std::optional<server_entry> entry = decodeServerEntry(event.item);
    if (!entry) {
        m_directory.remove(m_context.loop.now(), event.item.key.substr(platform::serversPrefix.size()), false);
        return;
    }
    const server_entry *before = m_directory.find(entry->id);
    if (before == nullptr || before->isDraining != entry->isDraining) {
        logLine(log_level::Info, entry->isDraining ? "server-draining" : "server-registered", { { "server", entry->id }, { "service", entry->service } });
    }
    m_directory.put(std::move(*entry));
}

void fleet_cache::onServersChanged()
{
    removeExpiredServers();
    if (m_appliedDirectoryChanges == m_directory.changes()) {
        return;
    }
    m_appliedDirectoryChanges = m_directory.changes();
    const std::vector<const server_entry *> usable = m_directory.allUsable();
    m_backends.refresh(usable);
    for (const auto &listener : m_listeners) {
        listener();
    }
}

void fleet_cache::removeExpiredServers()
{
    m_directory.expire(m_context.loop.now());
    if (hadStoreOutage()) {
        m_context.loop.after(server_directory::lapseGracePeriod, [this] {
            if (m_directory.expire(m_context.loop.now())) {
                onServersChanged();
            }
        });
    }
}

bool fleet_cache::hadStoreOutage() const
{
    return m_outages.mayHaveLapsed(m_context.loop.now());
}

} // namespace reedtrail
