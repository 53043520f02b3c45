/**
 * @file
 * Stewards in virtual time: the cores of membership and settings of many nodes over a lossy network and a fake store, with faults.
 *
 *     fleet_world world({.nodes = 100, .zones = 5}, seed);
 *     world.run(std::chrono::seconds(10));
 *     world.kill(3);
 *     world.run(std::chrono::seconds(5));
 *     EXPECT_EQ(world.believersIn(3), 0U);
 *
 * A check that runs after each change of a node's settings asserts that its revision never falls while it is up, nor over a restart with its disk.
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

/** Size and character of a world. */
struct fleet_world_options
{
    std::size_t nodes = 8;
    std::size_t zones = 4;
    std::size_t regions = 1;
    double loss = 0;
    bool hasDisk = false; ///< Whether nodes keep their settings over a restart.
    membership_options gossip{};
    settings_options settings{};
    harness::fake_store_options store{};
};

/** What one node sent and received. */
struct node_traffic
{
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t sentMessages = 0;
};

/** The world. */
class fleet_world
{
public:
    using time = harness::virtual_time;

    fleet_world(fleet_world_options options, std::uint64_t seed);

    /** Lets @p span pass. */
    void run(duration span);
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

    /** Ends a node's process without a word. */
    void kill(std::size_t node);
    /** Starts a node's process anew, with a higher incarnation. */
    void start(std::size_t node);
    /** Lets a node stand still for @p span; what is sent to it waits. */
    void pause(std::size_t node, duration span);
    /** Lets a node leave in an orderly way. */
    void leave(std::size_t node);
    /** Replaces a node by one of another name on the same address. */
    void replace(std::size_t node, const std::string &name);
    /** Cuts or mends messages from one node to another. */
    void cut(std::size_t from, std::size_t to, bool isCut);
    /** Cuts or mends a zone from all others and from the store. */
    void cutZone(std::size_t zone, bool isCut);
    /** Cuts or mends a region from all others; the first region keeps the store. */
    void cutRegion(std::size_t region, bool isCut);

    /** Confirms a change at @p node, planned on what that node has in force. @param onEnd may be empty */
    void confirm(std::size_t node, const std::string &text, std::function<void(const settings_confirm_end &end)> onEnd = {});
    /** Sets whether messages are encoded, counted and decoded as between processes. */
    void setCounting(bool isCounting)
    {
        m_isCounting = isCounting;
    }
    /** Returns bytes sent and received by all nodes so far, with the headers of WebSocket, TCP and IP. */
    node_traffic totalTraffic() const;

    /** Returns how many running nodes, other than itself, count @p node among the reachable. */
    std::size_t believersIn(std::size_t node) const;
    /** Tells whether all running nodes count just the running nodes among the reachable. */
    bool isAgreed() const;
    /** Returns the lowest revision in force on a running node. */
    std::uint64_t lowestRevision() const;
    /** Returns how many deaths of running nodes were declared, counting each node that declared one. */
    std::uint64_t falseDeaths() const
    {
        return m_falseDeaths;
    }

    /** Returns how often @p node suspected a neighbour because it heard nothing from it. */
    std::uint64_t suspicionsBy(std::size_t node) const
    {
        return m_nodes[node].suspicions;
    }

    /** Returns how often any node held a zone for unreachable. */
    std::uint64_t zoneLosses() const
    {
        return m_zoneLosses;
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
    struct world_node
    {
        std::string name;
        std::string address;
        std::unique_ptr<membership> gossip;
        std::unique_ptr<settings_core> settings;
        std::optional<settings_record> disk;
        std::uint64_t generation = 0; ///< Of the process; events for an earlier one go nowhere.
        std::uint64_t highestRevision = 0; ///< Of the process, or of its disk.
        std::uint64_t suspicions = 0;
        bool isUp = false;
        bool isPaused = false;
        bool areDutiesOld = true;
        bool isDutyLookScheduled = false;
        time_point gossipAt = timeNever;
        time_point settingsAt = timeNever;
        std::deque<std::function<void()>> held;
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
    std::shared_ptr<const heartbeat> throughCodec(std::size_t from, std::size_t to, const heartbeat &message);
    std::optional<std::size_t> indexOf(const std::string &address) const;

    fleet_world_options m_options;
    harness::virtual_time m_time;
    random_source m_random;
    harness::lossy_network m_network;
    harness::fake_store m_store;
    std::vector<world_node> m_nodes;
    std::map<std::string, std::size_t> m_byAddress;
    std::uint64_t m_nextConfirm = 1;
    bool m_isCounting = false;
    std::uint64_t m_falseDeaths = 0;
    std::uint64_t m_zoneLosses = 0;
};

} // namespace reedtrail::testing
