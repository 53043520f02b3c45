// Each side greets with hello, so that a link can be used both ways. A link that both sides made at once is kept twice for a while: each side sends on its
// own, which is correct and costs one connection.

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
    , m_own(std::move(own))
{
    m_bus.onMessage<hello>([this](link_id link, const hello &greeting) {
        m_accepted[link] = greeting;
        m_acceptedByAddress[greeting.peerAddress] = link;
        if (m_onUp) {
            m_onUp(greeting.peerAddress, link);
        }
    });
}

void link_book::onUp(std::function<void(const std::string &, link_id)> action)
{
    m_onUp = std::move(action);
}

void link_book::want(time_point now, const std::string &address, duration keep)
{
    const bool isKept = m_wantedUntil.contains(address);
    const std::optional<endpoint> where = endpointOf(address);
    if (!where || (!isKept && m_acceptedByAddress.contains(address))) {
        return;
    }
    time_point &until = m_wantedUntil[address];
    until = std::max(until, now + keep);
    if (isKept) {
        return;
    }
    m_bus.keepConnected(*where,
                        { [this, address](link_id link) {
                             m_bus.send(link, m_own);
                             if (m_onUp) {
                                 m_onUp(address, link);
                             }
                         },
                          {} });
}

void link_book::dropUnwanted(time_point now)
{
    for (auto each = m_wantedUntil.begin(); each != m_wantedUntil.end();) {
        if (each->second > now) {
            ++each;
            continue;
        }
        if (const std::optional<endpoint> where = endpointOf(each->first)) {
            m_bus.disconnect(*where);
        }
        each = m_wantedUntil.erase(each);
    }
}

std::optional<link_id> link_book::find(const std::string &address) const
{
    if (m_wantedUntil.contains(address)) {
        const std::optional<endpoint> where = endpointOf(address);
        const std::optional<link_id> made = where ? m_bus.linkTo(*where) : std::nullopt;
        if (made) {
            return made;
        }
    }
    const auto found = m_acceptedByAddress.find(address);
    return found == m_acceptedByAddress.end() ? std::nullopt : std::optional(found->second);
}

void link_book::noteClosed(link_id link)
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

std::vector<hello> link_book::accepted() const
{
    std::vector<hello> all;
    for (const auto &[link, greeting] : m_accepted) {
        all.push_back(greeting);
    }
    return all;
}

} // namespace reedtrail
