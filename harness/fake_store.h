/**
 * @file
 * The platform's store in virtual time, with its faults, for randomised runs and benchmarks.
 *
 *     fake_store store(world, random_source(7), {});
 *     fake_store_client client = store.client("node-1");             // satisfies store_client
 *     client.txn(create, [](const store_txn_answer &answer) { ... });
 *     store.setDown(true);                                           // every call fails; leases do not lapse meanwhile
 *     store.dropWatchesSilently();                                   // open watches report nothing more
 *
 * Handlers run from the event queue, never from inside a call.
 */
#pragma once

#include "base/random.h"
#include "fleet/store_types.h"
#include "harness/virtual_time.h"

#include <array>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace reedtrail::harness {

/** How the store behaves while it is well. */
struct fake_store_options
{
    duration delay = std::chrono::milliseconds(2); ///< Of a call to the store, and of its answer, each.
    duration slowDelay = std::chrono::milliseconds(1500); ///< The same while it is slow.
    duration timeout = std::chrono::seconds(2); ///< After which a client gives a call up.
    duration progressInterval = std::chrono::seconds(10); ///< Between signs of life of a watch without changes.
};

/** Calls that reached the store, by kind. */
using store_call_counts = std::array<std::uint64_t, storeCallKindCount>;

class fake_store;

/** One client's way to the store; copies share it. */
class fake_store_client
{
public:
    fake_store_client(fake_store &store, std::string name)
        : m_store(&store)
        , m_name(std::move(name))
    {
    }
    void range(const store_range &call, std::function<void(const store_range_answer &)> onAnswer);
    void txn(const store_txn &call, std::function<void(const store_txn_answer &)> onAnswer);
    void grant(const store_lease_grant &call, std::function<void(const store_lease_answer &)> onAnswer);
    void keepAlive(const store_lease_keep_alive &call, std::function<void(const store_lease_answer &)> onAnswer);
    void revoke(const store_lease_revoke &call, std::function<void(const store_lease_answer &)> onAnswer);
    store_watch_id watch(const store_watch_create &call, store_watch_handlers handlers);
    void cancelWatch(store_watch_id watch);

private:
    fake_store *m_store;
    std::string m_name;
};

/** The store. */
class fake_store
{
public:
    fake_store(virtual_time &world, random_source random, fake_store_options options);

    /** Returns the way of the client named @p name. */
    fake_store_client client(std::string name);

    /** Stops or resumes answering. Data and leases are kept; lease clocks restart when it returns, as with a new etcd leader. */
    void setDown(bool isDown);
    /** Makes answers slow or quick. */
    void setSlow(bool isSlow);
    /** Cuts one client off, or joins it again. */
    void setCut(const std::string &clientName, bool isCut);
    /** Loses the answers of the next @p count writes after doing them. */
    void loseAnswers(std::uint64_t count);
    /** Loses each write's answer after doing it with probability @p chance. */
    void setAnswerLossChance(double chance);
    /** Lets all open watches report nothing more, without ending them. */
    void dropWatchesSilently();
    /** Forgets the history before the current revision. */
    void compact();
    /** Ends a client: its watches go and its answers reach nobody. */
    void forgetClient(const std::string &clientName);

    /** Returns the calls so far; a waiting watch counts once when it is created. */
    const store_call_counts &counts() const
    {
        return m_counts;
    }
    /** Returns how many calls of @p kind there were. */
    std::uint64_t count(store_call_kind kind) const
    {
        return m_counts.at(static_cast<std::size_t>(kind));
    }
    /** Returns writes so far: transactions, grants, keep-alives and revokes. */
    std::uint64_t writes() const;
    /** Returns reads so far: ranges, and one for each watch that waits. */
    std::uint64_t reads() const;
    /** Returns the open watches. */
    std::size_t watches() const
    {
        return m_watches.size();
    }
    /** Returns the revision of the store. */
    store_revision revision() const
    {
        return m_revision;
    }
    /** Reads a key directly, as the test's own eye. */
    std::optional<store_key_value> peek(const std::string &key) const;
    /** Writes a key directly, as the test's own hand. */
    void put(const std::string &key, const std::string &value);
    /** Removes a key, as an operator would. */
    void erase(const std::string &key);

private:
    friend class fake_store_client;

    struct lease_record
    {
        std::int64_t ttlSeconds = 0;
        time_point expiresAt;
        std::set<std::string> keys;
    };
    struct watch_record
    {
        std::string clientName;
        store_watch_create call;
        store_watch_handlers handlers;
        store_revision nextRevision = 0;
        bool isSilent = false;
    };
    struct history_record
    {
        store_revision revision = 0;
        store_watch_event event;
    };

    template<class Answer>
    void call(const std::string &clientName, store_call_kind kind, std::function<Answer()> apply, std::function<void(const Answer &)> onAnswer);
    template<class Answer>
    void answerLater(const std::string &clientName, duration delay, Answer answer, std::function<void(const Answer &)> onAnswer);
    store_watch_id openWatch(const std::string &clientName, const store_watch_create &call, store_watch_handlers handlers);
    void startWatch(store_watch_id id);
    void report(store_watch_id id);
    void reportAll();
    void reportProgress(store_watch_id id);
    void endWatch(store_watch_id id, store_watch_end end);

    store_range_answer applyRange(const store_range &call) const;
    store_txn_answer applyTxn(const store_txn &call);
    bool holds(const store_compare &compare) const;
    void applyPut(const store_put &put, store_revision revision);
    void applyDelete(const store_delete &gone, store_revision revision);
    void eraseKey(const std::string &key, store_revision revision);
    store_lease_answer applyGrant(const store_lease_grant &call);
    store_lease_answer applyKeepAlive(const store_lease_keep_alive &call);
    store_lease_answer applyRevoke(store_lease_id lease);
    void checkLease(store_lease_id lease);

    bool reaches(const std::string &clientName) const;
    std::uint64_t incarnationOf(const std::string &clientName) const;
    duration oneWayDelay();

    virtual_time &m_world;
    random_source m_random;
    fake_store_options m_options;
    bool m_isDown = false;
    bool m_isSlow = false;
    std::uint64_t m_answersToLose = 0;
    double m_answerLossChance = 0;
    std::set<std::string> m_cutClients;
    std::map<std::string, std::uint64_t> m_clientIncarnations;
    std::map<std::string, store_key_value> m_items;
    std::map<store_lease_id, lease_record> m_leases;
    std::map<store_watch_id, watch_record> m_watches;
    std::vector<history_record> m_history;
    store_revision m_revision = 1;
    store_revision m_compactRevision = 0;
    store_lease_id m_nextLease = 1000;
    store_watch_id m_nextWatch = 1;
    store_call_counts m_counts{};
};

static_assert(store_client<fake_store_client>);

} // namespace reedtrail::harness
