/**
 * @file
 * Nodes of three zones that send to servers with limits in virtual time, with faults, and a check of what each server gets from all nodes together.
 */
#pragma once

#include "base/random.h"
#include "fleet/limit_client.h"
#include "harness/virtual_time.h"

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace reedtrail::testing {

/** How the nodes keep limits. */
enum class limit_form : std::uint8_t {
    OneKeeper, ///< The product.
    EachByItself, ///< Each node keeps to the whole limit of a server by itself.
};

/** A server that got more requests than it bears. */
struct broken_limit
{
    std::string server;
    time_point from;
    std::size_t arrived = 0;
    double allowed = 0;
};

class limit_simulation;

/** The clock and timers of one process. While its machine is frozen they wait; they end with the process. */
class limited_node_loop
{
public:
    limited_node_loop(limit_simulation &simulation, std::string node, int incarnation)
        : m_simulation(simulation)
        , m_node(std::move(node))
        , m_incarnation(incarnation)
    {
    }
    time_point now() const;
    void after(duration delay, std::function<void()> action);

private:
    limit_simulation &m_simulation;
    std::string m_node;
    int m_incarnation;
};

/** Carries questions between nodes. */
class simulated_limit_peers
{
public:
    simulated_limit_peers(limit_simulation &simulation, std::string node)
        : m_simulation(simulation)
        , m_node(std::move(node))
    {
    }
    void ask(const std::string &node, const limit_asks &question, std::function<void(limit_ask_end, const limit_replies &)> onEnd);
    duration nodeListAge() const
    {
        return duration::zero();
    }

private:
    limit_simulation &m_simulation;
    std::string m_node;
};

/** The nodes, the servers and the checks. */
class limit_simulation
{
public:
    static constexpr duration contactTime = std::chrono::seconds(3); ///< After which a named limit is in force, and a disturbed node counts again.
    static constexpr duration window = std::chrono::seconds(4);
    static constexpr double tolerance = 1.5; ///< Multiple of its limit that a server bears in a window.
    static constexpr double toleratedRequests = 5; ///< Requests beyond that.

    limit_simulation(std::uint64_t seed, limit_form form, bool hasFaults);

    /** Plays limits, requests and faults for @p length. */
    void run(duration length);

    std::vector<broken_limit> brokenLimits() const;
    /** Returns the requests that the servers with limits got in windows that were checked. */
    std::size_t checkedArrivals() const
    {
        return m_checked;
    }
    /** Returns the share of the places of limited servers that were used. */
    double usedShare() const;
    std::size_t sent(bool isUrgent) const
    {
        return m_sent[isUrgent ? 1 : 0];
    }
    std::size_t turnedAway(bool isUrgent) const
    {
        return m_turnedAway[isUrgent ? 1 : 0];
    }
    /** Returns the longest time that an urgent request waited for its place or its refusal. */
    duration longestUrgentWait() const
    {
        return m_longestUrgentWait;
    }
    /** Returns the messages between nodes. */
    std::size_t messages() const
    {
        return m_messages;
    }

private:
    friend class limited_node_loop;
    friend class simulated_limit_peers;
    using client = limit_client<simulated_limit_peers, limited_node_loop>;

    struct node
    {
        std::string zone;
        int incarnation = 0;
        bool isRunning = false;
        std::unique_ptr<limited_node_loop> loop;
        std::unique_ptr<simulated_limit_peers> peers;
        std::shared_ptr<client> limits;
        time_point frozenUntil;
        time_point disturbedUntil;
        std::map<std::string, time_point> toldAt; ///< When this process first got an answer with a limit, by server.
    };
    struct arrival
    {
        time_point at;
        bool isCounted = false;
    };
    struct limit_change
    {
        time_point at;
        double rate = 0;
    };
    struct server
    {
        std::string zone;
        std::vector<limit_change> limits; ///< Oldest first.
        std::vector<arrival> arrivals;
    };

    void start(const std::string &name, bool wasRegistered);
    void setNodeList(const std::string &name, bool wasRegistered);
    void send(const std::string &from, const std::string &to, std::function<void()> arrive);
    void runOrDefer(const std::string &name, int incarnation, std::function<void()> action);
    void scheduleRequests(const std::string &name);
    void request(const std::string &name, const std::string &target, bool isUrgent);
    void deliver(const std::string &name, const std::string &target, time_point sentAt);
    void scheduleLimit(const std::string &name);
    void scheduleFault();
    void injectFault();
    void disturb(node &each, duration length);
    duration randomSpan(double fromSeconds, double toSeconds)
    {
        return fromSeconds >= toSeconds ? reedtrail::fromSeconds(fromSeconds) : reedtrail::fromSeconds(m_random.uniform(fromSeconds, toSeconds));
    }
    double allowedIn(const server &each, time_point from) const;

    harness::virtual_time m_world;
    random_source m_random;
    limit_form m_form;
    bool m_hasFaults;
    std::map<std::string, node> m_nodes;
    std::map<std::string, server> m_servers;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::size_t m_messages = 0;
    mutable std::size_t m_checked = 0;
    std::array<std::size_t, 2> m_sent{};
    std::array<std::size_t, 2> m_turnedAway{};
    duration m_longestUrgentWait{};
    time_point m_end;
};

} // namespace reedtrail::testing
