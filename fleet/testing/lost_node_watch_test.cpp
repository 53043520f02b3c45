// Registered nodes that are lost for good, alone and many at once, and nodes that only seem to be.

#include "fleet/lost_node_watch.h"

#include "base/random.h"

#include <gtest/gtest.h>

namespace reedtrail {
namespace {

std::string nameOf(int index)
{
    const std::string number = std::to_string(index);
    return "node-" + std::string(3 - number.size(), '0') + number;
}

/** Nodes that watch one another in rounds, and the list in the store that they all read. */
class watching_fleet
{
public:
    explicit watching_fleet(int count)
    {
        for (int i = 0; i < count; ++i) {
            m_watches.emplace_back(nameOf(i));
            registered[nameOf(i)] = true;
        }
        isThere.assign(static_cast<std::size_t>(count), true);
    }

    /** Lets each node that is there do one round. */
    void playRound()
    {
        for (std::size_t i = 0; i < m_watches.size(); ++i) {
            if (isThere[i]) {
                playRoundOf(i);
            }
        }
        for (std::size_t i = 0; i < m_watches.size(); ++i) {
            if (isThere[i]) {
                registered[nameOf(static_cast<int>(i))] = true; // A living node that finds itself removed registers again.
            }
        }
    }
    std::size_t lostStillRegistered() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(registered, [this](const auto &each) {
            return !isThere[indexOf(each.first)];
        }));
    }
    int removalsOfLiving = 0;
    int pings = 0;
    std::vector<bool> isThere;
    std::set<std::pair<std::size_t, std::size_t>> cuts; ///< Pairs of nodes that don't reach each other; the lower one first.
    std::map<std::string, bool> registered;

private:
    static std::size_t indexOf(const std::string &name)
    {
        return static_cast<std::size_t>(std::stoi(name.substr(5)));
    }
    void playRoundOf(std::size_t index)
    {
        lost_node_watch &watch = m_watches[index];
        watch.setNodes(registered);
        for (auto next = watch.beginRound(); next; next = watch.nextAfterSilence()) {
            ++pings;
            const std::size_t other = indexOf(*next);
            if (isThere[other] && !cuts.contains(std::minmax(index, other))) {
                watch.endRound();
                break;
            }
        }
        for (const std::string &node : watch.lost()) {
            removalsOfLiving += isThere[indexOf(node)] ? 1 : 0;
            registered.erase(node);
            watch.recordRemoval(node);
        }
    }

    std::vector<lost_node_watch> m_watches;
};

TEST(lost_node_watch_test, eachNodeSendsOnePingInRoundWhileAllAreThere)
{
    watching_fleet fleet(300);
    fleet.playRound();
    EXPECT_EQ(fleet.pings, 300);
    EXPECT_EQ(fleet.registered.size(), 300U);
}

/** Guards against lost nodes that stay in the list for good, among whose nodes keepers, hosts and candidates are chosen. */
TEST(lost_node_watch_test, lostNodesLeaveListHoweverManyAreLost)
{
    for (const auto &[count, lost] : { std::pair(15, 1), std::pair(15, 5), std::pair(15, 12), std::pair(15, 13), std::pair(300, 250) }) {
        SCOPED_TRACE(std::to_string(lost) + " of " + std::to_string(count));
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            random_source random(seed);
            watching_fleet fleet(count);
            for (int i = 0; i < lost; ++i) {
                std::size_t index = 0;
                do {
                    index = random.below(static_cast<std::uint64_t>(count));
                } while (!fleet.isThere[index]);
                fleet.isThere[index] = false;
            }
            for (int round = 0; round < lost_node_watch::roundsUntilLost; ++round) {
                fleet.playRound();
            }
            EXPECT_EQ(fleet.lostStillRegistered(), 0U) << seed;
            EXPECT_EQ(fleet.removalsOfLiving, 0) << seed;
        }
    }
}

/** Nodes that stand still or restart for a shorter time than a node needs to count as lost. */
TEST(lost_node_watch_test, nodeThatIsAwayForAFewRoundsStays)
{
    watching_fleet fleet(9);
    for (int i = 0; i < 60; ++i) {
        const std::size_t away = static_cast<std::size_t>(i) % 9;
        fleet.isThere[away] = false;
        for (int round = 1; round < lost_node_watch::roundsUntilLost; ++round) {
            fleet.playRound();
        }
        fleet.isThere[away] = true;
        fleet.playRound();
    }
    EXPECT_EQ(fleet.registered.size(), 9U);
    EXPECT_EQ(fleet.removalsOfLiving, 0);
}

/** A node that no other one reaches takes itself for the lost one. */
TEST(lost_node_watch_test, nodeThatIsCutOffRemovesNoRegistration)
{
    watching_fleet fleet(9);
    for (std::size_t i = 1; i < 9; ++i) {
        fleet.cuts.insert({ 0, i });
    }
    for (int round = 0; round < 3; ++round) {
        fleet.playRound();
    }
    EXPECT_EQ(fleet.registered.size(), 9U);
    lost_node_watch alone("node-000");
    alone.setNodes(fleet.registered);
    for (int round = 0; round < 100; ++round) {
        for (auto next = alone.beginRound(); next; next = alone.nextAfterSilence()) {
        }
        EXPECT_TRUE(alone.lost().empty());
    }
}

/** Two nodes that live and never reach each other: the one is removed by the other ever more rarely, and registers again. */
TEST(lost_node_watch_test, livingNodeIsRemovedEverMoreRarely)
{
    watching_fleet fleet(9);
    fleet.cuts.insert({ 3, 4 });
    for (int round = 0; round < 500; ++round) {
        fleet.playRound();
        EXPECT_EQ(fleet.registered.size(), 9U);
    }
    EXPECT_LE(fleet.removalsOfLiving, 500 / lost_node_watch::maxRoundsUntilLost + 5);
}

} // namespace
} // namespace reedtrail
