#include "edge/fleet_cache.h"

#include "kernel/log.h"
#include "net/http_status.h"
#include "platform/fleet_wire.h"

namespace reedtrail {
namespace {

// Ages of a state on which decisions rest, as shares of the time after which a change must be in effect. The rest of that time covers a new connection to the
// server, and a request that waits in this node for its turn.
constexpr double allowanceShare = 0.6;
constexpr double sendAllowanceShare = 0.9; // When the request leaves this node; what is left covers its way to the server.
constexpr double replyAgeShare = 0.45; // Leaves a share of 0.15 for the way from the zone's reader to this node.
constexpr double prefetchAgeShare = 0.3; // Under steady load a read ends long before decisions would have to wait for it.

constexpr duration idleRefreshInterval = std::chrono::seconds(5); // Of the registrations of servers, on a node without requests.

constexpr duration minLimitPause = std::chrono::milliseconds(10); // Before a server at its limit is asked for a place again.
constexpr duration limitReportInterval = std::chrono::seconds(1); // Between log lines on each server with a limit.

backend_table_options optionsFor(const edge_settings &settings)
{
    backend_table_options options;
    options.ownZone = settings.zone;
    return options;
}

} // namespace

fleet_cache::fleet_cache(edge_context &context, peer_snapshot_source &source, snapshot_server &snapshots, limit_peer_client &limitPeers)
    : m_context(context)
    , m_source(source)
    , m_snapshots(snapshots)
    , m_backends(optionsFor(context.settings), context.randomSeed)
    , m_limitClient(std::make_shared<edge_limit_client>(limitPeers, context.loop, context.settings.node))
    , m_random(context.randomSeed)
{
    if (context.settings.isFirstStart) {
        m_builds.setFirstStart();
    }
    m_backends.setConnectionQuery([this](const endpoint &address) {
        return m_context.serverClient.hasIdle(address);
    });
    m_backends.setLimitQuery([this](std::string_view id, std::int64_t startedAt) {
        return m_limitClient->limits().find(id, startedAt).has_value();
    });
}

result<void> fleet_cache::start(kernel &)
{
    const auto logConnection = [](const char *what) {
        return [what](bool isConnected) {
            logLine(log_level::Info, isConnected ? "store-regained" : "store-lost", { { "read", what } });
        };
    };
    snapshot_mirror_handlers configurationHandlers;
    configurationHandlers.onEvent = [this](const store_watch_event &event, bool) {
        if (event.type == store_watch_event::kind::Put) {
            applyConfiguration(event.item);
        }
    };
    configurationHandlers.onConnectionChange = logConnection("configuration");
    m_configurationMirror = makeMirror(platform::configurationKey, false, m_context.settings.maxConfigurationDelay, std::move(configurationHandlers));

    snapshot_mirror_handlers serverHandlers;
    serverHandlers.onEvent = [this](const store_watch_event &event, bool mayHaveLapsed) {
        applyServerEvent(event, mayHaveLapsed);
    };
    serverHandlers.onCaughtUp = [this](bool mayHaveLapsed) {
        if (!mayHaveLapsed) {
            m_directory.dropLapsed(m_context.loop.now());
        }
        m_sightings.onState(*m_serverMirror->askedAt());
        updateBuilds();
        resolveOutageDoubt();
        onServersChanged();
    };
    serverHandlers.onConnectionChange = logConnection("servers");
    serverHandlers.lapseGrace = [this](time_point askedAt) {
        return m_context.outages.lapseGrace(askedAt);
    };
    serverHandlers.isLapseKnown = [this] {
        return !m_isAskingWitnesses;
    };
    m_serverMirror = makeMirror(platform::serversPrefix, true, m_context.settings.maxDrainDelay, std::move(serverHandlers));
    return {};
}

/** Asks other nodes whether a time without answers of the store was an outage. If it was none, the servers missing since then have left. */
void fleet_cache::resolveOutageDoubt()
{
    const std::optional<outage_tracker::span> doubt = m_context.outages.pendingDoubt();
    if (!doubt || !m_witness || m_isAskingWitnesses) {
        return;
    }
    m_isAskingWitnesses = true;
    m_directory.setGraceUsable(false);
    m_witness([this, doubt](std::optional<time_point> answersSince) {
        m_isAskingWitnesses = false;
        m_context.outages.resolveDoubt(answersSince);
        const time_point now = m_context.loop.now();
        const bool wasOutage = m_context.outages.lapseGrace(now) > duration::zero();
        logLine(log_level::Info,
                "store-outage-judged",
                { { "outage", wasOutage ? "yes" : "no" },
                  { "ms", std::to_string((doubt->until - doubt->from) / std::chrono::milliseconds(1)) },
                  { "witness-contact-ms", answersSince ? std::to_string((now - *answersSince) / std::chrono::milliseconds(1)) : "-" } });
        m_serverMirror->onLapseKnown();
        m_directory.setGraceUsable(true);
        m_directory.limitGrace(m_serverMirror->lapseEnd());
        onServersChanged();
    });
}

std::shared_ptr<edge_snapshot_mirror> fleet_cache::makeMirror(std::string_view prefix, bool isPrefix, duration bound, snapshot_mirror_handlers handlers)
{
    snapshot_mirror_options options;
    options.prefix = prefix;
    options.isPrefix = isPrefix;
    options.allowance = fromSeconds(toSeconds(bound) * allowanceShare);
    options.replyAge = fromSeconds(toSeconds(bound) * replyAgeShare);
    options.prefetchAge = fromSeconds(toSeconds(bound) * prefetchAgeShare);
    const auto newMirror = std::make_shared<edge_snapshot_mirror>(m_source, m_context.loop, std::move(options), std::move(handlers));
    m_snapshots.add(std::string(prefix), newMirror);
    return newMirror;
}

void fleet_cache::beginReading()
{
    if (!std::exchange(m_hasBegun, true)) {
        m_configurationMirror->start();
        m_serverMirror->start();
        scheduleIdleRefresh();
    }
}

/**
 * Refreshes the state of a node to which no request comes. With thousands of servers the changes of a longer time are so many that the first requests after it
 * would wait for them, and all nodes of a zone would ask its reader for them together.
 */
void fleet_cache::scheduleIdleRefresh()
{
    m_context.loop.after(fromSeconds(toSeconds(idleRefreshInterval) * m_random.uniform(0.8, 1.2)), [this] {
        m_serverMirror->prefetch();
        scheduleIdleRefresh();
    });
}

bool fleet_cache::isConfigurationCurrent() const
{
    return m_configurationMirror->age(m_context.loop.now()) <= fromSeconds(toSeconds(m_context.settings.maxConfigurationDelay) * allowanceShare);
}

void fleet_cache::stop()
{
    m_configurationMirror->stop();
    m_serverMirror->stop();
}

bool fleet_cache::ensureCurrent(const std::function<void()> &whenReady)
{
    if (m_context.isIsolated()) {
        return true; // Neither the store nor a peer that reaches it can answer.
    }
    m_configurationMirror->prefetch();
    m_serverMirror->prefetch();
    return m_configurationMirror->ensureFresh(whenReady) && m_serverMirror->ensureFresh(whenReady);
}

void fleet_cache::recordLeaving(const std::string &server, std::string_view source)
{
    if (m_directory.recordLeaving(m_context.loop.now(), server)) {
        logLine(log_level::Info, "server-leaving", { { "server", server }, { "source", std::string(source) } });
        onServersChanged();
    }
}

void fleet_cache::admit(const backend_choice &server, const limit_demand &demand, std::function<void(const limit_grant &)> onEnd)
{
    if (m_context.isDraining) {
        m_limitClient->stopKeeping();
    }
    m_limitClient->admit({ server.id, server.startedAt, zoneOf(server.id) }, demand, [this, server, onEnd = std::move(onEnd)](limit_grant grant) {
        grant.isGranted = grant.isGranted && m_directory.isUsable(server.id, server.startedAt);
        if (!grant.isGranted) {
            m_limitedTraffic.recordDenial(server.id);
            m_context.metrics.counter("reedtrail_limit_denials_total", "Requests that a server's limit did not allow").add();
            m_backends.onLimited(server.id, m_context.loop.now() + std::max(grant.wait, minLimitPause));
        }
        onEnd(grant);
    });
}

/** Tells whether a send may rest on the state of @p mirror, which must be known by the end of @p bound. */
bool fleet_cache::isKnownForSend(const edge_snapshot_mirror &mirror, duration bound) const
{
    const time_point now = m_context.loop.now();
    return mirror.age(now) <= fromSeconds(toSeconds(bound) * sendAllowanceShare) || mirror.isFailing(now) || m_context.isIsolated();
}

bool fleet_cache::maySend(std::string_view server, std::int64_t startedAt) const
{
    return isKnownForSend(*m_serverMirror, m_context.settings.maxDrainDelay) && m_directory.isUsable(server, startedAt);
}

bool fleet_cache::isConfigurationUnchanged(std::uint64_t version) const
{
    return isKnownForSend(*m_configurationMirror, m_context.settings.maxConfigurationDelay) && m_routes.document().version == version;
}

void fleet_cache::chargeLimit(std::string_view server)
{
    if (const server_entry *entry = m_directory.find(server)) {
        m_limitClient->charge({ entry->id, entry->startedAt, entry->zone });
    }
}

void fleet_cache::serveLimitAsks(const std::shared_ptr<http_exchange> &exchange)
{
    if (m_context.isDraining) {
        exchange->respond(textResponse(http_status::unavailable, ""));
        return;
    }
    const std::optional<limit_asks> question = decodeLimitAsks(exchange->request());
    if (!question) {
        exchange->respond(textResponse(http_status::badRequest, "bad question\n"));
        return;
    }
    exchange->respond(encodeLimitReplies(m_limitClient->serve(*question, [this](const std::string &server) {
        return zoneOf(server);
    })));
}

/** Returns the zone of a registered server; empty if it is not registered. */
std::string fleet_cache::zoneOf(std::string_view server) const
{
    const server_entry *entry = m_directory.find(server);
    return entry == nullptr ? "" : entry->zone;
}

fleet_cache::sent_request fleet_cache::recordSend(std::string server, std::int64_t startedAt, send_kind kind)
{
    if (m_limitClient->limits().find(server, startedAt)) {
        m_limitedTraffic.recordSend(server, kind);
        m_context.metrics
            .counter("reedtrail_limited_sends_total", "Requests sent to servers that have named a limit", "kind=\"" + std::string(sendKindName(kind)) + "\"")
            .add();
    }
    return { std::move(server), startedAt, m_context.loop.now(), kind };
}

void fleet_cache::recordLimit(const sent_request &request, const limit_statement &statement, bool isWhole)
{
    const std::string source(sendKindName(request.kind));
    if (statement.what == limit_statement::kind::Malformed) {
        if (m_limitClient->limits().recordMalformed(request.server)) {
            logLine(log_level::Warning, "server-limit-unreadable", { { "server", request.server }, { "value", statement.text }, { "source", source } });
        }
        return;
    }
    if (statement.what == limit_statement::kind::Nothing || (statement.what == limit_statement::kind::Unlimited && !isWhole)) {
        return;
    }
    const dated_limit dated{ statement.rate, request.sentAt, m_context.loop.now() };
    const server_limits::outcome outcome = m_limitClient->limits().record(request.server, request.startedAt, dated);
    if (outcome != server_limits::outcome::Unchanged) {
        logLine(log_level::Info,
                "server-limit",
                { { "server", request.server },
                  { "change",
                    outcome == server_limits::outcome::Named         ? "named"
                        : outcome == server_limits::outcome::Changed ? "changed"
                                                                     : "lifted" },
                  { "rate", std::to_string(statement.rate) },
                  { "source", source } });
        scheduleLimitReport();
    }
}

void fleet_cache::recordForeignResponse(const sent_request &request, std::string_view id)
{
    const std::string kind(sendKindName(request.kind));
    logLine(log_level::Warning, "foreign-response", { { "server", request.server }, { "request", std::string(id) }, { "kind", kind } });
    m_context.metrics
        .counter("reedtrail_foreign_responses_total", "Responses of servers that belonged to another request than the one sent", "kind=\"" + kind + "\"")
        .add();
}

void fleet_cache::scheduleLimitReport()
{
    if (!std::exchange(m_isLimitReportScheduled, true)) {
        m_context.loop.after(limitReportInterval, [this] {
            m_isLimitReportScheduled = false;
            reportLimits();
        });
    }
}

/** Logs what this node sent to each server with a limit since the last report. */
void fleet_cache::reportLimits()
{
    m_limitClient->limits().retainIf([this](const std::string &server) {
        return m_directory.find(server) != nullptr;
    });
    for (const auto &[server, counts] : m_limitedTraffic.take()) {
        const server_entry *entry = m_directory.find(server);
        const std::optional<dated_limit> limit = entry == nullptr ? std::nullopt : m_limitClient->limits().find(server, entry->startedAt);
        logLine(log_level::Info,
                "limited-server",
                { { "server", server },
                  { "rate", limit ? std::to_string(limit->rate) : "-" },
                  { "sent", describeSends(counts) },
                  { "denied", std::to_string(counts.denied) } });
    }
    if (!m_limitClient->limits().isEmpty()) {
        scheduleLimitReport();
    }
}

nlohmann::json fleet_cache::dump() const
{
    nlohmann::json servers = nlohmann::json::array();
    for (const server_entry *entry : m_directory.allUsable()) {
        servers.push_back({ { "id", entry->id }, { "service", entry->service }, { "zone", entry->zone }, { "running", m_backends.running(entry->id) } });
    }
    const time_point now = m_context.loop.now();
    const auto describe = [now](const edge_snapshot_mirror &each) -> nlohmann::json {
        const snapshot_mirror_counts &counts = each.counts();
        return { { "revision", each.revision() },         { "ageMs", each.hasListed() ? each.age(now) / std::chrono::milliseconds(1) : -1 },
                 { "storeReads", counts.storeReads },     { "peerReads", counts.peerReads },
                 { "peerFailures", counts.peerFailures }, { "staleDecisions", counts.staleDecisions } };
    };
    return { { "configuration", m_routes.document().version },
             { "routes", m_routes.document().routes.size() },
             { "servers", servers },
             { "configurationState", describe(*m_configurationMirror) },
             { "serverState", describe(*m_serverMirror) } };
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

void fleet_cache::applyServerEvent(const store_watch_event &event, bool mayHaveLapsed)
{
    if (event.type == store_watch_event::kind::Delete) {
        const std::string id = event.item.key.substr(platform::serversPrefix.size());
        logLine(log_level::Info, "server-unregistered", { { "server", id }, { "may-have-lapsed", mayHaveLapsed ? "yes" : "no" } });
        if (const server_entry *gone = m_directory.find(id)) {
            m_sightings.onGone(id, gone->startedAt);
            if (!mayHaveLapsed) {
                m_context.serverClient.closeIdle(gone->address);
            }
        }
        m_directory.remove(m_context.loop.now(), id, mayHaveLapsed ? std::optional(m_serverMirror->lapseEnd()) : std::nullopt);
        return;
    }
    std::optional<server_entry> entry = decodeServerEntry(event.item);
    if (!entry) {
        if (const server_entry *gone = m_directory.find(event.item.key.substr(platform::serversPrefix.size()))) {
            m_sightings.onGone(gone->id, gone->startedAt);
        }
        m_directory.remove(m_context.loop.now(), event.item.key.substr(platform::serversPrefix.size()), std::nullopt);
        return;
    }
    const server_entry *before = m_directory.find(entry->id);
    if (before == nullptr || before->isDraining != entry->isDraining || before->startedAt != entry->startedAt || before->build != entry->build) {
        logLine(log_level::Info,
                entry->isDraining ? "server-draining" : "server-registered",
                { { "server", entry->id }, { "service", entry->service }, { "build", entry->build }, { "started", std::to_string(entry->startedAt) } });
    }
    if (before != nullptr && before->startedAt != entry->startedAt) {
        m_sightings.onGone(entry->id, before->startedAt);
    }
    m_sightings.onShown(entry->id, entry->startedAt);
    m_directory.put(std::move(*entry));
}

void fleet_cache::updateBuilds()
{
    for (const std::string &service : m_builds.update(m_context.loop.now(), *m_serverMirror->askedAt(), m_directory.all())) {
        logLine(log_level::Info, m_builds.isMixed(service) ? "service-builds-mixed" : "service-builds-unobserved", { { "service", service } });
        for (const auto &listener : m_uncertainListeners) {
            listener(service);
        }
    }
}

contact_proof fleet_cache::proofOf(const server_contact &contact) const
{
    const server_entry *entry = m_directory.find(contact.server);
    return m_sightings.proofOf(contact, entry != nullptr && entry->startedAt == contact.startedAt);
}

void fleet_cache::proveContact(const server_contact &contact, std::function<void(contact_proof)> onEnd)
{
    if (const contact_proof proof = proofOf(contact); proof != contact_proof::Pending) {
        onEnd(proof);
        return;
    }
    const duration age = m_context.loop.now() - contact.connectedAt;
    m_context.loop.after(std::max(duration::zero(), server_sightings::registrationTime - age), [this, contact, onEnd = std::move(onEnd)] {
        m_serverMirror->readNew([this, contact, onEnd] {
            onEnd(proofOf(contact));
        });
    });
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
    const std::optional<time_point> next = m_directory.nextExpiry();
    if (!next || *next >= m_nextExpiryCheck) {
        return;
    }
    m_nextExpiryCheck = *next;
    m_context.loop.after(*next - m_context.loop.now(), [this, due = *next] {
        if (m_nextExpiryCheck == due) {
            m_nextExpiryCheck = timeNever;
        }
        onServersChanged();
    });
}

} // namespace reedtrail
