#include "weights/load_planner.h"

#include "base/random.h"

#include <algorithm>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <set>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;

/** Simulates model servers that take 0.9 s for a load, and proportionally longer while more than maxConcurrentLoads are in progress. */
class load_simulation
{
public:
    load_simulation(int serverCount, std::vector<std::string> models, std::size_t maxConcurrentLoads)
        : m_maxConcurrentLoads(maxConcurrentLoads)
    {
        for (int i = 0; i < serverCount; ++i) {
            server_entry entry;
            entry.id = "s" + std::to_string(i);
            entry.service = "engines";
            entry.zone = "z" + std::to_string(i % 3);
            entry.startedAt = 1;
            for (const std::string &model : models) {
                entry.modelVersions[model] = 1;
            }
            servers[entry.id] = entry;
        }
        refresh();
        planner.setModels(models);
    }

    void refresh()
    {
        std::vector<const server_entry *> usable;
        for (const auto &[id, entry] : servers) {
            usable.push_back(&entry);
        }
        planner.refresh(usable);
    }

    void run(duration span)
    {
        for (const time_point end = now + span; now < end; now += 50ms) {
            finishLoads();
            for (const server_poll &poll : planner.next(now)) {
                handlePoll(poll);
            }
            std::map<std::string, std::size_t> loadingByModel;
            for (const auto &[server, order] : loading) {
                ++loadingByModel[order.model];
            }
            peakConcurrentLoads = std::max(peakConcurrentLoads, loading.size());
        }
    }

    /** Returns how many servers can serve a job that accepts @p version and newer ones. */
    std::size_t eligibleServers(const std::string &model, std::uint64_t version) const
    {
        std::size_t count = 0;
        for (const auto &[id, entry] : servers) {
            count += entry.modelVersions.at(model) >= version ? 1 : 0;
        }
        return count;
    }

    load_planner planner;
    std::map<std::string, server_entry> servers;
    std::map<std::string, load_order> loading;
    std::size_t peakConcurrentLoads = 0;
    std::size_t loads = 0;
    time_point now{ 1s };
    bool losesAnswers = false;

private:
    void finishLoads()
    {
        // A step advances each load by 50 ms, or by less if too many are in progress.
        const double speed = loading.size() <= m_maxConcurrentLoads ? 1.0 : static_cast<double>(m_maxConcurrentLoads) / static_cast<double>(loading.size());
        for (auto it = loading.begin(); it != loading.end();) {
            m_progress[it->first] += 0.05 * speed;
            if (m_progress[it->first] >= 0.9) {
                servers[it->first].modelVersions[it->second.model] = it->second.version;
                m_progress.erase(it->first);
                it = loading.erase(it);
            } else {
                ++it;
            }
        }
    }

    void handlePoll(const server_poll &poll)
    {
        engine_report report;
        const server_entry &entry = servers.at(poll.server);
        report.versions.insert(entry.modelVersions.begin(), entry.modelVersions.end());
        report.isBusy = loading.contains(poll.server);
        report.ordersAccepted = entry.ordersAccepted;
        const std::optional<load_order> order = planner.onReport(now, poll.server, report);
        if (!order) {
            return;
        }
        if (loading.contains(poll.server)) {
            planner.onOrderAnswer(now, poll.server, order_answer::Conflict);
            return;
        }
        ++loads;
        ++servers[poll.server].ordersAccepted;
        loading[poll.server] = *order;
        planner.onOrderAnswer(now, poll.server, losesAnswers ? order_answer::Unknown : order_answer::Started);
    }

    std::size_t m_maxConcurrentLoads;
    std::map<std::string, double> m_progress;
};

const std::vector<std::string> threeModels{ "a", "b", "c" };

TEST(load_planner_test, eachModelHasServersInAllZones)
{
    load_simulation simulation(9, threeModels, 2);
    std::map<std::string, std::set<std::string>> zones;
    for (const auto &[id, entry] : simulation.servers) {
        zones[std::string(simulation.planner.modelOf(id))].insert(entry.zone);
    }
    ASSERT_EQ(zones.size(), 3U);
    for (const auto &[model, seen] : zones) {
        EXPECT_EQ(seen.size(), 3U) << model;
    }
}

