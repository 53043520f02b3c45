#include "base/random.h"
#include "batch/testing/session_node.h"

#include <gtest/gtest.h>
#include <set>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;
using harness::fake_store;
using harness::virtual_time;
using testing::completed;
using testing::lease_type;
using testing::session_node;
using testing::session_type;

class job_session_test : public ::testing::Test
{
protected:
    void run(duration span)
    {
        world.runUntil(world.now() + span);
    }
    accept_outcome accept(session_node &target)
    {
        std::optional<accept_outcome> outcome;
        target.session->accept({ "host", "/path/", 0 }, "document", [&](accept_outcome ended) {
            outcome = ended;
        });
        run(3s);
        return outcome.value();
    }
    load_outcome load(session_node &target)
    {
        std::optional<load_outcome> outcome;
        target.session->load([&](load_outcome ended) {
            outcome = ended;
        });
        run(3s);
        return outcome.value();
    }

    bool verify(session_node &target)
    {
        std::optional<bool> isCaughtUp;
        target.session->verify([&](bool verified) {
            isCaughtUp = verified;
        });
        run(3s);
        return isCaughtUp.value();
    }

    virtual_time world;
    fake_store store{ world, random_source(7), {} };
    session_node first{ world, store, "node-1", 8 };
    session_node second{ world, store, "node-2", 8 };
};

TEST_F(job_session_test, repeatedSubmissionAtOtherNodeIsAcceptedWithoutOwnership)
{
    EXPECT_EQ(accept(first), accept_outcome::Accepted);
    EXPECT_EQ(accept(second), accept_outcome::Accepted);
    EXPECT_TRUE(first.session->isOwner());
    EXPECT_FALSE(second.session->isOwner());
    EXPECT_EQ(second.session->view().document(), "document");
}

TEST_F(job_session_test, expectedTokensAreRecordedForModel)
{
    first.session->accept({ "host", "/path/", 7, "model", 1234.5 }, "document", [](accept_outcome) {});
    run(1s);
    EXPECT_EQ(decodeDemand(store.peek(job_key::demand("model")).value().value), 1234.5);
    EXPECT_EQ(load(second), load_outcome::Present);
    EXPECT_EQ(second.session->view().metadata().model, "model");
    EXPECT_EQ(second.session->view().metadata().expectedTokens, 1234.5);
    EXPECT_FALSE(decodeDemand("many"));
    EXPECT_FALSE(decodeDemand("-3"));
}

TEST_F(job_session_test, jobIsAbsentOnlyIfStoreAnswers)
{
    EXPECT_EQ(load(first), load_outcome::Absent);
    store.setDown(true);
    EXPECT_EQ(load(second), load_outcome::Unavailable);
}

TEST_F(job_session_test, submissionRefusedDuringOutageIsNotRecordedLater)
{
    store.setDown(true);
    EXPECT_NE(accept(first), accept_outcome::Accepted);
    store.setDown(false);
    run(10s);
    // A job whose submission was not accepted must not appear later.
    EXPECT_EQ(load(second), load_outcome::Absent);
}

TEST_F(job_session_test, lostAnswerToSubmissionIsResolved)
{
    first.lease->acquire([](store_lease_id) {});
    run(500ms);
    store.loseAnswers(1);
    EXPECT_EQ(accept(first), accept_outcome::Unknown);
    run(5s);
    EXPECT_TRUE(first.session->isOwner());
    EXPECT_EQ(accept(second), accept_outcome::Accepted);
}

TEST_F(job_session_test, readerTakesOverWhenOwnerIsLost)
{
    ASSERT_EQ(accept(first), accept_outcome::Accepted);
    first.appendNext(3);
    run(1s);
    ASSERT_EQ(load(second), load_outcome::Present);
    store.setCut("node-1", true);
    run(6s);
    EXPECT_TRUE(second.session->isOwner());
    EXPECT_EQ(second.session->view().results().size(), 3U);
}

TEST_F(job_session_test, successorInheritsDrafts)
{
    ASSERT_EQ(accept(first), accept_outcome::Accepted);
    first.session->append({ completed("item-0") }, "first drafts");
    run(1s);
    ASSERT_EQ(load(second), load_outcome::Present);
    store.setCut("node-1", true);
    run(6s);
    ASSERT_TRUE(second.session->isOwner());
    EXPECT_EQ(second.session->inheritedDrafts(), "first drafts");
    second.session->keepDrafts("later drafts");
    run(1s);
    EXPECT_EQ(store.peek(job_key::drafts("job-1"))->value, "later drafts");
    second.session->end({}, [](bool) {});
    run(1s);
    EXPECT_FALSE(store.peek(job_key::drafts("job-1")));
}

