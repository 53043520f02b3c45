#include "batch/job_session.h"

#include "base/random.h"
#include "harness/fake_store.h"
#include "harness/virtual_time.h"

#include <gtest/gtest.h>
#include <set>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;
using harness::fake_store;
using harness::fake_store_client;
using harness::virtual_time;

using session_type = job_session<fake_store_client, virtual_time>;
using lease_type = node_lease<fake_store_client, virtual_time>;

item_result completed(const std::string &id)
{
    return { id, true, "text of " + id, { 1 }, "score" };
}

/** One node: finishes the items that it owns, a few at a time. */
struct node
{
    node(virtual_time &world, fake_store &store, const std::string &name, std::size_t itemCount)
        : name(name)
        , world(world)
        , client(store.client(name))
        , itemCount(itemCount)
    {
        start();
    }

    void start()
    {
        ++incarnation;
        lease = std::make_shared<lease_type>(client, world, node_lease_options{});
        job_session_handlers handlers;
        handlers.onOwnershipGained = [] {};
        handlers.onOwnershipLost = [] {};
        handlers.onResults = [] {};
        handlers.onRecorded = [](std::span<const item_result>) {};
        handlers.onEnded = [] {};
        handlers.mayClaim = [] {
            return true;
        };
        handlers.hasReaders = [this] {
            return isFollowing;
        };
        session = std::make_shared<session_type>(client, world, lease, "job-1", job_owner_record{ name, std::to_string(incarnation) }, handlers);
    }

    /** Appends the next @p count items that are not recorded, if this node owns the job. */
    void work(std::size_t count)
    {
        if (!session->isOwner() || session->isAppending()) {
            return;
        }
        std::set<std::string> recorded;
        for (const item_result &result : session->view().results()) {
            recorded.insert(result.id);
        }
        std::vector<item_result> results;
        for (std::size_t i = 0; i < itemCount && results.size() < count; ++i) {
            const std::string id = "item-" + std::to_string(i);
            if (!recorded.contains(id)) {
                results.push_back(completed(id));
            }
        }
        if (!results.empty()) {
            session->append(results, "");
        }
    }

    bool isFollowing = true;
    std::string name;
    virtual_time &world;
    fake_store_client client;
    std::size_t itemCount;
    int incarnation = 0;
    std::shared_ptr<lease_type> lease;
    std::shared_ptr<session_type> session;
};

class job_session_test : public testing::Test
{
protected:
    void run(duration span)
    {
        world.runUntil(world.now() + span);
    }
    accept_outcome accept(node &where)
    {
        std::optional<accept_outcome> outcome;
        where.session->accept({ "host", "/path/", 0 }, "document", [&](accept_outcome ended) {
            outcome = ended;
        });
        run(3s);
        return outcome.value();
    }
    load_outcome load(node &where)
    {
        std::optional<load_outcome> outcome;
        where.session->load([&](load_outcome ended) {
            outcome = ended;
        });
        run(3s);
        return outcome.value();
    }

    bool verify(node &where)
    {
        std::optional<bool> isCaughtUp;
        where.session->verify([&](bool verified) {
            isCaughtUp = verified;
        });
        run(3s);
        return isCaughtUp.value();
    }

    virtual_time world;
    fake_store store{ world, random_source(7), {} };
    node first{ world, store, "node-1", 8 };
    node second{ world, store, "node-2", 8 };
};

TEST_F(job_session_test, acceptedOnceAndRepeatedElsewhere)
{
    EXPECT_EQ(accept(first), accept_outcome::Accepted);
    EXPECT_EQ(accept(second), accept_outcome::Accepted);
    EXPECT_TRUE(first.session->isOwner());
    EXPECT_FALSE(second.session->isOwner());
    EXPECT_EQ(second.session->view().document(), "document");
}

TEST_F(job_session_test, whatAJobAsksOfItsModelIsRecordedBesideIt)
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

TEST_F(job_session_test, unknownJobIsAbsentOnlyIfTheStoreSaysSo)
{
    EXPECT_EQ(load(first), load_outcome::Absent);
    store.setDown(true);
    EXPECT_EQ(load(second), load_outcome::Unavailable);
}