TEST(load_planner_test, newVersionIsLoadedOnlyByTheModelsServers)
{
    load_simulation simulation(9, threeModels, 2);
    simulation.planner.setTarget(simulation.now, "a", 2);
    simulation.run(20s);
    EXPECT_LE(simulation.loads, 3U);
    EXPECT_GE(simulation.loads, 1U);
    EXPECT_LE(simulation.peakConcurrentLoads, 2U);
}

/** Three trainers each publish a version every four seconds, and the next job of each accepts the version before it. */
TEST(load_planner_test, jobsFindEligibleServersAtTheirStart)
{
    load_simulation simulation(9, threeModels, 2);
    std::map<std::string, std::uint64_t> version{ { "a", 1 }, { "b", 1 }, { "c", 1 } };
    std::size_t eligibleAtStart = 0;
    std::size_t stepCount = 0;
    for (int step = 0; step < 60; ++step) {
        const std::string &model = threeModels[static_cast<std::size_t>(step) % 3];
        simulation.planner.setTarget(simulation.now, model, ++version[model]);
        const std::size_t eligibleServers = simulation.eligibleServers(model, version[model] - 1);
        EXPECT_GE(eligibleServers, 1U) << "step " << step;
        eligibleAtStart += eligibleServers;
        ++stepCount;
        simulation.run(1333ms);
    }
    EXPECT_LE(simulation.peakConcurrentLoads, 2U) << "more concurrent loads slow each other down";
    // On average, two of a model's three servers can serve its job immediately.
    EXPECT_GE(static_cast<double>(eligibleAtStart) / static_cast<double>(stepCount), 2.0);
}

const std::vector<std::string> fourModels{ "qa", "math", "code", "chat" };

std::map<std::string, std::size_t> serversPerModel(const load_simulation &simulation)
{
    std::map<std::string, std::size_t> counts;
    for (const auto &[id, entry] : simulation.servers) {
        ++counts[std::string(simulation.planner.modelOf(id))];
    }
    return counts;
}

/** Returns when the last of @p completions ends if the longest start first, each on the next free one of @p slots. */
double burstDuration(std::vector<double> completions, std::size_t slots)
{
    std::ranges::sort(completions, std::greater<>());
    std::multiset<double> freeAt;
    for (std::size_t i = 0; i < slots; ++i) {
        freeAt.insert(0);
    }
    for (const double completion : completions) {
        const double start = *freeAt.begin();
        freeAt.erase(freeAt.begin());
        freeAt.insert(start + completion);
    }
    return *freeAt.rbegin();
}

/**
 * Four trainers submit bursts at the same time: two of 192 completions of 17 events and two of 130 completions of 8 events, at 48 ms per event. Half of the
 * slots still serve the previous burst. With an even split, the servers of the models with longer completions are the bottleneck while others are idle.
 */
TEST(load_planner_test, serversFollowDemandAndShortenBursts)
{
    load_simulation simulation(44, fourModels, 10);
    EXPECT_EQ(serversPerModel(simulation), (std::map<std::string, std::size_t>{ { "qa", 11 }, { "math", 11 }, { "code", 11 }, { "chat", 11 } }));
    const std::map<std::string, std::pair<int, double>> bursts{
        { "qa", { 130, 8 } }, { "math", { 192, 17 } }, { "code", { 192, 17 } }, { "chat", { 130, 8 } }
    };
    random_source random(11);
    std::map<std::string, std::vector<double>> completions;
    for (const auto &[model, burst] : bursts) {
        for (int i = 0; i < burst.first; ++i) {
            completions[model].push_back(0.048 * burst.second * random.uniform(0.3, 1.7));
        }
        simulation.planner.setDemand(model, burst.first * burst.second);
    }
    const std::map<std::string, std::size_t> counts = serversPerModel(simulation);
    double slowest = 0;
    double slowestBefore = 0;
    for (const auto &[model, burst] : completions) {
        EXPECT_GE(counts.at(model), 5U) << model << " keeps servers from the even split";
        slowest = std::max(slowest, burstDuration(burst, counts.at(model) * 8 / 2));
        slowestBefore = std::max(slowestBefore, burstDuration(burst, 11 * 8 / 2));
    }
    EXPECT_LT(slowest, 0.85 * slowestBefore);
}