/**
 * Guards against an owner that was cut off from the store and, once it is connected again, presents its old view of an ended job as complete although the next
 * owner has recorded further results.
 */
TEST_F(job_session_test, reconnectedOwnerShowsResultsOfSuccessor)
{
    ASSERT_EQ(accept(first), accept_outcome::Accepted);
    first.appendNext(2);
    run(1s);
    ASSERT_EQ(load(second), load_outcome::Present);
    store.setCut("node-1", true);
    run(6s);
    ASSERT_TRUE(second.session->isOwner());
    second.appendNext(6);
    run(1s);
    second.session->end({}, [](bool) {});
    run(1s);
    store.setCut("node-1", false);
    run(6s);
    // Either the session reports that its view is out of date, or the view has all results.
    EXPECT_TRUE(!first.session->isSynced() || first.session->view().results().size() == 8);
    EXPECT_EQ(load(first), load_outcome::Present);
    EXPECT_EQ(first.session->view().results().size(), 8U);
}

/**
 * Guards against results that wait for a retry delay although the store is reachable again. During an outage of several seconds leases expire and the owner
 * key is deleted, so the owner must repeat its append and claim the job again as soon as the store is back.
 */
TEST_F(job_session_test, overdueAppendIsRecordedWhenStoreReturns)
{
    for (const duration outage : { 3000ms, 3400ms, 3800ms, 4200ms, 4600ms, 5000ms }) {
        virtual_time ownWorld;
        fake_store ownStore{ ownWorld, random_source(7), { .timeout = 700ms } };
        session_node owner{ ownWorld, ownStore, "node-1", 8 };
        owner.session->accept({ "host", "/path/", 0 }, "document", [](accept_outcome) {});
        ownWorld.runUntil(ownWorld.now() + 1s);
        ownStore.setDown(true);
        owner.appendNext(8);
        ownWorld.runUntil(ownWorld.now() + outage);
        auto externalClient = ownStore.client("external");
        ownStore.setDown(false);
        store_txn deleteOwnerKey;
        deleteOwnerKey.onSuccess.push_back(store_delete{ job_key::owner("job-1"), false });
        externalClient.txn(deleteOwnerKey, [](const store_txn_answer &) {});
        ownWorld.runUntil(ownWorld.now() + 10ms);
        owner.session->storeRegained();
        ownWorld.runUntil(ownWorld.now() + 300ms);
        EXPECT_EQ(owner.session->view().results().size(), 8U) << "after an outage of " << toSeconds(outage) << " s";
        EXPECT_TRUE(ownStore.peek(job_key::resultBatch("job-1", 0)));
        EXPECT_FALSE(ownStore.peek(job_key::resultBatch("job-1", 1))) << "earlier attempts must not have recorded a second batch";
    }
}

TEST_F(job_session_test, deletedOwnerKeyLeavesExactlyOneOwner)
{
    ASSERT_EQ(accept(first), accept_outcome::Accepted);
    ASSERT_EQ(load(second), load_outcome::Present);
    store_txn txn;
    txn.onSuccess.push_back(store_delete{ job_key::owner("job-1"), false });
    store.client("external").txn(txn, [](const store_txn_answer &) {});
    run(5s);
    EXPECT_NE(first.session->isOwner(), second.session->isOwner());
}

/** Guards against a job that waits for the lease of a process that no longer exists, because its owner key names the earlier process of this node. */
TEST_F(job_session_test, restartedNodeTakesJobOverFromItself)
{
    ASSERT_EQ(accept(first), accept_outcome::Accepted);
    first.appendNext(2);
    run(500ms);
    store.forgetClient("node-1");
    first.start();
    EXPECT_EQ(load(first), load_outcome::Present);
    EXPECT_TRUE(first.session->isOwner());
    EXPECT_EQ(first.session->view().results().size(), 2U);
}