TEST_F(job_session_test, submissionWithoutStoreIsNotAcceptedLater)
{
    store.setDown(true);
    EXPECT_NE(accept(first), accept_outcome::Accepted);
    store.setDown(false);
    run(10s);
    // What was answered "not accepted" must not be found afterwards.
    EXPECT_EQ(load(second), load_outcome::Absent);
}

TEST_F(job_session_test, lostAnswerOfTheRecordIsResolved)
{
    first.lease->acquire([](store_lease_id) {});
    run(500ms);
    store.loseAnswers(1);
    EXPECT_EQ(accept(first), accept_outcome::Unknown);
    run(5s);
    EXPECT_TRUE(first.session->isOwner());
    EXPECT_EQ(accept(second), accept_outcome::Accepted);
}

TEST_F(job_session_test, readerTakesOverAfterTheOwnerIsLost)
{
    ASSERT_EQ(accept(first), accept_outcome::Accepted);
    first.work(3);
    run(1s);
    ASSERT_EQ(load(second), load_outcome::Present);
    store.setCut("node-1", true);
    run(6s);
    EXPECT_TRUE(second.session->isOwner());
    EXPECT_EQ(second.session->view().results().size(), 3U);
}

TEST_F(job_session_test, textsUnderWayAreLeftToTheSuccessor)
{
    ASSERT_EQ(accept(first), accept_outcome::Accepted);
    first.session->append({ completed("item-0") }, "texts");
    run(1s);
    ASSERT_EQ(load(second), load_outcome::Present);
    store.setCut("node-1", true);
    run(6s);
    ASSERT_TRUE(second.session->isOwner());
    EXPECT_EQ(second.session->inheritedDrafts(), "texts");
    second.session->keepDrafts("later texts");
    run(1s);
    EXPECT_EQ(store.peek(job_key::drafts("job-1"))->value, "later texts");
    second.session->end({}, [](bool) {});
    run(1s);
    EXPECT_FALSE(store.peek(job_key::drafts("job-1")));
}

TEST_F(job_session_test, ownerThatWasCutOffDoesNotShowLessThanItsSuccessor)
{
    ASSERT_EQ(accept(first), accept_outcome::Accepted);
    first.work(2);
    run(1s);
    ASSERT_EQ(load(second), load_outcome::Present);
    store.setCut("node-1", true);
    run(6s);
    ASSERT_TRUE(second.session->isOwner());
    second.work(6);
    run(1s);
    second.session->end({}, [](bool) {});
    run(1s);
    store.setCut("node-1", false);
    run(6s);
    // Either it knows that it must read again, or it has all results.
    EXPECT_TRUE(!first.session->isSynced() || first.session->view().results().size() == 8);
    EXPECT_EQ(load(first), load_outcome::Present);
    EXPECT_EQ(first.session->view().results().size(), 8U);
}

/** A store outage of some seconds in which leases lapse: what is ready is to be shown as soon as the store is back, not after the pause between two tries. */
TEST_F(job_session_test, resultsThatWaitedForTheStoreAreRecordedAsSoonAsItIsBack)
{
    for (const duration outage : { 3000ms, 3400ms, 3800ms, 4200ms, 4600ms, 5000ms }) {
        virtual_time ownWorld;
        fake_store ownStore{ ownWorld, random_source(7), { .timeout = 700ms } };
        node owner{ ownWorld, ownStore, "node-1", 8 };
        owner.session->accept({ "host", "/path/", 0 }, "document", [](accept_outcome) {});
        ownWorld.runUntil(ownWorld.now() + 1s);
        ownStore.setDown(true);
        owner.work(8);
        ownWorld.runUntil(ownWorld.now() + outage);
        auto hand = ownStore.client("hand");
        ownStore.setDown(false);
        store_txn lapse;
        lapse.onSuccess.push_back(store_delete{ job_key::owner("job-1"), false });
        hand.txn(lapse, [](const store_txn_answer &) {});
        ownWorld.runUntil(ownWorld.now() + 10ms);
        owner.session->storeRegained();
        ownWorld.runUntil(ownWorld.now() + 300ms);
        EXPECT_EQ(owner.session->view().results().size(), 8U) << "after an outage of " << toSeconds(outage) << " s";
        EXPECT_TRUE(ownStore.peek(job_key::resultBatch("job-1", 0)));
        EXPECT_FALSE(ownStore.peek(job_key::resultBatch("job-1", 1))) << "the tries before have recorded nothing beside it";
    }
}

