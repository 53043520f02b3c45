#include "fleet/duty_holder.h"

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

using lease_type = node_lease<fake_store_client, virtual_time>;
using duty_type = duty_holder<fake_store_client, virtual_time>;

/** A node that competes, and acts whenever it may. */
struct competitor
{
    competitor(virtual_time &world, fake_store &store, const std::string &name)
        : name(name)
        , world(world)
        , client(store.client(name))
    {
        start();
    }

    void start()
    {
        ++incarnation;
        lease = std::make_shared<lease_type>(client, world, node_lease_options{});
        duty = std::make_shared<duty_type>(
            client, world, lease, "orders", name, std::to_string(incarnation), incarnation * 31 + name.back(), duty_holder_options{});
        // As in the programs: a lease that nothing rests on is left to lapse.
        lease->setRenewalCondition([weak = std::weak_ptr(duty)] {
            const auto self = weak.lock();
            return self && self->isHolder();
        });
        duty->start([] {});
    }

    std::string name;
    virtual_time &world;
    fake_store_client client;
    std::uint64_t incarnation = 0;
    std::shared_ptr<lease_type> lease;
    std::shared_ptr<duty_type> duty;
};

/** What the checker notes of each act. */
struct act
{
    time_point at;
    std::string node;
    std::uint64_t token = 0;
};

class duty_holder_test : public testing::Test
{
protected:
    /** Runs for @p span; every node acts each 50 ms if it may. */
    void run(duration span)
    {
        const time_point end = world.now() + span;
        while (world.now() < end) {
            world.runUntil(world.now() + 50ms);
            for (const auto &node : nodes) {
                if (node->duty->mayAct()) {
                    acts.push_back({ world.now(), node->name, node->duty->fencingToken() });
                }
            }
        }
    }
    void addNodes(int count)
    {
        for (int i = 0; i < count; ++i) {
            nodes.push_back(std::make_unique<competitor>(world, store, "node-" + std::to_string(i)));
        }
    }
    competitor *holder()
    {
        for (const auto &node : nodes) {
            if (node->duty->isHolder()) {
                return node.get();
            }
        }
        return nullptr;
    }
    /** Two machines never act within one turn, and tokens never fall. */
    void expectTurns() const
    {
        for (std::size_t i = 1; i < acts.size(); ++i) {
            EXPECT_GE(acts[i].token, acts[i - 1].token);
            if (acts[i].node != acts[i - 1].node) {
                EXPECT_GE(toSeconds(acts[i].at - acts[i - 1].at), toSeconds(duty_holder_options().takeoverInterval)) << acts[i - 1].node << " then " << acts[i].node;
            }
        }
    }

    virtual_time world;
    fake_store store{ world, random_source(3), {} };
    std::vector<std::unique_ptr<competitor>> nodes;
    std::vector<act> acts;
};

TEST_F(duty_holder_test, newLeaseOfTheNodeDoesNotBringALostDutyBack)
{
    addNodes(3);
    run(2s);
    competitor &before = *holder();
    // Its watch goes deaf, its lease lapses unnoticed, and something else at the node asks for a new one.
    store.setCut(before.name, true);
    run(8s);
    ASSERT_NE(holder(), nullptr);
    store.dropWatchesSilently();
    store.setCut(before.name, false);
    before.lease->acquire([](store_lease_id) {});
    run(700ms); // The renewal of the old lease fails meanwhile.
    before.lease->acquire([](store_lease_id) {});
    run(5s);
    expectTurns();
}

TEST_F(duty_holder_test, firstHolderActsAtOnce)
{
    addNodes(3);
    run(2s);
    ASSERT_FALSE(acts.empty());
    expectTurns();
}

TEST_F(duty_holder_test, successorOfALostNodeWaitsOutItsTurn)
{
    addNodes(3);
    run(3s);
    competitor *first = holder();
    ASSERT_NE(first, nullptr);
    store.setCut(first->name, true);
    const std::size_t before = acts.size();
    run(12s);
    EXPECT_GT(acts.size(), before);
    EXPECT_NE(acts.back().node, first->name);
    expectTurns();
}

TEST_F(duty_holder_test, keyTakenAwayFromALivingHolder)
{
    addNodes(3);
    run(3s);
    competitor *first = holder();
    ASSERT_NE(first, nullptr);
    // The holder is cut off and its key goes at once, long before its lease runs out.
    store.setCut(first->name, true);
    store_txn txn;
    txn.onSuccess.push_back(store_delete{ "reedtrail/duty/orders/holder", false });
    store.client("hand").txn(txn, [](const store_txn_answer &) {});
    run(12s);
    expectTurns();
}

TEST_F(duty_holder_test, nextProcessOfTheSameNodeDoesNotWait)
{
    addNodes(1);
    run(3s);
    store.forgetClient("node-0");
    nodes[0]->start();
    const time_point restarted = world.now();
    acts.clear();
    run(2s);
    ASSERT_FALSE(acts.empty());
    EXPECT_LT(toSeconds(acts.front().at - restarted), 1.5);
}

TEST_F(duty_holder_test, nextProcessOfANodeThatNeverActedStillWaits)
{
    addNodes(2);
    run(3s);
    competitor *first = holder();
    competitor *second = nodes[0].get() == first ? nodes[1].get() : nodes[0].get();
    store.setCut(first->name, true);
    while (!second->duty->isHolder() && world.now() < time_point(60s)) {
        run(50ms);
    }
    run(500ms);
    store.forgetClient(second->name);
    second->start();
    run(12s);
    expectTurns();
}

