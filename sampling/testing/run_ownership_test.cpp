#include "base/check.h"
#include "sampling/run_ownership.h"

#include <gtest/gtest.h>

namespace reedtrail {
namespace {

constexpr time_point start{};

/** Leads a claim to the point where it has asked the store to write the owner key. @return the record it writes */
owner_record beginClaim(run_ownership &claim)
{
    claim.onEvent(start, ownership_event::rank_changed{ 0 });
    claim.onEvent(start, ownership_event::owner_changed{});
    claim.onEvent(start, ownership_event::timer{});
    const ownership_actions actions = claim.onEvent(start, ownership_event::lease_granted{ {}, 7 });
    return std::get<ownership_action::claim>(actions.at(0)).record;
}

run_ownership makeClaim()
{
    return run_ownership(node_id("node-1"), "node-1-1", "127.0.0.1:1", {});
}

TEST(run_ownership, watchQuickerThanTheAnswerToTheClaim)
{
    const std::uint64_t checksBefore = failedChecks();
    run_ownership claim = makeClaim();
    const owner_record record = beginClaim(claim);
    claim.onEvent(start, ownership_event::owner_changed{ { true, record, 9 } });
    EXPECT_EQ(claim.epoch(), 9U);
    claim.onEvent(start, ownership_event::claim_ended{ ownership_event::claim_ended::outcome::Succeeded, 9, {} });
    claim.onEvent(start, ownership_event::batches_read{ true, {} });
    EXPECT_TRUE(claim.isOwning());
    EXPECT_EQ(failedChecks(), checksBefore);
}

TEST(run_ownership, answerLostIsResolvedByReadingBack)
{
    for (const bool isWritten : { true, false }) {
        run_ownership claim = makeClaim();
        const owner_record record = beginClaim(claim);
        claim.onEvent(start, ownership_event::claim_ended{ ownership_event::claim_ended::outcome::Unknown, 0, {} });
        EXPECT_EQ(claim.phase(), claim_phase::Resolving);
        claim.onEvent(start, ownership_event::owner_changed{ isWritten ? observed_owner{ true, record, 9 } : observed_owner{} });
        EXPECT_EQ(claim.phase(), isWritten ? claim_phase::Recovering : claim_phase::Watching);
    }
}

TEST(run_ownership, losesTheRunWhenTheKeyIsAnothers)
{
    run_ownership claim = makeClaim();
    const owner_record record = beginClaim(claim);
    claim.onEvent(start, ownership_event::claim_ended{ ownership_event::claim_ended::outcome::Succeeded, 9, {} });
    claim.onEvent(start, ownership_event::batches_read{ true, {} });
    claim.onEvent(start, ownership_event::owner_changed{ { true, record, 9 } });
    EXPECT_TRUE(claim.isOwning());
    claim.onEvent(start, ownership_event::owner_changed{ { true, { node_id("node-2"), "node-2-1-1", "" }, 12 } });
    EXPECT_FALSE(claim.isOwning());
    EXPECT_EQ(claim.epoch(), 0U);
}

TEST(run_ownership, successorTakesOverByCompareAndSwap)
{
    run_ownership claim = makeClaim();
    claim.onEvent(start, ownership_event::handover_requested{ 5 });
    const ownership_actions actions = claim.onEvent(start, ownership_event::lease_granted{ {}, 7 });
    EXPECT_EQ(std::get<ownership_action::claim>(actions.at(0)).heldEpoch, 5U);
}

} // namespace
} // namespace reedtrail
