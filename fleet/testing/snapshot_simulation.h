/**
 * @file
 * Nodes of several zones that follow one prefix of the store in virtual time, with faults, and a check of every decision that they make.
 *
 * A decision made by a node must rest on every change that the store acknowledged more than the bound before it. A decision counts only if the node was in
 * touch: for contactTime before it, the node ran, the store was well, and the node reached it. Faults of other nodes, and of the way to them, excuse nothing.
 *
 * Each key is the registration of a server. Servers change, leave and start; in a long outage of the store registrations lapse, and come back after it. A
 * decision must not use a server that left more than the bound before it, if the store acknowledged that while it was well.
 */
#pragma once

#include "base/random.h"
#include "fleet/outage_tracker.h"
#include "fleet/server_directory.h"
#include "fleet/snapshot_mirror.h"
#include "harness/fake_store.h"
#include "harness/virtual_time.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace reedtrail::testing {

/** How the nodes of a simulation follow the prefix: as the product does, or as earlier forms did that broke the bound. */
enum class follow_form : std::uint8_t {
    DatedSnapshots, ///< The product.
    UnchangedIsFresh, ///< A reader's reply counts as the present state, however old the reader's own is.
    AgeFromReceipt, ///< A reply's age counts from its arrival, so the time on the way is lost.
    AgeWithoutSuspension, ///< The reader's clock stands still while its machine is suspended.
    OwnLossIsOutage, ///< A node that has lost the store for a second takes that for an outage of the store.
    NoOverlap, ///< Changes are read from the last state, so that what the store hid from that read stays unknown.
};

/** Faults of a simulation, for the list of what happened. */
enum class simulated_fault : std::uint8_t { Freeze, Suspend, CutFromStore, CutFromPeers, StoreSlow, StoreDown, KillAll, HistoryDropped };

/** A decision that rested on too old a state. */
struct late_decision
{
    std::string node;
    time_point at;
    duration age{}; ///< Time since the store acknowledged the change that the decision did not know, or since the server left that it could use.
    bool usesFormerServer = false; ///< The state was young enough, but a server in it had left.
    std::string lastFault; ///< The fault that began last before it, with its node.
};

class snapshot_simulation;

/** The clock and timers of one node. While the node is frozen or suspended, its timers and messages wait. */
class node_loop
{
public:
    node_loop(harness::virtual_time &world, snapshot_simulation &simulation, std::string node)
        : m_world(world)
        , m_simulation(simulation)
        , m_node(std::move(node))
    {
    }
    time_point now() const
    {
        return m_world.now() - m_lost;
    }
    void after(duration delay, std::function<void()> action);
    /** Sets the clock back by the time of a suspension that it did not count. */
    void loseTime(duration lost)
    {
        m_lost += lost;
    }

private:
    harness::virtual_time &m_world;
    snapshot_simulation &m_simulation;
    std::string m_node;
    duration m_lost{};
};

/** Connects a node's mirror with the store and the other nodes. */
class simulated_source
{
public:
    simulated_source(snapshot_simulation &simulation, std::string node)
        : m_simulation(simulation)
        , m_node(std::move(node))
    {
    }
    void list(const std::string &prefix, bool isPrefix, std::function<void(const store_range_answer &)> onListing);
    void changes(const std::string &prefix, store_revision after, std::function<void(const store_change_answer &)> onChanges);
    std::optional<std::string> reader() const;
    void ask(const std::string &reader, const snapshot_query &query, std::function<void(const std::optional<snapshot_reply> &)> onReply);
    void recordReaderFailure(const std::string &reader);
    void recordReaderSuccess(const std::string &reader);

private:
    snapshot_simulation &m_simulation;
    std::string m_node;
    std::map<std::string, time_point> m_pausedUntil;
};

/** The fleet, the store and the checks. */
class snapshot_simulation
{
public:
    static constexpr duration bound = std::chrono::seconds(2); ///< After which a change must be known, as for a leaving server.
    static constexpr duration contactTime = std::chrono::seconds(3);

    snapshot_simulation(std::uint64_t seed, follow_form form);

    /** Plays changes, decisions and faults for @p length. */
    void run(duration length);

