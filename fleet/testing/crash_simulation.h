/**
 * @file
 * Nodes of three zones, servers and callers in virtual time, some of whose requests end each server that runs them, with faults, and a check of how often such
 * requests are sent.
 */
#pragma once

#include "base/random.h"
#include "fleet/crash_client.h"
#include "harness/virtual_time.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace reedtrail::testing {

/** How the nodes treat requests under which servers ended. */
enum class crash_form : std::uint8_t {
    Shared, ///< The product.
    EachByItself, ///< Each node keeps its own record.
    Forgotten, ///< Nobody keeps a record.
};

/** What is played. */
struct crash_play
{
    crash_form form = crash_form::Shared;
    int crashingRequests = 1;
    bool hasFaults = false; ///< Nodes are killed, frozen and cut off.
    bool hasLosses = false; ///< Seven tenths of the servers end at once, three times.
    crash_client_options options;
    bool isDark = false; ///< Servers that end close no connection, and new ones get no answer; requests on them run into their time limit.
    double lossShare = 0.7; ///< Of the servers, that end at once if there are losses.
    int lostNodes = 0; ///< Nodes that are lost for good when a crashing request has ended its third server, its two keepers first.
};

/** What was seen. */
struct crash_counts
{
    int largestRetries = 0; ///< Sends of one crashing request that the rule counts; 3 are allowed.
    int endsUnderCrashing = 0; ///< Servers that ended because of a crashing request.
    int innocent = 0; ///< Requests that servers bear.
    int innocentServed = 0;
    int innocentRefused = 0; ///< Refused by a keeper's decision.
    int crashingAnswers = 0; ///< Answers that callers of crashing requests got.
    std::size_t messages = 0; ///< Between nodes.
    std::size_t persists = 0; ///< Writes to the store.
};

class crash_simulation;

/** The clock and timers of one process. While its machine is frozen they wait; they end with the process. */
class crash_node_loop
{
public:
    crash_node_loop(crash_simulation &simulation, std::string node, int incarnation)
        : m_simulation(simulation)
        , m_node(std::move(node))
        , m_incarnation(incarnation)
    {
    }
    time_point now() const;
    void after(duration delay, std::function<void()> action);

private:
    crash_simulation &m_simulation;
    std::string m_node;
    int m_incarnation;
};

/** Carries messages between nodes. */
class simulated_crash_peers
{
public:
    simulated_crash_peers(crash_simulation &simulation, std::string node)
        : m_simulation(simulation)
        , m_node(std::move(node))
    {
    }
    void send(const std::string &node, const crash_message &message, std::function<void(peer_ask_end, const crash_reply &)> onEnd);

private:
    crash_simulation &m_simulation;
    std::string m_node;
};

/** The nodes, the servers, the callers and the check. */
class crash_simulation
{
public:
    static constexpr duration contactTime = std::chrono::seconds(3); ///< After which the third end counts, and a disturbed node counts again.

    crash_simulation(std::uint64_t seed, const crash_play &play);

    /** Plays @p length. */
    crash_counts run(duration length);

private:
    friend class crash_node_loop;
    friend class simulated_crash_peers;
    using client = crash_client<simulated_crash_peers, crash_node_loop>;

    struct node
    {
        std::string zone;
        int incarnation = 0;
        bool isRunning = false;
        bool isReady = false; ///< Whether it has read what the store has, and takes requests.
        std::unique_ptr<crash_node_loop> loop;
        std::unique_ptr<simulated_crash_peers> peers;
        std::shared_ptr<client> crashes;
        time_point frozenUntil;
        time_point disturbedUntil;
        bool isLost = false; ///< For good.
        std::map<std::size_t, time_point> avoidedUntil; ///< Servers that did not answer, by index.
    };
    struct server
    {
        int instance = 0;
        bool isRunning = true;
        std::set<int> running; ///< Numbers of attempts.
    };
    /** A request of a caller, over its repeats. */
    struct content
    {
        request_identity identity;
        bool isCrashing = false;
        int ends = 0; ///< Servers that it has ended.
        std::optional<time_point> thirdEndAt;
        int countedRetries = 0;
    };
    /** One client attempt at a node. */
    struct client_attempt
    {
        std::size_t content = 0;
        std::string node;
        int incarnation = 0;
        std::string asker;
        int runs = 0;
        int tries = 0;
        bool hasGrant = false;
        time_point startedAt;
        std::function<void(bool isServed, bool isRefused)> onAnswer;
    };
    struct server_attempt
    {
        std::shared_ptr<client_attempt> of;
        std::size_t server = 0;
        int instance = 0;
    };

    void start(const std::string &name);
    void runOrDefer(const std::string &name, int incarnation, std::function<void()> action);
    void send(const std::string &from, const std::string &to, std::function<void()> arrive);
    void schedulePing(const std::string &name);
    void scheduleInnocent();
    void sendInnocent(std::size_t content, int repeatsLeft);
    void repeatCrashing(std::size_t content);
    void arrive(std::size_t content, std::function<void(bool, bool)> onAnswer);
    void tryNext(const std::shared_ptr<client_attempt> &request);
    void sendToServer(const std::shared_ptr<client_attempt> &request);
    void finishAttempt(int number, std::size_t serverIndex, int instance);
    void endServer(std::size_t index, std::optional<std::size_t> cause);
    void onBroken(const std::shared_ptr<client_attempt> &request, std::size_t serverIndex, int instance);
    void onUnanswered(const std::shared_ptr<client_attempt> &request, std::size_t serverIndex, int instance);
    void recordEnd(const std::shared_ptr<client_attempt> &request, std::size_t serverIndex, int instance);
    void goOn(const std::shared_ptr<client_attempt> &request);
    void loseNodes(const content &crashing);
    void setNodes(const std::string &name);
    void scheduleFault();
    void injectFault();
    void scheduleLosses();
    std::string randomNode();
    duration randomSpan(double fromSeconds, double toSeconds)
    {
        return reedtrail::fromSeconds(m_random.uniform(fromSeconds, toSeconds));
    }

    harness::virtual_time m_world;
    random_source m_random;
    crash_play m_play;
    std::map<std::string, node> m_nodes;
    std::vector<server> m_servers;
    std::vector<content> m_contents;
    std::map<int, server_attempt> m_attempts; ///< Under way at servers, by number.
    crash_table m_stored; ///< What the store has.
    std::set<std::pair<std::string, std::string>> m_cuts;
    crash_counts m_counts;
    int m_nextNumber = 0;
    bool m_haveLostNodesLeftList = false;
    time_point m_end;
};

} // namespace reedtrail::testing
