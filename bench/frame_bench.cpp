// Measures how many events per second the simulation with the virtual clock handles. The other simulated benchmarks run on it, so a slow simulation limits
// the size of the simulated fleets.

#include "bench/benchmark.h"

#include "harness/lossy_network.h"

#include <chrono>

namespace reedtrail::bench {
namespace {

constexpr int messageCount = 500000;
constexpr double leastEventsPerSecond = 100000;

void runFrame(const bench_options &options, bench_report &report)
{
    harness::virtual_time virtualTime;
    harness::lossy_network network(virtualTime, random_source(options.seed), {});
    std::uint64_t arrived = 0;
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < messageCount; ++i) {
        network.send("a", "b", [&arrived] {
            ++arrived;
        });
    }
    virtualTime.runUntil(time_point(std::chrono::seconds(1)));
    const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    report.figure("eventsPerSecond", messageCount / seconds, "1/s", atLeast(leastEventsPerSecond));
    report.figure("lost", static_cast<double>(messageCount - arrived), "messages", exactly(0));
}

const registered_benchmark frame("frame", "Events per second of the simulation with the virtual clock", {}, runFrame);

} // namespace
} // namespace reedtrail::bench