    const std::vector<late_decision> &lateDecisions() const
    {
        return m_late;
    }
    /** Returns the nodes whose state went back to an earlier one. */
    const std::vector<std::string> &regressions() const
    {
        return m_regressions;
    }
    std::size_t decisions() const
    {
        return m_decisions;
    }
    /** Returns the decisions of nodes in touch, which are checked. */
    std::size_t checkedDecisions() const
    {
        return m_checked;
    }
    /** Returns the longest time for which a decision waited. */
    duration longestWait() const
    {
        return m_longestWait;
    }
    std::uint64_t storeReads() const
    {
        return m_store.count(store_call_kind::Read);
    }

    /** Switches faults off, for runs that count calls. */
    void setHasFaults(bool hasFaults)
    {
        m_hasFaults = hasFaults;
    }
    /** Sets how many nodes each of the three zones has; called before run(). */
    void setNodesPerZone(std::size_t count)
    {
        m_nodesPerZone = count;
    }
    /** Sets the mean time between two decisions of one node. */
    void setDecisionInterval(duration interval)
    {
        m_decisionInterval = interval;
    }

private:
    friend class node_loop;
    friend class simulated_source;
    using mirror = snapshot_mirror<simulated_source, node_loop>;

    struct node
    {
        std::string name;
        std::string zone;
        std::unique_ptr<node_loop> loop;
        std::unique_ptr<simulated_source> source;
        std::shared_ptr<mirror> follower;
        std::optional<harness::fake_store_client> client;
        std::map<std::string, store_revision> known; ///< The state on which decisions rest: revisions by key.
        server_directory directory; ///< The servers that decisions use.
        std::optional<outage_tracker> outages;
        bool isAskingWitnesses = false;
        int incarnation = 0;
        store_revision newest = 0; ///< Highest revision ever known in this process.
        bool isRunning = true;
        time_point frozenUntil;
        time_point cutUntil; ///< End of the last cut from its peers.
        time_point disturbedUntil; ///< The node is in touch from contactTime after this.
        std::vector<std::function<void()>> deferred; ///< Timers and messages that wait until the node runs again.
    };
    struct change
    {
        time_point at;
        std::string key;
        store_revision revision = 0;
        bool isGone = false; ///< The server has left.
        bool isStable = true; ///< The store was well, and had been so for contactTime, when it acknowledged the change.
    };

    void startNode(node &each);
    void runOrDefer(const std::string &name, std::function<void()> action);
    void send(const std::string &from, const std::string &to, std::function<void()> arrive);
    void scheduleDecision(const std::string &name);
    void decide(const std::string &name, time_point dueAt);
    void check(node &each);
    void scheduleChange();
    void put(const std::string &key);
    void erase(const std::string &key);
    void lapseRegistrations();
    void applyEvent(node &each, const store_watch_event &event, bool mayHaveLapsed);
    void resolveDoubt(node &each);
    void recordCall(const std::string &name, time_point begunAt, bool isAnswered);
    void scheduleFault();
    void injectFault();
    store_change_answer changesSince(store_revision after, store_revision reached) const;
    void freeze(node &each, duration length, bool isSuspended);
    void excuse(node &each, time_point until);
    void excuseAll(time_point until);
    node &randomNode();
    duration randomSpan(double fromSeconds, double toSeconds);

    harness::virtual_time m_world;
    random_source m_random;
    follow_form m_form;
    harness::fake_store m_store;
    std::map<std::string, node> m_nodes;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::vector<std::tuple<std::string, std::string, std::function<void()>>> m_heldUp; ///< Messages on cut links, delivered when the cut heals.
    std::map<std::string, change> m_lastChanges; ///< By key.
    std::vector<store_watch_event> m_history; ///< All changes, oldest first.
    store_revision m_droppedBefore = 0; ///< The store has dropped its history before this revision.
    store_revision m_hiddenAfter = 0; ///< Reads of changes show none after this revision while the store is about to drop its history; 0 otherwise.
    std::string m_lastFault = "none";
    std::vector<late_decision> m_late;
    std::vector<std::string> m_regressions;
    std::size_t m_decisions = 0;
    std::size_t m_checked = 0;
    duration m_longestWait{};
    bool m_hasFaults = true;
    bool m_isStoreDown = false;
    std::size_t m_nodesPerZone = 3;
    duration m_decisionInterval = std::chrono::milliseconds(700);
    time_point m_storeUnstableUntil; ///< The bound for a server that leaves counts from an acknowledgement of a store that is well for contactTime.
    time_point m_end;
};

} // namespace reedtrail::testing
