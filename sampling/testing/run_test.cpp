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

/** Expects what must hold after every run, whatever happened in it. */
void expectPromises(const trainer_record &record)
{
    EXPECT_EQ(record.doubled, 0U);
    EXPECT_EQ(record.lost, 0U);
    EXPECT_EQ(record.overBound, 0U);
    EXPECT_EQ(record.untrue, 0U);
    EXPECT_EQ(record.changed, 0U);
    EXPECT_EQ(failedChecks(), 0U);
}

TEST(run, trainsStepAfterStepWithoutFaults)
{
    fake_fleet fleet({ .seed = 1 });
    fleet.openRun(smallRun(), std::chrono::seconds(20));
    fleet.runFor(std::chrono::minutes(10));
    const trainer_record &record = fleet.record(run_id("run-1"));
    expectPromises(record);
    EXPECT_GE(record.stepsWhole, 15U);
}

/** Opens a run of 4 × 4 samples and lets it train for @p span under the faults set up by @p arrange. */
template<class Arrange>
const trainer_record trainUnderFaults(fake_fleet_options options, duration span, Arrange arrange)
{
    fake_fleet fleet(options);
    fleet.openRun(smallRun(), std::chrono::seconds(10));
    arrange(fleet);
    fleet.runFor(span);
    return fleet.record(run_id("run-1"));
}

TEST(run, ownerDyingAtEachStepLosesAndDoublesNothing)
{
    struct crash_point
    {
        const char *name;
        std::size_t action; ///< Index in run_action_item.
        std::uint64_t count; ///< Which occurrence.
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
            const trainer_record record = trainUnderFaults({ .seed = 11, .nodes = 5 }, std::chrono::minutes(6), [&](fake_fleet &fleet) {
                fleet.killOwnerAt(point.action, isAfter, point.count);
                fleet.world().at(time_point(std::chrono::minutes(5)), [&] {
                    kills = fleet.kills();
                });
            });
            expectPromises(record);
            EXPECT_EQ(kills, 1U);
            EXPECT_GE(record.stepsWhole, 8U);
        }
    }
}

TEST(run, pausedOwnerThatWakesChangesNothing)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SCOPED_TRACE(seed);
        const trainer_record record = trainUnderFaults({ .seed = seed, .nodes = 4 }, std::chrono::minutes(6), [&](fake_fleet &fleet) {
            for (int minute = 1; minute < 5; ++minute) {
                fleet.world().at(time_point(std::chrono::seconds(60 * minute + static_cast<int>(seed))), [&fleet] {
                    const std::optional<std::size_t> owner = fleet.ownerOf(run_id("run-1"));
                    if (owner) {
                        fleet.pauseNode(*owner, std::chrono::seconds(15));
                    }
                });
            }
        });
        expectPromises(record);
        EXPECT_GE(record.stepsWhole, 8U);
    }
}

TEST(run, storeDownSlowAndLosingAnswers)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SCOPED_TRACE(seed);
        const trainer_record record = trainUnderFaults({ .seed = seed, .nodes = 4 }, std::chrono::minutes(8), [&](fake_fleet &fleet) {
            fleet.store().setAnswerLossChance(0.2);
            fleet.world().at(time_point(std::chrono::seconds(90)), [&fleet] {
                fleet.store().setDown(true);
            });
            fleet.world().at(time_point(std::chrono::seconds(180)), [&fleet] {
                fleet.store().setDown(false);
                fleet.store().setSlow(true);
            });
            fleet.world().at(time_point(std::chrono::seconds(240)), [&fleet] {
                fleet.store().setSlow(false);
                fleet.store().dropWatchesSilently();
                const std::optional<std::size_t> owner = fleet.ownerOf(run_id("run-1"));
                if (owner) {
                    fleet.killNode(*owner, std::chrono::seconds(30), true);
                }
            });
        });
        expectPromises(record);
        EXPECT_GE(record.stepsWhole, 8U);
    }
}

TEST(run, payloadsOfASpoolThatIsGoneForGoodAreDrawnAnew)
{
    const trainer_record record = trainUnderFaults({ .seed = 3, .nodes = 5, .spools = 3 }, std::chrono::minutes(10), [&](fake_fleet &fleet) {
        fleet.world().at(time_point(std::chrono::seconds(67)), [&fleet] {
            fleet.killNode(0, std::chrono::hours(1), true);
        });
        fleet.world().at(time_point(std::chrono::seconds(163)), [&fleet] {
            fleet.killNode(1, std::chrono::hours(1), true);
        });
    });
    expectPromises(record);
    EXPECT_GE(record.stepsWhole, 15U);
}

/** Causes one fault of the closed list, chosen at random. */
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
        fleet.cutNode(node, span);
        break;
    case 4:
        fleet.store().loseAnswers(1 + random.below(4));
        break;
    case 5:
        fleet.store().setDown(true);
        fleet.world().after(span, [&fleet] {
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

TEST(run, randomFaultsAloneAndInPairs)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        SCOPED_TRACE(seed);
        fake_fleet_options options{ .seed = seed, .nodes = 5, .zones = 2, .draftFailure = 0.05 };
        options.network = { .loss = 0.01, .doubled = 0.02, .crossed = 0.02 };
        random_source random(seed + 1000);
        const trainer_record record = trainUnderFaults(options, std::chrono::minutes(20), [&](fake_fleet &fleet) {
            for (int fault = 0; fault < 15; ++fault) {
                const time_point when(fromSeconds(random.uniform(10, 800)));
                fleet.world().at(when, [&fleet, &random] {
                    causeFault(fleet, random);
                    if (random.chance(0.5)) {
                        causeFault(fleet, random);
                    }
                });
            }
        });
        expectPromises(record);
        EXPECT_GE(record.stepsWhole, 10U);
    }
}

} // namespace
} // namespace reedtrail::harness
