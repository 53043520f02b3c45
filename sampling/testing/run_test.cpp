#include "base/check.h"
#include "sampling/testing/fake_fleet.h"

#include <gtest/gtest.h>

namespace reedtrail::harness {
namespace {

run_settings smallRun()
{
    run_settings run;
    run.id = run_id("run-1");
    run.groups = 4;
    run.groupSize = 4;
    run.stalenessBound = 2;
    run.maximumTokens = 2000;
    return run;
}

/** Checks the invariants that must hold for every run, whatever faults occurred. */
void expectInvariants(const trainer_stats &stats)
{
    EXPECT_EQ(stats.duplicated, 0U);
    EXPECT_EQ(stats.lost, 0U);
    EXPECT_EQ(stats.overBound, 0U);
    EXPECT_EQ(stats.wrongVersions, 0U);
    EXPECT_EQ(stats.changedAnswers, 0U);
    EXPECT_EQ(failedChecks(), 0U);
}

// Guards against a run that stalls or delivers wrong samples without any fault.
TEST(run, completesStepsWithoutFaults)
{
    fake_fleet fleet({ .seed = 1 });
    fleet.openRun(smallRun(), std::chrono::seconds(20));
    fleet.runFor(std::chrono::minutes(10));
    const trainer_stats &stats = fleet.trainerStats(run_id("run-1"));
    expectInvariants(stats);
    EXPECT_GE(stats.completedSteps, 15U);
}

/** Opens a run of 4 × 4 samples per step and trains it for @p span under the faults that @p arrangeFaults schedules. @return statistics of the trainer */
template<class Arrange>
const trainer_stats trainUnderFaults(fake_fleet_options options, duration span, Arrange arrangeFaults)
{
    fake_fleet fleet(options);
    fleet.openRun(smallRun(), std::chrono::seconds(10));
    arrangeFaults(fleet);
    fleet.runFor(span);
    return fleet.trainerStats(run_id("run-1"));
}

// Guards against losing or duplicating samples when the owner is killed right before or after one of its actions: ordering a draft, writing a seal record,
// answering a pull, removing records or releasing payloads.
TEST(run, ownerKilledAtAnyActionLosesAndDuplicatesNothing)
{
    struct crash_point
    {
        const char *name;
        std::size_t action; ///< Index of the action in run_action_item.
        std::uint64_t count; ///< Which occurrence of the action.
    };
    constexpr std::size_t orderDraft = 0;
    constexpr std::size_t writeSeal = 3;
    constexpr std::size_t removeSeals = 5;
    constexpr std::size_t answerPull = 6;
    constexpr std::size_t release = 7;
    const std::vector<crash_point> points{ { "first draft order", orderDraft, 1 },   { "a draft order", orderDraft, 21 },
                                           { "first seal write", writeSeal, 1 },     { "a seal write", writeSeal, 3 },
                                           { "first answer", answerPull, 1 },        { "an answer", answerPull, 4 },
                                           { "removal of records", removeSeals, 1 }, { "release", release, 2 } };
    for (const crash_point &point : points) {
        for (const bool isAfter : { false, true }) {
            SCOPED_TRACE(std::string(point.name) + (isAfter ? ", after" : ", before"));
            std::uint64_t kills = 0;
            const trainer_stats stats = trainUnderFaults({ .seed = 11, .nodes = 5 }, std::chrono::minutes(6), [&](fake_fleet &fleet) {
                fleet.killOwnerAtAction(point.action, isAfter, point.count);
                fleet.clock().at(time_point(std::chrono::minutes(5)), [&] {
                    kills = fleet.kills();
                });
            });
            expectInvariants(stats);
            EXPECT_EQ(kills, 1U);
            EXPECT_GE(stats.completedSteps, 8U);
        }
    }
}

// A paused owner resumes after another node has taken over, and still holds its old epoch. Guards against effects of its late writes and answers.
TEST(run, resumedOwnerAfterPauseViolatesNoInvariant)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SCOPED_TRACE(seed);
        const trainer_stats stats = trainUnderFaults({ .seed = seed, .nodes = 4 }, std::chrono::minutes(6), [&](fake_fleet &fleet) {
            for (int minute = 1; minute < 5; ++minute) {
                fleet.clock().at(time_point(std::chrono::seconds(60 * minute + static_cast<int>(seed))), [&fleet] {
                    const std::optional<std::size_t> owner = fleet.ownerOf(run_id("run-1"));
                    if (owner) {
                        fleet.pauseNode(*owner, std::chrono::seconds(15));
                    }
                });
            }
        });
        expectInvariants(stats);
        EXPECT_GE(stats.completedSteps, 8U);
    }
}