TEST_F(job_session_test, ownerWhoseKeyWasTakenAwayNotices)
{
    ASSERT_EQ(accept(first), accept_outcome::Accepted);
    ASSERT_EQ(load(second), load_outcome::Present);
    store_txn txn;
    txn.onSuccess.push_back(store_delete{ job_key::owner("job-1"), false });
    store.client("hand").txn(txn, [](const store_txn_answer &) {});
    run(5s);
    EXPECT_NE(first.session->isOwner(), second.session->isOwner());
}

TEST_F(job_session_test, earlierProcessOfTheSameNodeIsNoObstacle)
{
    ASSERT_EQ(accept(first), accept_outcome::Accepted);
    first.work(2);
    run(500ms);
    store.forgetClient("node-1");
    first.start();
    EXPECT_EQ(load(first), load_outcome::Present);
    EXPECT_TRUE(first.session->isOwner());
    EXPECT_EQ(first.session->view().results().size(), 2U);
}

TEST_F(job_session_test, readerThatEndsTheJobDoesNotTakeItsOwnListForTheWhole)
{
    ASSERT_EQ(accept(first), accept_outcome::Accepted);
    second.isFollowing = false;
    ASSERT_EQ(load(second), load_outcome::Present);
    first.work(3);
    run(1s);
    first.work(3);
    run(1s);
    second.session->end({}, [](bool) {});
    run(1s);
    EXPECT_TRUE(!second.session->isSynced() || second.session->view().results().size() == 6);
    EXPECT_EQ(load(second), load_outcome::Present);
    EXPECT_EQ(second.session->view().results().size(), 6U);
}

TEST_F(job_session_test, readerWhoseWatchHasGoneDeafDoesNotSayThatThereIsNothing)
{
    ASSERT_EQ(accept(first), accept_outcome::Accepted);
    ASSERT_EQ(load(second), load_outcome::Present);
    store.dropWatchesSilently();
    first.work(3);
    run(3s);
    ASSERT_EQ(second.session->view().results().size(), 0U);
    EXPECT_FALSE(second.session->isCaughtUp());
    EXPECT_TRUE(verify(second));
    EXPECT_EQ(second.session->view().results().size(), 3U);
}

TEST_F(job_session_test, readerThatCannotAskTheStoreDoesNotSayThatThereIsNothing)
{
    ASSERT_EQ(accept(first), accept_outcome::Accepted);
    ASSERT_EQ(load(second), load_outcome::Present);
    store.setCut("node-2", true);
    first.work(3);
    run(1s);
    EXPECT_FALSE(verify(second));
}

TEST_F(job_session_test, nodeThatGaveTheJobBackSeesWhatItsSuccessorRecords)
{
    ASSERT_EQ(accept(first), accept_outcome::Accepted);
    first.work(2);
    run(1s);
    ASSERT_EQ(load(second), load_outcome::Present);
    first.session->release([] {});
    run(3s);
    ASSERT_TRUE(second.session->isOwner());
    second.work(6);
    run(1s);
    EXPECT_TRUE(first.session->needsListing() || first.session->view().results().size() == 8);
    EXPECT_EQ(load(first), load_outcome::Present);
    EXPECT_EQ(first.session->view().results().size(), 8U);
}

