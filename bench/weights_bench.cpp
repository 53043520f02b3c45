// Measures the time from the publication of a weight version until all servers serve it, with 20, 100 and the given number of servers, a tenth of them slow and
// 1 % of the switches failing partway. The baseline tells all servers to switch at once without staging, so that they load their shards while out of service.

#include "bench/benchmark.h"
#include "weights/testing/fake_servers.h"

#include <algorithm>
#include <string>

namespace reedtrail::bench {
namespace {

constexpr int versions = 6;
constexpr duration publishInterval = std::chrono::minutes(7);
constexpr duration sampleInterval = std::chrono::milliseconds(20);

struct rollout_times
{
    double stagedSeconds = 0; ///< Longest time from publication to the first switch.
    double switchSeconds = 0; ///< Longest time from the first switch until all servers serve the version.
    double publishedSeconds = 0; ///< Longest time from publication until all servers serve the version.
    double peakShare = 0; ///< Peak transfer rate as a share of the weight store's rate.
    double swappingShare = 0; ///< Largest share of servers that were switching at the same time.
    double messagesPerRollout = 0;
    double unknownInSampling = 0; ///< Largest number of servers that sampled with an unknown weight version.
};

harness::fake_servers_options optionsFor(std::uint64_t seed, std::size_t servers)
{
    harness::fake_servers_options options;
    options.seed = seed;
    options.servers = servers;
    options.zones = 5;
    options.partialFailureShare = 0.01;
    options.network.jitter = std::chrono::milliseconds(2);
    return options;
}

rollout_times measure(const harness::fake_servers_options &options)
{
    harness::fake_servers servers(options);
    servers.runFor(std::chrono::seconds(20));
    rollout_times times;
    const auto nearlyAll = static_cast<std::size_t>(static_cast<double>(options.servers) * (1 - 2 * options.partialFailureShare));
    const std::uint64_t messagesBefore = servers.messages();
    for (weight_version version = 2; version < 2 + versions; ++version) {
        const time_point published = servers.world().now();
        servers.publish(version);
        time_point nearlyAllAt = timeNever;
        while (servers.serversAt(version) < options.servers && servers.world().now() < published + publishInterval) {
            servers.runFor(sampleInterval);
            times.unknownInSampling = std::max(times.unknownInSampling, static_cast<double>(servers.unknownInSampling()));
            if (nearlyAllAt == timeNever && servers.serversAt(version) >= nearlyAll) {
                nearlyAllAt = servers.world().now();
            }
        }
        const time_point switchStart = servers.switchStartedAt(version).value_or(published + publishInterval);
        const time_point end = servers.world().now();
        times.stagedSeconds = std::max(times.stagedSeconds, toSeconds(switchStart - published));
        times.switchSeconds = std::max(times.switchSeconds, toSeconds(end - switchStart));
        times.publishedSeconds = std::max(times.publishedSeconds, toSeconds(end - published));
        servers.world().runUntil(published + publishInterval);
    }
    times.peakShare = servers.peakBytesPerSecond() / options.bytesPerSecond;
    times.swappingShare = servers.maxSwappingShare();
    times.messagesPerRollout = static_cast<double>(servers.messages() - messagesBefore) / versions;
    return times;
}

void runWeights(const bench_options &options, bench_report &report)
{
    rollout_times staged;
    for (const std::int64_t servers : { std::int64_t{ 20 }, std::int64_t{ 100 }, options.servers }) {
        printProgress("rollouts to " + std::to_string(servers) + " servers");
        staged = measure(optionsFor(options.seed, static_cast<std::size_t>(servers)));
        const rollout_times &times = staged;
        const std::string at = "At" + std::to_string(servers);
        report.figure("stage" + at, times.stagedSeconds, "s");
        report.figure("switch" + at, times.switchSeconds, "s", atMost(6));
        report.figure("published" + at, times.publishedSeconds, "s", atMost(toSeconds(publishInterval)));
        report.figure("peakRateShare" + at, times.peakShare, "share", atMost(1));
        report.figure("swappingShare" + at, times.swappingShare, "share", atMost(0.5));
        report.figure("unknownInSampling" + at, times.unknownInSampling, "servers", exactly(0));
        report.figure("messages" + at, times.messagesPerRollout, "messages/rollout");
    }
    printProgress("baseline: switching without staging");
    harness::fake_servers_options unstaged = optionsFor(options.seed, static_cast<std::size_t>(options.servers));
    unstaged.rollout.isStaged = false;
    const rollout_times baseline = measure(unstaged);
    report.figure("switch", staged.switchSeconds, "s", atMost(6)).baseline("withoutStaging", baseline.switchSeconds);
    report.figure("published", staged.publishedSeconds, "s").baseline("withoutStaging", baseline.publishedSeconds);
    report.figure("peakRateShare", staged.peakShare, "share", atMost(1)).baseline("withoutStaging", baseline.peakShare);
}

const registered_benchmark
    weights("weights", "Time from publication of weights until all servers serve them", { .nodes = 5, .servers = 600, .settingsFile = {} }, runWeights);

} // namespace
} // namespace reedtrail::bench
