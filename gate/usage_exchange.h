/**
 * @file
 * Exchanges the customers' usage between the gates of the fleet, so that each gate computes fair shares from the usage of the whole fleet.
 *
 *     usage_exchange exchange(io, bus, links, node, zone);
 *     exchange.setCallbacks({.requestUsage = ..., .applyTotal = ...});
 *     exchange.start();
 *     exchange.setNodes(view.nodes);            // after each change of the live nodes
 */
#pragma once

#include "fleet/peer_messages.h"
#include "gate/link_pool.h"
#include "net/peer_bus.h"
#include "routing/usage_tree.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <span>
#include <vector>

namespace reedtrail {

/** Functions of this gate that the exchange calls on its own thread. A callback passed to them must be called on that thread, too. */
struct usage_callbacks
{
    std::function<void(std::function<void(usage_report report)> onReport)> requestUsage;
    std::function<void(usage_total total)> applyTotal;
};

/** Usage exchange of one gate; it runs on the thread of its io_context. */
class usage_exchange
{
public:
    usage_exchange(boost::asio::io_context &io, peer_bus &bus, link_pool &links, const node_id &node, const zone_id &zone);

    /** Sets the functions of this gate. Without them neither the usage of this gate is sent nor a total delivered. */
    void setCallbacks(usage_callbacks callbacks);
    /** Starts the exchange. */
    void start();
    /** Sets the live nodes. */
    void setNodes(std::span<const node_view> nodes);
    /** Stops the periodic reports. */
    void stop();
    /** Returns the state, for dumps. */
    nlohmann::json dump() const;

private:
    void scheduleTick();
    void tick(usage_report ownReport);
    void sendAll(const std::vector<usage_send> &sends);
    void deliverTotal();

    peer_bus &m_bus;
    link_pool &m_links;
    usage_tree_options m_options;
    usage_tree m_tree;
    usage_callbacks m_callbacks;
    std::map<node_id, endpoint> m_gateAddresses;
    boost::asio::steady_timer m_timer;
    std::uint64_t m_deliveredTotals = 0; ///< Number of totals delivered to this gate.
    std::uint32_t m_gatesInLastTotal = 0; ///< Number of gates in the last delivered total.
};

} // namespace reedtrail
