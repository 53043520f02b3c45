/**
 * @file
 * Peer links made when first needed, kept while used, and dropped when idle.
 *
 *     link_pool links(io, bus, {});
 *     links.withLink(where, [&](std::optional<link_id> link) { ... nothing if the peer could not be reached in time ... });
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

/** Times and bounds of a pool. */
struct link_pool_options
{
    duration openTimeout = std::chrono::milliseconds(1500);
    duration idleTimeout = std::chrono::seconds(60);
    std::size_t maximumLinks = 256; ///< The one unused for longest gives way.
};

/** The pool; it runs on the thread of its io_context. */
class link_pool
{
public:
    using link_handler = std::function<void(std::optional<link_id> link)>;

    link_pool(boost::asio::io_context &io, peer_bus &bus, link_pool_options options);

    /** Calls @p onLink with an open link to @p where, now or soon. */
    void withLink(const endpoint &where, link_handler onLink);
    /** Drops links that nobody used for the idle timeout. */
    void closeIdle(time_point now);

private:
    struct waiting_handler
    {
        std::uint64_t number = 0;
        link_handler onLink;
        std::unique_ptr<boost::asio::steady_timer> timer;
    };
    struct pooled_link
    {
        time_point lastUse;
        std::vector<waiting_handler> waiting;
    };
    void opened(const endpoint &where, link_id link);
    void giveUp(const endpoint &where, std::uint64_t number);
    void makeRoom();

    boost::asio::io_context &m_io;
    peer_bus &m_bus;
    link_pool_options m_options;
    std::map<endpoint, pooled_link> m_links;
    std::uint64_t m_nextNumber = 1;
};

} // namespace reedtrail
