/**
 * @file
 * The key-value model behind the stand-in store: revisions, transactions, leases and watches in the JSON form of etcd v3.
 *
 *     store_model model;
 *     nlohmann::json answer = model.transaction(body);              // as POST /v3/kv/txn
 *     std::vector<watch_batch> batches = model.takeWatchBatches();  // to be written to the watch streams
 *
 * Kept small on purpose: whole history in memory until it is compacted.
 */
#pragma once

#include "base/time.h"

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace reedtrail {

/** Answer of the store: HTTP status and body. */
struct store_answer
{
    int status = 200;
    nlohmann::json body;
};

/** Events for one watch. */
struct watch_batch
{
    std::uint64_t watch = 0;
    nlohmann::json result; ///< The object under "result".
};

/** Counted calls. */
struct store_counts
{
    std::uint64_t ranges = 0;
    std::uint64_t transactions = 0;
    std::uint64_t leaseCalls = 0;
    std::uint64_t watches = 0;
};

/** The model. */
class store_model
{
public:
    store_answer range(const nlohmann::json &body);
    store_answer put(const nlohmann::json &body);
    store_answer deleteRange(const nlohmann::json &body);
    store_answer transaction(const nlohmann::json &body);
    store_answer compact(const nlohmann::json &body);
    store_answer grantLease(const nlohmann::json &body, time_point now);
    store_answer revokeLease(const nlohmann::json &body);
    store_answer keepLeaseAlive(const nlohmann::json &body, time_point now);
    store_answer leaseTimeToLive(const nlohmann::json &body, time_point now);

    /** Begins a watch. @param body the create_request @return the number of the watch; its first batches are ready to take */
    std::uint64_t watch(const nlohmann::json &body);
    /** Ends a watch. */
    void unwatch(std::uint64_t watch);
    /** Returns what the watches have to report since the last call. */
    std::vector<watch_batch> takeWatchBatches();
    /** Drops the keys of leases that have expired. @return the next expiry */
    time_point expireLeases(time_point now);
    /** Returns calls counted so far. */
    const store_counts &counts() const
    {
        return m_counts;
    }
    /** Returns the number of watches open. */
    std::size_t watchesOpen() const
    {
        return m_watches.size();
    }
    std::uint64_t revision() const
    {
        return m_revision;
    }

private:
    struct key_value
    {
        std::string value;
        std::uint64_t createRevision = 0;
        std::uint64_t modRevision = 0;
        std::uint64_t version = 0;
        std::int64_t lease = 0;
    };
    struct change
    {
        std::uint64_t revision = 0;
        std::string key;
        key_value after;
        bool isDelete = false;
    };
    struct lease
    {
        std::int64_t seconds = 0;
        time_point expiry;
        std::set<std::string> keys;
    };
    struct watcher
    {
        std::string key;
        std::string rangeEnd;
        std::uint64_t nextRevision = 0;
        bool isAnnounced = false;
        bool isCompacted = false;
    };

    nlohmann::json header() const;
    static nlohmann::json keyJson(const std::string &key, const key_value &entry);
    nlohmann::json rangeBody(const nlohmann::json &body) const;
    nlohmann::json putAt(const nlohmann::json &body, std::uint64_t revision);
    nlohmann::json deleteAt(const nlohmann::json &body, std::uint64_t revision);
    bool compares(const nlohmann::json &condition) const;
    void erase(const std::string &key, std::uint64_t revision);
    void dropLease(std::int64_t id);
    watch_batch batchFor(std::uint64_t number, watcher &each) const;

    std::map<std::string, key_value> m_keys;
    std::vector<change> m_changes;
    std::map<std::int64_t, lease> m_leases;
    std::map<std::uint64_t, watcher> m_watches;
    std::uint64_t m_revision = 1;
    std::uint64_t m_compacted = 0;
    std::uint64_t m_nextWatch = 1;
    std::int64_t m_nextLease = 1000;
    store_counts m_counts;
};

/** Encodes @p bytes in base64. */
std::string base64Encoded(std::string_view bytes);

/** Decodes base64; bytes that are no base64 are skipped. */
std::string base64Decoded(std::string_view text);

} // namespace reedtrail
