#include "base/check.h"
#include "sampling/run_ownership.h"

#include <gtest/gtest.h>

namespace reedtrail {
namespace {

constexpr time_point start{};

/** Advances @p ownership until it asks the store to write the owner key. @return the record that it writes */
owner_record beginClaim(run_ownership &ownership)
{
    ownership.onEvent(start, ownership_event::rank_changed{ 0 });
    ownership.onEvent(start, ownership_event::owner_changed{});
    ownership.onEvent(start, ownership_event::timer{});
    const ownership_actions actions = ownership.onEvent(start, ownership_event::lease_granted{ {}, 7 });
    return std::get<ownership_action::claim>(actions.at(0)).record;
}

run_ownership makeOwnership()
{
    return run_ownership(node_id("node-1"), "node-1-1", "127.0.0.1:1", {});
}

// The watch on the owner key may report the write of the claim before the answer to the claim arrives. Guards against a failed check or a wrong epoch when the
// answer comes second.
TEST(run_ownership, watchEventBeforeClaimAnswerGainsOwnership)
{
    const std::uint64_t checksBefore = failedChecks();
    run_ownership ownership = makeOwnership();
    const owner_record record = beginClaim(ownership);
    ownership.onEvent(start, ownership_event::owner_changed{ { true, record, 9 } });
    EXPECT_EQ(ownership.epoch(), 9U);
    ownership.onEvent(start, ownership_event::claim_ended{ ownership_event::claim_ended::outcome::Succeeded, 9, {} });
    ownership.onEvent(start, ownership_event::batches_read{ true, {} });
    EXPECT_TRUE(ownership.isOwning());
    EXPECT_EQ(failedChecks(), checksBefore);
}

// The answer to a claim may be lost after the store has executed it. Guards against guessing the result: the owner key is read back, and the node owns the run
// only if the key holds its record.
TEST(run_ownership, lostClaimAnswerIsResolvedByReadingOwnerKey)
{
    for (const bool isWritten : { true, false }) {
        run_ownership ownership = makeOwnership();
        const owner_record record = beginClaim(ownership);
        ownership.onEvent(start, ownership_event::claim_ended{ ownership_event::claim_ended::outcome::Unknown, 0, {} });
        EXPECT_EQ(ownership.phase(), claim_phase::Resolving);
        ownership.onEvent(start, ownership_event::owner_changed{ isWritten ? observed_owner{ true, record, 9 } : observed_owner{} });
        EXPECT_EQ(ownership.phase(), isWritten ? claim_phase::Recovering : claim_phase::Watching);
    }
}

// Guards against a node that continues as owner after another node has written the owner key.
TEST(run_ownership, ownerKeyOfAnotherNodeEndsOwnership)
{
    run_ownership ownership = makeOwnership();
    const owner_record record = beginClaim(ownership);
    ownership.onEvent(start, ownership_event::claim_ended{ ownership_event::claim_ended::outcome::Succeeded, 9, {} });
    ownership.onEvent(start, ownership_event::batches_read{ true, {} });
    ownership.onEvent(start, ownership_event::owner_changed{ { true, record, 9 } });
    EXPECT_TRUE(ownership.isOwning());
    ownership.onEvent(start, ownership_event::owner_changed{ { true, { node_id("node-2"), "node-2-1-1", "" }, 12 } });
    EXPECT_FALSE(ownership.isOwning());
    EXPECT_EQ(ownership.epoch(), 0U);
}

// Guards against a handover that overwrites the key of a third node: the claim of the successor compares with the epoch of the node that hands over.
TEST(run_ownership, handoverClaimComparesWithEpochOfPreviousOwner)
{
    run_ownership ownership = makeOwnership();
    ownership.onEvent(start, ownership_event::handover_requested{ 5 });
    const ownership_actions actions = ownership.onEvent(start, ownership_event::lease_granted{ {}, 7 });
    EXPECT_EQ(std::get<ownership_action::claim>(actions.at(0)).heldEpoch, 5U);
}

} // namespace
} // namespace reedtrail
