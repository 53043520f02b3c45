// Measures the cost of a node's control plane by the number of nodes and of backend servers: bytes per second in both directions including all headers, CPU
// time as a share of one core, and memory. Every message is encoded and decoded. The total adds to the idle cost that of 440 settings changes per day, each
// with a document of that many servers, and of 350 node failures and restarts per day. Slopes are fitted by least squares over the sizes. The figures leave out
// system calls, keep-alive pings of the links, and traffic of the gates.
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

constexpr std::array<double, 5> nodeShares{ 0.02, 0.125, 0.25, 0.5, 1 }; // Fractions of --nodes: 8, 50, 100, 200 and 400 of 400.
constexpr std::array<double, 4> serverShares{ 1.0 / 30, 0.2, 0.5, 1 }; // Fractions of --servers: 20, 120, 300 and 600 of 600.
constexpr std::size_t nodesInServerSweep = 50;
constexpr std::size_t minimumNodes = 8;
constexpr std::size_t bytesPerServer = 150; // Size of a server's entry in the settings document.
constexpr duration settleTime = 15s;
constexpr duration idleTime = 6s;
constexpr duration eventWindow = 5s;
constexpr double secondsPerDay = 86400;
constexpr double changesPerDay = 440;
constexpr double restartsPerDay = 350;
constexpr double targetBytesPerSecond = 21000;
constexpr double targetCoreShare = 0.018;
constexpr double targetMegabytes = 128;

struct control_cost
{
    double idleBytes = 0; ///< Bytes per second and node without events, sent and received.
    double changeBytes = 0; ///< Additional bytes per node for one settings change.
    double restartBytes = 0; ///< Additional bytes per node for one node failure and restart.
    double totalBytesPerSecond = 0; ///< Bytes per second and node, including changes and restarts.
    double coreShare = 0; ///< CPU time of one node as a share of one core.
    double megabytesPerNode = 0; ///< Resident memory per node.
    double messageBytes = 0; ///< Mean size of a message.
};

/** Returns the resident memory of this process, or 0 if it cannot be read. */
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

/** Returns the CPU time that this process has used so far. */
double processCpuSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/** Returns the mean number of bytes that a node has sent and received. */
double meanBytesPerNode(const fleet_simulation &simulation)
{
    const node_traffic total = simulation.totalTraffic();
    return static_cast<double>(total.sentBytes + total.receivedBytes) / static_cast<double>(simulation.size());
}

/** Measures the cost per node of a fleet of this size, first idle, then for one settings change and for one node restart. */
control_cost measure(std::size_t nodes, std::size_t servers, std::uint64_t seed)
{
    printProgress("control: " + std::to_string(nodes) + " nodes, " + std::to_string(servers) + " servers");
    control_cost cost;
    const double memoryBefore = residentMegabytes();
    fleet_simulation_options setup;
    setup.nodes = nodes;
    setup.zones = nodes < 20 ? 4 : 5;
    fleet_simulation simulation(setup, seed);
    simulation.run(settleTime);
    simulation.setTrafficCounting(true);
    simulation.confirm(0, std::string(servers * bytesPerServer, 's'));
    simulation.run(eventWindow);
    cost.megabytesPerNode = (residentMegabytes() - memoryBefore) / static_cast<double>(nodes);

    const double cpuBefore = processCpuSeconds();
    double before = meanBytesPerNode(simulation);
    const std::uint64_t messagesBefore = simulation.totalTraffic().sentMessages;
    simulation.run(idleTime);
    cost.idleBytes = (meanBytesPerNode(simulation) - before) / toSeconds(idleTime);
    cost.coreShare = (processCpuSeconds() - cpuBefore) / toSeconds(idleTime) / static_cast<double>(nodes);
    const auto messages = static_cast<double>(simulation.totalTraffic().sentMessages - messagesBefore);
    cost.messageBytes = cost.idleBytes / 2 * toSeconds(idleTime) * static_cast<double>(nodes) / messages;

    before = meanBytesPerNode(simulation);
    simulation.confirm(1, std::string(servers * bytesPerServer, 't'));
    simulation.run(eventWindow);
    cost.changeBytes = meanBytesPerNode(simulation) - before - cost.idleBytes * toSeconds(eventWindow);
    before = meanBytesPerNode(simulation);
    simulation.kill(nodes / 2);
    simulation.run(eventWindow);
    simulation.start(nodes / 2);
    simulation.run(eventWindow);
    cost.restartBytes = meanBytesPerNode(simulation) - before - cost.idleBytes * 2 * toSeconds(eventWindow);
    cost.totalBytesPerSecond = cost.idleBytes + (cost.changeBytes * changesPerDay + cost.restartBytes * restartsPerDay) / secondsPerDay;
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
        const auto nodes = std::max(minimumNodes, static_cast<std::size_t>(share * static_cast<double>(options.nodes)));
        cost = measure(nodes, static_cast<std::size_t>(options.servers), options.seed);
        sizes.push_back(static_cast<double>(nodes));
        bytes.push_back(cost.totalBytesPerSecond);
        shares.push_back(cost.coreShare);
        const std::string suffix = "At" + std::to_string(nodes);
        report.figure("bytesPerSecond" + suffix, cost.totalBytesPerSecond, "B/s");
        report.figure("coreShare" + suffix, cost.coreShare, "share");
    }
    const double allToAll = 2 * cost.messageBytes * static_cast<double>(options.nodes - 1) / toSeconds(membership_options{}.heartbeatInterval);
    report.figure("bytesPerSecond", cost.totalBytesPerSecond, "B/s", atMost(targetBytesPerSecond)).baseline("allToAllHeartbeats", allToAll);
    report.figure("coreShare", cost.coreShare, "share", atMost(targetCoreShare));
    report.figure("coreMegabytes", cost.megabytesPerNode, "MB", atMost(targetMegabytes));
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
        bytes.push_back(measure(nodesInServerSweep, servers, options.seed).totalBytesPerSecond);
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

const registered_benchmark control("control", "Bytes, CPU share and memory of a node's control plane", { .nodes = 400, .servers = 600 }, runControl);

} // namespace
} // namespace reedtrail::bench
