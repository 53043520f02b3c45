// A gate talks to only a few peers at a time (spools, run owners, gates that issued a ticket). In a fleet of 400 nodes it must not hold a link to every node.

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
    const auto existing = m_links.find(where);
    const bool isNew = existing == m_links.end();
    if (isNew) {
        evictLeastRecentlyUsed();
    }
    pooled_link &entry = m_links[where];
    entry.lastUsedAt = monotonicNow();
    if (const std::optional<link_id> open = m_bus.linkTo(where)) {
        onLink(open);
        return;
    }
    pending_handler handler{ m_nextHandlerId++, std::move(onLink), std::make_unique<boost::asio::steady_timer>(m_io) };
    handler.timer->expires_after(m_options.openTimeout);
    handler.timer->async_wait([this, where, handlerId = handler.handlerId](const boost::system::error_code &error) {
        if (!error) {
            onOpenTimeout(where, handlerId);
        }
    });
    entry.pendingHandlers.push_back(std::move(handler));
    if (isNew) {
        m_bus.keepConnected(where,
                            { [this, where](link_id link) {
                                 onLinkOpened(where, link);
                             },
                              {} });
    }
}

void link_pool::onLinkOpened(const endpoint &where, link_id link)
{
    const auto found = m_links.find(where);
    if (found == m_links.end()) {
        return;
    }
    const std::vector<pending_handler> pendingHandlers = std::exchange(found->second.pendingHandlers, {});
    for (const pending_handler &each : pendingHandlers) {
        each.onLink(link);
    }
}

void link_pool::onOpenTimeout(const endpoint &where, std::uint64_t handlerId)
{
    const auto found = m_links.find(where);
    if (found == m_links.end()) {
        return;
    }
    std::vector<pending_handler> &pendingHandlers = found->second.pendingHandlers;
    const auto handler = std::ranges::find(pendingHandlers, handlerId, &pending_handler::handlerId);
    if (handler == pendingHandlers.end()) {
        return;
    }
    const link_handler onLink = std::move(handler->onLink);
    pendingHandlers.erase(handler);
    onLink(std::nullopt);
}

void link_pool::closeIdle(time_point now)
{
    for (auto entry = m_links.begin(); entry != m_links.end();) {
        if (entry->second.pendingHandlers.empty() && now - entry->second.lastUsedAt > m_options.idleTimeout) {
            m_bus.disconnect(entry->first);
            entry = m_links.erase(entry);
        } else {
            ++entry;
        }
    }
}

void link_pool::evictLeastRecentlyUsed()
{
    if (m_links.size() < m_options.maximumLinks) {
        return;
    }
    auto oldest = m_links.end();
    for (auto entry = m_links.begin(); entry != m_links.end(); ++entry) {
        if (entry->second.pendingHandlers.empty() && (oldest == m_links.end() || entry->second.lastUsedAt < oldest->second.lastUsedAt)) {
            oldest = entry;
        }
    }
    if (oldest != m_links.end()) {
        m_bus.disconnect(oldest->first);
        m_links.erase(oldest);
    }
}

} // namespace reedtrail
