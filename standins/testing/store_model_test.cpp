#include "standins/store_model.h"

#include "base/random.h"

#include <gtest/gtest.h>

namespace reedtrail {
namespace {

using json = nlohmann::json;

json put(const std::string &key, const std::string &value, std::int64_t lease = 0)
{
    return { { "key", base64Encoded(key) }, { "value", base64Encoded(value) }, { "lease", std::to_string(lease) } };
}

json compareTo(const std::string &key, const char *target, const char *field, const json &value, const char *comparison = "EQUAL")
{
    return { { "key", base64Encoded(key) }, { "target", target }, { field, value }, { "result", comparison } };
}

bool succeeds(store_model &model, const json &condition)
{
    return model.transaction({ { "compare", json::array({ condition }) } }).body["succeeded"];
}

std::string valueOf(store_model &model, const std::string &key)
{
    const json kvs = model.range({ { "key", base64Encoded(key) } }).body["kvs"];
    return kvs.empty() ? "(none)" : base64Decoded(kvs[0]["value"].get<std::string>());
}

// Guards against keys and values that change in the base64 encoding, for all remainders of the length modulo 3.
TEST(store_model, base64RoundTripPreservesBytes)
{
    EXPECT_EQ(base64Encoded("reedtrail"), "cmVlZHRyYWls");
    random_source random(3);
    for (std::size_t size = 0; size < 50; ++size) {
        std::string bytes(size, ' ');
        for (char &byte : bytes) {
            byte = static_cast<char>(random.next());
        }
        EXPECT_EQ(base64Decoded(base64Encoded(bytes)), bytes);
    }
}

// Guards against transaction conditions that evaluate wrongly for a target, a comparison, a number format or an absent key.
TEST(store_model, evaluatesConditionsOnEachTarget)
{
    store_model model;
    model.put(put("a", "one"));
    model.put(put("a", "two"));
    struct comparison_case
    {
        const char *target;
        const char *field;
        json value;
        const char *comparison;
        bool holds;
    };
    const std::vector<comparison_case> cases = {
        { "VERSION", "version", "2", "EQUAL", true },
        { "VERSION", "version", 2, "EQUAL", true },
        { "VERSION", "version", "3", "LESS", true },
        { "VERSION", "version", "2", "GREATER", false },
        { "VERSION", "version", "1", "NOT_EQUAL", true },
        { "CREATE", "create_revision", "2", "EQUAL", true },
        { "MOD", "mod_revision", "3", "EQUAL", true },
        { "MOD", "mod_revision", "2", "EQUAL", false },
        { "VALUE", "value", base64Encoded("two"), "EQUAL", true },
        { "VALUE", "value", base64Encoded("one"), "EQUAL", false },
    };
    for (const comparison_case &each : cases) {
        EXPECT_EQ(succeeds(model, compareTo("a", each.target, each.field, each.value, each.comparison)), each.holds) << each.target << " " << each.comparison;
    }
    EXPECT_TRUE(succeeds(model, compareTo("absent", "VERSION", "version", "0")));
    EXPECT_TRUE(succeeds(model, compareTo("absent", "CREATE", "create_revision", "0")));
}

// Guards against a transaction that executes both branches, or whose writes get different revisions.
TEST(store_model, transactionAppliesOneBranchInOneRevision)
{
    store_model model;
    const std::uint64_t before = model.revision();
    const json answer = model
                            .transaction({ { "compare", json::array({ compareTo("a", "VERSION", "version", "0") }) },
                                           { "success", json::array({ { { "request_put", put("a", "1") } }, { { "request_put", put("b", "2") } } }) },
                                           { "failure", json::array({ { { "request_range", { { "key", base64Encoded("a") } } } } }) } })
                            .body;
    EXPECT_TRUE(answer["succeeded"].get<bool>());
    EXPECT_EQ(answer["responses"].size(), 2U);
    EXPECT_EQ(model.revision(), before + 1);
    const json all = model.range({ { "key", base64Encoded("a") }, { "range_end", base64Encoded("c") } }).body;
    EXPECT_EQ(all["count"], "2");
    EXPECT_EQ(all["kvs"][0]["mod_revision"], all["kvs"][1]["mod_revision"]);
}

// Guards against keys that outlive their lease, deletions that a watch does not report, and an expired lease that can be used again.
TEST(store_model, expiredLeaseDeletesKeysAndNotifiesWatch)
{
    store_model model;
    const time_point start{};
    model.grantLease({ { "ID", "7" }, { "TTL", "3" } }, start);
    model.put(put("owner", "a1", 7));
    const std::uint64_t watch = model.watch({ { "create_request", { { "key", base64Encoded("owner") } } } });
    EXPECT_TRUE(model.takeWatchBatches().front().result.value("created", false));
    model.keepLeaseAlive({ { "ID", "7" } }, start + std::chrono::seconds(2));
    EXPECT_EQ(model.expireLeases(start + std::chrono::seconds(4)), start + std::chrono::seconds(5));
    EXPECT_EQ(valueOf(model, "owner"), "a1");
    model.expireLeases(start + std::chrono::seconds(5));
    EXPECT_EQ(valueOf(model, "owner"), "(none)");
    const std::vector<watch_batch> batches = model.takeWatchBatches();
    ASSERT_EQ(batches.size(), 1U);
    EXPECT_EQ(batches[0].watch, watch);
    EXPECT_EQ(batches[0].result["events"][0]["type"], "DELETE");
    EXPECT_FALSE(model.keepLeaseAlive({ { "ID", "7" } }, start).body["result"].contains("TTL"));
    EXPECT_EQ(model.put(put("owner", "a2", 7)).status, 404);
}

// Guards against a watch that misses events after its start revision, or that starts at a compacted revision as if nothing were missing.
TEST(store_model, watchReplaysHistoryOrIsCancelledAfterCompaction)
{
    store_model model;
    model.put(put("a", "1"));
    model.put(put("a", "2"));
    model.put(put("b", "3"));
    model.watch({ { "create_request", { { "key", base64Encoded("a") }, { "start_revision", "2" } } } });
    std::vector<watch_batch> batches = model.takeWatchBatches();
    ASSERT_EQ(batches.size(), 2U);
    EXPECT_EQ(batches[1].result["events"].size(), 2U);
    model.compact({ { "revision", "3" } });
    model.watch({ { "create_request", { { "key", base64Encoded("a") }, { "start_revision", "2" } } } });
    batches = model.takeWatchBatches();
    ASSERT_EQ(batches.size(), 2U);
    EXPECT_TRUE(batches[1].result.value("canceled", false));
    EXPECT_EQ(batches[1].result["compact_revision"], "3");
}

} // namespace
} // namespace reedtrail
