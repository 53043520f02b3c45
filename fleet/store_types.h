/**
 * @file
 * Typed calls to the platform's store and their answers. They mirror the etcd v3 calls that the system uses, free of any transport.
 *
 *     store_txn create;                                              // create the key if it is absent
 *     create.compares.push_back(store_compare::absent(key));
 *     create.onSuccess.push_back(store_put{key, value, lease});
 *     create.onFailure.push_back(store_range{key});
 *     client.txn(create, [](const store_txn_answer &answer) { ... });
 *
 * Errors of an answer are a closed set: StoreUnavailable means that the call certainly took no effect (or was a read), StoreUnknown that the answer to a
 * write was lost, so the write may have taken effect and must be resolved by reading back.
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

/** Revision of the whole store; it rises with each write. 0 stands for "none". */
using store_revision = std::uint64_t;

/** Id of a lease in the store. 0 stands for "none". */
using store_lease_id = std::int64_t;

/** A watch of one client, never reused. */
using store_watch_id = std::uint64_t;

/** A key with its value. */
struct store_key_value
{
    std::string key;
    std::string value;
    store_revision createRevision = 0;
    store_revision modRevision = 0;
    std::uint64_t version = 0; ///< Writes since it was created; 1 after the first.
    store_lease_id lease = 0;
};

/** Reads one key, or all keys that begin with it. */
struct store_range
{
    std::string key;
    bool isPrefix = false;
    std::int64_t limit = 0; ///< Most items returned; 0 for no limit.
};

/** What a compare looks at. */
enum class store_compare_target : std::uint8_t { ModRevision, Version, Value };

/** How a compare relates what is stored to what is given. */
enum class store_compare_relation : std::uint8_t { Equal, Greater, Less, NotEqual };

/** One condition of a transaction. */
struct store_compare
{
    std::string key;
    store_compare_target target = store_compare_target::ModRevision;
    store_compare_relation relation = store_compare_relation::Equal;
    std::uint64_t number = 0; ///< For ModRevision and Version; both are 0 for a key that is absent.
    std::string value; ///< For Value.

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
    store_lease_id lease = 0; ///< The key goes away with this lease; 0 for a key that stays.
};

/** Deletes one key, or all keys that begin with it. */
struct store_delete
{
    std::string key;
    bool isPrefix = false;
};

/** One operation of a transaction. */
using store_operation = std::variant<store_put, store_delete, store_range>;

/** Applies onSuccess if all compares hold, else onFailure, as one step. */
struct store_txn
{
    std::vector<store_compare> compares;
    std::vector<store_operation> onSuccess;
    std::vector<store_operation> onFailure;
};

/** Asks for a lease. */
struct store_lease_grant
{
    std::int64_t ttlSeconds = 10;
};

/** Prolongs a lease. */
struct store_lease_keep_alive
{
    store_lease_id lease = 0;
};

/** Ends a lease and deletes its keys. */
struct store_lease_revoke
{
    store_lease_id lease = 0;
};

/** Asks for the changes of a key, or of all keys that begin with it. */
struct store_watch_create
{
    std::string key;
    bool isPrefix = false;
    store_revision fromRevision = 0; ///< First revision to report; 0 for changes from now on.
    bool isShared = false; ///< Whether other nodes follow the same, so that one may poll for several.
    duration reportInterval{}; ///< Least time between two reports, so that a busy prefix costs a bounded number of calls.
};

/** Answer to a read. */
struct store_range_answer
{
    std::optional<failure> error; ///< StoreUnavailable.
    store_revision revision = 0; ///< Of the store when it was read.
    std::vector<store_key_value> items; ///< In the order of their keys.
};

/** Answer to a transaction. */
struct store_txn_answer
{
    std::optional<failure> error; ///< StoreUnavailable, StoreUnknown, or NotFound if a put names a lease that has lapsed.
    bool isSucceeded = false; ///< Whether all compares held.
    store_revision revision = 0; ///< Of the store after it.
    std::vector<store_range_answer> ranges; ///< Of the reads among the operations applied, in their order.
};

/** Answer to a call about a lease. */
struct store_lease_answer
{
    std::optional<failure> error; ///< StoreUnavailable, StoreUnknown, or NotFound for a lease that has lapsed.
    store_lease_id lease = 0;
    std::int64_t ttlSeconds = 0; ///< Time to live from the moment the store handled the call.
};

/** One change. */
struct store_watch_event
{
    enum class kind : std::uint8_t { Put, Delete };
    kind type = kind::Put;
    store_key_value item; ///< For Delete only key and modRevision are set.
};

/** What a watch reports: changes, or none as a sign of life. */
struct store_watch_report
{
    store_revision revision = 0; ///< All changes up to this one have been reported.
    std::vector<store_watch_event> events;
};

/** How a watch ended; it must be created again. */
struct store_watch_end
{
    failure error; ///< StoreUnavailable, or Stale if the store has compacted past the revision asked for.
    store_revision compactRevision = 0; ///< With Stale: the oldest revision that can still be watched.
};

/** Called with what a watch reports; nothing is called after onEnd or after the watch was cancelled. */
struct store_watch_handlers
{
    std::function<void(const store_watch_report &report)> onReport;
    std::function<void(const store_watch_end &end)> onEnd;
};

/** Kinds of calls, for counting. A waiting watch counts as one call. */
enum class store_call_kind : std::uint8_t { Read, Write, LeaseGrant, LeaseKeepAlive, LeaseRevoke, Watch };

/** Number of kinds of calls. */
inline constexpr std::size_t storeCallKindCount = static_cast<std::size_t>(store_call_kind::Watch) + 1;

/** Priorities of calls under one budget; a lower number goes first. */
enum class store_priority : std::uint8_t {
    Lease, ///< Keep-alives and takeovers: their lateness costs ownership.
    Commit, ///< Records that a promise waits for, such as seals and settings.
    Background, ///< Everything that can wait.
};

/** Number of priorities. */
inline constexpr std::size_t storePriorityCount = static_cast<std::size_t>(store_priority::Background) + 1;

/** A client of the store: the network adapter in the programs, a fake in virtual time. Each handler runs exactly once, never from inside the call. */
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
