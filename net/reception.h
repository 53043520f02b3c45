/**
 * @file
 * Bounds what all listeners of a process hold of requests that are not complete, and of those that are. Makes no I/O calls.
 *
 * Each connection that is receiving a request is a member. Members stand in the order in which they last made progress, which takes 16 KB of bytes, so that a
 * caller that sends a byte now and then counts as stalled. Beyond the limits the member without progress for longest is given up in place of refusing the
 * newcomer: small requests arrive at once, so an ordinary one is the last to be given up. A large request takes time, so it yields to another large one only
 * after it has made no progress for the stall time.
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
    std::chrono::milliseconds stallTime = std::chrono::milliseconds(250); ///< Without progress, after which a large request yields to another.
};

/** Why a request is not received any further. */
enum class give_up_reason {
    TooManyIncomplete, ///< More connections than allowed receive a request.
    RoomForOther, ///< It made no progress, and another one needs its room.
};
/** Returns the name of a reason, for logs and metrics. */
std::string_view nameOf(give_up_reason reason);

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
    virtual void giveUp(give_up_reason reason) = 0;

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
    /** Lists a connection that receives a request, if it is not listed yet. Beyond the limit, gives up the one without progress for longest. @return whether it
     * is new */
    bool enter(reception_member &member, clock::time_point now);
    /** Counts bytes that a member has received. @return whether it made progress by them */
    bool receive(reception_member &member, std::size_t bytes, clock::time_point now);
    /** Raises the charge of a member to @p bytes, and gives up stalled ones that stand in the way. @return whether there is room */
    bool reserve(reception_member &member, std::size_t bytes, clock::time_point now);
    /** Does the same for a request that is complete. */
    bool reserve(body_charge &charge, std::size_t bytes, clock::time_point now);
    /** Removes a member whose request is complete or refused. */
    void leave(reception_member &member);
    /** Returns the members, that without progress for longest first. */
    const std::list<reception_member *> &members() const
    {
        return m_members.objects();
    }
    /** Sets an action that runs for each request that is given up. */
    void onGivenUp(std::function<void(give_up_reason)> action)
    {
        m_onGivenUp = std::move(action);
    }

private:
    bool mayYield(const reception_member &member, std::size_t bytes, clock::time_point now) const;
    void giveUp(reception_member &member, give_up_reason reason);

    reception_limits m_limits;
    std::shared_ptr<body_budget> m_budget;
    recency_list<reception_member> m_members;
    std::function<void(give_up_reason)> m_onGivenUp = [](give_up_reason) {};
};

} // namespace reedtrail
