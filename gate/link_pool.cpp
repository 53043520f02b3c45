// A gate talks to few peers at a time (spools, run owners, gates that issued a ticket), and at 400 nodes must not hold a link to each.

#include "gate/link_pool.h"

#include "node/process_host.h"

#include <algorithm>

namespace reedtrail {

link_pool::link_pool(boost::asio::io_context &io, peer_bus &bus, link_pool_options options)
    : m_io(io)
    , m_bus(bus)
    , m_options(options)
{
}

void link_pool::withLink(const endpoint &where, link_handler onLink)
{
    const auto known = m_links.find(where);
    const bool isNew = known == m_links.end();
    if (isNew) {
        makeRoom();
    }
    pooled_link &entry = m_links[where];
    entry.lastUse = monotonicNow();
    if (const std::optional<link_id> open = m_bus.linkTo(where)) {
        onLink(open);
        return;
    }
    waiting_handler waiting{ m_nextNumber++, std::move(onLink), std::make_unique<boost::asio::steady_timer>(m_io) };
    waiting.timer->expires_after(m_options.openTimeout);
    waiting.timer->async_wait([this, where, number = waiting.number](const boost::system::error_code &error) {
        if (!error) {
            giveUp(where, number);
        }
    });
    entry.waiting.push_back(std::move(waiting));
    if (isNew) {
        m_bus.keepConnected(where,
                            { [this, where](link_id link) {
                                 opened(where, link);
                             },
                              {} });
    }
}

void link_pool::opened(const endpoint &where, link_id link)
{
    const auto found = m_links.find(where);
    if (found == m_links.end()) {
        return;
    }
    const std::vector<waiting_handler> waiting = std::exchange(found->second.waiting, {});
    for (const waiting_handler &each : waiting) {
        each.onLink(link);
    }
}

void link_pool::giveUp(const endpoint &where, std::uint64_t number)
{
    const auto found = m_links.find(where);
    if (found == m_links.end()) {
        return;
    }
    std::vector<waiting_handler> &waiting = found->second.waiting;
    const auto handler = std::ranges::find(waiting, number, &waiting_handler::number);
    if (handler == waiting.end()) {
        return;
    }
    const link_handler onLink = std::move(handler->onLink);
    waiting.erase(handler);
    onLink(std::nullopt);
}

void link_pool::closeIdle(time_point now)
{
    for (auto entry = m_links.begin(); entry != m_links.end();) {
        if (entry->second.waiting.empty() && now - entry->second.lastUse > m_options.idleTimeout) {
            m_bus.disconnect(entry->first);
            entry = m_links.erase(entry);
        } else {
            ++entry;
        }
    }
}

void link_pool::makeRoom()
{
    if (m_links.size() < m_options.maximumLinks) {
        return;
    }
    auto oldest = m_links.end();
    for (auto entry = m_links.begin(); entry != m_links.end(); ++entry) {
        if (entry->second.waiting.empty() && (oldest == m_links.end() || entry->second.lastUse < oldest->second.lastUse)) {
            oldest = entry;
        }
    }
    if (oldest != m_links.end()) {
        m_bus.disconnect(oldest->first);
        m_links.erase(oldest);
    }
}

} // namespace reedtrail
