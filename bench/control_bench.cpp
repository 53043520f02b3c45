// What the control part of a node costs, by the number of nodes and of backend servers: bytes a second in both directions with all headers, share of a core,
// and memory. Every message passes through its codec. Added to the cost at rest are 440 changes of a document of that many servers and 350 deaths and restarts
// a day. Slopes are by least squares over the sizes. Not in the figures: system calls, links' own pings, and whatever gates send.
// Baseline: all-to-all heartbeats of the same size and interval.

#include "bench/benchmark.h"

#include "base/check.h"
#include "fleet/testing/fleet_simulation.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <unistd.h>

namespace reedtrail::bench {
namespace {

using namespace std::chrono_literals;
using testing::fleet_simulation;
using testing::fleet_simulation_options;
using testing::node_traffic;

constexpr std::array<double, 5> nodeShares{ 0.02, 0.125, 0.25, 0.5, 1 }; // of --nodes: 8, 50, 100, 200 and 400 of 400
constexpr std::array<double, 4> serverShares{ 1.0 / 30, 0.2, 0.5, 1 }; // of --servers: 20, 120, 300 and 600 of 600
constexpr std::size_t nodesForServers = 50;
constexpr std::size_t smallestFleet = 8;
constexpr std::size_t bytesPerServer = 150; // of a server in the document
constexpr duration settleTime = 15s;
constexpr duration restTime = 6s;
constexpr duration eventTime = 5s;
constexpr double secondsPerDay = 86400;
constexpr double changesPerDay = 440;
constexpr double restartsPerDay = 350;
constexpr double targetBytesPerSecond = 21000;
constexpr double targetCoreShare = 0.018;
constexpr double targetMegabytes = 128;

struct control_cost
{
    double restBytes = 0; ///< A second and node, sent and received.
    double changeBytes = 0; ///< Of one change, a node.
    double restartBytes = 0; ///< Of one death and restart, a node.
    double totalBytes = 0; ///< A second and node, all together.
    double coreShare = 0;
    double megabytes = 0;
    double messageBytes = 0;
};

double residentMegabytes()
{
    std::FILE *file = std::fopen("/proc/self/statm", "r");
    long total = 0;
    long resident = 0;
    if (file == nullptr || std::fscanf(file, "%ld %ld", &total, &resident) != 2) {
        resident = 0;
    }
    if (file != nullptr) {
        std::fclose(file);
    }
    return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

double processSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double bytesOf(const fleet_simulation &world)
{
    const node_traffic total = world.totalTraffic();
    return static_cast<double>(total.sentBytes + total.receivedBytes) / static_cast<double>(world.size());
}

control_cost measure(std::size_t nodes, std::size_t servers, std::uint64_t seed)
{
    progress("control: " + std::to_string(nodes) + " nodes, " + std::to_string(servers) + " servers");
    control_cost cost;
    const double memoryBefore = residentMegabytes();
    fleet_simulation_options setup;
    setup.nodes = nodes;
    setup.zones = nodes < 20 ? 4 : 5;
    fleet_simulation world(setup, seed);
    world.run(settleTime);
    world.setTrafficCounting(true);
    world.confirm(0, std::string(servers * bytesPerServer, 's'));
    world.run(eventTime);
    cost.megabytes = (residentMegabytes() - memoryBefore) / static_cast<double>(nodes);

    const double cpuBefore = processSeconds();
    double before = bytesOf(world);
    const std::uint64_t messagesBefore = world.totalTraffic().sentMessages;
    world.run(restTime);
    cost.restBytes = (bytesOf(world) - before) / toSeconds(restTime);
    cost.coreShare = (processSeconds() - cpuBefore) / toSeconds(restTime) / static_cast<double>(nodes);
    const auto messages = static_cast<double>(world.totalTraffic().sentMessages - messagesBefore);
    cost.messageBytes = cost.restBytes / 2 * toSeconds(restTime) * static_cast<double>(nodes) / messages;

    before = bytesOf(world);
    world.confirm(1, std::string(servers * bytesPerServer, 't'));
    world.run(eventTime);
    cost.changeBytes = bytesOf(world) - before - cost.restBytes * toSeconds(eventTime);
    before = bytesOf(world);
    world.kill(nodes / 2);
    world.run(eventTime);
    world.start(nodes / 2);
    world.run(eventTime);
    cost.restartBytes = bytesOf(world) - before - cost.restBytes * 2 * toSeconds(eventTime);
    cost.totalBytes = cost.restBytes + (cost.changeBytes * changesPerDay + cost.restartBytes * restartsPerDay) / secondsPerDay;
    return cost;
}

/** Returns the slope of the least-squares line through the points. */
double slope(const std::vector<double> &x, const std::vector<double> &y)
{
    double sumX = 0;
    double sumY = 0;
    double sumXX = 0;
    double sumXY = 0;
    for (std::size_t i = 0; i < x.size(); ++i) {
        sumX += x[i];
        sumY += y[i];
        sumXX += x[i] * x[i];
        sumXY += x[i] * y[i];
    }
    const auto count = static_cast<double>(x.size());
    return (count * sumXY - sumX * sumY) / (count * sumXX - sumX * sumX);
}

void reportNodes(const bench_options &options, bench_report &report)
{
    std::vector<double> sizes;
    std::vector<double> bytes;
    std::vector<double> shares;
    control_cost cost;
    for (const double share : nodeShares) {
        const auto nodes = std::max(smallestFleet, static_cast<std::size_t>(share * static_cast<double>(options.nodes)));
        cost = measure(nodes, static_cast<std::size_t>(options.servers), options.seed);
        sizes.push_back(static_cast<double>(nodes));
        bytes.push_back(cost.totalBytes);
        shares.push_back(cost.coreShare);
        const std::string suffix = "At" + std::to_string(nodes);
        report.figure("bytesPerSecond" + suffix, cost.totalBytes, "B/s");
        report.figure("coreShare" + suffix, cost.coreShare, "share");
    }
    const double allToAll = 2 * cost.messageBytes * static_cast<double>(options.nodes - 1) / toSeconds(membership_options{}.heartbeatInterval);
    report.figure("bytesPerSecond", cost.totalBytes, "B/s", atMost(targetBytesPerSecond)).baseline("allToAllHeartbeats", allToAll);
    report.figure("coreShare", cost.coreShare, "share", atMost(targetCoreShare));
    report.figure("coreMegabytes", cost.megabytes, "MB", atMost(targetMegabytes));
    report.figure("bytesOfOneChange", cost.changeBytes, "B");
    report.figure("bytesOfOneRestart", cost.restartBytes, "B");
    report.figure("bytesPerSecondPerNode", slope(sizes, bytes), "B/s per node").baseline("allToAllHeartbeats", allToAll / static_cast<double>(options.nodes));
    report.figure("coreSharePerNode", slope(sizes, shares), "share per node");
}

void reportServers(const bench_options &options, bench_report &report)
{
    std::vector<double> sizes;
    std::vector<double> bytes;
    for (const double share : serverShares) {
        const auto servers = static_cast<std::size_t>(share * static_cast<double>(options.servers));
        sizes.push_back(static_cast<double>(servers));
        bytes.push_back(measure(nodesForServers, servers, options.seed).totalBytes);
    }
    report.figure("bytesPerSecondPerServer", slope(sizes, bytes), "B/s per server");
}

void runControl(const bench_options &options, bench_report &report)
{
    const std::uint64_t failedBefore = failedChecks();
    reportNodes(options, report);
    reportServers(options, report);
    report.figure("failedChecks", static_cast<double>(failedChecks() - failedBefore), "checks", exactly(0));
}

const registered_benchmark control("control", "Bytes, core share and memory of a node's control part", { .nodes = 400, .servers = 600 }, runControl);

} // namespace
} // namespace reedtrail::bench
