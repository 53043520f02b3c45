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

/** A node with a lease and a candidate for the duty; start() begins its next process. */
struct competitor
{
    competitor(virtual_time &virtualTime, fake_store &store, const std::string &name)
        : name(name)
        , virtualTime(virtualTime)
        , client(store.client(name))
    {
        start();
    }

    void start()
    {
        ++incarnation;
        lease = std::make_shared<lease_type>(client, virtualTime, node_lease_options{});
        duty = std::make_shared<duty_type>(
            client, virtualTime, lease, "orders", name, std::to_string(incarnation), incarnation * 31 + name.back(), duty_holder_options{});
        // As in the programs, a lease that no duty needs is left to lapse.
        lease->setRenewalCondition([weak = std::weak_ptr(duty)] {
            const auto self = weak.lock();
            return self && self->isHolder();
        });
        duty->start([] {});
    }

    std::string name;
    virtual_time &virtualTime;
    fake_store_client client;
    std::uint64_t incarnation = 0;
    std::shared_ptr<lease_type> lease;
    std::shared_ptr<duty_type> duty;
};

/** An act of a holder, recorded for the checks. */
struct act
{
    time_point at;
    std::string node;
    std::uint64_t token = 0;
};

class duty_holder_test : public testing::Test
{
protected:
    /** Runs for @p span; each node that may act does so every 50 ms. */
    void run(duration span)
    {
        const time_point end = virtualTime.now() + span;
        while (virtualTime.now() < end) {
            virtualTime.runUntil(virtualTime.now() + 50ms);
            for (const auto &node : nodes) {
                if (node->duty->mayAct()) {
                    acts.push_back({ virtualTime.now(), node->name, node->duty->fencingToken() });
                }
            }
        }
    }
    void addNodes(int count)
    {
        for (int i = 0; i < count; ++i) {
            nodes.push_back(std::make_unique<competitor>(virtualTime, store, "node-" + std::to_string(i)));
        }
    }
    /** Returns a node that takes itself for the holder, or null. */
    competitor *holder()
    {
        for (const auto &node : nodes) {
            if (node->duty->isHolder()) {
                return node.get();
            }
        }
        return nullptr;
    }
    /** Checks that acts of two machines are at least a takeover interval apart, and that fencing tokens never decrease. */
    void expectTurns() const
    {
        for (std::size_t i = 1; i < acts.size(); ++i) {
            EXPECT_GE(acts[i].token, acts[i - 1].token);
            if (acts[i].node != acts[i - 1].node) {
                EXPECT_GE(toSeconds(acts[i].at - acts[i - 1].at), toSeconds(duty_holder_options().takeoverInterval))
                    << acts[i - 1].node << " then " << acts[i].node;
            }
        }
    }

    virtual_time virtualTime;
    fake_store store{ virtualTime, random_source(3), {} };
    std::vector<std::unique_ptr<competitor>> nodes;
    std::vector<act> acts;
};

/**
 * A holder whose watch has silently broken does not learn that its lease lapsed and its key is gone. When another user of the node acquires a new lease, the
 * holder must not take it for the one that its key was attached to, and act again beside its successor.
 */
TEST_F(duty_holder_test, newLeaseDoesNotReviveLostDuty)
{
    addNodes(3);
    run(2s);
    competitor &before = *holder();
    store.setCut(before.name, true);
    run(8s);
    ASSERT_NE(holder(), nullptr);
    store.dropWatchesSilently();
    store.setCut(before.name, false);
    before.lease->acquire([](store_lease_id) {});
    run(700ms); // Meanwhile the renewal of the old lease fails.
    before.lease->acquire([](store_lease_id) {});
    run(5s);
    expectTurns();
}

TEST_F(duty_holder_test, firstHolderActsWithoutWait)
{
    addNodes(3);
    run(2s);
    ASSERT_FALSE(acts.empty());
    expectTurns();
}

TEST_F(duty_holder_test, successorOfPartitionedHolderWaitsTakeoverInterval)
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