/** Guards against a reader that ends a job while it is not watching and then presents its old view as complete. */
TEST_F(job_session_test, readerEndingJobShowsAllResults)
{
    ASSERT_EQ(accept(first), accept_outcome::Accepted);
    second.hasReader = false;
    ASSERT_EQ(load(second), load_outcome::Present);
    first.appendNext(3);
    run(1s);
    first.appendNext(3);
    run(1s);
    second.session->end({}, [](bool) {});
    run(1s);
    EXPECT_TRUE(!second.session->isSynced() || second.session->view().results().size() == 6);
    EXPECT_EQ(load(second), load_outcome::Present);
    EXPECT_EQ(second.session->view().results().size(), 6U);
}

/** Guards against a reader that reports no further results because its watch was lost without notice. */
TEST_F(job_session_test, readerWithSilentlyLostWatchFindsResults)
{
    ASSERT_EQ(accept(first), accept_outcome::Accepted);
    ASSERT_EQ(load(second), load_outcome::Present);
    store.dropWatchesSilently();
    first.appendNext(3);
    run(3s);
    ASSERT_EQ(second.session->view().results().size(), 0U);
    EXPECT_FALSE(second.session->isCaughtUp());
    EXPECT_TRUE(verify(second));
    EXPECT_EQ(second.session->view().results().size(), 3U);
}

/** Guards against an owner that goes on with a job for as long as its long poll lasts, because the answer that reported the end was lost. */
TEST_F(job_session_test, ownerWithSilentlyLostWatchHearsOfEnd)
{
    ASSERT_EQ(accept(first), accept_outcome::Accepted);
    ASSERT_EQ(load(second), load_outcome::Present);
    run(2s);
    store.dropWatchesSilently();
    second.session->end({}, [](bool) {});
    run(2s);
    EXPECT_TRUE(first.session->view().isEnded());
    EXPECT_FALSE(first.session->isOwner());
}

/** Guards against a job that nobody runs, because the answer that told its only reader of the owner's loss was lost. */
TEST_F(job_session_test, readerWithSilentlyLostWatchTakesJobOver)
{
    ASSERT_EQ(accept(first), accept_outcome::Accepted);
    ASSERT_EQ(load(second), load_outcome::Present);
    store.dropWatchesSilently();
    first.session->release([] {});
    first.hasReader = false;
    run(4s);
    EXPECT_TRUE(second.session->isOwner());
}

/** Guards against reads that cost the store a call although the owner's writes show already that the job goes on. */
TEST_F(job_session_test, ownerThatWritesDoesNotReadState)
{
    ASSERT_EQ(accept(first), accept_outcome::Accepted);
    const std::uint64_t readsBefore = store.count(store_call_kind::Read);
    for (int i = 0; i < 8; ++i) {
        first.appendNext(1);
        run(1s);
    }
    EXPECT_EQ(store.count(store_call_kind::Read), readsBefore);
    run(12s);
    EXPECT_GE(store.count(store_call_kind::Read), readsBefore + 5);
    EXPECT_LE(store.count(store_call_kind::Read), readsBefore + 12);
}

/** Guards against a reader that reports no further results although it cannot query the store. */
TEST_F(job_session_test, readerWithoutStoreIsNotCaughtUp)
{
    ASSERT_EQ(accept(first), accept_outcome::Accepted);
    ASSERT_EQ(load(second), load_outcome::Present);
    store.setCut("node-2", true);
    first.appendNext(3);
    run(1s);
    EXPECT_FALSE(verify(second));
}

/** Guards against a stale view after a release: an owner's watch does not cover results, so the results of the next owner require a complete read. */
TEST_F(job_session_test, nodeThatReleasedJobShowsResultsOfSuccessor)
{
    ASSERT_EQ(accept(first), accept_outcome::Accepted);
    first.appendNext(2);
    run(1s);
    ASSERT_EQ(load(second), load_outcome::Present);
    first.session->release([] {});
    run(3s);
    ASSERT_TRUE(second.session->isOwner());
    second.appendNext(6);
    run(1s);
    EXPECT_TRUE(first.session->needsListing() || first.session->view().results().size() == 8);
    EXPECT_EQ(load(first), load_outcome::Present);
    EXPECT_EQ(first.session->view().results().size(), 8U);
}

/**
 * Guards against a node that becomes the owner of an ended job. The end is written 0 to 15 ms after the claim, so that it falls between the steps
 * of the takeover.
 */
