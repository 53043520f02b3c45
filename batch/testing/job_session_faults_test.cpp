// Three nodes that share a job, under random faults of the store and of the nodes.

#include "base/random.h"
#include "batch/testing/session_node.h"

#include <gtest/gtest.h>
#include <set>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;
using harness::fake_store;
using harness::virtual_time;
using testing::session_node;

/** Runs three nodes with random faults of the store and of the nodes. The parameter is the seed. */
class job_session_faults : public ::testing::TestWithParam<std::uint64_t>
{
};

/**
 * Guards against a result that is recorded twice, or at different positions for different readers, when appends race with takeovers, lost answers and stale
 * watches. After the faults all items must be recorded once and be visible at all nodes.
 */
TEST_P(job_session_faults, eachItemHasOnePosition)
{
    random_source random(GetParam());
    virtual_time world;
    fake_store store(world, random.fork(), {});
    std::vector<std::unique_ptr<session_node>> nodes;
    nodes.reserve(3);
    for (int i = 0; i < 3; ++i) {
        nodes.push_back(std::make_unique<session_node>(world, store, "node-" + std::to_string(i), 40));
    }
    bool isAccepted = false;
    std::vector<std::string> shown; // The longest list of results that any node has shown.
    for (int step = 0; step < 400; ++step) {
        session_node &target = *nodes[random.below(nodes.size())];
        switch (random.below(14)) {
        case 0:
            store.setCut(target.name, random.chance(0.5));
            break;
        case 1:
            store.setDown(random.chance(0.3));
            break;
        case 2:
            store.setSlow(random.chance(0.3));
            break;
        case 3:
            store.setAnswerLossChance(random.chance(0.5) ? 0.3 : 0);
            break;
        case 4:
            store.compact();
            break;
        case 5:
            store.forgetClient(target.name);
            target.start();
            break;
        case 6:
            store.dropWatchesSilently();
            break;
        case 7:
            if (!isAccepted) {
                target.session->accept({ "host", "/path/", 0 }, "document", [&](accept_outcome outcome) {
                    isAccepted = isAccepted || outcome == accept_outcome::Accepted;
                });
                break;
            }
            [[fallthrough]];
        case 8:
        case 9:
            target.session->load([&, isKnown = isAccepted](load_outcome outcome) {
                EXPECT_FALSE(isKnown && outcome == load_outcome::Absent) << "an accepted job must be found";
            });
            break;
        default:
            target.appendNext(1 + random.below(4));
        }
        world.runUntil(world.now() + std::chrono::milliseconds(random.below(800)));
        for (const auto &reader : nodes) {
            const std::vector<item_result> &results = reader->session->view().results();
            for (std::size_t i = 0; i < results.size(); ++i) {
                if (i < shown.size()) {
                    ASSERT_EQ(results[i].id, shown[i]) << "position " << i << " changed";
                } else {
                    shown.push_back(results[i].id);
                }
            }
        }
    }
    EXPECT_EQ(std::set<std::string>(shown.begin(), shown.end()).size(), shown.size()) << "an item is recorded at two positions";
    // Without faults the job must complete, and all nodes must show all results.
    store.setDown(false);
    store.setSlow(false);
    store.setAnswerLossChance(0);
    for (const auto &each : nodes) {
        store.setCut(each->name, false);
    }
    for (int round = 0; isAccepted && round < 60; ++round) {
        for (const auto &each : nodes) {
            each->session->load([](load_outcome) {});
        }
        world.runUntil(world.now() + 2s);
        for (const auto &each : nodes) {
            each->appendNext(10);
        }
        world.runUntil(world.now() + 1s);
    }
    if (isAccepted) {
        for (const auto &each : nodes) {
            std::multiset<std::string> ids;
            for (const item_result &result : each->session->view().results()) {
                ids.insert(result.id);
            }
            EXPECT_EQ(ids.size(), 40U) << each->name;
            EXPECT_EQ(std::set<std::string>(ids.begin(), ids.end()).size(), ids.size()) << "an item is recorded at two positions";
        }
    }
}

/**
 * Guards against stale reads: results that one node has shown must be visible at every other node after one second, unless that node reports that its view is
 * not caught up.
 */
TEST_P(job_session_faults, caughtUpNodeShowsAllResultsOlderThanOneSecond)
{
    random_source random(GetParam());
    virtual_time world;
    fake_store store(world, random.fork(), {});
    std::vector<std::unique_ptr<session_node>> nodes;
    nodes.reserve(3);
    for (int i = 0; i < 3; ++i) {
        nodes.push_back(std::make_unique<session_node>(world, store, "node-" + std::to_string(i), 200));
    }
    nodes[0]->session->accept({ "host", "/path/", 0 }, "document", [](accept_outcome) {});
    world.runUntil(world.now() + 1s);
    ASSERT_TRUE(nodes[0]->session->isOwner());
    std::vector<std::pair<time_point, std::size_t>> shown; // When any node first showed this many results.
    const auto shownBefore = [&](time_point at) {
        std::size_t mostShown = 0;
        for (const auto &[when, count] : shown) {
            mostShown = when <= at ? count : mostShown;
        }
        return mostShown;
    };
    for (int step = 0; step < 400; ++step) {
        session_node &target = *nodes[random.below(nodes.size())];
        switch (random.below(14)) {
        case 0:
            store.setCut(target.name, random.chance(0.5));
            break;
        case 1:
            store.setSlow(random.chance(0.3));
            break;
        case 2:
            store.compact();
            break;
        case 3:
        case 4:
            store.dropWatchesSilently();
            break;
        case 5:
            target.session->load([](load_outcome) {});
            break;
        case 6:
            if (random.chance(0.1)) {
                target.session->release([] {});
            }
            break;
        case 7:
        case 8:
            target.appendNext(1 + random.below(3));
            break;
        default: {
            if (target.session->needsListing()) {
                target.session->load([](load_outcome) {});
                break;
            }
            target.session->catchUp();
            target.session->verify([&](bool isCaughtUp) {
                if (isCaughtUp) {
                    EXPECT_GE(target.session->view().results().size(), shownBefore(world.now() - 1s)) << target.name << " at step " << step;
                }
            });
        }
        }
        const time_point until = world.now() + std::chrono::milliseconds(random.below(800));
        while (world.now() < until) {
            world.runUntil(std::min(until, world.now() + 20ms));
            for (const auto &each : nodes) {
                const std::size_t count = each->session->view().results().size();
                if (shown.empty() || count > shown.back().second) {
                    shown.emplace_back(world.now(), count);
                }
            }
        }
    }
}

INSTANTIATE_TEST_SUITE_P(seeds, job_session_faults, ::testing::Range<std::uint64_t>(1, 41));

} // namespace
} // namespace reedtrail
