#include "fleet/outage_tracker.h"

#include "base/random.h"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <vector>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;

constexpr duration heartbeat = 1200ms;
constexpr duration minOutage = 2 * heartbeat;
constexpr time_point start{ 10s };

TEST(outage_tracker_test, lapsedRegistrationsMayComeBackForTwoSecondsAfterOutage)
{
    outage_tracker outages(heartbeat);
    EXPECT_EQ(outages.lapseGrace(start), 0s);
    outages.recordContact(start, start + 4ms);
    outages.recordFailure();
    outages.recordContact(start + 300ms, start + 304ms);
    EXPECT_EQ(outages.lapseGrace(start + 400ms), 0s) << "a server that is missing after a short interruption has left";
    outages.recordFailure();
    outages.recordContact(start + 5s, start + 5004ms);
    EXPECT_EQ(outages.lapseGrace(start + 5s), 2004ms);
    EXPECT_EQ(outages.lapseGrace(start + 6904ms), 100ms);
    EXPECT_EQ(outages.lapseGrace(start + 7004ms), 0s) << "an entry that is missing two seconds after the store's return is gone";
}

/** Three heartbeats must fail, of which the first may have been due just before the outage. */
TEST(outage_tracker_test, interruptionOfLessThanTwoHeartbeatsMakesNoRegistrationLapse)
{
    outage_tracker outages(heartbeat);
    outages.recordContact(start, start + 4ms);
    outages.recordFailure();
    outages.recordContact(start + minOutage - 10ms, start + minOutage - 5ms);
    EXPECT_EQ(outages.lapseGrace(start + minOutage), 0s);
    EXPECT_FALSE(outages.pendingDoubt());
}

TEST(outage_tracker_test, idleTimeWithoutFailureIsNoOutage)
{
    outage_tracker outages(heartbeat);
    outages.recordContact(start, start + 4ms);
    outages.recordContact(start + 30s, start + 30s + 4ms);
    EXPECT_FALSE(outages.pendingDoubt());
    EXPECT_EQ(outages.lapseGrace(start + 30s), 0s);
}

TEST(outage_tracker_test, witnessWithContactShowsWhenAnOutageHadEnded)
{
    struct row
    {
        std::optional<time_point> witnessed;
        duration grace; ///< Left six seconds after the begin.
    };
    const row rows[] = {
        { start - 20s, 0s }, { start + 500ms, 0s }, { start + 4500ms, 500ms }, { start + 3s, 0s }, { start + 6s, 2s }, { std::nullopt, 2004ms },
    };
    for (const row &each : rows) {
        outage_tracker outages(heartbeat);
        outages.recordContact(start, start + 4ms);
        outages.recordFailure();
        outages.recordContact(start + 6s, start + 6004ms);
        ASSERT_TRUE(outages.pendingDoubt());
        EXPECT_EQ(outages.pendingDoubt()->from, start);
        EXPECT_EQ(outages.pendingDoubt()->until, start + 6004ms);
        outages.resolveDoubt(each.witnessed);
        EXPECT_FALSE(outages.pendingDoubt());
        EXPECT_EQ(outages.lapseGrace(start + 6s), each.grace);
    }
}

TEST(outage_tracker_test, witnessKnowsSinceWhenTheStoreAnswers)
{
    outage_tracker outages(heartbeat);
    EXPECT_FALSE(outages.answersSince(start));
    for (int i = 0; i <= 10; ++i) {
        outages.recordContact(start + i * 500ms, start + i * 500ms + 4ms);
    }
    EXPECT_EQ(outages.answersSince(start + 5s), start + 4ms);
    EXPECT_FALSE(outages.answersSince(start + 5s + minOutage)) << "it may have ended meanwhile";
    outages.recordContact(start + 9s, start + 9004ms);
    outages.recordContact(start + 9500ms, start + 9504ms);
    EXPECT_EQ(outages.answersSince(start + 10s), start + 9004ms) << "four seconds without a call may hide an outage";
}

/**
 * Two nodes call a store that has outages, each with cuts of its own. Cuts are told from outages if the other node had contact, and no outage that can make
 * registrations lapse is denied while they may come back.
 */
TEST(outage_tracker_test, randomCutsAndOutagesAreToldApart)
{
    std::size_t outagesSeen = 0;
    std::size_t cutsDismissed = 0;
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        random_source random(seed);
        const auto randomSpans = [&random] {
            std::vector<outage_tracker::span> spans;
            time_point at = start;
            while (at < start + 60s) {
                at += fromSeconds(random.uniform(3, 20));
                const time_point end = at + fromSeconds(random.uniform(0.2, 9));
                spans.push_back({ at, end });
                at = end;
            }
            return spans;
        };
        const auto isIn = [](const std::vector<outage_tracker::span> &spans, time_point at) {
            return std::ranges::any_of(spans, [at](const outage_tracker::span &each) {
                return each.from <= at && at < each.until;
            });
        };
        const std::vector<outage_tracker::span> storeOutages = randomSpans();
        const std::array<std::vector<outage_tracker::span>, 2> cuts = { randomSpans(), randomSpans() };
        std::array<outage_tracker, 2> nodes = { outage_tracker(heartbeat), outage_tracker(heartbeat) };
        for (time_point now = start; now < start + 60s; now += 100ms) {
            for (std::size_t i = 0; i < 2; ++i) {
                if (isIn(storeOutages, now) || isIn(cuts[i], now)) {
                    nodes[i].recordFailure();
                    continue;
                }
                nodes[i].recordContact(now, now + 4ms);
                const auto doubt = nodes[i].pendingDoubt();
                if (!doubt) {
                    continue;
                }
                nodes[i].resolveDoubt(nodes[1 - i].answersSince(now));
                const bool isTakenForOutage = nodes[i].lapseGrace(now) > 0s;
                const bool wasOutage = std::ranges::any_of(storeOutages, [&](const outage_tracker::span &each) {
                    const bool hasJustEnded = now - each.until < outage_tracker::returnTime - 100ms;
                    return hasJustEnded && std::min(each.until, doubt->until) - std::max(each.from, doubt->from) >= minOutage;
                });
                EXPECT_TRUE(isTakenForOutage || !wasOutage) << "seed " << seed << " at " << toSeconds(now.time_since_epoch());
                outagesSeen += wasOutage ? 1 : 0;
                cutsDismissed += isTakenForOutage ? 0 : 1;
            }
        }
    }
    EXPECT_GT(outagesSeen, 400U);
    EXPECT_GT(cutsDismissed, 400U);
}

} // namespace
} // namespace reedtrail
