/**
 * @file
 * In-memory key-value store of the stand-in store: revisions, transactions, leases and watches in the JSON form of etcd v3.
 *
 *     store_model model;
 *     const store_response response = model.transaction(body);      // the call POST /v3/kv/txn
 *     std::vector<watch_batch> batches = model.takeWatchBatches();  // events to write to the watch streams
 *
 * For simplicity it keeps the whole history in memory until it is compacted. It does no I/O and is not thread-safe.
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

/** Response of the store to one call: HTTP status and body. */
struct store_response
{
    int status = 200;
    nlohmann::json body;
};

/** One message for one watch stream: its creation, its cancellation or a batch of events. */
struct watch_batch
{
    std::uint64_t watch = 0; ///< Id of the watch.
    nlohmann::json result; ///< Value of the key "result" in the message.
};

/** Number of calls served, by kind. */
struct store_counts
{
    std::uint64_t ranges = 0;
    std::uint64_t transactions = 0;
    std::uint64_t leaseCalls = 0;
    std::uint64_t watches = 0;
};

/** In-memory store with the calls of etcd v3; bodies are JSON requests of its HTTP gateway. */
class store_model
{
public:
    store_response range(const nlohmann::json &body);
    store_response put(const nlohmann::json &body);
    store_response deleteRange(const nlohmann::json &body);
    store_response transaction(const nlohmann::json &body);
    store_response compact(const nlohmann::json &body);
    store_response grantLease(const nlohmann::json &body, time_point now);
    store_response revokeLease(const nlohmann::json &body);
    store_response keepLeaseAlive(const nlohmann::json &body, time_point now);
    store_response leaseTimeToLive(const nlohmann::json &body, time_point now);

    /** Creates a watch. @param body the create_request @return the id of the watch; takeWatchBatches() returns its first batches */
    std::uint64_t watch(const nlohmann::json &body);
    /** Removes a watch whose stream was closed. */
    void cancelWatch(std::uint64_t watch);
    /** Returns the messages that became due for all watches since the last call. */
    std::vector<watch_batch> takeWatchBatches();
    /** Deletes expired leases and their keys. @return when the next lease expires, or timeNever */
    time_point expireLeases(time_point now);
    /** Returns the number of calls served so far. */
    const store_counts &counts() const
    {
        return m_counts;
    }
    /** Returns the number of open watches. */
    std::size_t watchesOpen() const
    {
        return m_watches.size();
    }
    /** Returns the revision of the last change. */
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
        bool isCreationSent = false;
        bool isCompacted = false;
    };

    nlohmann::json header() const;
    static nlohmann::json keyJson(const std::string &key, const key_value &entry);
    nlohmann::json rangeBody(const nlohmann::json &body) const;
    nlohmann::json putAt(const nlohmann::json &body, std::uint64_t revision);
    nlohmann::json deleteAt(const nlohmann::json &body, std::uint64_t revision);
    bool conditionHolds(const nlohmann::json &condition) const;
    void erase(const std::string &key, std::uint64_t revision);
    void removeLease(std::int64_t id);
    watch_batch batchFor(std::uint64_t watchId, watcher &watchState) const;

    std::map<std::string, key_value> m_keys;
    std::vector<change> m_changes;
    std::map<std::int64_t, lease> m_leases;
    std::map<std::uint64_t, watcher> m_watches;
    std::uint64_t m_revision = 1;
    std::uint64_t m_compacted = 0;
    std::uint64_t m_nextWatchId = 1;
    std::int64_t m_lastLeaseId = 1000;
    store_counts m_counts;
};

/** Encodes @p bytes in base64. */
std::string base64Encoded(std::string_view bytes);

/** Decodes base64 and skips bytes outside its alphabet. */
std::string base64Decoded(std::string_view text);

} // namespace reedtrail
