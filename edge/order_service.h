/**
 * @file
 * Loads the weights that trainers name onto the model servers, and tells when a machine that is to be emptied may go. One node at a time does it.
 */
#pragma once

#include "edge/edge_context.h"
#include "edge/fleet_view.h"
#include "fleet/duty_holder.h"
#include "fleet/prefix_mirror.h"
#include "kernel/service.h"
#include "weights/load_planner.h"

#include <functional>
#include <memory>
#include <string>

namespace reedtrail {

/** The service. */
class order_service : public service
{
public:
    order_service(edge_context &context, fleet_view &fleet);

    result<void> start(kernel &process) override;
    void drain(std::function<void()> done) override;
    nlohmann::json dump() const override;

    /** Tells whether this node has the duty, which rests on its lease. */
    bool needsLease() const
    {
        return m_duty && m_duty->isHolder();
    }

private:
    using duty_type = duty_holder<edge_store, asio_loop>;
    using mirror = prefix_mirror<edge_store, asio_loop>;

    void awaitOrders(std::function<void()> done);
    void dutyChanged();
    void takeVersion(const store_key_value &item);
    void takeRetirement(const store_key_value &item);
    void takeDemand(const store_key_value &item);
    void fleetChanged();
    void work();
    void scheduleWork();
    void look(const server_poll &intent);
    void order(const server_poll &intent, load_order wanted);

    edge_context &m_context;
    fleet_view &m_fleet;
    std::shared_ptr<duty_type> m_duty;
    std::shared_ptr<mirror> m_versions;
    std::shared_ptr<mirror> m_retirements;
    std::shared_ptr<mirror> m_demands;
    load_planner m_planner;
    int m_ordersUnderWay = 0;
    bool m_isScheduled = false;
    bool m_isLeaving = false;
};

} // namespace reedtrail
