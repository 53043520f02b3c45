/**
 * @file
 * Links to other processes by the address where they accept links, whichever side made the link.
 *
 *     link_book book(bus, ownHello);
 *     book.want("10.0.0.2:7003", 30s);                               // keeps a link for that long after the last want()
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

/** The book. It owns the bus's handler of hello. */
class link_book
{
public:
    link_book(peer_bus &bus, hello own);

    /** Sets what runs when a link to an address is there: made by this side, or announced by the other side's hello. */
    void onUp(std::function<void(const std::string &address, link_id link)> action);
    /** Keeps a link to @p address until @p keep after now. */
    void want(time_point now, const std::string &address, duration keep);
    /** Drops links that nobody has wanted for long. */
    void dropUnwanted(time_point now);
    /** Returns the open link to @p address. */
    std::optional<link_id> find(const std::string &address) const;
    /** Tells the book that @p link is closed. */
    void noteClosed(link_id link);
    /** Returns who is at the other end of the links that others made. */
    std::vector<hello> accepted() const;
    /** Returns how many addresses are kept. */
    std::size_t kept() const
    {
        return m_wantedUntil.size();
    }

private:
    peer_bus &m_bus;
    hello m_own;
    std::function<void(const std::string &, link_id)> m_onUp;
    std::map<std::string, time_point> m_wantedUntil; ///< Links that this side keeps.
    std::map<std::string, link_id> m_acceptedByAddress;
    std::map<link_id, hello> m_accepted;
};

} // namespace reedtrail
