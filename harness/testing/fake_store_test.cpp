#include "harness/fake_store.h"

#include <gtest/gtest.h>

namespace reedtrail::harness {
namespace {

using namespace std::chrono_literals;

class fake_store_test : public testing::Test
{
protected:
    store_txn_answer write(const std::string &key, const std::string &value, store_lease_id lease = 0)
    {
        store_txn call;
        call.compares.push_back(store_compare::absent(key));
        call.onSuccess.emplace_back(store_put{ key, value, lease });
        call.onFailure.emplace_back(store_range{ key, false, 0 });
        std::optional<store_txn_answer> received;
        client.txn(call, [&](const store_txn_answer &answer) {
            received = answer;
        });
        EXPECT_FALSE(received);
        world.runUntil(world.now() + 5s);
        return received.value();
    }

    virtual_time world;
    fake_store store{ world, random_source(7), {} };
    fake_store_client client = store.client("node-1");
};

TEST_F(fake_store_test, onlyOneCreateWinsAndTheOtherReadsIt)
{
    EXPECT_TRUE(write("a", "1").isSucceeded);
    const store_txn_answer second = write("a", "2");
    EXPECT_FALSE(second.isSucceeded);
    ASSERT_EQ(second.ranges.size(), 1U);
    EXPECT_EQ(second.ranges[0].items.at(0).value, "1");
    EXPECT_EQ(store.count(store_call_kind::Write), 2U);
}

TEST_F(fake_store_test, lostAnswerIsUnknownAndTheWriteIsDone)
{
    store.loseAnswers(1);
    EXPECT_EQ(write("a", "1").error->kind, error_kind::StoreUnknown);
    EXPECT_EQ(store.peek("a")->value, "1");
    EXPECT_FALSE(write("a", "2").error);
}

TEST_F(fake_store_test, storeThatIsDownChangesNothing)
{
    store.setDown(true);
    EXPECT_TRUE(write("a", "1").error.has_value());
    EXPECT_FALSE(store.peek("a"));
    EXPECT_EQ(store.writes(), 0U);
}

TEST_F(fake_store_test, keyGoesWithItsLease)
{
    store_lease_id lease = 0;
    client.grant({ 10 }, [&](const store_lease_answer &answer) {
        lease = answer.lease;
    });
    world.runUntil(world.now() + 1s);
    write("a", "1", lease);
    EXPECT_TRUE(store.peek("a"));
    world.runUntil(world.now() + 10s);
    EXPECT_FALSE(store.peek("a"));
}

TEST_F(fake_store_test, watchReportsFromARevisionUntilItIsDropped)
{
    std::vector<std::string> seen;
    write("a", "1");
    client.watch({ "a", true, 1 },
                 { [&](const store_watch_report &report) {
                      for (const store_watch_event &event : report.events) {
                          seen.push_back(event.item.key + "=" + event.item.value);
                      }
                  },
                   [](const store_watch_end &) {} });
    world.runUntil(world.now() + 1s);
    write("ab", "2");
    store.dropWatchesSilently();
    write("ac", "3");
    EXPECT_EQ(seen, (std::vector<std::string>{ "a=1", "ab=2" }));
    EXPECT_EQ(store.count(store_call_kind::Watch), 1U);
}

TEST_F(fake_store_test, watchOfACompactedRevisionEndsStale)
{
    write("a", "1");
    write("b", "1");
    store.compact();
    std::optional<store_watch_end> ended;
    client.watch({ "a", true, 1 },
                 { [](const store_watch_report &) {},
                   [&](const store_watch_end &end) {
                       ended = end;
                   } });
    world.runUntil(world.now() + 1s);
    ASSERT_TRUE(ended);
    EXPECT_EQ(ended->error.kind, error_kind::Stale);
    EXPECT_EQ(ended->compactRevision, store.revision());
}

} // namespace
} // namespace reedtrail::harness
