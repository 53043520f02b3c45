// The side that connects sends hello with its own address, so that both sides can use the link. If two processes connect to each other at the same time, both
// links stay open for a while and each side sends on the one that it made. This is correct and costs one extra connection.

#include "steward/link_book.h"

namespace reedtrail {
namespace {

std::optional<endpoint> endpointOf(const std::string &address)
{
    std::optional<endpoint> where;
    failureOf([&]() -> result<void> {
        BOOST_LEAF_AUTO(parsed, parseEndpoint(address));
        where = parsed;
        return {};
    });
    return where;
}

} // namespace

link_book::link_book(peer_bus &bus, hello own)
    : m_bus(bus)
    , m_ownHello(std::move(own))
{
    m_bus.onMessage<hello>([this](link_id link, const hello &greeting) {
        m_accepted[link] = greeting;
        m_acceptedByAddress[greeting.peerAddress] = link;
        if (m_onLinkUp) {
            m_onLinkUp(greeting.peerAddress, link);
        }
    });
}

void link_book::onLinkUp(std::function<void(const std::string &, link_id)> action)
{
    m_onLinkUp = std::move(action);
}

void link_book::requestLink(time_point now, const std::string &address, duration keepFor)
{
    const bool isRequested = m_requestedUntil.contains(address);
    const std::optional<endpoint> where = endpointOf(address);
    if (!where || (!isRequested && m_acceptedByAddress.contains(address))) {
        return;
    }
    time_point &until = m_requestedUntil[address];
    until = std::max(until, now + keepFor);
    if (isRequested) {
        return;
    }
    m_bus.keepConnected(*where,
                        { [this, address](link_id link) {
                             m_bus.send(link, m_ownHello);
                             if (m_onLinkUp) {
                                 m_onLinkUp(address, link);
                             }
                         },
                          {} });
}

void link_book::closeExpiredLinks(time_point now)
{
    for (auto each = m_requestedUntil.begin(); each != m_requestedUntil.end();) {
        if (each->second > now) {
            ++each;
            continue;
        }
        if (const std::optional<endpoint> where = endpointOf(each->first)) {
            m_bus.disconnect(*where);
        }
        each = m_requestedUntil.erase(each);
    }
}

std::optional<link_id> link_book::find(const std::string &address) const
{
    if (m_requestedUntil.contains(address)) {
        const std::optional<endpoint> where = endpointOf(address);
        const std::optional<link_id> made = where ? m_bus.linkTo(*where) : std::nullopt;
        if (made) {
            return made;
        }
    }
    const auto found = m_acceptedByAddress.find(address);
    return found == m_acceptedByAddress.end() ? std::nullopt : std::optional(found->second);
}

void link_book::removeClosedLink(link_id link)
{
    const auto found = m_accepted.find(link);
    if (found == m_accepted.end()) {
        return;
    }
    const auto byAddress = m_acceptedByAddress.find(found->second.peerAddress);
    if (byAddress != m_acceptedByAddress.end() && byAddress->second == link) {
        m_acceptedByAddress.erase(byAddress);
    }
    m_accepted.erase(found);
}

std::vector<hello> link_book::acceptedPeers() const
{
    std::vector<hello> all;
    for (const auto &[link, greeting] : m_accepted) {
        all.push_back(greeting);
    }
    return all;
}

} // namespace reedtrail
