/**
 * @file
 * Bounds what all listeners of a process hold of requests that are not complete, and of those that are. Makes no I/O calls.
 *
 * Each connection that is receiving a request is a member. Members are ordered by their last progress, the receipt of 16 KB, so that a caller that drips single
 * bytes counts as stalled. Beyond the limits the least recent member is evicted instead of refusing the new request. Small requests arrive at once, so an
 * ordinary one is always among the most recent. A large request takes time to transfer, so it is evicted only after it has stalled for the stall time.
 *
 *     m_reception->enter(*this);                                  // the first bytes of a request are here
 *     if (!m_reception->reserve(*this, headAndBodyBytes, now)) { ... refuse ... }
 *     m_reception->leave(*this);                                  // complete; the charge goes with the request
 */
#pragma once

#include "base/time.h"
#include "net/body_budget.h"
#include "net/recency_list.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <string_view>

namespace reedtrail {

/** Limits of a reception. */
struct reception_limits
{
    /** Bytes of heads and bodies that are held at once, from the head of a request until its exchange is gone; a quarter is kept for small requests. */
    std::size_t requestBytes = std::numeric_limits<std::size_t>::max();
    std::size_t maximumIncomplete = 1024; ///< Connections that receive a request, or hold unread bytes behind one that is under way.
    std::chrono::milliseconds stallTime = std::chrono::milliseconds(250); ///< Without progress, after which a large request may be evicted for another.
};

/** Why a request is evicted. */
enum class eviction_reason {
    TooManyIncomplete, ///< More connections than allowed receive a request.
    RoomForOther, ///< It has stalled, and another request needs its room.
};
/** Returns the name of a reason, for logs and metrics. */
std::string_view nameOf(eviction_reason reason);

/** A connection that receives a request. */
class reception_member
{
public:
    explicit reception_member(std::shared_ptr<body_budget> budget)
        : m_charge(std::move(budget))
    {
    }
    virtual ~reception_member() = default;
    reception_member(const reception_member &) = delete;
    reception_member &operator=(const reception_member &) = delete;

    /** Ends the reception: releases the charge, leaves the reception, and refuses the request or closes the connection. */
    virtual void evict(eviction_reason reason) = 0;

protected:
    body_charge m_charge; ///< For the request that is being received.

private:
    friend class reception;
    recency_list<reception_member>::place m_place;
    std::chrono::steady_clock::time_point m_lastProgress;
    std::size_t m_bytesSinceProgress = 0;
};

/** The requests that a process receives. Used from one thread. */
class reception
{
public:
    using clock = std::chrono::steady_clock;
    static constexpr std::size_t progressBytes = 16U << 10U; ///< That a member must have received to count as moving.

    explicit reception(reception_limits limits);

    const std::shared_ptr<body_budget> &budget() const
    {
        return m_budget;
    }
    /** Adds a connection that receives a request, unless it is a member. Beyond the limit, evicts the least recent one. @return whether it was added */
    bool enter(reception_member &member, clock::time_point now);
    /** Counts bytes that a member has received. @return whether it made progress by them */
    bool receive(reception_member &member, std::size_t bytes, clock::time_point now);
    /** Raises the charge of a member to @p bytes, and evicts stalled ones if that makes enough room. @return whether there is room */
    bool reserve(reception_member &member, std::size_t bytes, clock::time_point now);
    /** Does the same for a request that is complete. */
    bool reserve(body_charge &charge, std::size_t bytes, clock::time_point now);
    /** Removes a member whose request is complete or refused. */
    void leave(reception_member &member);
    /** Returns the members, the least recent progress first. */
    const std::list<reception_member *> &members() const
    {
        return m_members.objects();
    }
    /** Sets an action that runs for each evicted request. */
    void setEvictionListener(std::function<void(eviction_reason)> action)
    {
        m_onEvicted = std::move(action);
    }

private:
    bool isEvictable(const reception_member &member, std::size_t bytes, clock::time_point now) const;
    void evict(reception_member &member, eviction_reason reason);

    reception_limits m_limits;
    std::shared_ptr<body_budget> m_budget;
    recency_list<reception_member> m_members;
    std::function<void(eviction_reason)> m_onEvicted = [](eviction_reason) {};
};

} // namespace reedtrail