TEST(load_planner_test, varyingDemandMovesFewServers)
{
    load_simulation simulation(44, fourModels, 10);
    random_source random(5);
    const std::map<std::string, double> typicalDemand{ { "qa", 1000 }, { "math", 3300 }, { "code", 3300 }, { "chat", 1000 } };
    for (const auto &[model, tokens] : typicalDemand) {
        simulation.planner.setDemand(model, tokens);
    }
    const auto before = serversPerModel(simulation);
    std::map<std::string, std::string> modelOf;
    for (const auto &[id, entry] : simulation.servers) {
        modelOf[id] = simulation.planner.modelOf(id);
    }
    for (int job = 0; job < 40; ++job) {
        for (const auto &[model, tokens] : typicalDemand) {
            simulation.planner.setDemand(model, tokens * random.uniform(0.8, 1.2));
        }
    }
    int movedServers = 0;
    for (const auto &[id, entry] : simulation.servers) {
        movedServers += modelOf[id] == simulation.planner.modelOf(id) ? 0 : 1;
    }
    EXPECT_LE(movedServers, 2);
}

TEST(load_planner_test, incompleteDemandKeepsTheEvenSplit)
{
    load_simulation simulation(9, threeModels, 2);
    simulation.planner.setDemand("a", 1000);
    simulation.planner.setDemand("b", 10);
    EXPECT_EQ(serversPerModel(simulation), (std::map<std::string, std::size_t>{ { "a", 3 }, { "b", 3 }, { "c", 3 } }));
    simulation.planner.setDemand("c", 10);
    const auto counts = serversPerModel(simulation);
    EXPECT_GT(counts.at("a"), 4U);
    EXPECT_GE(counts.at("b"), 1U);
    EXPECT_GE(counts.at("c"), 1U);
}

TEST(load_planner_test, modelWithFewestEligibleServersLoadsFirst)
{
    load_simulation simulation(9, threeModels, 2);
    simulation.planner.setTarget(simulation.now, "a", 2);
    simulation.planner.setTarget(simulation.now, "c", 4);
    const std::vector<server_poll> first = simulation.planner.next(simulation.now);
    ASSERT_FALSE(first.empty());
    for (const server_poll &poll : first) {
        EXPECT_EQ(simulation.planner.modelOf(poll.server), "c");
    }
}

TEST(load_planner_test, ordersWithLostAnswersAreNotRepeated)
{
    load_simulation simulation(3, { "a" }, 1);
    simulation.losesAnswers = true;
    simulation.planner.setTarget(simulation.now, "a", 5);
    simulation.run(15s);
    EXPECT_EQ(simulation.eligibleServers("a", 5), 3U);
    EXPECT_EQ(simulation.loads, 3U) << "a busy server is not ordered again";
}

TEST(load_planner_test, takeoverRecoversTheAssignmentFromVersions)
{
    load_simulation simulation(9, threeModels, 2);
    for (std::uint64_t version = 2; version < 6; ++version) {
        for (const std::string &model : threeModels) {
            simulation.planner.setTarget(simulation.now, model, version);
        }
        simulation.run(8s);
    }
    std::map<std::string, std::string> before;
    for (const auto &[id, entry] : simulation.servers) {
        before[id] = simulation.planner.modelOf(id);
    }
    const std::size_t loadsBefore = simulation.loads;
    simulation.planner = load_planner();
    for (const std::string &model : threeModels) {
        simulation.planner.setTarget(simulation.now, model, 5);
    }
    simulation.refresh();
    simulation.planner.setModels(threeModels);
    std::size_t movedServers = 0;
    for (const auto &[id, model] : before) {
        movedServers += simulation.planner.modelOf(id) == model ? 0 : 1;
    }
    EXPECT_LE(movedServers, 2U);
    simulation.run(5s);
    EXPECT_LE(simulation.loads, loadsBefore + 3);
}

