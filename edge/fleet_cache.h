/**
 * @file
 * Caches the routes and backend servers of the deployment. They are read when a decision is due that allows no older state (fleet/snapshot_mirror.h), and stay
 * in use while the store is unavailable.
 */
#pragma once

#include "edge/edge_context.h"
#include "edge/limit_peer_client.h"
#include "edge/peer_snapshot_source.h"
#include "edge/snapshot_server.h"
#include "fleet/limited_traffic.h"
#include "fleet/route_table.h"
#include "fleet/server_directory.h"
#include "fleet/server_limits.h"
#include "fleet/server_sightings.h"
#include "fleet/service_builds.h"
#include "kernel/service.h"
#include "routing/backend_table.h"
#include "routing/return_schedule.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace reedtrail {

/** Caches the deployment's routes and backend servers. */
class fleet_cache : public service
{
public:
    /**
     * @param snapshots receives the mirrors of this cache, to answer peers from them
     * @param limitPeers sends questions on limits of servers to peers
     */
    fleet_cache(edge_context &context, peer_snapshot_source &source, snapshot_server &snapshots, limit_peer_client &limitPeers);

    result<void> start(kernel &process) override;
    void stop() override;
    nlohmann::json dump() const override;

    /** Reads routes and servers for the first time. Called once this node knows its peers, or knows that it cannot learn of them. */
    void beginReading();
    /** Tells whether routes and servers have been read, so that requests can be served. */
    bool isReady() const;
    /**
     * Tells whether a request may be judged by the routes and placed on a server now. False while a read is under way because routes or servers are too old.
     * @param whenReady called later, and only if the result is false; it should ask again
     */
    bool ensureCurrent(const std::function<void()> &whenReady);
    /** Tells whether the configuration is as young as a judgement requires. If not, a route that is missing here may exist. */
    bool isConfigurationCurrent() const;
    /**
     * Records the word of a server that it is about to end; this node gives it no new work from now on.
     * @param source kind of the response that said so, for the log
     */
    void recordLeaving(const std::string &server, std::string_view source);
    /** A request that this node sent to a server. */
    struct sent_request
    {
        std::string server;
        std::int64_t startedAt = 0; ///< Start time of the server's instance, as server_entry::startedAt.
        time_point sentAt;
        send_kind kind = send_kind::Request;
    };
    /** Records that a response to another request arrived in place of the response to @p request. */
    void recordForeignResponse(const sent_request &request, std::string_view id);
    /** Replaces the list of all nodes, by which the keepers of limits are chosen. @param wasRegistered whether this node was registered before its start */
    void setNodes(const std::map<std::string, store_peer> &nodes, bool wasRegistered)
    {
        m_limitClient->setNodes(nodes, wasRegistered);
    }
    /**
     * Admits a request to a chosen server, or turns it away if the server's limit allows none in time or the server may no longer be used.
     * @param onEnd called once: from inside this call if the server has no limit, otherwise later, at the time of the granted place
     */
    void admit(const backend_choice &server, const limit_demand &demand, std::function<void(const limit_grant &)> onEnd);
    /**
     * Tells whether a request may be sent now that was placed on the server before: it is still usable, and that is known from a state that is young enough.
     * Asked again at the moment of the send, because a connection may take a while.
     */
    bool maySend(std::string_view server, std::int64_t startedAt) const;
    /**
     * Tells whether a request may be sent now that was placed by the configuration of a version: it is still the newest one, and that is known from a state
     * that is young enough. For requests of this node's own, which may wait for a while between the two.
     */
    bool isConfigurationUnchanged(std::uint64_t version) const;
    /** Counts a request towards the limit of its server that is sent in any case. */
    void chargeLimit(std::string_view server);
    /** Answers a peer's questions on limits of servers. */
    void serveLimitAsks(const std::shared_ptr<http_exchange> &exchange);
    /** Records that a request is sent now. */
    sent_request recordSend(std::string server, std::int64_t startedAt, send_kind kind);
    /**
     * Records what the response to a request says of its server's limit.
     * @param isWhole whether the response is certainly that server's own to this request, so that a limit that it leaves out is lifted
     */
    void recordLimit(const sent_request &request, const limit_statement &statement, bool isWhole);
    const route_table &routes() const
    {
        return m_routes;
    }
    const server_directory &directory() const
    {
        return m_directory;
    }
    /** Returns the build of an instance of a server; empty if it is unknown or another instance is registered. */
    std::string buildOf(std::string_view server, std::int64_t startedAt) const
    {
        const server_entry *entry = m_directory.find(server);
        return entry != nullptr && entry->startedAt == startedAt ? entry->build : "";
    }
    /** Returns the schedule by which refused callers of a service come back. */
    return_schedule &returns(const std::string &service)
    {
        return m_returns[service];
    }
    backend_table &backends()
    {
        return m_backends;
    }
    /** Tells whether the current registrations were requested from the store at @p time or later. */
    bool haveServersBeenReadSince(time_point time) const
    {
        return m_serverMirror->askedAt() && *m_serverMirror->askedAt() >= time;
    }
    const service_builds &builds() const
    {
        return m_builds;
    }
    /** Tells whether the instance that a contact names is certainly the one that answered. */
    contact_proof proofOf(const server_contact &contact) const;
    /** Reads the registrations again if that is what proofOf() waits for. @param onEnd called once, from inside this call if the proof is not pending */
    void proveContact(const server_contact &contact, std::function<void(contact_proof)> onEnd);
    /** Reads the registrations again. @param onEnd called later, also if the store does not answer */
    void readServersAgain(std::function<void()> onEnd)
    {
        m_serverMirror->readNew(std::move(onEnd));
    }
    /** Adds an action that receives each service of which this node can't say any more that it has had one build for a long time. */
    void onBuildsUncertain(std::function<void(const std::string &service)> action)
    {
        m_uncertainListeners.push_back(std::move(action));
    }
    /** Asks other nodes since when the store has answered them, as contact_witness_client::ask(). */
    using contact_witness = std::function<void(std::function<void(std::optional<time_point>)> onAnswer)>;
    /** Sets the way to ask other nodes; without it, this node has only its own contacts to go by. */
    void setWitness(contact_witness witness)
    {
        m_witness = std::move(witness);
    }
    /** Adds an action that runs after each change of routes or servers. */
    void onChange(std::function<void()> action)
    {
        m_listeners.push_back(std::move(action));
    }

private:
    std::shared_ptr<edge_snapshot_mirror> makeMirror(std::string_view prefix, bool isPrefix, duration bound, snapshot_mirror_handlers handlers);
    void scheduleIdleRefresh();
    void applyConfiguration(const store_key_value &item);
    void applyServerEvent(const store_watch_event &event, bool mayHaveLapsed);
    std::optional<server_entry> decodeServerEntry(const store_key_value &item) const;
    void onServersChanged();
    void updateBuilds();
    bool isKnownForSend(const edge_snapshot_mirror &mirror, duration bound) const;
    void resolveOutageDoubt();
    void removeExpiredServers();
    std::string zoneOf(std::string_view server) const;
    void scheduleLimitReport();
    void reportLimits();

    edge_context &m_context;
    peer_snapshot_source &m_source;
    snapshot_server &m_snapshots;
    std::shared_ptr<edge_snapshot_mirror> m_configurationMirror;
    std::shared_ptr<edge_snapshot_mirror> m_serverMirror;
    route_table m_routes;
    server_directory m_directory;
    backend_table m_backends;
    std::map<std::string, return_schedule> m_returns; ///< By service.
    server_sightings m_sightings;
    service_builds m_builds;
    std::vector<std::function<void(const std::string &)>> m_uncertainListeners;
    std::shared_ptr<edge_limit_client> m_limitClient;
    limited_traffic m_limitedTraffic;
    bool m_isLimitReportScheduled = false;
    contact_witness m_witness;
    random_source m_random;
    bool m_hasBegun = false;
    bool m_isAskingWitnesses = false; ///< Other nodes have been asked whether the store was there.
    time_point m_nextExpiryCheck = timeNever; ///< When the next grace period of a server is checked for its end.
    std::uint64_t m_appliedDirectoryChanges = 0;
    std::vector<std::function<void()>> m_listeners;
};

} // namespace reedtrail