TEST_F(job_session_test, jobEndingDuringTakeoverHasNoOwner)
{
    for (int stepsAfterClaim = 0; stepsAfterClaim < 16; ++stepsAfterClaim) {
        virtual_time ownWorld;
        fake_store ownStore{ ownWorld, random_source(7), {} };
        session_node owner{ ownWorld, ownStore, "node-1", 8 };
        session_node successor{ ownWorld, ownStore, "node-2", 8 };
        owner.session->accept({ "host", "/path/", 0 }, "document", [](accept_outcome) {});
        ownWorld.runUntil(ownWorld.now() + 1s);
        successor.session->load([](load_outcome) {});
        ownWorld.runUntil(ownWorld.now() + 1s);
        ownStore.setCut("node-1", true);
        const auto isClaimed = [&] {
            const std::optional<store_key_value> key = ownStore.peek(job_key::owner("job-1"));
            return key && key->value.find("node-2") != std::string::npos;
        };
        for (int i = 0; i < 10000 && !isClaimed(); ++i) {
            ownWorld.runUntil(ownWorld.now() + 1ms);
        }
        ASSERT_TRUE(isClaimed());
        ownWorld.runUntil(ownWorld.now() + stepsAfterClaim * 1ms);
        auto externalClient = ownStore.client("external");
        externalClient.txn(endTransaction("job-1"), [](const store_txn_answer &) {});
        ownWorld.runUntil(ownWorld.now() + 3s);
        EXPECT_FALSE(successor.session->isOwner()) << stepsAfterClaim << " ms after the claim";
        EXPECT_TRUE(successor.session->view().isEnded());
    }
}

/** Both nodes leave out their checks of the job's state, which are reads of their own. */
TEST_F(job_session_test, readerResumesWithoutReadingDocumentAgain)
{
    for (session_node *each : { &first, &second }) {
        each->options = { .ownerStateValidity = 1h, .readerStateValidity = 1h };
        each->start();
    }
    ASSERT_EQ(accept(first), accept_outcome::Accepted);
    second.hasReader = false;
    ASSERT_EQ(load(second), load_outcome::Present);
    first.appendNext(3);
    run(1s);
    first.appendNext(3);
    run(1s);
    second.hasReader = true;
    const std::uint64_t reads = store.count(store_call_kind::Read);
    second.session->catchUp();
    run(1s);
    EXPECT_EQ(second.session->view().results().size(), 6U);
    EXPECT_EQ(store.count(store_call_kind::Read), reads) << "catching up must not read the document again";
    EXPECT_TRUE(verify(second));
    EXPECT_EQ(store.count(store_call_kind::Read), reads + 1) << "verification must read exactly one key";
}

/**
 * Guards against a slow read that counts as current when it is answered. The answer shows the state from when the read was sent, and other nodes may have shown
 * newer results since.
 */
TEST(job_session_reading_test, slowReadDoesNotCountAsCurrent)
{
    virtual_time world;
    fake_store store(world, random_source(7), { .delay = 2ms, .slowDelay = 600ms });
    session_node first{ world, store, "node-1", 8 };
    session_node second{ world, store, "node-2", 8 };
    first.session->accept({ "host", "/path/", 0 }, "document", [](accept_outcome) {});
    world.runUntil(world.now() + 1s);
    store.setSlow(true);
    bool isLoaded = false;
    second.session->load([&](load_outcome outcome) {
        isLoaded = outcome == load_outcome::Present;
        // The answer is more than a second old; other nodes may have shown newer results since.
        EXPECT_FALSE(second.session->isCaughtUp());
    });
    world.runUntil(world.now() + 2s);
    EXPECT_TRUE(isLoaded);
    store.setSlow(false);
    std::optional<bool> isCaughtUp;
    second.session->verify([&](bool verified) {
        isCaughtUp = verified;
    });
    world.runUntil(world.now() + 100ms);
    EXPECT_EQ(isCaughtUp, true);
}

TEST_F(job_session_test, endedJobIsNotTakenOver)
{
    ASSERT_EQ(accept(first), accept_outcome::Accepted);
    ASSERT_EQ(load(second), load_outcome::Present);
    second.session->end({}, [](bool isRecorded) {
        EXPECT_TRUE(isRecorded);
    });
    run(5s);
    EXPECT_FALSE(first.session->isOwner());
    EXPECT_FALSE(second.session->isOwner());
}

} // namespace
} // namespace reedtrail
