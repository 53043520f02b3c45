#include "fleet/watch_hub.h"

#include "base/random.h"

#include <gtest/gtest.h>
#include <set>
#include <sstream>

namespace reedtrail {
namespace {

TEST(watch_hub_test, onePollServesAllFollowers)
{
    watch_hub hub(7);
    EXPECT_EQ(hub.ask("a/", 5, 7).action, hub_decision::kind::StartPoll);
    EXPECT_EQ(hub.ask("a/", 5, 7).action, hub_decision::kind::Wait);
    EXPECT_EQ(hub.ask("a/", 7, 7).action, hub_decision::kind::Wait) << "its changes are among those that the poll will bring";
    EXPECT_EQ(hub.ask("a/", 4, 7).action, hub_decision::kind::TooOld);
    EXPECT_EQ(hub.ask("b/", 4, 7).action, hub_decision::kind::StartPoll) << "prefixes are apart";
    hub.pollSucceeded("a/", 9, true, "changes");
    for (const store_revision after : { 5, 6, 8 }) {
        const hub_decision late = hub.ask("a/", after, 7);
        ASSERT_EQ(late.action, hub_decision::kind::Reply);
        EXPECT_EQ(*late.reply, "changes");
    }
    EXPECT_EQ(hub.ask("a/", 9, 7).action, hub_decision::kind::StartPoll);
}

TEST(watch_hub_test, afterAFailedPollFollowersReadEverythingAgain)
{
    watch_hub hub(7);
    hub.ask("a/", 5, 0);
    hub.pollSucceeded("a/", 9, true, "changes");
    hub.ask("a/", 9, 7);
    hub.pollFailed("a/");
    // Who was not waiting just then asks on from where it stands: the store may have forgotten what came after that.
    EXPECT_EQ(hub.ask("a/", 9, 7).action, hub_decision::kind::Resync);
    EXPECT_EQ(hub.ask("a/", 5, 7).action, hub_decision::kind::Resync);
    EXPECT_EQ(hub.ask("a/", 9, 0).action, hub_decision::kind::StartPoll) << "who has read everything just now may ask from the same revision";
    hub.pollSucceeded("a/", 12, true, "more");
    EXPECT_EQ(hub.ask("a/", 12, hub.generation("a/")).action, hub_decision::kind::StartPoll);
    EXPECT_EQ(hub.ask("a/", 12, watch_hub(50).generation("a/")).action, hub_decision::kind::Resync) << "a follower of another hub";
}

/** Load pattern: changes come faster than a follower asks. It must not fall behind by a pause for each reply. */
TEST(watch_hub_test, aFollowerIsToldThatMoreIsThere)
{
    watch_hub hub(7);
    for (store_revision after = 5; after < 9; ++after) {
        ASSERT_EQ(hub.ask("a/", after, 0).action, hub_decision::kind::StartPoll);
        hub.pollSucceeded("a/", after + 1, true, "change " + std::to_string(after + 1));
    }
    for (store_revision after = 5; after < 9; ++after) {
        const hub_decision decision = hub.ask("a/", after, 7);
        ASSERT_EQ(decision.action, hub_decision::kind::Reply);
        EXPECT_EQ(decision.hasMore, after < 8);
    }
}

/** Followers with their own pauses against a log of changes: nobody misses one. */
TEST(watch_hub_test, nobodyMissesAChange)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        random_source random(seed);
        watch_hub hub(7);
        std::vector<store_revision> changes; // Revisions at which something changed.
        store_revision now = 1;
        struct follower
        {
            store_revision after = 1;
            std::set<store_revision> seen;
        };
        std::vector<follower> followers(5);
        std::optional<store_revision> polled;
        const auto bodyAfter = [&](store_revision after) {
            std::ostringstream body;
            for (const store_revision change : changes) {
                if (change > after) {
                    body << change << ' ';
                }
            }
            return body.str();
        };
        const auto take = [](follower &who, const std::string &body, store_revision reached) {
            std::istringstream words(body);
            for (store_revision change = 0; words >> change;) {
                if (change > who.after) {
                    who.seen.insert(change);
                }
            }
            who.after = std::max(who.after, reached);
        };
        std::vector<std::size_t> waiting;
        for (int step = 0; step < 500; ++step) {
            now += random.below(3);
            if (random.chance(0.4)) {
                changes.push_back(++now);
            }
            const std::size_t index = random.below(followers.size());
            follower &who = followers[index];
            const hub_decision decision = hub.ask("p", who.after, 7);
            if (decision.action == hub_decision::kind::Reply) {
                const std::string body = *decision.reply;
                std::istringstream words(body);
                store_revision last = who.after;
                for (store_revision change = 0; words >> change;) {
                    last = std::max(last, change);
                }
                take(who, body, last);
            } else if (decision.action == hub_decision::kind::TooOld) {
                take(who, bodyAfter(who.after), now);
            } else {
                if (decision.action == hub_decision::kind::StartPoll) {
                    polled = who.after;
                }
                waiting.push_back(index);
            }
            const std::string body = polled ? bodyAfter(*polled) : "";
            if (!body.empty()) {
                hub.pollSucceeded("p", now, true, body);
                polled.reset();
                for (const std::size_t each : waiting) {
                    take(followers[each], body, now);
                }
                waiting.clear();
            }
        }
        for (follower &who : followers) {
            take(who, bodyAfter(who.after), now);
            EXPECT_EQ(who.seen, std::set<store_revision>(changes.begin(), changes.end())) << "seed " << seed;
        }
    }
}

} // namespace
} // namespace reedtrail
