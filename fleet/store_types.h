/**
 * @file
 * Typed calls to the platform's store and their answers, independent of any transport. They mirror the etcd v3 calls that the system uses.
 *
 *     store_txn create;                                              // create the key if it is absent
 *     create.compares.push_back(store_compare::absent(key));
 *     create.onSuccess.push_back(store_put{key, value, lease});
 *     create.onFailure.push_back(store_range{key});
 *     client.txn(create, [](const store_txn_answer &answer) { ... });
 *
 * An answer has one of a few errors. StoreUnavailable means that the call had no effect, or was a read. StoreUnknown means that the answer to a write was lost:
 * the write may have taken effect, and the caller must read the keys to find out. Further errors are named at the answers.
 */
#pragma once

#include "base/failure.h"
#include "base/time.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace reedtrail {

/** Revision of the whole store; each write increases it. 0 stands for "none". */
using store_revision = std::uint64_t;

/** Id of a lease in the store. 0 stands for "none". */
using store_lease_id = std::int64_t;

/** Id of a watch, unique within one client and never reused. 0 stands for "none". */
using store_watch_id = std::uint64_t;

/** A key with its value and metadata. */
struct store_key_value
{
    std::string key;
    std::string value;
    store_revision createRevision = 0;
    store_revision modRevision = 0;
    std::uint64_t version = 0; ///< Number of writes since the key was created; 1 after the first.
    store_lease_id lease = 0; ///< Lease that the key is attached to; 0 for none.
};

/** Reads one key, or all keys that begin with it. */
struct store_range
{
    std::string key;
    bool isPrefix = false;
    std::int64_t limit = 0; ///< Maximum number of items returned; 0 for no limit.
};

/** The property of a key that a compare examines. */
enum class store_compare_target : std::uint8_t { ModRevision, Version, Value };

/** The relation that must hold between the stored value and the operand of a compare. */
enum class store_compare_relation : std::uint8_t { Equal, Greater, Less, NotEqual };

/** One condition of a transaction. */
struct store_compare
{
    std::string key;
    store_compare_target target = store_compare_target::ModRevision;
    store_compare_relation relation = store_compare_relation::Equal;
    std::uint64_t number = 0; ///< Operand for ModRevision and Version; both are 0 for an absent key.
    std::string value; ///< Operand for Value.

    /** Holds if @p key is absent. */
    static store_compare absent(std::string key)
    {
        return { std::move(key), store_compare_target::Version, store_compare_relation::Equal, 0, {} };
    }
    /** Holds if @p key was last written at @p revision. */
    static store_compare unchanged(std::string key, store_revision revision)
    {
        return { std::move(key), store_compare_target::ModRevision, store_compare_relation::Equal, revision, {} };
    }
    /** Holds if @p key has @p value. */
    static store_compare hasValue(std::string key, std::string value)
    {
        return { std::move(key), store_compare_target::Value, store_compare_relation::Equal, 0, std::move(value) };
    }
};

/** Writes one key. */
struct store_put
{
    std::string key;
    std::string value;
    store_lease_id lease = 0; ///< The key is deleted when this lease ends; 0 for a key without a lease.
};

/** Deletes one key, or all keys that begin with it. */
struct store_delete
{
    std::string key;
    bool isPrefix = false;
};

/** One operation of a transaction. */
using store_operation = std::variant<store_put, store_delete, store_range>;

/** Atomically applies onSuccess if all compares hold, and onFailure otherwise. */
struct store_txn
{
    std::vector<store_compare> compares;
    std::vector<store_operation> onSuccess;
    std::vector<store_operation> onFailure;
};

/** Requests a new lease. */
struct store_lease_grant
{
    std::int64_t ttlSeconds = 10; ///< Time to live, in seconds, after the grant and after each keep-alive.
};

/** Renews a lease. */
struct store_lease_keep_alive
{
    store_lease_id lease = 0;
};

/** Ends a lease and deletes the keys that are attached to it. */
struct store_lease_revoke
{
    store_lease_id lease = 0;
};

/** Watches the changes of a key, or of all keys that begin with it. */
struct store_watch_create
{
    std::string key;
    bool isPrefix = false;
    store_revision fromRevision = 0; ///< First revision to report; 0 for changes from now on.
    bool isShared = false; ///< Whether other nodes watch the same keys, so that one node may poll the store for several.
    duration reportInterval{}; ///< Minimum time between two reports; it bounds the calls that a busy prefix costs.
};

