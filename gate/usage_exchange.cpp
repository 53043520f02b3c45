// The tree (routing/usage_tree.h) decides who tells whom; this gives it a timer and links. A gate has a link to its parent, its children and, as a root, to
// the other roots, so the links of a node are bounded by the fan-in and the number of zones, not by the fleet. All of it is soft state: a message that cannot
// be sent is dropped, and the next one a quarter of a second later carries the whole sum again.

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

void usage_exchange::setEntry(usage_entry entry)
{
    m_entry = std::move(entry);
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
        std::vector<usage_send> further;
        m_tree.onTotal(monotonicNow(), total, further);
        carry(further);
        handOver();
    });
    tickLater();
}

void usage_exchange::useNodes(std::span<const node_view> nodes)
{
    m_gates.clear();
    std::vector<usage_member> members;
    for (const node_view &each : nodes) {
        const std::optional<failure> error = failureOf([&]() -> result<void> {
            BOOST_LEAF_AUTO(where, parseEndpoint(each.gateAddress));
            m_gates.emplace(each.node, where);
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

void usage_exchange::tickLater()
{
    m_timer.expires_after(m_options.period);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        if (m_entry.askUsage) {
            m_entry.askUsage([this](usage_report own) {
                tick(std::move(own));
            });
        }
        tickLater();
    });
}

void usage_exchange::tick(usage_report own)
{
    m_tree.setLocalUsage(std::move(own));
    std::vector<usage_send> sends;
    m_tree.tick(monotonicNow(), sends);
    carry(sends);
    handOver();
}

void usage_exchange::carry(const std::vector<usage_send> &sends)
{
    for (const usage_send &each : sends) {
        const auto gate = m_gates.find(each.to);
        if (gate == m_gates.end()) {
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

void usage_exchange::handOver()
{
    std::optional<usage_total> total = m_tree.takeTotal();
    if (total && m_entry.useTotal) {
        ++m_totals;
        m_gatesInTotal = total->gates;
        m_entry.useTotal(std::move(*total));
    }
}

nlohmann::json usage_exchange::dump() const
{
    return { { "isRoot", m_tree.isRoot() }, { "totals", m_totals }, { "gatesInLastTotal", m_gatesInTotal } };
}

} // namespace reedtrail
