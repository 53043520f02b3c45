#include "base/check.h"
#include "fleet/testing/fleet_world.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;
using testing::fleet_world;
using testing::fleet_world_options;

constexpr duration inForceWithin = 4s;

fleet_world_options smallWorld()
{
    fleet_world_options options;
    options.nodes = 8;
    options.zones = 4;
    options.loss = 0.01;
    return options;
}

TEST(settings, areInForceEverywhereInTime)
{
    fleet_world world(smallWorld(), 3);
    world.run(10s);
    for (std::uint64_t revision = 1; revision <= 5; ++revision) {
        std::optional<settings_confirm_end> ended;
        world.confirm(revision % world.size(), "change", [&](const settings_confirm_end &end) {
            ended = end;
        });
        world.run(inForceWithin);
        ASSERT_TRUE(ended && !ended->error);
        EXPECT_EQ(ended->revision, revision);
        EXPECT_EQ(world.lowestRevision(), revision);
        EXPECT_TRUE(world.store().peek(settings_keys::audit(revision)));
    }
}

TEST(settings, raceEndsInOneWinnerAndConflicts)
{
    fleet_world world(smallWorld(), 4);
    world.run(10s);
    int accepted = 0;
    int conflicts = 0;
    for (std::size_t node = 0; node < world.size(); ++node) {
        world.confirm(node, "change of " + std::to_string(node), [&](const settings_confirm_end &end) {
            accepted += end.error ? 0 : 1;
            conflicts += end.error && end.error->kind == error_kind::Conflict ? 1 : 0;
        });
    }
    world.run(5s);
    EXPECT_EQ(accepted, 1);
    EXPECT_EQ(conflicts, 7);
    EXPECT_EQ(world.lowestRevision(), 1U);
}

TEST(settings, changeOnAnOlderBaseIsAConflictWithoutAStoreCall)
{
    settings_core core({}, 1);
    core.onRecord({}, { 5, "", "", "", 0, {} });
    const settings_step step = core.confirm({}, 1, { 4, "op", "", "", 0, {} });
    ASSERT_EQ(step.size(), 1U);
    EXPECT_EQ(std::get<settings_confirm_end>(step[0]).error->kind, error_kind::Conflict);
}

/** What befalls the store around one confirm, and what the operator must be told. */
struct store_fault_case
{
    const char *name;
    std::uint64_t answersLost;
    duration downAfter; ///< Measured from the confirm.
    duration downFor;
    error_kind told;
    bool isAccepted; ///< Whether the store must have it in the end.
};

class settings_with : public ::testing::TestWithParam<store_fault_case>
{
};

TEST_P(settings_with, tellTheTruthOfAConfirm)
{
    const store_fault_case &each = GetParam();
    fleet_world_options options = smallWorld();
    options.store.delay = 5ms;
    fleet_world world(options, 5);
    world.run(10s);
    world.store().loseAnswers(each.answersLost);
    world.after(each.downAfter, [&] {
        world.store().setDown(each.downFor > duration{});
    });
    world.after(each.downAfter + each.downFor, [&] {
        world.store().setDown(false);
    });
    std::optional<settings_confirm_end> ended;
    world.run(0s);
    world.confirm(2, "change", [&](const settings_confirm_end &end) {
        ended = end;
    });
    world.run(60s);
    ASSERT_TRUE(ended);
    EXPECT_EQ(ended->error ? ended->error->kind : error_kind::None, each.told);
    EXPECT_EQ(world.store().peek(settings_keys::current).has_value(), each.isAccepted);
    EXPECT_EQ(world.lowestRevision(), each.isAccepted ? 1U : 0U);
    EXPECT_FALSE(world.store().peek(settings_keys::history(2)));
}

INSTANTIATE_TEST_SUITE_P(faults,
                         settings_with,
                         ::testing::Values(store_fault_case{ "noFault", 0, 0s, 0s, error_kind::None, true },
                                           store_fault_case{ "answerLost", 1, 0s, 0s, error_kind::None, true },
                                           store_fault_case{ "twoAnswersLost", 2, 0s, 0s, error_kind::None, true },
                                           store_fault_case{ "shortOutage", 0, 0s, 5s, error_kind::None, true },
                                           store_fault_case{ "outageBeforeTheAnswer", 1, 12ms, 5s, error_kind::None, true },
                                           store_fault_case{ "outageAfterTheWriteForLong", 1, 12ms, 40s, error_kind::StoreUnknown, true },
                                           store_fault_case{ "outageRightAfter", 0, 30ms, 40s, error_kind::None, true }),
                         [](const auto &each) {
                             return each.param.name;
                         });

