// usage_tree decides which node reports to which; this class provides the timer and the links. A gate has links to its parent, to its children and, as a root,
// to the other roots, so the number of links is bounded by the fan-in and the number of zones and does not grow with the fleet. All of this is soft state: a
// message that cannot be sent is dropped, and the next one, 250 ms later, contains the complete sum again.

#include "gate/usage_exchange.h"

#include "node/process_host.h"

namespace reedtrail {

usage_exchange::usage_exchange(boost::asio::io_context &io, peer_bus &bus, link_pool &links, const node_id &node, const zone_id &zone)
    : m_bus(bus)
    , m_links(links)
    , m_tree(m_options, node, zone)
    , m_timer(io)
{
}

void usage_exchange::setCallbacks(usage_callbacks callbacks)
{
    m_callbacks = std::move(callbacks);
}

void usage_exchange::start()
{
    m_bus.onMessage<usage_report>([this](link_id, const usage_report &report) {
        m_tree.onReport(monotonicNow(), report);
    });
    m_bus.onMessage<zone_usage>([this](link_id, const zone_usage &usage) {
        m_tree.onZoneUsage(monotonicNow(), usage);
    });
    m_bus.onMessage<usage_total>([this](link_id, const usage_total &total) {
        std::vector<usage_send> forwarded;
        m_tree.onTotal(monotonicNow(), total, forwarded);
        sendAll(forwarded);
        deliverTotal();
    });
    scheduleTick();
}

void usage_exchange::setNodes(std::span<const node_view> nodes)
{
    m_gateAddresses.clear();
    std::vector<usage_member> members;
    for (const node_view &each : nodes) {
        const std::optional<failure> error = failureOf([&]() -> result<void> {
            BOOST_LEAF_AUTO(where, parseEndpoint(each.gateAddress));
            m_gateAddresses.emplace(each.node, where);
            return {};
        });
        if (!error) {
            members.push_back({ each.node, each.zone });
        }
    }
    m_tree.setMembers(members);
}

void usage_exchange::stop()
{
    m_timer.cancel();
}

void usage_exchange::scheduleTick()
{
    m_timer.expires_after(m_options.period);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        if (m_callbacks.requestUsage) {
            m_callbacks.requestUsage([this](usage_report ownReport) {
                tick(std::move(ownReport));
            });
        }
        scheduleTick();
    });
}

void usage_exchange::tick(usage_report ownReport)
{
    m_tree.setLocalUsage(std::move(ownReport));
    std::vector<usage_send> sends;
    m_tree.tick(monotonicNow(), sends);
    sendAll(sends);
    deliverTotal();
}

void usage_exchange::sendAll(const std::vector<usage_send> &sends)
{
    for (const usage_send &each : sends) {
        const auto gate = m_gateAddresses.find(each.to);
        if (gate == m_gateAddresses.end()) {
            continue;
        }
        m_links.withLink(gate->second, [this, message = each.message](std::optional<link_id> link) {
            if (!link) {
                return;
            }
            std::visit(
                [this, link](const auto &content) {
                    m_bus.send(*link, content);
                },
                message);
        });
    }
}

void usage_exchange::deliverTotal()
{
    std::optional<usage_total> total = m_tree.takeTotal();
    if (total && m_callbacks.applyTotal) {
        ++m_deliveredTotals;
        m_gatesInLastTotal = total->gates;
        m_callbacks.applyTotal(std::move(*total));
    }
}

nlohmann::json usage_exchange::dump() const
{
    return { { "isRoot", m_tree.isRoot() }, { "totals", m_deliveredTotals }, { "gatesInLastTotal", m_gatesInLastTotal } };
}

} // namespace reedtrail
