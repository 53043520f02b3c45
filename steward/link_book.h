/**
 * @file
 * Finds links to other processes by the address on which they accept links, whichever side opened the link.
 *
 *     link_book book(bus, ownHello);
 *     book.requestLink(monotonicNow(), "10.0.0.2:7003", 30s);        // keeps the link open until 30 s after the last request
 *     if (auto link = book.find("10.0.0.2:7003")) { bus.send(*link, message); }
 */
#pragma once

#include "base/time.h"
#include "fleet/peer_messages.h"
#include "net/peer_bus.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace reedtrail {

/** Maps peer addresses to open links. It registers the bus's handler of hello messages, so no other object may register one. */
class link_book
{
public:
    link_book(peer_bus &bus, hello own);

    /** Sets the action that runs when a link to an address opens: one made by this side, or one that the other side made and announced by hello. */
    void onLinkUp(std::function<void(const std::string &address, link_id link)> action);
    /**
     * Keeps a link to @p address open until @p keepFor after @p now, and starts to connect if there is none.
     *
     * Does nothing if the address is malformed, or if the peer already has an open link to this process.
     */
    void requestLink(time_point now, const std::string &address, duration keepFor);
    /** Closes the links made by this side whose last request has expired at @p now. */
    void closeExpiredLinks(time_point now);
    /** Returns the open link to @p address, or none. */
    std::optional<link_id> find(const std::string &address) const;
    /** Forgets the closed link @p link if another process had made it; has no effect on links made by this side. */
    void removeClosedLink(link_id link);
    /** Returns the hello messages of the peers that opened a link to this process. */
    std::vector<hello> acceptedPeers() const;
    /** Returns the number of addresses to which this side keeps a link open. */
    std::size_t requestedLinkCount() const
    {
        return m_requestedUntil.size();
    }

private:
    peer_bus &m_bus;
    hello m_ownHello;
    std::function<void(const std::string &, link_id)> m_onLinkUp;
    std::map<std::string, time_point> m_requestedUntil; ///< Addresses to which this side keeps a link open, and until when.
    std::map<std::string, link_id> m_acceptedByAddress;
    std::map<link_id, hello> m_accepted;
};

} // namespace reedtrail
