#include "batch/job_host_selector.h"

#include <gtest/gtest.h>
#include <set>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;

constexpr time_point start{ 100s };

/** Returns @p zones zones of @p nodes nodes each. The first @p strongNodes nodes of each zone have four times the processor time of the others. */
std::map<std::string, job_host> makeNodes(int zones, int nodes, int strongNodes)
{
    std::map<std::string, job_host> fleet;
    for (int zone = 0; zone < zones; ++zone) {
        for (int node = 0; node < nodes; ++node) {
            const std::string zoneName = "zone-" + std::to_string(zone);
            fleet[zoneName + "-node-" + std::to_string(node)] = { { "127.0.0.1", 1 }, zoneName, node < strongNodes ? 0.5 : 0.125 };
        }
    }
    return fleet;
}

TEST(job_host_selector_test, hostsPerZoneFollowNodesPerZone)
{
    const struct
    {
        int zones;
        int nodes;
        std::size_t hosts;
    } cases[] = { { 4, 2, 4 }, { 3, 3, 3 }, { 4, 14, 4 }, { 1, 1, 1 }, { 3, 98, 21 }, { 3, 99, 24 } };
    for (const auto &each : cases) {
        job_host_selector hosts;
        hosts.setNodes(makeNodes(each.zones, each.nodes, 0));
        EXPECT_EQ(hosts.hosts().size(), each.hosts) << each.zones << " zones of " << each.nodes;
    }
}

TEST(job_host_selector_test, nodesWithMostProcessorTimeAreHosts)
{
    job_host_selector hosts;
    hosts.setNodes(makeNodes(4, 14, 1));
    for (const std::string &host : hosts.hosts()) {
        EXPECT_TRUE(host.ends_with("-node-0")) << host;
    }
}

TEST(job_host_selector_test, equalNodeListsSelectEqualHostsEvenly)
{
    job_host_selector here;
    job_host_selector there;
    here.setNodes(makeNodes(4, 40, 3));
    there.setNodes(makeNodes(4, 40, 3));
    std::map<std::string, int> jobsOf;
    for (int job = 0; job < 1200; ++job) {
        const std::string name = "job-" + std::to_string(job);
        const std::optional<std::string> host = here.hostFor(start, name);
        ASSERT_TRUE(host);
        EXPECT_EQ(host, there.hostFor(start, name));
        ++jobsOf[*host];
    }
    EXPECT_EQ(jobsOf.size(), 12U);
    for (const auto &[host, jobs] : jobsOf) {
        EXPECT_NEAR(jobs, 100, 50) << host; // Five standard deviations of a uniform assignment.
    }
}

TEST(job_host_selector_test, failedHostIsSkippedWithExponentialBackoff)
{
    job_host_selector hosts;
    hosts.setNodes(makeNodes(3, 3, 0));
    const std::string first = hosts.hostFor(start, "job").value();
    hosts.recordFailure(start, first);
    EXPECT_NE(hosts.hostFor(start + 500ms, "job"), first);
    EXPECT_EQ(hosts.hostFor(start + 1001ms, "job"), first);
    hosts.recordFailure(start + 2s, first);
    EXPECT_NE(hosts.hostFor(start + 3900ms, "job"), first);
    for (int i = 0; i < 40; ++i) {
        hosts.recordFailure(start + 10s, first);
    }
    EXPECT_NE(hosts.hostFor(start + 39s, "job"), first);
    EXPECT_EQ(hosts.hostFor(start + 41s, "job"), first);
    hosts.recordFailure(start + 50s, first);
    hosts.recordSuccess(first);
    EXPECT_EQ(hosts.hostFor(start + 50s, "job"), first);
}

TEST(job_host_selector_test, removedHostMovesFewJobsOfOtherHosts)
{
    job_host_selector hosts;
    auto fleet = makeNodes(4, 40, 3);
    hosts.setNodes(fleet);
    std::map<std::string, std::string> before;
    for (int job = 0; job < 300; ++job) {
        const std::string name = "job-" + std::to_string(job);
        before[name] = hosts.hostFor(start, name).value();
    }
    const std::string leaving = hosts.hosts().front();
    fleet.erase(leaving);
    hosts.setNodes(fleet);
    const std::set<std::string> kept(hosts.hosts().begin(), hosts.hosts().end());
    int moved = 0;
    for (const auto &[job, host] : before) {
        if (kept.contains(host)) {
            moved += hosts.hostFor(start, job) == host ? 0 : 1;
        }
    }
    EXPECT_LT(moved, 60) << "the replacement of the removed host must take only its share of the jobs";
}

TEST(job_host_selector_test, withoutNodesThereIsNoHost)
{
    job_host_selector hosts;
    EXPECT_FALSE(hosts.hostFor(start, "job"));
    EXPECT_FALSE(hosts.addressOf("node"));
}

} // namespace
} // namespace reedtrail
