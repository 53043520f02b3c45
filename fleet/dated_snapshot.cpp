// Memory: one copy of each item, a few hundred rows of a few hundred bytes. A reply lists all keys, so that no record of removed keys must be kept and none can
// be forgotten too early; at 600 servers the list takes about 12 KB.

#include "fleet/dated_snapshot.h"

#include <algorithm>

namespace reedtrail {
namespace {

store_watch_event removalOf(const std::string &key, store_revision revision)
{
    store_watch_event event;
    event.type = store_watch_event::kind::Delete;
    event.item.key = key;
    event.item.modRevision = revision;
    return event;
}

} // namespace

std::vector<store_watch_event> dated_snapshot::replace(time_point askedAt, store_revision revision, std::span<const store_key_value> items)
{
    if (revision < m_revision) {
        return {};
    }
    std::vector<store_watch_event> changes;
    std::map<std::string, store_key_value, std::less<>> listed;
    for (const store_key_value &item : items) {
        const auto known = m_items.find(item.key);
        if (known == m_items.end() || known->second.modRevision < item.modRevision) {
            changes.push_back({ store_watch_event::kind::Put, item });
            listed.emplace(item.key, item);
        } else {
            listed.emplace(item.key, std::move(known->second));
        }
    }
    for (const auto &[key, item] : m_items) {
        if (!listed.contains(key)) {
            changes.push_back(removalOf(key, revision));
        }
    }
    m_items = std::move(listed);
    m_revision = revision;
    m_askedAt = std::max(m_askedAt, askedAt);
    return changes;
}

snapshot_reply dated_snapshot::replySince(time_point now, store_revision since) const
{
    snapshot_reply reply;
    reply.revision = m_revision;
    reply.ageUs = (now - m_askedAt).count();
    for (const auto &[key, item] : m_items) {
        reply.keys.push_back(key);
        if (item.modRevision > since) {
            reply.items.push_back({ key, item.value, item.modRevision });
        }
    }
    return reply;
}

std::optional<std::vector<store_watch_event>> dated_snapshot::apply(time_point askedAt, const snapshot_reply &reply)
{
    if (reply.revision < m_revision) {
        return std::vector<store_watch_event>{};
    }
    std::map<std::string_view, const snapshot_item *> sent;
    for (const snapshot_item &item : reply.items) {
        sent.emplace(item.key, &item);
    }
    std::vector<store_key_value> items;
    for (const std::string &key : reply.keys) {
        const auto known = m_items.find(key);
        if (const auto found = sent.find(key); found != sent.end()) {
            store_key_value item;
            item.key = key;
            item.value = found->second->value;
            item.modRevision = found->second->revision;
            items.push_back(std::move(item));
        } else if (known != m_items.end()) {
            items.push_back(known->second);
        } else {
            return std::nullopt;
        }
    }
    return replace(askedAt, reply.revision, items);
}

} // namespace reedtrail