/** Answer to a read. */
struct store_range_answer
{
    std::optional<failure> error; ///< StoreUnavailable is the only one.
    store_revision revision = 0; ///< Revision of the store at the read.
    std::vector<store_key_value> items; ///< Ordered by key.
    store_revision lastRevision = 0; ///< Revision at the last of several partial reads, as a prefix with many keys needs; 0 for a single read.
};

/** Answer to a transaction. */
struct store_txn_answer
{
    std::optional<failure> error; ///< StoreUnavailable, StoreUnknown, or NotFound if a put names a lease that has lapsed.
    bool isSucceeded = false; ///< Whether all compares held, so that onSuccess was applied.
    store_revision revision = 0; ///< Revision of the store after the transaction.
    std::vector<store_range_answer> ranges; ///< Results of the reads among the applied operations, in their order.
};

/** Answer to a call about a lease. */
struct store_lease_answer
{
    std::optional<failure> error; ///< StoreUnavailable, StoreUnknown, or NotFound for a lease that has lapsed.
    store_lease_id lease = 0; ///< Id of the lease; 0 if the store did not report one.
    std::int64_t ttlSeconds = 0; ///< Time to live, in seconds, from the moment at which the store handled the call.
};

/** One change of a key. */
struct store_watch_event
{
    enum class kind : std::uint8_t { Put, Delete };
    kind type = kind::Put;
    store_key_value item; ///< For Delete only key and modRevision are set.
};

/** Answer to a read of the changes after a revision. */
struct store_change_answer
{
    std::optional<failure> error; ///< StoreUnavailable, or Stale if the store has dropped the history after that revision.
    store_revision revision = 0; ///< All changes up to this one are contained.
    std::vector<store_watch_event> events; ///< In their order.
};

/** A report of a watch. It has no events if it only shows that the watch is alive. */
struct store_watch_report
{
    store_revision revision = 0; ///< All changes up to this one have been reported.
    std::vector<store_watch_event> events;
};

/** The end of a watch; the client must create a new one to see further changes. */
struct store_watch_end
{
    failure error; ///< StoreUnavailable, or Stale if the store has compacted the requested revision.
    store_revision compactRevision = 0; ///< The oldest revision that can still be watched; set with Stale only.
};

/** Callbacks of a watch. None is called after onEnd, or after the watch was cancelled. */
struct store_watch_handlers
{
    std::function<void(const store_watch_report &report)> onReport;
    std::function<void(const store_watch_end &end)> onEnd;
};

/** Kinds of calls, for statistics. An open watch counts as one call. */
enum class store_call_kind : std::uint8_t { Read, Write, LeaseGrant, LeaseKeepAlive, LeaseRevoke, Watch };

/** Number of kinds of calls. */
inline constexpr std::size_t storeCallKindCount = static_cast<std::size_t>(store_call_kind::Watch) + 1;

/** Priorities of calls under one call_budget, the highest first. */
enum class store_priority : std::uint8_t {
    Lease, ///< Keep-alives and takeovers; if they are late, ownership is lost.
    Commit, ///< Writes that must be stored before a caller gets its answer, such as seals and settings.
    Background, ///< Calls that can wait.
};

/** Number of priorities. */
inline constexpr std::size_t storePriorityCount = static_cast<std::size_t>(store_priority::Background) + 1;

/**
 * A client of the store: a network adapter in the programs, a fake in virtual time in tests. The handler of each call except watch() runs exactly once, and no
 * handler runs from inside the call.
 */
template<class Client>
concept store_client = requires(Client client,
                                store_range range,
                                store_txn txn,
                                store_lease_grant grant,
                                store_lease_keep_alive keepAlive,
                                store_lease_revoke revoke,
                                store_watch_create watch,
                                store_watch_handlers watchHandlers,
                                std::function<void(const store_range_answer &)> onRange,
                                std::function<void(const store_txn_answer &)> onTxn,
                                std::function<void(const store_lease_answer &)> onLease)
{
    client.range(range, onRange);
    client.txn(txn, onTxn);
    client.grant(grant, onLease);
    client.keepAlive(keepAlive, onLease);
    client.revoke(revoke, onLease);
    {
        client.watch(watch, watchHandlers)
        } -> std::same_as<store_watch_id>;
    client.cancelWatch(store_watch_id{});
};

} // namespace reedtrail
