#include "edge/fleet_cache.h"

#include "kernel/log.h"
#include "platform/fleet_wire.h"

namespace reedtrail {
namespace {

// Registrations change with every load of weights. They are read together each 0.6 of the bound for draining servers, which leaves 0.8 s or more for
// the read itself and for one that has to be repeated.
constexpr double serversReportShare = 0.6;

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
    m_backends.setConnectionQuery([this](const endpoint &where) {
        return m_context.serverClient.hasIdle(where);
    });
}

result<void> fleet_cache::start(kernel &)
{
    prefix_mirror_handlers configuration;
    configuration.onListing = [this](std::span<const store_key_value> items) {
        for (const store_key_value &item : items) {
            takeConfiguration(item);
        }
    };
    configuration.onEvent = [this](const store_watch_event &event) {
        if (event.type == store_watch_event::kind::Put) {
            takeConfiguration(event.item);
        }
    };
    configuration.onState = [](bool isConnected) {
        logLine(log_level::Info, isConnected ? "store-regained" : "store-lost", { { "watch", "configuration" } });
    };
    prefix_mirror_options exact;
    exact.isPrefix = false;
    exact.isShared = false; // Bounded in time: a node asks the store itself, since a reader's trouble would be its followers' too.
    m_configuration = std::make_shared<mirror>(m_context.store, m_context.loop, std::string(platform::configurationKey), exact, configuration);
    m_configuration->start();

    prefix_mirror_handlers servers;
    servers.onListing = [this](std::span<const store_key_value> items) {
        listServers(items);
    };
    servers.onEvent = [this](const store_watch_event &event) {
        takeServerEvent(event);
    };
    servers.onCaughtUp = [this] {
        serversChanged();
    };
    servers.onState = [this](bool isConnected) {
        isConnected ? m_outages.noteRegained(m_context.loop.now()) : m_outages.noteLost(m_context.loop.now());
        logLine(log_level::Info, isConnected ? "store-regained" : "store-lost", { { "watch", "servers" } });
    };
    prefix_mirror_options paced;
    paced.isShared = false; // For the same reason.
    paced.reportInterval = fromSeconds(toSeconds(m_context.settings.maxDrainDelay) * serversReportShare);
    m_servers = std::make_shared<mirror>(m_context.store, m_context.loop, std::string(platform::serversPrefix), paced, servers);
    m_servers->start();
    return {};
}

void fleet_cache::stop()
{
    m_configuration->stop();
    m_servers->stop();
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
    return m_routes.document().version > 0 && m_servers->hasListed();
}

void fleet_cache::takeConfiguration(const store_key_value &item)
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

std::optional<server_entry> fleet_cache::readServer(const store_key_value &item) const
{
    const std::string id = item.key.substr(platform::serversPrefix.size());
    std::optional<server_entry> entry = platform::decodeServer(id, item.value);
    if (!entry) {
        logLine(log_level::Warning, "server-entry-unusable", { { "server", id }, { "revision", std::to_string(item.modRevision) } });
    }
    return entry;
}

void fleet_cache::listServers(std::span<const store_key_value> items)
{
    std::vector<server_entry> entries;
    for (const store_key_value &item : items) {
        if (std::optional<server_entry> entry = readServer(item)) {
            entries.push_back(std::move(*entry));
        }
    }
    m_directory.replaceAll(m_context.loop.now(), std::move(entries), storeWasDisturbed());
}

void fleet_cache::takeServerEvent(const store_watch_event &event)
{
    if (event.type == store_watch_event::kind::Delete) {
        const std::string id = event.item.key.substr(platform::serversPrefix.size());
        logLine(log_level::Info, "server-unregistered", { { "server", id }, { "store-disturbed", storeWasDisturbed() ? "yes" : "no" } });
        m_directory.remove(m_context.loop.now(), id, storeWasDisturbed());
        return;
    }
    std::optional<server_entry> entry = readServer(event.item);
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

void fleet_cache::serversChanged()
{
    expireServers();
    if (m_directoryChanges == m_directory.changes()) {
        return;
    }
    m_directoryChanges = m_directory.changes();
    const std::vector<const server_entry *> usable = m_directory.allUsable();
    m_backends.refresh(usable);
    for (const auto &listener : m_listeners) {
        listener();
    }
}

void fleet_cache::expireServers()
{
    m_directory.expire(m_context.loop.now());
    if (storeWasDisturbed()) {
        m_context.loop.after(server_directory::returnAllowance, [this] {
            if (m_directory.expire(m_context.loop.now())) {
                serversChanged();
            }
        });
    }
}

bool fleet_cache::storeWasDisturbed() const
{
    return m_outages.mayHaveLapsed(m_context.loop.now());
}

} // namespace reedtrail
