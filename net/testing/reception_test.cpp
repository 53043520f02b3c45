// Requests that are received at once, in turn or in part, against a model that keeps them in plain lists.

#include "base/random.h"
#include "net/reception.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t budget = 1U << 20U;
constexpr std::size_t tiny = 1000;
constexpr std::size_t large = 300U << 10U;
constexpr std::size_t small = 40U << 10U;

/** A connection that records why it was evicted. */
class test_member : public reception_member
{
public:
    explicit test_member(reception &requests)
        : reception_member(requests.budget())
        , m_requests(requests)
    {
    }
    ~test_member() override
    {
        m_requests.leave(*this);
    }
    void evict(eviction_reason why) override
    {
        reason = why;
        m_requests.leave(*this);
        m_charge.release();
    }
    std::size_t held() const
    {
        return m_charge.bytes();
    }

    std::optional<eviction_reason> reason;

private:
    reception &m_requests;
};

/** A reception with members that hold room from the start. */
struct reception_fixture
{
    test_member &add(std::size_t bytes, reception::clock::time_point at = {})
    {
        members.push_back(std::make_unique<test_member>(requests));
        requests.enter(*members.back(), at);
        isAdmitted = bytes == 0 || requests.reserve(*members.back(), bytes, at);
        return *members.back();
    }

    reception requests{ { .requestBytes = budget, .maximumIncomplete = 50, .stallTime = 500ms } };
    std::vector<std::unique_ptr<test_member>> members;
    bool isAdmitted = false;
};

TEST(reception_test, stalledLargeRequestIsEvictedAfterStallTime)
{
    reception_fixture fixture;
    test_member &first = fixture.add(large);
    fixture.add(large);
    fixture.add(large, reception::clock::time_point(499ms));
    EXPECT_FALSE(fixture.isAdmitted);
    EXPECT_FALSE(first.reason) << "it may still be moving";
    fixture.add(large, reception::clock::time_point(500ms));
    EXPECT_TRUE(fixture.isAdmitted);
    EXPECT_EQ(first.reason, eviction_reason::RoomForOther);
    EXPECT_EQ(first.held(), 0U);
}

TEST(reception_test, bytesNowAndThenAreNoProgress)
{
    reception_fixture fixture;
    test_member &dripping = fixture.add(large);
    test_member &moving = fixture.add(large);
    for (int i = 1; i <= 50; ++i) {
        fixture.requests.receive(dripping, 1, reception::clock::time_point(i * 10ms));
        fixture.requests.receive(moving, reception::progressBytes, reception::clock::time_point(i * 10ms));
    }
    fixture.add(large, reception::clock::time_point(500ms));
    EXPECT_TRUE(fixture.isAdmitted);
    EXPECT_EQ(dripping.reason, eviction_reason::RoomForOther);
    EXPECT_FALSE(moving.reason);
}

TEST(reception_test, smallRequestTakesRoomOfOldestSmallOne)
{
    reception_fixture fixture;
    test_member &firstLarge = fixture.add(large);
    std::vector<test_member *> stalled;
    constexpr std::size_t room = budget / body_budget::smallShare;
    while (stalled.size() < (room - room / body_budget::tinyShare) / small) {
        stalled.push_back(&fixture.add(small));
        ASSERT_TRUE(fixture.isAdmitted);
    }
    fixture.add(small);
    EXPECT_TRUE(fixture.isAdmitted);
    EXPECT_EQ(stalled[0]->reason, eviction_reason::RoomForOther);
    EXPECT_FALSE(stalled[1]->reason);
    EXPECT_FALSE(firstLarge.reason);
    fixture.add(tiny);
    EXPECT_TRUE(fixture.isAdmitted);
    EXPECT_FALSE(stalled[1]->reason) << "the last part is for tiny requests";
}

TEST(reception_test, nothingIsEvictedForRequestThatDoesNotFitAnyhow)
{
    reception_fixture fixture;
    test_member &underWay = fixture.add(2 * large);
    fixture.requests.leave(underWay); // It is complete and keeps its charge.
    test_member &stalled = fixture.add(large / 2);
    fixture.add(2 * large, reception::clock::time_point(10s));
    EXPECT_FALSE(fixture.isAdmitted);
    EXPECT_FALSE(stalled.reason);
}

TEST(reception_test, oneTooManyEvictsLeastRecent)
{
    reception_fixture fixture;
    for (int i = 0; i < 50; ++i) {
        fixture.add(0);
    }
    fixture.requests.receive(*fixture.members[0], reception::progressBytes, {});
    fixture.add(0);
    EXPECT_FALSE(fixture.members[0]->reason);
    EXPECT_EQ(fixture.members[1]->reason, eviction_reason::TooManyIncomplete);
    EXPECT_EQ(fixture.requests.members().size(), 50U);
}

/** The limits hold, small requests are admitted while incomplete ones hold their room, and no large request that makes progress is evicted for another. */
TEST(reception_test, randomRequestsKeepToLimits)
{
    random_source random(5);
    reception_fixture fixture;
    std::map<test_member *, reception::clock::time_point> lastProgress;
    for (int step = 0; step < 20000; ++step) {
        const auto now = reception::clock::time_point(step * 10ms);
        const std::size_t bytes = random.chance(0.5) ? 1 + random.below(body_budget::largestSmallRequest) : 1 + random.below(budget);
        std::vector<test_member *> moving;
        for (const auto &[member, at] : lastProgress) {
            if (now - at < 500ms && member->held() > body_budget::largestSmallRequest) {
                moving.push_back(member);
            }
        }
        test_member &added = fixture.add(bytes, now);
        lastProgress[&added] = now;
        if (bytes <= body_budget::largestSmallRequest) {
            EXPECT_TRUE(fixture.isAdmitted);
        }
        if (random.chance(0.3)) {
            test_member &member = *fixture.members[random.below(fixture.members.size())];
            if (fixture.requests.receive(member, reception::progressBytes, now)) {
                lastProgress[&member] = now;
            }
        }
        for (test_member *each : moving) {
            EXPECT_NE(each->reason, eviction_reason::RoomForOther);
        }
        EXPECT_LE(fixture.requests.members().size(), 50U);
        EXPECT_LE(fixture.requests.budget()->held(), budget + large);
        std::erase_if(fixture.members, [&](const auto &member) {
            const bool isOver = member->reason || random.chance(0.02);
            if (isOver) {
                lastProgress.erase(member.get());
            }
            return isOver;
        });
    }
}

} // namespace
} // namespace reedtrail
