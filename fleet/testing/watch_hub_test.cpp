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
    EXPECT_EQ(hub.ask("a/", 7, 7).action, hub_decision::kind::Wait) << "the poll in flight starts earlier, so it brings these changes";
    EXPECT_EQ(hub.ask("a/", 4, 7).action, hub_decision::kind::TooOld);
    EXPECT_EQ(hub.ask("b/", 4, 7).action, hub_decision::kind::StartPoll) << "each prefix has its own poll";
    hub.pollSucceeded("a/", 9, true, "changes");
    for (const store_revision after : { 5, 6, 8 }) {
        const hub_decision late = hub.ask("a/", after, 7);
        ASSERT_EQ(late.action, hub_decision::kind::Reply);
        EXPECT_EQ(*late.reply, "changes");
    }
    EXPECT_EQ(hub.ask("a/", 9, 7).action, hub_decision::kind::StartPoll);
}

TEST(watch_hub_test, followersResyncAfterFailedPoll)
{
    watch_hub hub(7);
    hub.ask("a/", 5, 0);
    hub.pollSucceeded("a/", 9, true, "changes");
    hub.ask("a/", 9, 7);
    hub.pollFailed("a/");
    // These followers were not waiting for the poll. The store may have compacted the changes after their revisions.
    EXPECT_EQ(hub.ask("a/", 9, 7).action, hub_decision::kind::Resync);
    EXPECT_EQ(hub.ask("a/", 5, 7).action, hub_decision::kind::Resync);
    EXPECT_EQ(hub.ask("a/", 9, 0).action, hub_decision::kind::StartPoll) << "a follower that has read all keys again may ask from the same revision";
    hub.pollSucceeded("a/", 12, true, "more");
    EXPECT_EQ(hub.ask("a/", 12, hub.generation("a/")).action, hub_decision::kind::StartPoll);
    EXPECT_EQ(hub.ask("a/", 12, watch_hub(50).generation("a/")).action, hub_decision::kind::Resync) << "the follower's last answer came from another hub";
}

/** Load pattern: changes arrive faster than a follower asks. If it paused after each stored reply, it would fall behind; hasMore tells it to ask at once. */
TEST(watch_hub_test, replyTellsWhetherLaterRepliesExist)
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

/** Compares followers that ask at random times with the full history of changes: none may miss a change. */
TEST(watch_hub_test, followersMissNoChange)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        random_source random(seed);
        watch_hub hub(7);
        std::vector<store_revision> changes; // Revisions of all changes so far, in order.
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
        const auto applyBody = [](follower &who, const std::string &body, store_revision reached) {
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
                applyBody(who, body, last);
            } else if (decision.action == hub_decision::kind::TooOld) {
                applyBody(who, bodyAfter(who.after), now);
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
                    applyBody(followers[each], body, now);
                }
                waiting.clear();
            }
        }
        for (follower &who : followers) {
            applyBody(who, bodyAfter(who.after), now);
            EXPECT_EQ(who.seen, std::set<store_revision>(changes.begin(), changes.end())) << "seed " << seed;
        }
    }
}

} // namespace
} // namespace reedtrail
