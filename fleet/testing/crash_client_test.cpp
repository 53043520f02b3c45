// Requests that crash servers, at many nodes, in virtual time.

#include "fleet/testing/crash_simulation.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <gtest/gtest.h>
#include <map>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;
using testing::crash_counts;
using testing::crash_form;
using testing::crash_play;
using testing::crash_simulation;

constexpr int allowedRetries = 3; // Of a request that has crashed three servers, over all nodes.
/** Returns how many seeds to play: 40, or what the environment says for runs by hand. */
std::uint64_t seedCount()
{
    const char *text = std::getenv("REEDTRAIL_SEEDS");
    return text == nullptr ? 40 : std::strtoull(text, nullptr, 10);
}

crash_counts play(std::uint64_t seed, const crash_play &what)
{
    return crash_simulation(seed, what).run(90s);
}

/** Returns the sum of a count over all seeds. */
template<class Count>
int sumOver(const crash_play &what, Count count)
{
    int sum = 0;
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        sum += count(play(seed, what));
    }
    return sum;
}

/** Peers that never answer. */
struct silent_peers
{
    void send(const std::string &, const crash_message &, const std::function<void(peer_ask_end, const crash_reply &)> &)
    {
    }
};

/** Returns how many nodes remove a crashing request from the store that nobody asked them about for longer than its lifetime. */
int countForgetting(std::uint64_t instances)
{
    harness::virtual_time world;
    silent_peers peers;
    std::map<std::string, store_peer> nodes;
    for (const char *name : { "n-0", "n-1", "n-2" }) {
        nodes[name].zone = std::string("zone of ") + name;
    }
    int forgotten = 0;
    std::vector<std::shared_ptr<crash_client<silent_peers, harness::virtual_time>>> clients;
    crash_record record = crash_table().recordOf({}, 0);
    record.digest = 7;
    record.isShared = true;
    for (std::uint64_t instance = 1; instance <= instances; ++instance) {
        record.ends.push_back(instance);
    }
    for (const auto &[name, node] : nodes) {
        crash_client_actions actions;
        actions.persist = [](const crash_record &) {};
        actions.forget = [&forgotten](std::uint64_t) {
            ++forgotten;
        };
        actions.onChange = [](const crash_record &) {};
        clients.push_back(std::make_shared<crash_client<silent_peers, harness::virtual_time>>(peers, world, name, actions));
        clients.back()->setNodes(nodes);
        clients.back()->mergeStored(record);
    }
    world.runUntil(time_point(2h));
    for (const auto &each : clients) {
        each->expire();
    }
    return forgotten;
}

} // namespace

/** The second keeper is not asked while the first one answers, so it can't know that the request still comes. */
TEST(crash_client, secondKeeperRemovesRequestThatStillComes)
{
    EXPECT_EQ(countForgetting(3), 1);
}

TEST(crash_client, allNodesTogetherSendCrashingRequestThreeTimesMore)
{
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        for (const int crashing : { 1, 2, 5 }) {
            for (const bool hasFaults : { false, true }) {
                const crash_counts counts = play(seed, { crash_form::Shared, crashing, hasFaults, seed % 2 == 0, {} });
                EXPECT_LE(counts.largestRetries, allowedRetries) << "seed " << seed << ", " << crashing << " crashing, faults " << hasFaults;
            }
        }
    }
}

TEST(crash_client, nodesThatCountEachByItselfSendCrashingRequestOften)
{
    for (const crash_form form : { crash_form::EachByItself, crash_form::Forgotten }) {
        EXPECT_GT(play(1, { form, 1, false, false, {} }).largestRetries, allowedRetries);
    }
}

TEST(crash_client, nothingIsSentWhileNoServerEnds)
{
    const crash_counts counts = play(1, { crash_form::Shared, 0, true, false, {} });
    EXPECT_EQ(counts.messages, 0);
    EXPECT_EQ(counts.persists, 0);
    EXPECT_GT(counts.innocent, 1000);
}

