// Randomised tests of several gates: servers crash, hang and slow down; gates stop and are partitioned. The virtual fleet checks with REEDTRAIL_CHECK that each
// request ends exactly once, that a request reported as not run was not started, and that a non-idempotent request runs at most once.

#include "base/check.h"
#include "routing/testing/workload.h"

#include <gtest/gtest.h>
#include <set>

namespace reedtrail::testing {
namespace {

using namespace std::chrono_literals;

struct run_options
{
    std::uint64_t seed = 1;
    sharing_mode sharing = sharing_mode::GossipedUsage;
};

void injectFault(virtual_fleet &fleet, harness::virtual_time &world, random_source &random, std::set<std::uint32_t> &killedGates)
{
    const auto server = static_cast<std::uint32_t>(random.below(fleet.setup().servers));
    const auto gate = static_cast<std::uint32_t>(random.below(fleet.setup().gates));
    const duration length = fromSeconds(random.uniform(0.5, 8));
    switch (random.below(5)) {
    case 0:
        fleet.crashServer(server);
        world.after(length, [&fleet, server] {
            fleet.restartServer(server);
        });
        break;
    case 1:
        fleet.server(server).setHung(true);
        world.after(length, [&fleet, server] {
            fleet.server(server).setHung(false);
        });
        break;
    case 2:
        fleet.server(server).setSlowFactor(random.uniform(1, 6));
        break;
    case 3:
        fleet.isolateGate(gate, true);
        world.after(length, [&fleet, gate] {
            fleet.isolateGate(gate, false);
        });
        break;
    default:
        if (killedGates.size() + 2 < fleet.setup().gates && killedGates.insert(gate).second) {
            fleet.killGate(gate);
        }
    }
}

class random_run_test : public ::testing::TestWithParam<std::uint64_t>
{
};

TEST_P(random_run_test, requestsEndOnceWithTrueOutcome)
{
    const bool aborted = setAbortOnFailedCheck(false);
    const std::uint64_t before = failedChecks();
    random_source random(GetParam());
    fleet_setup setup;
    setup.gates = 5;
    setup.servers = 8;
    setup.server.slots = 8;
    setup.customerWeights = { 1, 2, 1 };
    harness::virtual_time world;
    virtual_fleet fleet(world, setup, random.next());
    workload_options requests;
    requests.requestsPerSecond = random.uniform(5, 25);
    requests.customerRates = { 1, 1, 3 };
    requests.nonIdempotentShare = 0.4;
    requests.deadline = 12s;
    workload source(fleet, requests, random.fork());
    fleet.start();
    source.run(world, time_point(30s));
    std::set<std::uint32_t> killedGates;
    for (int fault = 0; fault < 12; ++fault) {
        world.at(time_point(fromSeconds(random.uniform(1, 30))), [&] {
            injectFault(fleet, world, random, killedGates);
        });
    }
    world.runUntil(time_point(60s));
    EXPECT_GT(fleet.records().size(), 50U);
    for (const request_record &record : fleet.records()) {
        EXPECT_EQ(record.ends, 1U);
    }
    for (std::uint32_t gate = 0; gate < setup.gates; ++gate) {
        EXPECT_TRUE(killedGates.contains(gate) || fleet.scheduler(gate).isIdle()) << gate;
    }
    EXPECT_EQ(failedChecks(), before) << "seed " << GetParam();
    setAbortOnFailedCheck(aborted);
}

INSTANTIATE_TEST_SUITE_P(seeds, random_run_test, ::testing::Range<std::uint64_t>(1, 31));

TEST(virtual_fleet_test, runsAreDeterministicPerSeed)
{
    std::vector<time_point> ends[2];
    for (std::vector<time_point> &run : ends) {
        harness::virtual_time world;
        virtual_fleet fleet(world, {}, 7);
        workload source(fleet, {}, random_source(7));
        fleet.start();
        source.run(world, time_point(5s));
        world.runUntil(time_point(40s));
        for (const request_record &record : fleet.records()) {
            run.push_back(record.endedAt);
        }
    }
    EXPECT_EQ(ends[0], ends[1]);
}

// If the hash ring places servers with similar ids close together, some of them get more prefixes than others: with seed 1, servers with short ids got a third
// more work than the others.
TEST(virtual_fleet_test, prefixesSpreadEvenlyDespiteSimilarServerIds)
{
    harness::virtual_time world;
    fleet_setup setup;
    virtual_fleet fleet(world, setup, 1);
    workload_options requests;
    requests.requestsPerSecond = 150;
    workload source(fleet, requests, random_source(1));
    fleet.start();
    source.run(world, time_point(40s));
    world.runUntil(time_point(40s));
    double shortIds = 0;
    double longIds = 0;
    for (std::uint32_t server = 0; server < setup.servers; ++server) {
        (server < 10 ? shortIds : longIds) += fleet.server(server).busySeconds();
    }
    EXPECT_LT(shortIds / longIds, 1.2);
    EXPECT_GT(shortIds / longIds, 1 / 1.2);
}

TEST(virtual_fleet_test, usageTotalsReachAllGatesAndSurviveRootLoss)
{
    harness::virtual_time world;
    fleet_setup setup;
    setup.zones = 2;
    setup.gates = 24;
    virtual_fleet fleet(world, setup, 3);
    fleet.start();
    for (std::uint32_t gate = 0; gate < setup.gates; ++gate) {
        fleet.submit(gate, { .tokens = 4000, .deadline = 200s });
    }
    const auto gatesCounted = [&](std::uint32_t gate) {
        return fleet.scheduler(gate).dump().at("gates").get<std::uint32_t>();
    };
    world.runUntil(time_point(4s));
    for (std::uint32_t gate = 0; gate < setup.gates; ++gate) {
        EXPECT_EQ(gatesCounted(gate), setup.gates) << gate;
    }
    fleet.killGate(0);
    fleet.killGate(1);
    world.runUntil(time_point(8s));
    for (std::uint32_t gate = 2; gate < setup.gates; ++gate) {
        EXPECT_EQ(gatesCounted(gate), setup.gates - 2) << gate;
    }
}

} // namespace
} // namespace reedtrail::testing
