/**
 * @file
 * Carries what customers use between the gates of the fleet, so that each gate shares by the whole fleet's use and not by its own.
 *
 *     usage_exchange exchange(io, bus, links, node, zone, {.requestUsage = ..., .applyTotal = ...});
 *     exchange.start();
 *     exchange.setNodes(view.nodes);            // at each change of the live nodes
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

/** The own gate's side. The functions run on the exchange's thread, and so must what they are given to call back. */
struct usage_callbacks
{
    std::function<void(std::function<void(usage_report report)> onReport)> requestUsage;
    std::function<void(usage_total total)> applyTotal;
};

/** The exchange of one gate; it runs on the thread of its io_context. */
class usage_exchange
{
public:
    usage_exchange(boost::asio::io_context &io, peer_bus &bus, link_pool &links, const node_id &node, const zone_id &zone);

    /** Sets the own gate's side; nothing is exchanged before. */
    void setCallbacks(usage_callbacks entry);
    /** Begins to exchange. */
    void start();
    /** Takes over the live nodes. */
    void setNodes(std::span<const node_view> nodes);
    /** Ends the exchange. */
    void stop();
    /** Returns the state, for dumps. */
    nlohmann::json dump() const;

private:
    void tickLater();
    void tick(usage_report own);
    void carry(const std::vector<usage_send> &sends);
    void handOver();

    peer_bus &m_bus;
    link_pool &m_links;
    usage_tree_options m_options;
    usage_tree m_tree;
    usage_callbacks m_entry;
    std::map<node_id, endpoint> m_gates;
    boost::asio::steady_timer m_timer;
    std::uint64_t m_totals = 0; ///< Handed to the own gate.
    std::uint32_t m_gatesInTotal = 0; ///< In the last of them.
};

} // namespace reedtrail
