/**
 * @file
 * Pool of links to peers: a link is opened on first use, reused while it is in use, and closed when idle.
 *
 *     link_pool links(io, bus, {});
 *     links.withLink(where, [&](std::optional<link_id> link) { ... });    // no link if the peer was not reached in time
 */
#pragma once

#include "base/time.h"
#include "net/peer_bus.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace reedtrail {

/** Timeouts and limits of a pool. */
struct link_pool_options
{
    duration openTimeout = std::chrono::milliseconds(1500);
    duration idleTimeout = std::chrono::seconds(60);
    std::size_t maximumLinks = 256; ///< A new link beyond this number evicts the least recently used one.
};

/** Pool of peer links; it runs on the thread of its io_context. */
class link_pool
{
public:
    using link_handler = std::function<void(std::optional<link_id> link)>;

    link_pool(boost::asio::io_context &io, peer_bus &bus, link_pool_options options);

    /** Calls @p onLink with an open link to @p where: at once if there is one, otherwise when it opens. After openTimeout it gets nothing. */
    void withLink(const endpoint &where, link_handler onLink);
    /** Closes links that were not used for idleTimeout. */
    void closeIdle(time_point now);

private:
    struct pending_handler
    {
        std::uint64_t handlerId = 0;
        link_handler onLink;
        std::unique_ptr<boost::asio::steady_timer> timer;
    };
    struct pooled_link
    {
        time_point lastUsedAt;
        std::vector<pending_handler> pendingHandlers;
    };
    void onLinkOpened(const endpoint &where, link_id link);
    void onOpenTimeout(const endpoint &where, std::uint64_t handlerId);
    void evictLeastRecentlyUsed();

    boost::asio::io_context &m_io;
    peer_bus &m_bus;
    link_pool_options m_options;
    std::map<endpoint, pooled_link> m_links;
    std::uint64_t m_nextHandlerId = 1;
};

} // namespace reedtrail
