// Memory: one copy of each item, a few hundred to a few thousand rows of a few hundred bytes, and the keys removed last. A receiver whose state is older than
// the record of removals gets the whole state.

#include "fleet/dated_snapshot.h"

#include <algorithm>
#include <set>

namespace reedtrail {

/** Takes an item unless the one at hand is as new. @return whether it was taken */
bool dated_snapshot::put(const store_key_value &item, std::vector<store_watch_event> &changes)
{
    const auto known = m_items.find(item.key);
    const auto removed = m_storeRemovals.find(item.key);
    const bool isKnown = known != m_items.end() && known->second.modRevision >= item.modRevision;
    const bool isRemoved = removed != m_storeRemovals.end() && removed->second >= item.modRevision;
    if (isKnown || isRemoved) {
        return false;
    }
    m_items.insert_or_assign(item.key, item);
    changes.push_back({ store_watch_event::kind::Put, item });
    return true;
}

/** Removes a key that was gone from the store at @p revision. A receiver may have it though this snapshot never had. */
void dated_snapshot::remove(const std::string &key, store_revision revision, std::vector<store_watch_event> &changes)
{
    store_revision &removedAt = m_removals[key];
    removedAt = std::max(removedAt, revision);
    if (m_items.erase(key) == 0) {
        return;
    }
    store_watch_event event;
    event.type = store_watch_event::kind::Delete;
    event.item.key = key;
    event.item.modRevision = revision;
    changes.push_back(std::move(event));
}

void dated_snapshot::recordStoreRemoval(const std::string &key, store_revision revision)
{
    if (m_storeRemovals.size() >= maxRemovals) {
        m_storeRemovals.clear();
    }
    m_storeRemovals[key] = revision;
}

/** Forgets which keys were removed up to @p revision; receivers with an older state get the whole one. */
void dated_snapshot::forgetRemovals(store_revision revision)
{
    m_removals.clear();
    m_removalsSince = revision;
}

void dated_snapshot::finish(time_point askedAt, store_revision revision)
{
    m_revision = revision;
    m_askedAt = std::max(m_askedAt, askedAt);
    if (m_removals.size() > maxRemovals) {
        forgetRemovals(revision);
    }
}

std::vector<store_watch_event> dated_snapshot::replace(time_point askedAt, const store_range_answer &listing)
{

    std::vector<store_watch_event> changes;
    if (listing.revision < m_revision) {
        return changes;
    }
    std::set<std::string_view> listed;
    for (const store_key_value &item : listing.items) {
        listed.insert(item.key);
        put(item, changes);
    }
    std::vector<std::string> gone;
    for (const auto &[key, item] : m_items) {
        if (!listed.contains(key)) {
            gone.push_back(key);
        }
    }
    for (const std::string &key : gone) {
        remove(key, listing.revision, changes);
        recordStoreRemoval(key, listing.revision);
    }
    finish(askedAt, listing.revision);
    // Keys may have come and gone since the previous state, and may have been removed between two partial reads.
    forgetRemovals(std::max(listing.revision, listing.lastRevision));
    return changes;
}

std::vector<store_watch_event> dated_snapshot::advance(time_point askedAt, store_revision revision, std::span<const store_watch_event> changes)
{
    std::vector<store_watch_event> differences;
    if (revision < m_revision) {
        return differences;
    }
    // Only the last change of a key counts: an earlier one may be known already, and its key may have been removed since.
    std::map<std::string_view, const store_watch_event *> lastChanges;
    for (const store_watch_event &change : changes) {
        lastChanges[change.item.key] = &change;
    }
    for (const auto &[key, change] : lastChanges) {
        if (change->type == store_watch_event::kind::Put) {
            put(change->item, differences);
            continue;
        }
        const auto known = m_items.find(key);
        if (known == m_items.end() || known->second.modRevision < change->item.modRevision) {
            remove(change->item.key, change->item.modRevision, differences);
            recordStoreRemoval(change->item.key, change->item.modRevision);
        }
    }
    finish(askedAt, revision);
    return differences;
}

snapshot_reply dated_snapshot::replySince(time_point now, store_revision since) const
{
    snapshot_reply reply;
    reply.revision = m_revision;
    reply.ageUs = (now - m_askedAt).count();
    reply.wholeAt = m_removalsSince;
    reply.isComplete = since < m_removalsSince;
    for (const auto &[key, item] : m_items) {
        if (reply.isComplete || item.modRevision > since) {
            reply.items.push_back({ key, item.value, item.modRevision });
        }
    }
    for (const auto &[key, removedAt] : m_removals) {
        if ((reply.isComplete || removedAt > since) && !m_items.contains(key)) {
            reply.removed.push_back(key);
            reply.removedAt.push_back(removedAt);
        }
    }
    return reply;
}

std::vector<store_watch_event> dated_snapshot::apply(time_point askedAt, const snapshot_reply &reply)
{
    if (reply.revision < m_revision) {
        return {};
    }
    std::vector<store_watch_event> changes;
    for (const snapshot_item &item : reply.items) {
        store_key_value row;
        row.key = item.key;
        row.value = item.value;
        row.modRevision = item.revision;
        put(row, changes);
    }
    if (reply.isComplete) {
        applyAbsences(reply, changes);
    }
    applyRemovals(reply, changes);
    finish(askedAt, reply.revision);
    return changes;
}

/** Removes what the sender saw removed, unless a later item of the key is known, which the sender was not shown. */
void dated_snapshot::applyRemovals(const snapshot_reply &reply, std::vector<store_watch_event> &changes)
{
    for (std::size_t i = 0; i < reply.removed.size(); ++i) {
        const store_revision removedAt = i < reply.removedAt.size() ? reply.removedAt[i] : reply.revision;
        const auto known = m_items.find(reply.removed[i]);
        if (known == m_items.end() || known->second.modRevision < removedAt) {
            remove(reply.removed[i], removedAt, changes);
        }
    }
}

/** Removes the keys that a complete reply does not contain. Their absence says nothing of items that are later than what the sender has surely seen. */
void dated_snapshot::applyAbsences(const snapshot_reply &reply, std::vector<store_watch_event> &changes)
{
    const store_revision wholeAt = reply.wholeAt > 0 ? reply.wholeAt : reply.revision;
    std::set<std::string_view> present;
    for (const snapshot_item &item : reply.items) {
        present.insert(item.key);
    }
    std::vector<std::string> gone;
    for (const auto &[key, item] : m_items) {
        if (!present.contains(key) && item.modRevision <= wholeAt) {
            gone.push_back(key);
        }
    }
    for (const std::string &key : gone) {
        remove(key, wholeAt, changes);
    }
    std::erase_if(m_removals, [wholeAt](const auto &each) {
        return each.second < wholeAt;
    });
    m_removalsSince = wholeAt;
}

} // namespace reedtrail
