/**
 * @file
 * Simulates the stewards of a fleet in virtual time: the membership and settings of many nodes over a lossy network and a fake store, with fault injection.
 *
 *     fleet_simulation fleet({.nodes = 100, .zones = 5}, seed);
 *     fleet.run(std::chrono::seconds(10));
 *     fleet.kill(3);
 *     fleet.run(std::chrono::seconds(5));
 *     EXPECT_EQ(fleet.viewsContaining(3), 0U);
 *
 * Each change of a node's settings is checked: the revision must not decrease while the process runs, nor across a restart of a node with a disk.
 */
#pragma once

#include "base/cbor_codec.h"
#include "base/check.h"
#include "fleet/duties.h"
#include "fleet/membership.h"
#include "fleet/settings_core.h"
#include "harness/fake_store.h"
#include "harness/lossy_network.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace reedtrail::testing {

/** Size of a simulated fleet, and the options of its network, store and protocols. */
struct fleet_simulation_options
{
    std::size_t nodes = 8;
    std::size_t zones = 4;
    std::size_t regions = 1;
    double loss = 0; ///< Probability that a message is lost, from 0 to 1.
    bool hasDisk = false; ///< Whether nodes keep their settings across a restart.
    membership_options gossip{};
    settings_options settings{};
    harness::fake_store_options store{};
};

/** Traffic of one node. */
struct node_traffic
{
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t sentMessages = 0;
};

/** A simulated fleet. Nodes are addressed by their index. */
class fleet_simulation
{
public:
    using time = harness::virtual_time;

    fleet_simulation(fleet_simulation_options options, std::uint64_t seed);

    /** Advances the virtual time by @p interval and runs all events that are due. */
    void run(duration interval);
    /** Returns the virtual time. */
    time_point now() const
    {
        return m_time.now();
    }
    /** Runs @p action after @p delay. */
    void after(duration delay, std::function<void()> action)
    {
        m_time.after(delay, std::move(action));
    }

    /** Ends a node's process without notice to the other nodes. */
    void kill(std::size_t node);
    /** Starts a new process of a node, with a higher incarnation. */
    void start(std::size_t node);
    /** Pauses a node's process for @p interval; its timers and incoming messages are delivered afterwards. */
    void pause(std::size_t node, duration interval);
    /** Shuts a node down gracefully, so that it announces its departure. */
    void leave(std::size_t node);
    /** Replaces a node by one with another name at the same address. */
    void replace(std::size_t node, const std::string &name);
    /** Blocks or restores messages from one node to another, in this direction only. */
    void cut(std::size_t from, std::size_t to, bool isCut);
    /** Partitions a zone from all others and from the store, or heals the partition. */
    void cutZone(std::size_t zone, bool isCut);
    /** Partitions a region from all others, or heals the partition; the first region keeps its access to the store. */
    void cutRegion(std::size_t region, bool isCut);

    /** Confirms a change at @p node, planned on the revision in force there. @param onEnd receives the outcome, may be empty */
    void confirm(std::size_t node, const std::string &text, std::function<void(const settings_confirm_end &end)> onEnd = {});
    /** Sets whether messages are encoded and decoded as between processes, and their bytes counted. */
    void setTrafficCounting(bool isCounting)
    {
        m_isCountingTraffic = isCounting;
    }
    /** Returns the traffic of all nodes so far, including WebSocket, TCP and IP headers. */
    node_traffic totalTraffic() const;

    /** Returns how many other running nodes consider @p node reachable. */
    std::size_t viewsContaining(std::size_t node) const;
    /** Returns whether every running node considers exactly the running nodes reachable. */
    bool hasConverged() const;
    /** Returns the lowest settings revision in force on any running node. */
    std::uint64_t lowestRevision() const;
    /** Returns how often a node recorded a running node as dead. */
    std::uint64_t falseDeaths() const
    {
        return m_falseDeaths;
    }

    /** Returns how often @p node suspected a neighbour that had been silent. */
    std::uint64_t suspicionsBy(std::size_t node) const
    {
        return m_nodes[node].suspicions;
    }

    /** Returns how often any node marked a zone unreachable. */
    std::uint64_t zonesLost() const
    {
        return m_zonesLost;
    }

    std::size_t size() const
    {
        return m_nodes.size();
    }
    bool isUp(std::size_t node) const
    {
        return m_nodes[node].isUp;
    }
    std::size_t zoneOf(std::size_t node) const
    {
        return node % m_options.zones;
    }
    std::size_t regionOf(std::size_t node) const
    {
        return zoneOf(node) % m_options.regions;
    }
    const membership &gossip(std::size_t node) const
    {
        return *m_nodes[node].gossip;
    }
    const settings_core &settings(std::size_t node) const
    {
        return *m_nodes[node].settings;
    }
    const node_traffic &traffic(std::size_t node) const
    {
        return m_nodes[node].traffic;
    }
    harness::fake_store &store()
    {
        return m_store;
    }
    harness::lossy_network &network()
    {
        return m_network;
    }

private:
    struct node_state
    {
        std::string name;
        std::string address;
        std::unique_ptr<membership> gossip;
        std::unique_ptr<settings_core> settings;
        std::optional<settings_record> disk;
        std::uint64_t generation = 0; ///< Number of the current process; events for earlier ones are dropped.
        std::uint64_t highestRevision = 0; ///< Highest revision in force since the process started, or found on its disk.
        std::uint64_t suspicions = 0;
        bool isUp = false;
        bool isPaused = false;
        bool areDutiesStale = true;
        bool isDutyRefreshScheduled = false;
        time_point gossipAt = timeNever;
        time_point settingsAt = timeNever;
        std::deque<std::function<void()>> heldEvents;
        store_watch_id watch = 0;
        node_traffic traffic;
        std::map<std::uint64_t, std::function<void(const settings_confirm_end &)>> confirms;
    };

    void deliver(std::size_t to, std::uint64_t generation, std::function<void()> action);
    void perform(std::size_t node, const membership_step &step);
    void perform(std::size_t node, const settings_step &step);
    void act(std::size_t node, const settings_adopt &action);
    void act(std::size_t node, const settings_ask &action);
    void act(std::size_t node, const settings_read &action);
    void act(std::size_t node, const settings_open_watch &action);
    void act(std::size_t node, const settings_close_watch &action);
    void act(std::size_t node, const settings_commit &action);
    void act(std::size_t node, const settings_confirm_end &action);
    void sendHeartbeat(std::size_t from, const membership_send &send);
    void schedule(std::size_t node);
    void refreshDuties(std::size_t node);
    void countSent(std::size_t from, std::size_t to, std::uint64_t bytes);
    std::shared_ptr<const heartbeat> encodeAndDecode(std::size_t from, std::size_t to, const heartbeat &message);
    std::optional<std::size_t> indexOf(const std::string &address) const;

    fleet_simulation_options m_options;
    harness::virtual_time m_time;
    random_source m_random;
    harness::lossy_network m_network;
    harness::fake_store m_store;
    std::vector<node_state> m_nodes;
    std::map<std::string, std::size_t> m_byAddress;
    std::uint64_t m_nextConfirm = 1;
    bool m_isCountingTraffic = false;
    std::uint64_t m_falseDeaths = 0;
    std::uint64_t m_zonesLost = 0;
};

} // namespace reedtrail::testing
