#include "net/reception.h"

#include "kernel/log.h"

#include <vector>

namespace reedtrail {

std::string_view nameOf(eviction_reason reason)
{
    return reason == eviction_reason::TooManyIncomplete ? "too-many-incomplete" : "room-for-other";
}

reception::reception(reception_limits limits)
    : m_limits(limits)
    , m_budget(std::make_shared<body_budget>(limits.requestBytes))
{
}

bool reception::enter(reception_member &member, clock::time_point now)
{
    if (member.m_place.isTaken()) {
        return false;
    }
    member.m_lastProgress = now;
    member.m_bytesSinceProgress = 0;
    m_members.touch(member.m_place, member);
    if (m_members.size() > m_limits.maximumIncomplete) {
        evict(*m_members.oldest(), eviction_reason::TooManyIncomplete);
    }
    return true;
}

bool reception::receive(reception_member &member, std::size_t bytes, clock::time_point now)
{
    member.m_bytesSinceProgress += bytes;
    if (!member.m_place.isTaken() || member.m_bytesSinceProgress < progressBytes) {
        return false;
    }
    member.m_bytesSinceProgress = 0;
    member.m_lastProgress = now;
    m_members.touch(member.m_place, member);
    return true;
}

bool reception::reserve(reception_member &member, std::size_t bytes, clock::time_point now)
{
    return reserve(member.m_charge, bytes, now);
}

bool reception::reserve(body_charge &charge, std::size_t bytes, clock::time_point now)
{
    const std::size_t lacking = charge.lackingFor(bytes);
    std::size_t freed = 0;
    std::vector<reception_member *> victims;
    for (auto each = m_members.objects().begin(); freed < lacking && each != m_members.objects().end(); ++each) {
        if (&(*each)->m_charge != &charge && isEvictable(**each, bytes, now)) {
            freed += (*each)->m_charge.bytes();
            victims.push_back(*each);
        }
    }
    if (freed < lacking) {
        return false;
    }
    for (reception_member *each : victims) {
        evict(*each, eviction_reason::RoomForOther);
    }
    return charge.raiseTo(bytes);
}

void reception::leave(reception_member &member)
{
    m_members.leave(member.m_place);
}

/** Tells whether a member may be evicted for a request of @p bytes, because it holds room of the same class and has stalled. */
bool reception::isEvictable(const reception_member &member, std::size_t bytes, clock::time_point now) const
{
    const std::size_t held = member.m_charge.bytes();
    const bool isSmall = bytes <= body_budget::largestSmallRequest;
    if (held == 0 || (held <= body_budget::largestSmallRequest) != isSmall) {
        return false;
    }
    return isSmall || now - member.m_lastProgress >= m_limits.stallTime;
}

void reception::evict(reception_member &member, eviction_reason reason)
{
    logLine(log_level::Info, "request-evicted", { { "reason", std::string(nameOf(reason)) }, { "held", std::to_string(member.m_charge.bytes()) } });
    m_onEvicted(reason);
    member.evict(reason);
}

} // namespace reedtrail