TEST_F(duty_holder_test, successorOfARetiredNodeWaitsOnlyForTheTurn)
{
    addNodes(3);
    run(3s);
    competitor *first = holder();
    ASSERT_NE(first, nullptr);
    bool isAnswered = false;
    first->duty->retire("", [&] {
        isAnswered = true;
    });
    const time_point retiredAt = world.now();
    run(6s);
    EXPECT_TRUE(isAnswered);
    EXPECT_NE(acts.back().node, first->name);
    const auto firstOther = std::ranges::find_if(acts, [&](const act &each) {
        return each.at > retiredAt;
    });
    ASSERT_NE(firstOther, acts.end());
    EXPECT_LT(toSeconds(firstOther->at - retiredAt), 4.5);
    expectTurns();
}

TEST_F(duty_holder_test, successorOfANodeThatLeftWordActsAtOnceAndHasTheWord)
{
    addNodes(3);
    run(3s);
    competitor *first = holder();
    ASSERT_NE(first, nullptr);
    EXPECT_TRUE(first->duty->isOwnSuccessor()) << "nobody acted before";
    const std::uint64_t token = first->duty->fencingToken();
    first->duty->retire("what was done last", [] {});
    run(2s);
    competitor *second = holder();
    ASSERT_NE(second, nullptr);
    ASSERT_NE(second, first);
    EXPECT_TRUE(second->duty->mayAct());
    EXPECT_GT(second->duty->fencingToken(), token);
    EXPECT_FALSE(second->duty->isOwnSuccessor());
    EXPECT_EQ(second->duty->handover(), "what was done last");
    // The word is of that one moment: who follows a holder that is lost waits.
    store.setCut(second->name, true);
    const time_point lostAt = world.now();
    acts.clear();
    run(12s);
    ASSERT_FALSE(acts.empty());
    EXPECT_GE(toSeconds(std::ranges::find_if(acts,
                                             [&](const act &each) {
                                                 return each.node != second->name;
                                             })
                            ->at
                        - lostAt),
              toSeconds(duty_holder_options().takeoverInterval));
    expectTurns();
}

/** Nodes without a lease of their own compete at nearly the same time: one of them has the duty, and keeps it. */
TEST_F(duty_holder_test, aHolderIsNotReplacedByACandidateThatWasSlower)
{
    addNodes(6);
    run(2s);
    for (int round = 0; round < 150; ++round) {
        competitor &before = *holder();
        before.duty->retire("word", [] {});
        std::set<std::string> holders;
        for (int i = 0; i < 200; ++i) {
            run(10ms);
            for (const auto &node : nodes) {
                if (node->duty->isHolder()) {
                    holders.insert(node->name);
                }
            }
        }
        EXPECT_EQ(holders.size(), 1U) << "round " << round;
        store.forgetClient(before.name);
        before.start();
        run(3s);
    }
}

TEST_F(duty_holder_test, turnsHoldUnderRandomFaults)
{
    addNodes(4);
    random_source random(11);
    for (int step = 0; step < 300; ++step) {
        competitor &node = *nodes[random.below(nodes.size())];
        switch (random.below(7)) {
        case 0:
            store.setCut(node.name, random.chance(0.4));
            break;
        case 1:
            store.setDown(random.chance(0.2));
            break;
        case 2:
            store.setAnswerLossChance(random.chance(0.3) ? 0.3 : 0);
            break;
        case 3:
            store.forgetClient(node.name);
            node.start();
            break;
        case 4:
            store.compact();
            break;
        default:
            break;
        }
        run(std::chrono::milliseconds(random.below(2500)));
    }
    expectTurns();
    EXPECT_GT(acts.size(), 100U);
}

class duty_holder_liveness : public duty_holder_test, public testing::WithParamInterface<std::uint64_t>
{
};

/** After any series of faults, restarts and retirements somebody acts again once they are over. */
TEST_P(duty_holder_liveness, somebodyActsOnceAllIsCalm)
{
    addNodes(4);
    random_source random(GetParam());
    for (int round = 0; round < 12; ++round) {
        for (int step = 0; step < 20; ++step) {
            competitor &node = *nodes[random.below(nodes.size())];
            switch (random.below(9)) {
            case 0:
                store.setCut(node.name, random.chance(0.4));
                break;
            case 1:
                store.setDown(random.chance(0.2));
                break;
            case 2:
                store.setAnswerLossChance(random.chance(0.3) ? 0.3 : 0);
                break;
            case 3:
                store.forgetClient(node.name);
                node.start();
                break;
            case 4:
                store.compact();
                break;
            case 5:
                store.setSlow(random.chance(0.3));
                break;
            case 6:
                node.lease->acquire([](store_lease_id) {}); // For a job.
                break;
            case 7:
                if (node.duty->isHolder()) {
                    node.duty->retire(random.chance(0.7) ? "word" : "", [] {});
                    run(std::chrono::milliseconds(random.below(1000)));
                    store.forgetClient(node.name);
                    node.start();
                }
                break;
            default:
                break;
            }
            run(std::chrono::milliseconds(random.below(1200)));
        }
        store.setDown(false);
        store.setSlow(false);
        store.setAnswerLossChance(0);
        for (const auto &each : nodes) {
            store.setCut(each->name, false);
        }
        run(40s); // A watch whose connection has fallen silent is found out within thirty.
        acts.clear();
        run(1s);
        ASSERT_FALSE(acts.empty()) << "round " << round << ": nobody acts though all has been calm for forty seconds";
    }
}

INSTANTIATE_TEST_SUITE_P(seeds, duty_holder_liveness, testing::Range<std::uint64_t>(1, 41));

} // namespace
} // namespace reedtrail
