#include "standins/engine_model.h"

#include "standins/trainer_ledger.h"

#include <gtest/gtest.h>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;

constexpr time_point start{};

// Guards against queued requests that start in order of arrival instead of priority, and against a queue that grows past its limit.
TEST(engine_model, startsQueuedRequestsByPriorityWithinSlots)
{
    engine_model model({ .slots = 1, .maximumWaiting = 2, .tokensPerSecond = 10 });
    EXPECT_TRUE(model.submit(start, { "a", "p", 5, 0, "" }));
    EXPECT_TRUE(model.submit(start, { "low", "p", 5, 9, "" }));
    EXPECT_TRUE(model.submit(start, { "high", "p", 5, 1, "" }));
    EXPECT_FALSE(model.submit(start, { "late", "p", 5, 0, "" }));
    EXPECT_TRUE(model.cancel(start, "a"));
    EXPECT_TRUE(model.find("high")->isStarted);
    EXPECT_FALSE(model.find("low")->isStarted);
}

// Guards against tokens that are attributed to the wrong weight version, or generated at all, during a weight switch.
TEST(engine_model, attributesEachTokenToItsVersionAcrossSwitch)
{
    engine_model model({ .slots = 1, .tokensPerSecond = 10, .medianTokens = 1000, .sigma = 0 });
    model.submit(start, { "a", "p", 20, 0, "run" });
    model.advance(start + 1050ms);
    model.beginSwitch();
    model.advance(start + 3s);
    EXPECT_EQ(model.find("a")->versions.size(), 10U);
    model.endSwitch("run", 2);
    model.advance(start + 10s);
    const std::vector<std::uint64_t> &versions = model.find("a")->versions;
    ASSERT_EQ(versions.size(), 20U);
    EXPECT_EQ(versions[9], 1U);
    EXPECT_EQ(versions[10], 2U);
    EXPECT_EQ(model.find("a")->end, stream_end::Length);
}

// Guards against a completion that changes its length, or loses the versions of its first tokens, when it moves to another engine.
TEST(engine_model, importedStreamEndsAtSameToken)
{
    engine_model first({ .tokensPerSecond = 10 });
    first.submit(start, { "a", "prompt", 1000, 0, "" });
    const std::uint64_t wanted = first.find("a")->wantedTokens;
    first.advance(start + 500ms);
    engine_model second({ .tokensPerSecond = 1000, .initialVersion = 2 });
    ASSERT_TRUE(second.import(start, first.find("a")->request, wanted, first.find("a")->versions));
    second.advance(start + 100s);
    EXPECT_EQ(second.find("a")->versions.size(), wanted);
    EXPECT_EQ(second.find("a")->versions.front(), 1U);
    EXPECT_EQ(second.find("a")->versions.back(), 2U);
}

// Guards against weight orders of a superseded owner that take effect unnoticed. Engines that ignore fencing tokens must count them.
TEST(engine_model, rejectsOrCountsOutdatedFencingTokens)
{
    engine_model checking({ .checksFencing = true });
    EXPECT_TRUE(checking.acceptFencing("run", 5));
    EXPECT_FALSE(checking.acceptFencing("run", 4));
    EXPECT_TRUE(checking.acceptFencing("other", 1));
    engine_model ignoring({});
    EXPECT_TRUE(ignoring.acceptFencing("run", 5));
    EXPECT_TRUE(ignoring.acceptFencing("run", 4));
    EXPECT_EQ(ignoring.staleOrders(), 1U);
}

nlohmann::json sampleOf(std::uint64_t step, std::uint64_t index, std::uint64_t version, std::uint64_t tokens = 4)
{
    return { { "slot", { { "run", "r" }, { "step", step }, { "group", 0 }, { "index", index } } },
             { "draft", 100 + index },
             { "tokens", tokens },
             { "versions", nlohmann::json::array({ { { "from", 0 }, { "to", 4 }, { "version", version } } }) } };
}

nlohmann::json answerOf(std::uint64_t step, const nlohmann::json &samples)
{
    return { { "number", 1 }, { "step", step }, { "samples", samples }, { "isStepComplete", false } };
}

// Guards against a verifier that overlooks a violation: each case delivers samples that violate one guarantee; the first case violates none.
TEST(trainer_ledger, countsEachKindOfViolation)
{
    const trainer_expectation expectation{ .samplesPerStep = 2, .stalenessBound = 1 };
    trainer_ledger fine("r", expectation);
    EXPECT_TRUE(fine.accept(answerOf(3, nlohmann::json::array({ sampleOf(3, 0, 2), sampleOf(3, 1, 3) }))));
    EXPECT_TRUE(fine.isStepComplete());
    fine.closeStep();
    EXPECT_FALSE(fine.hasViolation());
    EXPECT_EQ(fine.counts().oldestStaleness, 1U);

    trainer_ledger doubled("r", expectation);
    doubled.accept(answerOf(3, nlohmann::json::array({ sampleOf(3, 0, 3), sampleOf(3, 0, 3) })));
    EXPECT_EQ(doubled.counts().doubled, 1U);

    trainer_ledger lost("r", expectation);
    lost.accept({ { "step", 3 }, { "samples", nlohmann::json::array({ sampleOf(3, 0, 3) }) }, { "isStepComplete", true } });
    lost.closeStep();
    EXPECT_EQ(lost.counts().lost, 1U);

    trainer_ledger stale("r", expectation);
    stale.accept(answerOf(3, nlohmann::json::array({ sampleOf(3, 0, 1) })));
    EXPECT_EQ(stale.counts().overBound, 1U);

    trainer_ledger unattributed("r", expectation);
    unattributed.accept(answerOf(3, nlohmann::json::array({ sampleOf(3, 0, 0), sampleOf(3, 1, 3, 5) })));
    EXPECT_EQ(unattributed.counts().unattributed, 2U);

    trainer_ledger changed("r", expectation);
    changed.compareRepeat(answerOf(3, nlohmann::json::array({ sampleOf(3, 0, 3) })), answerOf(3, nlohmann::json::array({ sampleOf(3, 1, 3) })));
    EXPECT_TRUE(changed.hasViolation());
}

} // namespace
} // namespace reedtrail
