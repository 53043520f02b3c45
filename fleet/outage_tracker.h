/**
 * @file
 * Tells whether a missing registration may have lapsed because of a store outage, rather than because its backend server left. Makes no I/O calls.
 *
 * A registration lapses when its server could not renew it for three heartbeats in a row. The first of these begins up to one heartbeat before the outage, so
 * an outage shorter than two heartbeats makes none lapse. Servers whose registrations lapsed are back two seconds after the store's return, so a state that was
 * read later shows which of them have left.
 *
 * A node that has lost the store can't tell an outage of the store from a fault of its own path. What it knows are the calls that the store has answered: the
 * store was there at some moment between the begin and the end of each. Only the time between two of them can hide an outage. If that time is too long and a
 * call failed in it, other nodes are asked since when the store has answered them without such a time. The earliest of these moments is when an outage, if
 * there was one, had ended.
 */
#pragma once

#include "base/time.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <utility>

namespace reedtrail {

/** Records contacts with the store, and judges the times between them. */
class outage_tracker
{
public:
    /** Servers register again within two seconds of the store's return. */
    static constexpr duration returnTime = std::chrono::seconds(2);
    /** Contacts are kept for this long, for the questions of other nodes. */
    static constexpr duration memory = std::chrono::seconds(60);

    /** @param heartbeat time between two renewals of a server's registration */
    explicit outage_tracker(duration heartbeat)
        : m_minOutage(2 * heartbeat)
    {
    }

    /** A time in which the store may have been away. */
    struct span
    {
        time_point from;
        time_point until;
    };

    /** Records a call that the store answered. */
    void recordContact(time_point begunAt, time_point endedAt);
    /** Records a call that the store did not answer, or refused. */
    void recordFailure()
    {
        m_hasFailed = true;
    }
    /** Returns the outage that other nodes should be asked about; nothing if there is none, or if they have been asked. */
    std::optional<span> pendingDoubt() const
    {
        return m_isPending ? m_doubt : std::nullopt;
    }
    /** Records the answers of other nodes. @param answersSince the earliest moment since which one of them has had answers; nothing if no node knows */
    void resolveDoubt(std::optional<time_point> answersSince);
    /** Returns since when the store has answered this node without an interruption that can hide an outage; nothing if it does not now. */
    std::optional<time_point> answersSince(time_point now) const;
    /**
     * Returns for how much longer registrations may come back that are missing in a state of the store.
     * @param askedAt when the store was asked for that state
     * @return zero if a missing registration means that its server has left
     */
    duration lapseGrace(time_point askedAt) const
    {
        return m_doubt ? std::max(duration::zero(), m_doubt->until + returnTime - askedAt) : duration::zero();
    }

private:
    /** A call that the store answered. */
    struct contact
    {
        time_point begunAt;
        time_point endedAt;
    };

    duration m_minOutage;
    std::deque<contact> m_contacts; ///< By begin; those that others close by make superfluous are left out.
    std::optional<span> m_doubt; ///< The last time that may have been an outage and was not shown to be none.
    bool m_isPending = false; ///< Other nodes have not been asked about it yet.
    bool m_hasFailed = false; ///< A call has failed since the last contact.
};

} // namespace reedtrail