/**
 * In a rolling restart each node plans for only one second. If a node ignored the orders of the nodes before it, a server would get orders from two nodes
 * within 3 s; if it waited for the whole delay instead, no node would order at all.
 */
TEST(load_planner_test, handoverKeepsTheDelayBetweenNodesPerServer)
{
    load_simulation simulation(9, threeModels, 2);
    std::map<std::string, std::pair<int, time_point>> lastOrders; // Node and time of the last order, by server.
    std::optional<std::string> handover;
    std::size_t orders = 0;
    for (int node = 0; node < 24; ++node) {
        load_planner planner;
        planner.setPreviousOrders(simulation.now, handover ? decodeOrderAges(*handover) : std::nullopt, node == 0);
        std::vector<const server_entry *> usable;
        for (const auto &[id, entry] : simulation.servers) {
            usable.push_back(&entry);
        }
        planner.refresh(usable);
        planner.setModels(threeModels);
        for (const std::string &model : threeModels) {
            planner.setTarget(simulation.now, model, static_cast<std::uint64_t>(node) + 3);
        }
        for (const time_point end = simulation.now + 1s; simulation.now < end; simulation.now += 100ms) {
            for (const server_poll &poll : planner.next(simulation.now)) {
                const server_entry &entry = simulation.servers.at(poll.server);
                engine_report report;
                report.versions.insert(entry.modelVersions.begin(), entry.modelVersions.end());
                if (const auto order = planner.onReport(simulation.now, poll.server, report)) {
                    const auto before = lastOrders.find(poll.server);
                    if (before != lastOrders.end() && before->second.first != node) {
                        EXPECT_GE(toSeconds(simulation.now - before->second.second), 3.0) << poll.server << " at node " << node;
                    }
                    lastOrders[poll.server] = { node, simulation.now };
                    ++orders;
                    planner.onOrderAnswer(simulation.now, poll.server, order_answer::Started);
                    simulation.servers[poll.server].modelVersions[order->model] = order->version;
                }
            }
        }
        handover = encodeOrderAges(planner.orderAges(simulation.now));
        ASSERT_TRUE(decodeOrderAges(*handover));
    }
    EXPECT_GT(orders, 24U) << "a wait of 3.6 s per node would let none of them order";
}

TEST(load_planner_test, restartedNodeOrdersAtOnceAndReportsEarlierOrders)
{
    load_simulation simulation(9, threeModels, 2);
    simulation.planner.setPreviousOrders(simulation.now, std::nullopt, true);
    simulation.planner.setTarget(simulation.now, "a", 3);
    EXPECT_FALSE(simulation.planner.next(simulation.now + 2s).empty());
    EXPECT_EQ(simulation.planner.orderAges(simulation.now + 1s).others, 1s);
    load_simulation successor(9, threeModels, 2);
    successor.planner.setPreviousOrders(successor.now, std::nullopt, false);
    successor.planner.setTarget(successor.now, "a", 3);
    EXPECT_TRUE(successor.planner.next(successor.now + 3s).empty());
    EXPECT_FALSE(successor.planner.next(successor.now + 4s).empty());
    EXPECT_FALSE(decodeOrderAges("soon"));
    EXPECT_FALSE(decodeOrderAges(R"({"servers":{"s1":"late"}})"));
}

TEST(load_planner_test, modelThatLostItsServersGetsOthers)
{
    load_simulation simulation(9, threeModels, 2);
    for (const auto &[id, entry] : std::map(simulation.servers)) {
        if (simulation.planner.modelOf(id) == "b") {
            simulation.servers.erase(id);
        }
    }
    simulation.refresh();
    std::size_t serversOfB = 0;
    for (const auto &[id, entry] : simulation.servers) {
        serversOfB += simulation.planner.modelOf(id) == "b" ? 1 : 0;
    }
    EXPECT_EQ(serversOfB, 2U);
}

} // namespace
} // namespace reedtrail