TEST_F(job_session_test, jobThatEndsWhileItIsTakenOverHasNoOwner)
{
    for (int stepsAfterClaim = 0; stepsAfterClaim < 16; ++stepsAfterClaim) {
        virtual_time ownWorld;
        fake_store ownStore{ ownWorld, random_source(7), {} };
        node owner{ ownWorld, ownStore, "node-1", 8 };
        node successor{ ownWorld, ownStore, "node-2", 8 };
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
        auto hand = ownStore.client("hand");
        hand.txn(endTransaction("job-1"), [](const store_txn_answer &) {});
        ownWorld.runUntil(ownWorld.now() + 3s);
        EXPECT_FALSE(successor.session->isOwner()) << stepsAfterClaim << " ms after the claim";
        EXPECT_TRUE(successor.session->view().isEnded());
    }
}

TEST_F(job_session_test, readerCatchesUpFromWhereItStopped)
{
    ASSERT_EQ(accept(first), accept_outcome::Accepted);
    second.isFollowing = false;
    ASSERT_EQ(load(second), load_outcome::Present);
    first.work(3);
    run(1s);
    first.work(3);
    run(1s);
    second.isFollowing = true;
    const std::uint64_t reads = store.count(store_call_kind::Read);
    second.session->catchUp();
    run(1s);
    EXPECT_EQ(second.session->view().results().size(), 6U);
    EXPECT_EQ(store.count(store_call_kind::Read), reads) << "the document is not read again";
    EXPECT_TRUE(verify(second));
    EXPECT_EQ(store.count(store_call_kind::Read), reads + 1) << "one key tells that there is nothing further";
}