TEST(settings, acceptedBeforeAnOutageReachEveryNodeDuringIt)
{
    fleet_world world(smallWorld(), 6);
    world.run(10s);
    world.confirm(1, "change", [&](const settings_confirm_end &end) {
        EXPECT_FALSE(end.error);
        world.store().setDown(true);
    });
    world.run(inForceWithin);
    EXPECT_EQ(world.lowestRevision(), 1U);
}

TEST(settings, areFoundThoughAllWatchesWereDroppedSilently)
{
    fleet_world world(smallWorld(), 7);
    world.run(10s);
    world.store().dropWatchesSilently();
    const settings_record record{ 1, "elsewhere", "", "", 0, { { "text", "x" } } };
    world.store().put(settings_keys::current, nlohmann::json(record).dump());
    world.store().put(settings_keys::revision, "1");
    world.run(inForceWithin);
    EXPECT_EQ(world.lowestRevision(), 1U);
}

TEST(settings, keepTheirRevisionOverACompactionAndAStoreRestoredFromACopy)
{
    fleet_world world(smallWorld(), 8);
    world.run(10s);
    for (int i = 0; i < 3; ++i) {
        world.confirm(0, "change");
        world.run(5s);
    }
    world.store().compact();
    world.store().put(settings_keys::revision, "1"); // as restored from a copy
    world.run(10s);
    EXPECT_EQ(world.lowestRevision(), 3U);
    std::optional<settings_confirm_end> ended;
    world.confirm(3, "goes on", [&](const settings_confirm_end &end) {
        ended = end;
    });
    world.run(5s);
    ASSERT_TRUE(ended && !ended->error);
    EXPECT_EQ(world.lowestRevision(), 4U);
}

TEST(settings, reachAZoneThatWasCutOffAsSoonAsItIsBack)
{
    fleet_world world(smallWorld(), 9);
    world.run(10s);
    world.cutZone(2, true);
    world.confirm(0, "change");
    world.run(60s);
    EXPECT_EQ(world.lowestRevision(), 0U);
    world.cutZone(2, false);
    world.run(10s);
    EXPECT_EQ(world.lowestRevision(), 1U);
}

RC_GTEST_PROP(settings_property, neverRevertAndNeverAcceptTwice, (std::uint64_t seed))
{
    const std::uint64_t failedBefore = failedChecks();
    fleet_world_options options = smallWorld();
    options.nodes = 12;
    options.hasDisk = seed % 2 == 0;
    fleet_world world(options, seed);
    random_source random(seed);
    std::map<std::uint64_t, std::string> accepted;
    world.run(5s);
    for (int round = 0; round < 25; ++round) {
        const std::size_t node = random.below(world.size());
        switch (random.below(7)) {
        case 0:
            world.kill(node);
            world.start(node);
            break;
        case 1:
            world.store().setDown(random.chance(0.5));
            break;
        case 2:
            world.store().setAnswerLossChance(random.chance(0.5) ? 0.4 : 0);
            break;
        case 3:
            world.cutZone(random.below(4), random.chance(0.5));
            break;
        case 4:
            world.store().dropWatchesSilently();
            break;
        default:
            const std::string text = "change " + std::to_string(round);
            world.confirm(node, text, [&accepted, text](const settings_confirm_end &end) {
                if (!end.error) {
                    RC_ASSERT(accepted.emplace(end.revision, text).second);
                }
            });
            break;
        }
        world.run(std::chrono::milliseconds(random.below(4000)));
    }
    world.store().setDown(false);
    world.store().setAnswerLossChance(0);
    for (std::size_t zone = 0; zone < 4; ++zone) {
        world.cutZone(zone, false);
    }
    world.run(60s);
    const std::uint64_t newest = accepted.empty() ? 0 : accepted.rbegin()->first;
    RC_ASSERT(world.lowestRevision() >= newest);
    for (const auto &[revision, text] : accepted) {
        const auto kept = world.store().peek(settings_keys::history(revision));
        RC_ASSERT(kept.has_value());
        RC_ASSERT(nlohmann::json::parse(kept->value).at("summary") == text);
    }
    RC_ASSERT(failedChecks() == failedBefore);
}

} // namespace
} // namespace reedtrail
