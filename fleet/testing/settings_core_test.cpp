#include "base/check.h"
#include "fleet/testing/fleet_simulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;
using testing::fleet_simulation;
using testing::fleet_simulation_options;

constexpr duration rolloutTimeout = 4s;

fleet_simulation_options smallFleet()
{
    fleet_simulation_options options;
    options.nodes = 8;
    options.zones = 4;
    options.loss = 0.01;
    return options;
}

TEST(settings, changesReachAllNodesInTime)
{
    fleet_simulation fleet(smallFleet(), 3);
    fleet.run(10s);
    for (std::uint64_t revision = 1; revision <= 5; ++revision) {
        std::optional<settings_confirm_end> ended;
        fleet.confirm(revision % fleet.size(), "change", [&](const settings_confirm_end &end) {
            ended = end;
        });
        fleet.run(rolloutTimeout);
        ASSERT_TRUE(ended && !ended->error);
        EXPECT_EQ(ended->revision, revision);
        EXPECT_EQ(fleet.lowestRevision(), revision);
        EXPECT_TRUE(fleet.store().peek(settings_keys::audit(revision)));
    }
}

/** All nodes confirm a change of the same revision at once. One must succeed, and the others must get a conflict. */
TEST(settings, concurrentConfirmsCommitExactlyOne)
{
    fleet_simulation fleet(smallFleet(), 4);
    fleet.run(10s);
    int committed = 0;
    int conflicts = 0;
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        fleet.confirm(node, "change of " + std::to_string(node), [&](const settings_confirm_end &end) {
            committed += end.error ? 0 : 1;
            conflicts += end.error && end.error->kind == error_kind::Conflict ? 1 : 0;
        });
    }
    fleet.run(5s);
    EXPECT_EQ(committed, 1);
    EXPECT_EQ(conflicts, 7);
    EXPECT_EQ(fleet.lowestRevision(), 1U);
}

TEST(settings, outdatedBaseFailsWithoutStoreCall)
{
    settings_core core({}, 1);
    core.onRecord({}, { 5, "", "", "", 0, {} });
    const settings_step step = core.confirm({}, 1, { 4, "op", "", "", 0, {} });
    ASSERT_EQ(step.size(), 1U);
    EXPECT_EQ(std::get<settings_confirm_end>(step[0]).error->kind, error_kind::Conflict);
}

/** A fault of the store around one confirm, and the outcome that the operator must see. */
struct store_fault_case
{
    const char *name;
    std::uint64_t lostResponses; ///< Number of writes to the store whose response is lost.
    duration outageStart; ///< Time from the confirm to the start of the outage.
    duration outageLength; ///< No outage if zero.
    error_kind expectedError; ///< None if the confirm must succeed.
    bool isCommitted; ///< Whether the store must hold the change in the end.
};

class settings_under_store_faults : public ::testing::TestWithParam<store_fault_case>
{
};

TEST_P(settings_under_store_faults, confirmReportsTheOutcome)
{
    const store_fault_case &parameters = GetParam();
    fleet_simulation_options options = smallFleet();
    options.store.delay = 5ms;
    fleet_simulation fleet(options, 5);
    fleet.run(10s);
    fleet.store().loseAnswers(parameters.lostResponses);
    fleet.after(parameters.outageStart, [&] {
        fleet.store().setDown(parameters.outageLength > duration{});
    });
    fleet.after(parameters.outageStart + parameters.outageLength, [&] {
        fleet.store().setDown(false);
    });
    std::optional<settings_confirm_end> ended;
    fleet.run(0s);
    fleet.confirm(2, "change", [&](const settings_confirm_end &end) {
        ended = end;
    });
    fleet.run(60s);
    ASSERT_TRUE(ended);
    EXPECT_EQ(ended->error ? ended->error->kind : error_kind::None, parameters.expectedError);
    EXPECT_EQ(fleet.store().peek(settings_keys::current).has_value(), parameters.isCommitted);
    EXPECT_EQ(fleet.lowestRevision(), parameters.isCommitted ? 1U : 0U);
    EXPECT_FALSE(fleet.store().peek(settings_keys::history(2)));
}

INSTANTIATE_TEST_SUITE_P(faults,
                         settings_under_store_faults,
                         ::testing::Values(store_fault_case{ "noFault", 0, 0s, 0s, error_kind::None, true },
                                           store_fault_case{ "responseLost", 1, 0s, 0s, error_kind::None, true },
                                           store_fault_case{ "twoResponsesLost", 2, 0s, 0s, error_kind::None, true },
                                           store_fault_case{ "shortOutage", 0, 0s, 5s, error_kind::None, true },
                                           store_fault_case{ "outageBeforeTheResponse", 1, 12ms, 5s, error_kind::None, true },
                                           store_fault_case{ "longOutageAfterTheWrite", 1, 12ms, 40s, error_kind::StoreUnknown, true },
                                           store_fault_case{ "outageAfterTheResponse", 0, 30ms, 40s, error_kind::None, true }),
                         [](const auto &parameters) {
                             return parameters.param.name;
                         });

