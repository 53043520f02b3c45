#include "base/cbor_codec.h"
#include "routing/deadline_heap.h"
#include "routing/open_request_aggregator.h"
#include "routing/prefix_index.h"
#include "routing/request_table.h"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace reedtrail {
namespace {

RC_GTEST_PROP(request_table, behavesLikeAMap, ())
{
    constexpr std::size_t bound = 20;
    request_table table(bound);
    std::map<int, std::uint32_t> expected;
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40));
    for (const int key : steps) {
        const request_id id("r" + std::to_string(key));
        const auto known = expected.find(key);
        RC_ASSERT(table.find(id) == (known == expected.end() ? noIndex : known->second));
        if (known != expected.end()) {
            table.remove(known->second);
            expected.erase(known);
            continue;
        }
        arriving_request request;
        request.id = id;
        const std::uint32_t index = table.add(std::move(request));
        RC_ASSERT((index == noIndex) == (expected.size() >= bound));
        if (index != noIndex) {
            expected[key] = index;
        }
    }
    RC_ASSERT(table.size() == expected.size());
}

RC_GTEST_PROP(deadline_heap, behavesLikeASortedMap, ())
{
    deadline_heap heap;
    std::map<std::uint32_t, time_point> expected;
    const auto steps = *rc::gen::container<std::vector<std::pair<std::uint32_t, int>>>(rc::gen::pair(rc::gen::inRange(0U, 12U), rc::gen::inRange(-3, 20)));
    for (const auto &[request, due] : steps) {
        if (due < 0) {
            heap.remove(request);
            expected.erase(request);
        } else {
            heap.set(request, time_point(duration(due)));
            expected[request] = time_point(duration(due));
        }
        time_point earliest = timeNever;
        for (const auto &[each, at] : expected) {
            earliest = std::min(earliest, at);
        }
        RC_ASSERT(heap.earliest() == earliest);
        RC_ASSERT((heap.earliestRequest() == noIndex ? expected.empty() : expected.at(heap.earliestRequest()) == earliest));
    }
}

TEST(prefix_index, forgetsServersAndKeepsItsBound)
{
    prefix_index index(8);
    index.add(1, 5);
    index.add(1, 6);
    EXPECT_EQ(index.find(1)[0], 6U);
    EXPECT_EQ(index.find(1)[1], 5U);
    index.forget(6);
    EXPECT_EQ(index.find(1)[0], noIndex);
    EXPECT_EQ(index.find(1)[1], 5U);
    index.remove(1, 5);
    EXPECT_EQ(index.find(1)[1], noIndex);
    std::size_t kept = 0;
    for (std::uint64_t prefix = 1; prefix <= 100; ++prefix) {
        index.add(prefix, 1);
    }
    for (std::uint64_t prefix = 1; prefix <= 100; ++prefix) {
        kept += index.find(prefix)[0] == 1 ? 1 : 0;
    }
    EXPECT_LE(kept, 8U);
    EXPECT_GT(kept, 0U);
}

TEST(open_request_aggregator, countsEachGateOnceAndDropsSilentGates)
{
    using namespace std::chrono_literals;
    open_request_aggregator sums({}, node_id("n0"));
    const time_point start(10s);
    sums.onReport(start, { node_id("n1"), 2, { { server_id("s"), 3 } } });
    sums.onReport(start, { node_id("n1"), 1, { { server_id("s"), 9 } } });
    sums.onReport(start + 900ms, { node_id("n2"), 1, { { server_id("s"), 4 } } });
    EXPECT_EQ(sums.total(start + 900ms).open.at(0).open, 7);
    EXPECT_EQ(sums.total(start + 1500ms).open.at(0).open, 4);
    const result<envelope> received = decodeEnvelope(encodeMessage(sums.total(start + 1500ms)));
    ASSERT_TRUE(received);
    EXPECT_EQ(decodeBody<open_total>(*received)->open.at(0).open, 4);
}

} // namespace
} // namespace reedtrail
