#include "fleet/crash_table.h"

#include "base/random.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;

request_identity identityOf(std::string_view body, std::string_view target = "/p/1")
{
    return identify(outlineOf("POST", "h", target, body), body);
}

} // namespace

TEST(request_identity, requestsOfOneIdentity)
{
    const struct
    {
        request_identity left;
        request_identity right;
        bool isSame;
    } cases[] = {
        { identityOf("abc"), identityOf("abc"), true },
        { identityOf(""), identityOf(""), true },
        { identityOf("prefix and one end"), identityOf("prefix and two ends"), false },
        { identityOf("prefix"), identityOf("prefix and more"), false },
        { identityOf("a"), identityOf("b"), false },
        { identityOf("abc", "/p/1"), identityOf("abc", "/p/1?q=2"), false },
        { identityOf("abc", "/p/1"), identityOf("abc", "/p/2"), false },
        { identify(outlineOf("PUT", "h", "/p/1", "abc"), "abc"), identityOf("abc"), false },
        { identify(outlineOf("POST", "g", "/p/1", "abc"), "abc"), identityOf("abc"), false },
    };
    for (const auto &each : cases) {
        EXPECT_EQ(each.left == each.right, each.isSame) << each.left.text() << " " << each.right.text();
        EXPECT_EQ(each.left.digest == each.right.digest, each.isSame);
    }
}

TEST(crash_table, rowsOfOneRequest)
{
    crash_table table;
    const time_point now(1h);
    const request_identity request = identityOf("crash");
    EXPECT_FALSE(table.mayContain(request.outline));
    EXPECT_EQ(table.stateHash(), 0U);
    EXPECT_TRUE(table.recordEnd(now, request, 11));
    EXPECT_FALSE(table.recordEnd(now, request, 11)) << "the same server instance ends once";
    EXPECT_TRUE(table.mayContain(request.outline));
    EXPECT_EQ(table.find(identityOf("other")), nullptr);
    EXPECT_EQ(table.stateHash(), 0U) << "one end concerns the keepers only";
    EXPECT_TRUE(table.recordEnd(now, request, 12));
    EXPECT_NE(table.stateHash(), 0U);
    EXPECT_FALSE(table.find(request)->isCrashing());
    EXPECT_TRUE(table.recordEnd(now, request, 13));
    EXPECT_TRUE(table.find(request)->isCrashing());
    EXPECT_TRUE(table.recordSurvival(now, request));
    EXPECT_EQ(table.find(request), nullptr);
    EXPECT_FALSE(table.recordSurvival(now, request));
    EXPECT_EQ(table.sharedRecords(now).size(), 1U) << "the others still have to learn that it is no suspect";
    EXPECT_EQ(table.expire(now + 2h), std::vector{ request.digest });
    EXPECT_FALSE(table.mayContain(request.outline));
}

/** What belongs to an earlier era does not come back with a node that has not heard of the survival. */
TEST(crash_table, recordOfEarlierEraIsVoid)
{
    crash_table first;
    crash_table second;
    const time_point now(1h);
    const request_identity request = identityOf("crash");
    for (std::uint64_t instance = 1; instance <= 3; ++instance) {
        first.recordEnd(now, request, instance);
    }
    second.merge(now, first.recordOf(now, request.digest));
    second.recordSurvival(now, request);
    EXPECT_FALSE(second.merge(now, first.recordOf(now, request.digest)));
    EXPECT_EQ(second.find(request), nullptr);
    EXPECT_TRUE(first.merge(now, second.recordOf(now, request.digest)));
    EXPECT_EQ(first.find(request), nullptr);
    EXPECT_EQ(first.stateHash(), second.stateHash());
}

TEST(crash_table, randomMergesAgreeInAnyOrder)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        random_source random(seed);
        const time_point now(1h);
        std::vector<crash_table> tables(4);
        for (int step = 0; step < 60; ++step) {
            crash_table &table = tables[random.below(tables.size())];
            const request_identity request = identityOf("r" + std::to_string(random.below(3)));
            switch (random.below(5)) {
            case 0:
                table.recordSurvival(now, request);
                break;
            case 1:
                table.recordRetry(now, request.digest, random.chance(0.5));
                break;
            case 2:
                table.merge(now, tables[random.below(tables.size())].recordOf(now, request.digest));
                break;
            default:
                table.recordEnd(now, request, random.below(8));
            }
        }
        // Everybody hears from everybody, twice, in another order at each table.
        for (int round = 0; round < 2; ++round) {
            for (std::size_t to = 0; to < tables.size(); ++to) {
                for (std::size_t step = 0; step < tables.size(); ++step) {
                    for (const char *name : { "r0", "r1", "r2" }) {
                        tables[to].merge(now, tables[(to + step * 3) % tables.size()].recordOf(now, identityOf(name).digest));
                    }
                }
            }
        }
        for (const crash_table &table : tables) {
            EXPECT_EQ(table.stateHash(), tables.front().stateHash()) << "seed " << seed;
        }
    }
}

TEST(crash_table, manyDifferentRequestsPushOutNoTrueEntry)
{
    crash_table table({ .maxRows = 100 });
    const time_point now(1h);
    const request_identity crashing = identityOf("crash");
    for (std::uint64_t instance = 1; instance <= 3; ++instance) {
        table.recordEnd(now, crashing, instance);
    }
    for (int i = 0; i < 1'000'000; ++i) {
        table.recordEnd(now + duration(i), identityOf(std::to_string(i)), 7);
    }
    EXPECT_LE(table.size(), 100U);
    ASSERT_NE(table.find(crashing), nullptr);
    EXPECT_TRUE(table.find(crashing)->isCrashing());
}

} // namespace reedtrail