TEST(job_session_reading_test, readerIsNotCaughtUpByAReadThatTookLong)
{
    virtual_time world;
    fake_store store(world, random_source(7), { .delay = 2ms, .slowDelay = 600ms });
    node first{ world, store, "node-1", 8 };
    node second{ world, store, "node-2", 8 };
    first.session->accept({ "host", "/path/", 0 }, "document", [](accept_outcome) {});
    world.runUntil(world.now() + 1s);
    store.setSlow(true);
    bool isLoaded = false;
    second.session->load([&](load_outcome outcome) {
        isLoaded = outcome == load_outcome::Present;
        // What the read brought is a second old: new results may have been shown elsewhere meanwhile.
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

/** Random faults over three nodes; whatever happens, each item has one position, and nobody sees another order. */
class job_session_faults : public testing::TestWithParam<std::uint64_t>
{
};

TEST_P(job_session_faults, positionsAreFixed)
{
    random_source random(GetParam());
    virtual_time world;
    fake_store store(world, random.fork(), {});
    std::vector<std::unique_ptr<node>> nodes;
    nodes.reserve(3);
    for (int i = 0; i < 3; ++i) {
        nodes.push_back(std::make_unique<node>(world, store, "node-" + std::to_string(i), 40));
    }
    bool isAccepted = false;
    std::vector<std::string> shown; // The longest list that anybody was shown.
    for (int step = 0; step < 400; ++step) {
        node &where = *nodes[random.below(nodes.size())];
        switch (random.below(14)) {
        case 0:
            store.setCut(where.name, random.chance(0.5));
            break;
        case 1:
            store.setDown(random.chance(0.3));
            break;
        case 2:
            store.setSlow(random.chance(0.3));
            break;
        case 3:
            store.setAnswerLossChance(random.chance(0.5) ? 0.3 : 0);
            break;
        case 4:
            store.compact();
            break;
        case 5:
            store.forgetClient(where.name);
            where.start();
            break;
        case 6:
            store.dropWatchesSilently();
            break;
        case 7:
            if (!isAccepted) {
                where.session->accept({ "host", "/path/", 0 }, "document", [&](accept_outcome outcome) {
                    isAccepted = isAccepted || outcome == accept_outcome::Accepted;
                });
                break;
            }
            [[fallthrough]];
        case 8:
        case 9:
            where.session->load([&, isKnown = isAccepted](load_outcome outcome) {
                EXPECT_FALSE(isKnown && outcome == load_outcome::Absent) << "an accepted job is not found";
            });
            break;
        default:
            where.work(1 + random.below(4));
        }
        world.runUntil(world.now() + std::chrono::milliseconds(random.below(800)));
        for (const auto &reader : nodes) {
            const std::vector<item_result> &results = reader->session->view().results();
            for (std::size_t i = 0; i < results.size(); ++i) {
                if (i < shown.size()) {
                    ASSERT_EQ(results[i].id, shown[i]) << "position " << i << " changed";
                } else {
                    shown.push_back(results[i].id);
                }
            }
        }
    }
    EXPECT_EQ(std::set<std::string>(shown.begin(), shown.end()).size(), shown.size()) << "an item stands at two positions";
    // With all faults over the job goes on to its end, and all nodes show all of it.
    store.setDown(false);
    store.setSlow(false);
    store.setAnswerLossChance(0);
    for (const auto &each : nodes) {
        store.setCut(each->name, false);
    }
    for (int round = 0; isAccepted && round < 60; ++round) {
        for (const auto &each : nodes) {
            each->session->load([](load_outcome) {});
        }
        world.runUntil(world.now() + 2s);
        for (const auto &each : nodes) {
            each->work(10);
        }
        world.runUntil(world.now() + 1s);
    }
    if (isAccepted) {
        for (const auto &each : nodes) {
            std::multiset<std::string> ids;
            for (const item_result &result : each->session->view().results()) {
                ids.insert(result.id);
            }
            EXPECT_EQ(ids.size(), 40U) << each->name;
            EXPECT_EQ(std::set<std::string>(ids.begin(), ids.end()).size(), ids.size()) << "an item stands at two positions";
        }
    }
}

/** What one node has shown is shown by every other within a second, or it says that it cannot tell. */
TEST_P(job_session_faults, nobodySaysThatThereIsNothingAfterItWasShown)
{
    random_source random(GetParam());
    virtual_time world;
    fake_store store(world, random.fork(), {});
    std::vector<std::unique_ptr<node>> nodes;
    nodes.reserve(3);
    for (int i = 0; i < 3; ++i) {
        nodes.push_back(std::make_unique<node>(world, store, "node-" + std::to_string(i), 200));
    }
    nodes[0]->session->accept({ "host", "/path/", 0 }, "document", [](accept_outcome) {});
    world.runUntil(world.now() + 1s);
    ASSERT_TRUE(nodes[0]->session->isOwner());
    std::vector<std::pair<time_point, std::size_t>> shown; // When each longer list was first shown by anybody.
    const auto shownBefore = [&](time_point at) {
        std::size_t longest = 0;
        for (const auto &[when, count] : shown) {
            longest = when <= at ? count : longest;
        }
        return longest;
    };
    for (int step = 0; step < 400; ++step) {
        node &where = *nodes[random.below(nodes.size())];
        switch (random.below(14)) {
        case 0:
            store.setCut(where.name, random.chance(0.5));
            break;
        case 1:
            store.setSlow(random.chance(0.3));
            break;
        case 2:
            store.compact();
            break;
        case 3:
        case 4:
            store.dropWatchesSilently();
            break;
        case 5:
            where.session->load([](load_outcome) {});
            break;
        case 6:
            if (random.chance(0.1)) {
                where.session->release([] {});
            }
            break;
        case 7:
        case 8:
            where.work(1 + random.below(3));
            break;
        default: {
            if (where.session->needsListing()) {
                where.session->load([](load_outcome) {});
                break;
            }
            where.session->catchUp();
            where.session->verify([&](bool isCaughtUp) {
                if (isCaughtUp) {
                    EXPECT_GE(where.session->view().results().size(), shownBefore(world.now() - 1s)) << where.name << " at step " << step;
                }
            });
        }
        }
        const time_point until = world.now() + std::chrono::milliseconds(random.below(800));
        while (world.now() < until) {
            world.runUntil(std::min(until, world.now() + 20ms));
            for (const auto &each : nodes) {
                const std::size_t count = each->session->view().results().size();
                if (shown.empty() || count > shown.back().second) {
                    shown.emplace_back(world.now(), count);
                }
            }
        }
    }
}

INSTANTIATE_TEST_SUITE_P(seeds, job_session_faults, testing::Range<std::uint64_t>(1, 41));

} // namespace
} // namespace reedtrail
