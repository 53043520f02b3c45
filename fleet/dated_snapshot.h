/**
 * @file
 * The keys of one store prefix as of a known moment, and the differences between two such states. Makes no I/O calls.
 *
 * A snapshot carries two things: the store's revision, and the moment at which the store was asked for it. The moment is a lower bound: the snapshot contains
 * every change that the store acknowledged before it. A node that passes a snapshot on sends its age, and the receiver subtracts that age from the moment at
 * which it asked. Clocks of two nodes are never compared, and time spent on the way only makes the snapshot look older than it is.
 *
 *     const std::vector<store_watch_event> changes = snapshot.replace(askedAt, listing);
 *     snapshot_reply reply = snapshot.replySince(now, query.since);      // on the node that is asked
 *     snapshot.apply(askedAt - reply.age(), reply);                      // on the node that asked
 */
#pragma once

#include "base/time.h"
#include "fleet/store_types.h"

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

/** Asks a peer for its snapshot of a prefix. */
struct snapshot_query
{
    static constexpr std::string_view messageName = "snapshot-query";
    std::string prefix;
    store_revision since = 0; ///< Revision of the sender's own snapshot; items that are not newer are left out of the reply. 0 if it has none.
    std::int64_t maxAgeUs = 0; ///< Greatest age of a useful reply, in microseconds.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(snapshot_query, prefix, since, maxAgeUs)
};

/** An item of a snapshot_reply. */
struct snapshot_item
{
    std::string key;
    std::string value;
    store_revision revision = 0; ///< Revision of the item's last change.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(snapshot_item, key, value, revision)
};

/** A peer's snapshot, as the differences from that of the receiver if the peer knows them. */
struct snapshot_reply
{
    static constexpr std::string_view messageName = "snapshot-reply";
    store_revision revision = 0;
    std::int64_t ageUs = 0; ///< Time since the store was asked for the snapshot, in microseconds, when the reply was sent.
    std::int64_t lapseGraceUs = 0; ///< From the moment at which the store was asked: time in which keys may come back that lapsed in an outage.
    store_revision wholeAt = 0; ///< The sender has seen all changes up to this revision; of later ones the store may have hidden some. 0 if it does not say.
    bool isComplete = false; ///< Whether the reply holds all items, and not only the differences from the revision of the query.
    std::vector<snapshot_item> items; ///< The items that changed after the revision of the query, or all.
    std::vector<std::string> removed; ///< Keys that were removed after that revision, or after wholeAt.
    std::vector<store_revision>
        removedAt; ///< For each of them a revision at which it was gone. The receiver may know a later item that the sender was not shown.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(snapshot_reply, revision, ageUs, lapseGraceUs, wholeAt, isComplete, items, removed, removedAt)

    duration age() const
    {
        return duration(ageUs);
    }
};

/** The keys of one prefix as of a known moment. */
class dated_snapshot
{
public:
    /** Tells whether a state has been read. */
    bool isPresent() const
    {
        return m_revision > 0;
    }
    store_revision revision() const
    {
        return m_revision;
    }
    /** Returns the moment at which the store was asked; the snapshot contains all changes acknowledged before it. */
    time_point askedAt() const
    {
        return m_askedAt;
    }
    std::size_t size() const
    {
        return m_items.size();
    }

    /**
     * Replaces the state by a listing of the store. A listing of an older revision is ignored.
     * @param askedAt when the listing was requested
     * @return the differences from the previous state: changed items, then removed keys
     */
    std::vector<store_watch_event> replace(time_point askedAt, const store_range_answer &listing);

    /**
     * Applies changes that the store reports, in their order; those that are known already are skipped.
     * @param askedAt when the store was asked
     * @param revision up to which all changes are contained; an older one than that of this state is ignored
     * @return the differences from the previous state
     */
    std::vector<store_watch_event> advance(time_point askedAt, store_revision revision, std::span<const store_watch_event> changes);

    /** Returns the state for a receiver that has the snapshot of revision @p since: differences if this snapshot reaches back that far. */
    snapshot_reply replySince(time_point now, store_revision since) const;

    /**
     * Applies a peer's reply. A reply of an older revision is ignored.
     * @param askedAt the moment at which the store was asked, on this node's clock
     * @return the differences from the previous state
     */
    std::vector<store_watch_event> apply(time_point askedAt, const snapshot_reply &reply);

private:
    static constexpr std::size_t maxRemovals = 2000;

    void applyRemovals(const snapshot_reply &reply, std::vector<store_watch_event> &changes);
    void applyAbsences(const snapshot_reply &reply, std::vector<store_watch_event> &changes);
    void recordStoreRemoval(const std::string &key, store_revision revision);
    bool put(const store_key_value &item, std::vector<store_watch_event> &changes);
    void remove(const std::string &key, store_revision revision, std::vector<store_watch_event> &changes);
    void forgetRemovals(store_revision revision);
    void finish(time_point askedAt, store_revision revision);

    std::map<std::string, store_key_value, std::less<>> m_items;
    std::map<std::string, store_revision, std::less<>> m_removals; ///< Keys that were removed, with a revision at which they were gone.
    std::map<std::string, store_revision, std::less<>> m_storeRemovals; ///< Keys that the store itself showed as gone, with the revision. An item that is not
                                                                        ///< newer comes from a peer that was not shown the removal.
    store_revision m_removalsSince = 0; ///< All changes up to this revision have been seen, and keys that were removed after it are in m_removals.
    store_revision m_revision = 0;
    time_point m_askedAt;
};

} // namespace reedtrail