/** The holder's key is deleted while its node is cut off from the store. The node cannot see that, and its lease is still valid for a while. */
TEST_F(duty_holder_test, deletedKeyOfRunningHolderKeepsTakeoverInterval)
{
    addNodes(3);
    run(3s);
    competitor *first = holder();
    ASSERT_NE(first, nullptr);
    // The key is deleted long before the lease expires.
    store.setCut(first->name, true);
    store_txn txn;
    txn.onSuccess.push_back(store_delete{ "reedtrail/duty/orders/holder", false });
    store.client("operator").txn(txn, [](const store_txn_answer &) {});
    run(12s);
    expectTurns();
}

TEST_F(duty_holder_test, restartedHolderActsWithoutWait)
{
    addNodes(1);
    run(3s);
    store.forgetClient("node-0");
    nodes[0]->start();
    const time_point restarted = virtualTime.now();
    acts.clear();
    run(2s);
    ASSERT_FALSE(acts.empty());
    EXPECT_LT(toSeconds(acts.front().at - restarted), 1.5);
}

/** A node gains the duty and restarts before the end of its takeover wait. Its next process must not treat the node as the machine that acted last. */
TEST_F(duty_holder_test, restartDuringTakeoverWaitStillWaits)
{
    addNodes(2);
    run(3s);
    competitor *first = holder();
    competitor *second = nodes[0].get() == first ? nodes[1].get() : nodes[0].get();
    store.setCut(first->name, true);
    while (!second->duty->isHolder() && virtualTime.now() < time_point(60s)) {
        run(50ms);
    }
    run(500ms);
    store.forgetClient(second->name);
    second->start();
    run(12s);
    expectTurns();
}

TEST_F(duty_holder_test, successorOfRetiredHolderWaitsOnlyTakeoverInterval)
{
    addNodes(3);
    run(3s);
    competitor *first = holder();
    ASSERT_NE(first, nullptr);
    bool isAnswered = false;
    first->duty->retire("", [&] {
        isAnswered = true;
    });
    const time_point retiredAt = virtualTime.now();
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

TEST_F(duty_holder_test, handoverLetsSuccessorActWithoutWait)
{
    addNodes(3);
    run(3s);
    competitor *first = holder();
    ASSERT_NE(first, nullptr);
    EXPECT_TRUE(first->duty->isOwnSuccessor()) << "no machine has acted before";
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
    // A handover serves one takeover only: the successor of a failed holder waits again.
    store.setCut(second->name, true);
    const time_point lostAt = virtualTime.now();
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

/**
 * When a holder resigns, the other nodes have no lease yet and claim the duty at nearly the same time. A candidate whose lease is granted late must not replace
 * the node that has claimed the duty meanwhile.
 */
TEST_F(duty_holder_test, slowCandidateDoesNotReplaceHolder)
{
    addNodes(6);
    run(2s);
    for (int round = 0; round < 150; ++round) {
        competitor &before = *holder();
        before.duty->retire("handover", [] {});
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

TEST_F(duty_holder_test, takeoverIntervalHoldsUnderRandomFaults)
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

/** After a random series of faults, restarts and resignations some node must act again within 40 s of the last fault. */
TEST_P(duty_holder_liveness, someNodeActsAfterFaultsEnd)
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
                node.lease->acquire([](store_lease_id) {}); // As a batch job does.
                break;
            case 7:
                if (node.duty->isHolder()) {
                    node.duty->retire(random.chance(0.7) ? "handover" : "", [] {});
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
        run(40s); // A half-open watch is detected within 30 s.
        acts.clear();
        run(1s);
        ASSERT_FALSE(acts.empty()) << "round " << round << ": no node acts 40 s after the last fault";
    }
}

INSTANTIATE_TEST_SUITE_P(seeds, duty_holder_liveness, testing::Range<std::uint64_t>(1, 41));

} // namespace
} // namespace reedtrail