/** The store fails right after a commit, so the other nodes can get the change only from their peers. */
TEST(settings, committedChangeSpreadsDuringStoreOutage)
{
    fleet_simulation fleet(smallFleet(), 6);
    fleet.run(10s);
    fleet.confirm(1, "change", [&](const settings_confirm_end &end) {
        EXPECT_FALSE(end.error);
        fleet.store().setDown(true);
    });
    fleet.run(rolloutTimeout);
    EXPECT_EQ(fleet.lowestRevision(), 1U);
}

/** The store drops all watches without notice, and another writer commits a change. The watchers must find it by polling. */
TEST(settings, pollFindsChangeAfterSilentWatchLoss)
{
    fleet_simulation fleet(smallFleet(), 7);
    fleet.run(10s);
    fleet.store().dropWatchesSilently();
    const settings_record record{ 1, "elsewhere", "", "", 0, { { "text", "x" } } };
    fleet.store().put(settings_keys::current, nlohmann::json(record).dump());
    fleet.store().put(settings_keys::revision, "1");
    fleet.run(rolloutTimeout);
    EXPECT_EQ(fleet.lowestRevision(), 1U);
}

/** The store is compacted and restored from a backup with an older revision. No node may go back to it, and the next change must get a higher revision. */
TEST(settings, revisionSurvivesCompactionAndStoreRestore)
{
    fleet_simulation fleet(smallFleet(), 8);
    fleet.run(10s);
    for (int i = 0; i < 3; ++i) {
        fleet.confirm(0, "change");
        fleet.run(5s);
    }
    fleet.store().compact();
    fleet.store().put(settings_keys::revision, "1"); // the state after a restore from an older backup
    fleet.run(10s);
    EXPECT_EQ(fleet.lowestRevision(), 3U);
    std::optional<settings_confirm_end> ended;
    fleet.confirm(3, "goes on", [&](const settings_confirm_end &end) {
        ended = end;
    });
    fleet.run(5s);
    ASSERT_TRUE(ended && !ended->error);
    EXPECT_EQ(fleet.lowestRevision(), 4U);
}

TEST(settings, changeReachesZoneAfterPartition)
{
    fleet_simulation fleet(smallFleet(), 9);
    fleet.run(10s);
    fleet.cutZone(2, true);
    fleet.confirm(0, "change");
    fleet.run(60s);
    EXPECT_EQ(fleet.lowestRevision(), 0U);
    fleet.cutZone(2, false);
    fleet.run(10s);
    EXPECT_EQ(fleet.lowestRevision(), 1U);
}

/** Random restarts, outages, lost responses, partitions and dropped watches. No two changes may get the same revision, and every committed one is kept. */
RC_GTEST_PROP(settings_property, revisionsNeverRevertOrCommitTwice, (std::uint64_t seed))
{
    const std::uint64_t failedChecksBefore = failedChecks();
    fleet_simulation_options options = smallFleet();
    options.nodes = 12;
    options.hasDisk = seed % 2 == 0;
    fleet_simulation fleet(options, seed);
    random_source random(seed);
    std::map<std::uint64_t, std::string> committed;
    fleet.run(5s);
    for (int round = 0; round < 25; ++round) {
        const std::size_t node = random.below(fleet.size());
        switch (random.below(7)) {
        case 0:
            fleet.kill(node);
            fleet.start(node);
            break;
        case 1:
            fleet.store().setDown(random.chance(0.5));
            break;
        case 2:
            fleet.store().setAnswerLossChance(random.chance(0.5) ? 0.4 : 0);
            break;
        case 3:
            fleet.cutZone(random.below(4), random.chance(0.5));
            break;
        case 4:
            fleet.store().dropWatchesSilently();
            break;
        default:
            const std::string text = "change " + std::to_string(round);
            fleet.confirm(node, text, [&committed, text](const settings_confirm_end &end) {
                if (!end.error) {
                    RC_ASSERT(committed.emplace(end.revision, text).second);
                }
            });
            break;
        }
        fleet.run(std::chrono::milliseconds(random.below(4000)));
    }
    fleet.store().setDown(false);
    fleet.store().setAnswerLossChance(0);
    for (std::size_t zone = 0; zone < 4; ++zone) {
        fleet.cutZone(zone, false);
    }
    fleet.run(60s);
    const std::uint64_t newest = committed.empty() ? 0 : committed.rbegin()->first;
    RC_ASSERT(fleet.lowestRevision() >= newest);
    for (const auto &[revision, text] : committed) {
        const auto kept = fleet.store().peek(settings_keys::history(revision));
        RC_ASSERT(kept.has_value());
        RC_ASSERT(nlohmann::json::parse(kept->value).at("summary") == text);
    }
    RC_ASSERT(failedChecks() == failedChecksBefore);
}

} // namespace
} // namespace reedtrail