TEST(crash_client, noInnocentRequestIsRefusedForLossOfManyServers)
{
    const int refused = sumOver({ crash_form::Shared, 0, false, true, {} }, [](const crash_counts &counts) {
        return counts.innocentRefused;
    });
    EXPECT_EQ(refused, 0);
}

/** Guards against requests that crash servers without closing their connections, beside faults of nodes and losses of servers. */
TEST(crash_client, allNodesTogetherSendRequestThreeTimesMoreUnderWhichServersStopAnswering)
{
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        for (const int crashing : { 1, 2, 5 }) {
            for (const bool hasFaults : { false, true }) {
                crash_play what{ crash_form::Shared, crashing, hasFaults, seed % 2 == 0, {} };
                what.isDark = true;
                EXPECT_LE(play(seed, what).largestRetries, allowedRetries) << "seed " << seed << ", " << crashing << " crashing, faults " << hasFaults;
            }
        }
    }
}

/** Guards against requests that reach servers anew after the nodes that keep them, and others, were lost for good. */
TEST(crash_client, crashingRequestIsSentThreeTimesMoreAfterItsKeepersWereLost)
{
    for (const bool isDark : { false, true }) {
        for (const int lost : { 2, 4, 6, 7 }) {
            for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
                crash_play what{ crash_form::Shared, 1, false, false, {} };
                what.isDark = isDark;
                what.lostNodes = lost;
                EXPECT_LE(play(seed, what).largestRetries, allowedRetries) << "seed " << seed << ", " << lost << " nodes lost, dark " << isDark;
            }
        }
    }
}

/** Guards against innocent callers that are refused as servers stop answering in numbers, and hundreds of attempts run into their time limit. */
TEST(crash_client, noInnocentRequestIsRefusedWhileManyServersStopAnswering)
{
    for (const double share : { 0.15, 0.3, 0.5, 0.7 }) {
        crash_play what{ crash_form::Shared, 0, false, true, {} };
        what.isDark = true;
        what.lossShare = share;
        int refused = 0;
        int sent = 0;
        for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
            const crash_counts counts = play(seed, what);
            refused += counts.innocentRefused;
            sent += counts.innocent;
        }
        EXPECT_EQ(refused, 0) << share;
        std::printf("%.2f of the servers: %d of %d innocent requests refused\n", share, refused, sent);
    }
}

TEST(crash_client, othersAreServedMoreWhileRequestCrashesServers)
{
    for (const int crashing : { 1, 2, 5 }) {
        for (const bool hasLosses : { false, true }) {
            std::map<crash_form, double> served;
            std::map<crash_form, double> ends;
            for (const crash_form form : { crash_form::Forgotten, crash_form::EachByItself, crash_form::Shared }) {
                crash_counts sum;
                for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
                    const crash_counts counts = play(seed, { form, crashing, false, hasLosses, {} });
                    sum.innocent += counts.innocent;
                    sum.innocentServed += counts.innocentServed;
                    sum.innocentRefused += counts.innocentRefused;
                    sum.endsUnderCrashing += counts.endsUnderCrashing;
                    sum.largestRetries = std::max(sum.largestRetries, counts.largestRetries);
                    sum.messages += counts.messages;
                }
                served[form] = static_cast<double>(sum.innocentServed) / sum.innocent;
                ends[form] = static_cast<double>(sum.endsUnderCrashing) / static_cast<double>(crashing * seedCount());
                std::printf("crashing %d, losses %d, form %d: ends for each %.1f, most counted retries %d, others served %.4f, refused as suspect %d of %d, "
                            "messages %.0f\n",
                            crashing,
                            hasLosses ? 1 : 0,
                            static_cast<int>(form),
                            ends[form],
                            sum.largestRetries,
                            served[form],
                            sum.innocentRefused,
                            sum.innocent,
                            static_cast<double>(sum.messages) / static_cast<double>(seedCount()));
            }
            EXPECT_GT(served[crash_form::Shared], served[crash_form::Forgotten]);
            EXPECT_LT(ends[crash_form::Shared], ends[crash_form::EachByItself]);
        }
    }
}

} // namespace reedtrail