// The store loses answers to writes, is down, answers slowly, and stops reporting watch events while the owner is killed. Guards against an owner that takes a
// write without an answer for done or for not done.
TEST(run, storeFaultsViolateNoInvariant)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SCOPED_TRACE(seed);
        const trainer_stats stats = trainUnderFaults({ .seed = seed, .nodes = 4 }, std::chrono::minutes(8), [&](fake_fleet &fleet) {
            fleet.store().setAnswerLossChance(0.2);
            fleet.clock().at(time_point(std::chrono::seconds(90)), [&fleet] {
                fleet.store().setDown(true);
            });
            fleet.clock().at(time_point(std::chrono::seconds(180)), [&fleet] {
                fleet.store().setDown(false);
                fleet.store().setSlow(true);
            });
            fleet.clock().at(time_point(std::chrono::seconds(240)), [&fleet] {
                fleet.store().setSlow(false);
                fleet.store().dropWatchesSilently();
                const std::optional<std::size_t> owner = fleet.ownerOf(run_id("run-1"));
                if (owner) {
                    fleet.killNode(*owner, std::chrono::seconds(30), true);
                }
            });
        });
        expectInvariants(stats);
        EXPECT_GE(stats.completedSteps, 8U);
    }
}

// Two of three spools are lost with their payloads. Guards against a run that stalls on sealed samples whose payloads can no longer be read.
TEST(run, payloadsOfLostSpoolsAreRegenerated)
{
    const trainer_stats stats = trainUnderFaults({ .seed = 3, .nodes = 5, .spools = 3 }, std::chrono::minutes(10), [&](fake_fleet &fleet) {
        fleet.clock().at(time_point(std::chrono::seconds(67)), [&fleet] {
            fleet.killNode(0, std::chrono::hours(1), true);
        });
        fleet.clock().at(time_point(std::chrono::seconds(163)), [&fleet] {
            fleet.killNode(1, std::chrono::hours(1), true);
        });
    });
    expectInvariants(stats);
    EXPECT_GE(stats.completedSteps, 15U);
}

/** Causes one random fault: a killed node, with or without its disk, a paused or partitioned node, a store fault, or a killed server. */
void causeFault(fake_fleet &fleet, random_source &random)
{
    const std::size_t node = random.below(fleet.nodes());
    const duration span = fromSeconds(random.uniform(1, 30));
    switch (random.below(8)) {
    case 0:
        fleet.killNode(node, span, true);
        break;
    case 1:
        fleet.killNode(node, span, false);
        break;
    case 2:
        fleet.pauseNode(node, span);
        break;
    case 3:
        fleet.partitionNode(node, span);
        break;
    case 4:
        fleet.store().loseAnswers(1 + random.below(4));
        break;
    case 5:
        fleet.store().setDown(true);
        fleet.clock().after(span, [&fleet] {
            fleet.store().setDown(false);
        });
        break;
    case 6:
        fleet.store().dropWatchesSilently();
        break;
    default:
        fleet.killServer(random.below(fleet.servers()), span);
        break;
    }
}

// Guards against combinations of faults that the other tests do not cover: 15 random faults, each with an even chance of a second one
// at the same time, on a network that loses, duplicates and reorders messages.
TEST(run, randomFaultsViolateNoInvariant)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        SCOPED_TRACE(seed);
        fake_fleet_options options{ .seed = seed, .nodes = 5, .zones = 2, .draftFailureRate = 0.05 };
        options.network = { .loss = 0.01, .doubled = 0.02, .crossed = 0.02 };
        random_source random(seed + 1000);
        const trainer_stats stats = trainUnderFaults(options, std::chrono::minutes(20), [&](fake_fleet &fleet) {
            for (int fault = 0; fault < 15; ++fault) {
                const time_point when(fromSeconds(random.uniform(10, 800)));
                fleet.clock().at(when, [&fleet, &random] {
                    causeFault(fleet, random);
                    if (random.chance(0.5)) {
                        causeFault(fleet, random);
                    }
                });
            }
        });
        expectInvariants(stats);
        EXPECT_GE(stats.completedSteps, 10U);
    }
}

} // namespace
} // namespace reedtrail::harness
