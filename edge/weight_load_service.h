/**
 * @file
 * Orders model servers to load the weight versions that trainers name, and confirms the retirement of machines. One elected node at a time does this.
 */
#pragma once

#include "edge/edge_context.h"
#include "edge/fleet_cache.h"
#include "fleet/duty_candidacy.h"
#include "fleet/duty_holder.h"
#include "fleet/prefix_mirror.h"
#include "kernel/service.h"
#include "weights/load_planner.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace reedtrail {

/** Sends load orders and confirms retirements while this node is the leader. */
class weight_load_service : public service
{
public:
    weight_load_service(edge_context &context, fleet_cache &fleet, peer_snapshot_source &source, snapshot_server &snapshots);

    result<void> start(kernel &process) override;
    void drain(std::function<void()> done) override;
    nlohmann::json dump() const override;

    /** Takes all known nodes, by name, with this one; a few of each zone compete for the leadership. */
    void setNodes(const std::map<std::string, store_peer> &nodes);

    using leadership_type = duty_holder<edge_store, asio_loop>;
    /** Returns the leadership, for other work that one node does at a time. Valid after start(). */
    const leadership_type &leadership() const
    {
        return *m_leadership;
    }
    /** Adds an action that runs when this node gains or loses the leadership. */
    void onDutyChanged(std::function<void()> action)
    {
        m_dutyListeners.push_back(std::move(action));
    }

    /** Tells whether this node is the leader, which depends on its lease. */
    bool needsLease() const
    {
        return m_leadership && m_leadership->isHolder();
    }

private:
    using mirror = prefix_mirror<edge_store, asio_loop>;

    void releaseWhenOrdersDone(std::function<void()> done);
    void compete(const char *reason);
    void scheduleDutyCheck();
    void checkDuty();
    void onLeadershipChanged();
    void onNamedVersion(const store_key_value &item);
    void onRetirementRequest(const store_key_value &item);
    void onDemand(const store_key_value &item);
    void onFleetChanged();
    void startDueLoads();
    void scheduleNextPass();
    void requestReport(const server_poll &intent);
    std::int64_t instanceOf(std::string_view server) const;
    void recordServerState(const fleet_cache::sent_request &sent, const http_call_end &end, const http_response &response);
    void sendLoadOrder(const server_poll &intent, load_order loadOrder);

    edge_context &m_context;
    fleet_cache &m_fleet;
    duty_candidacy m_candidacy;
    std::shared_ptr<edge_snapshot_mirror> m_dutyMirror; ///< The leadership's keys, as a node sees them that does not compete.
    bool m_isHeld = false; ///< Whether the leadership has a holder, according to m_dutyMirror.
    random_source m_random;
    std::shared_ptr<leadership_type> m_leadership;
    std::shared_ptr<mirror> m_versionMirror;
    std::shared_ptr<mirror> m_retirementMirror;
    std::shared_ptr<mirror> m_demandMirror;
    load_planner m_planner;
    int m_ordersInFlight = 0; ///< Orders sent and not yet answered.
    bool m_isAwaitingFleet = false; ///< Routes and servers are being read, because they are too old for an order.
    bool m_isPassScheduled = false;
    bool m_isDraining = false;
    std::vector<std::function<void()>> m_dutyListeners;
};

} // namespace reedtrail
