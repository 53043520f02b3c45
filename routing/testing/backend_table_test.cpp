#include "routing/backend_table.h"

#include "base/random.h"

#include <algorithm>
#include <cstdio>
#include <gtest/gtest.h>
#include <map>
#include <set>
#include <span>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;

class backend_table_test : public testing::Test
{
protected:
    void SetUp() override
    {
        for (int i = 0; i < 3; ++i) {
            server_entry entry;
            entry.id = "s" + std::to_string(i);
            entry.service = "engines";
            entry.zone = i == 0 ? "own" : "other";
            entry.slots = 4;
            entry.startedAt = 1;
            entry.modelVersions["m"] = static_cast<std::uint64_t>(5 + i);
            entries.push_back(entry);
        }
        refresh();
    }
    void refresh()
    {
        std::vector<const server_entry *> usable;
        for (const server_entry &entry : entries) {
            usable.push_back(&entry);
        }
        table.refresh(usable);
    }
    backend_criteria makeCriteria(std::uint64_t minVersion = 0)
    {
        backend_criteria criteria;
        criteria.service = "engines";
        criteria.model = "m";
        criteria.minVersion = minVersion;
        return criteria;
    }
    std::string choose(const backend_criteria &criteria)
    {
        const auto choice = table.choose(now, criteria);
        return choice ? choice->id : "";
    }

    std::vector<server_entry> entries;
    backend_table table{ { .ownZone = "own" } };
    time_point now{ 100s };
};

TEST_F(backend_table_test, choosesOnlyServersWithRequiredVersion)
{
    EXPECT_EQ(choose(makeCriteria(7)), "s2");
    EXPECT_EQ(choose(makeCriteria(8)), "");
    table.onVersion("s0", "m", 8);
    EXPECT_EQ(choose(makeCriteria(8)), "s0");
    table.onVersion("s0", "m", 6);
    EXPECT_EQ(choose(makeCriteria(8)), "s0") << "the known version must not decrease while the server process lives";
}

TEST_F(backend_table_test, restartedServerLosesItsKnownVersions)
{
    table.onVersion("s0", "m", 9);
    entries[0].startedAt = 2;
    refresh();
    EXPECT_EQ(choose(makeCriteria(9)), "");
}

TEST_F(backend_table_test, spreadsRequestsEvenlyUpToSlots)
{
    for (int i = 0; i < 12; ++i) {
        const std::string id = choose(makeCriteria());
        ASSERT_NE(id, "") << i;
        table.onRequestStarted(id);
    }
    for (const server_entry &entry : entries) {
        EXPECT_EQ(table.running(entry.id), 4U);
    }
    EXPECT_EQ(choose(makeCriteria()), "");
    backend_criteria queueingCriteria = makeCriteria();
    queueingCriteria.mayQueue = true;
    EXPECT_NE(choose(queueingCriteria), "");
}

TEST_F(backend_table_test, prefersOwnZoneAmongEqualServers)
{
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(choose(makeCriteria()), "s0");
    }
}

/** Short score calls of a batch job reuse idle connections to a few servers, but must spread to the other servers once these fill up. */
TEST_F(backend_table_test, reusesOpenConnectionsBeforeOpeningNewOnes)
{
    for (server_entry &entry : entries) {
        entry.zone = "own";
        entry.slots = 8;
    }
    refresh();
    std::set<std::string> open{ "s1" };
    table.setConnectionQuery([&](const endpoint &where) {
        return open.contains(where.ip);
    });
    for (server_entry &entry : entries) {
        entry.address.ip = entry.id;
    }
    refresh();
    int sequentialCalls = 0;
    for (; sequentialCalls < 100; ++sequentialCalls) {
        const std::string id = choose(makeCriteria());
        EXPECT_EQ(id, "s1");
        table.onRequestStarted(id);
        table.onRequestEnded(id);
    }
    // Concurrent calls must use the other servers too.
    std::map<std::string, int> taken;
    for (int i = 0; i < 18; ++i) {
        const std::string id = choose(makeCriteria());
        table.onRequestStarted(id);
        ++taken[id];
    }
    EXPECT_GE(taken["s0"], 4);
    EXPECT_GE(taken["s2"], 4);
}

/**
 * Load pattern: a third of the servers becomes four times slower for some seconds. Requests must avoid the slow server while the others have room, and must
 * return to it once its measured latency has expired.
 */
TEST_F(backend_table_test, avoidsSlowServersUntilLatencyExpires)
{
    for (int i = 0; i < 20; ++i) {
        table.onLatency(now, "s0", 160ms);
        table.onLatency(now, "s1", 40ms);
        table.onLatency(now, "s2", 40ms);
    }
    std::set<std::string> chosen;
    for (int i = 0; i < 8; ++i) {
        const std::string id = choose(makeCriteria());
        chosen.insert(id);
        table.onRequestStarted(id);
    }
    EXPECT_FALSE(chosen.contains("s0"));
    EXPECT_EQ(choose(makeCriteria()), "s0") << "the slow server must be chosen when the others are full";
    EXPECT_EQ(table.moveProspect(now, "s0", makeCriteria()).eventTimeThere, 0s) << "no other server has room";
    table.onRequestEnded("s1");
    const move_question prospect = table.moveProspect(now, "s0", makeCriteria());
    EXPECT_EQ(prospect.eventTimeHere, 160ms);
    EXPECT_NEAR(toSeconds(prospect.eventTimeThere), 0.04, 0.005);
    EXPECT_NEAR(prospect.freeShare, 5.0 / 12, 1e-9) << "of s0 all four places, of s1 one";
    EXPECT_GT(table.moveProspect(now, "s1", makeCriteria()).eventTimeThere, table.moveProspect(now, "s1", makeCriteria()).eventTimeHere);
    // Without new samples the latency expires, and the server is chosen like the others.
    now += 5s;
    EXPECT_EQ(table.moveProspect(now, "s0", makeCriteria()).eventTimeHere, 0s);
    EXPECT_EQ(choose(makeCriteria()), "s0");
}

/** A neighbour on its machine slows a server down for some time. The report of it is fresh, then old. */
TEST_F(backend_table_test, serverBesideBusyNeighbourGetsWork)
{
    for (int i = 0; i < 3; ++i) {
        table.onLatency(now, "s" + std::to_string(i), 40ms);
    }
    table.onSlowdown(now, "s0", 2.5);
    EXPECT_NE(choose(makeCriteria()), "s0");
    now += 3s;
    EXPECT_EQ(choose(makeCriteria()), "s0") << "an old report; the server in this node's zone is preferred again";
    table.onSlowdown(now, "s0", 2.5);
    table.onLatency(now, "s0", 100ms);
    table.onSlowdown(now, "s0", 1);
    EXPECT_EQ(choose(makeCriteria()), "s0") << "what took long beside the neighbour says nothing of the server itself";
}

/** Load pattern: a node gets a burst of one trainer each fifteen seconds, and the servers differ in speed by a third. */
TEST_F(backend_table_test, remembersLastingDifferencesOfSpeedBetweenBursts)
{
    for (int i = 0; i < 20; ++i) {
        table.onLatency(now, "s0", 100ms);
        table.onLatency(now, "s1", 90ms);
        table.onLatency(now, "s2", 72ms);
    }
    now += 15s;
    EXPECT_EQ(choose(makeCriteria()), "s2");
    now += 60s;
    EXPECT_EQ(choose(makeCriteria()), "s0") << "nothing is remembered for good; the server in this node's zone is preferred";
}

/** Rules by which texts move between servers. */
enum class move_rule { Stay, FasterByRatio, WorthItsCost };

/** What became of a burst. */
struct burst_outcome
{
    double end = 0; ///< When the last text ended, in seconds.
    double meanEnd = 0; ///< Mean over the texts.
    int runs = 0;
    int moves = 0;
};

/**
 * Replays a burst: texts of very unequal length on servers that slow down as they fill. A text that moves makes no progress for a moment, because its prompt is
 * read again. The callers' estimates of the lengths are right at the median and off by a factor of two.
 * @param paces factors of the servers' speeds, in turns
 * @param texts more than there are places wait for one
 */
burst_outcome replayBurst(move_rule rule, std::span<const double> paces, int texts, std::uint64_t seed)
{
    constexpr double tick = 0.02;
    constexpr double eventSeconds = 0.06;
    constexpr double restartSeconds = 0.2;
    constexpr std::size_t serverCount = 14;
    constexpr std::uint32_t slots = 6;
    constexpr int minEventsBeforeMove = 3;
    constexpr double ratioOfOldRule = 1.2;
    backend_table table({}, seed);
    random_source random(seed);
    std::vector<server_entry> entries(serverCount);
    std::vector<const server_entry *> usable;
    for (std::size_t i = 0; i < serverCount; ++i) {
        entries[i].id = "s" + std::to_string(i);
        entries[i].service = "engines";
        entries[i].slots = slots;
        entries[i].startedAt = 1;
        usable.push_back(&entries[i]);
    }
    table.refresh(usable);
    struct text
    {
        double length = 0;
        double estimate = 0;
        double events = 0;
        std::size_t server = 0;
        int eventsHere = 0;
        int moves = 0;
        double restartLeft = 0;
    };
    std::vector<text> waiting;
    for (int i = 0; i < texts; ++i) {
        const double length = std::min(67.0, random.lognormal(8, 1.1));
        waiting.push_back({ length, length * random.lognormal(1, 0.7) });
    }
    std::ranges::sort(waiting, {}, &text::estimate); // The longest ones begin first.
    std::vector<text> running;
    time_point now{ 10s };
    backend_criteria criteria;
    criteria.service = "engines";
    burst_outcome outcome;
    move_budget budget;
    const auto place = [&](text placed) {
        const std::optional<backend_choice> choice = table.choose(now, criteria);
        if (!choice) {
            return false;
        }
        table.onRequestStarted(choice->id);
        budget.onRunStarted();
        ++outcome.runs;
        placed.server = static_cast<std::size_t>(std::stoul(choice->id.substr(1)));
        placed.eventsHere = 0;
        running.push_back(placed);
        return true;
    };
    for (double at = 0; !waiting.empty() || !running.empty(); at += tick, now += fromSeconds(tick)) {
        while (!waiting.empty() && place(waiting.back())) {
            waiting.pop_back();
        }
        std::vector<std::uint32_t> load(serverCount);
        for (const text &each : running) {
            ++load[each.server];
        }
        for (text &each : running) {
            const double time = eventSeconds * paces[each.server % paces.size()] * (1 + 0.35 * load[each.server] / slots);
            if (each.restartLeft > 0) {
                each.restartLeft -= tick;
                continue;
            }
            const int before = static_cast<int>(each.events);
            each.events += tick / time;
            if (static_cast<int>(each.events) > before) {
                ++each.eventsHere;
                table.onLatency(now, entries[each.server].id, fromSeconds(time));
            }
        }
        std::erase_if(running, [&](const text &each) {
            const bool isOver = each.events >= each.length;
            if (isOver) {
                table.onRequestEnded(entries[each.server].id);
                outcome.end = at;
                outcome.meanEnd += at / texts;
            }
            return isOver;
        });
        if (rule == move_rule::Stay || !waiting.empty()) {
            continue;
        }
        const auto slow = std::ranges::find_if(running, [&](const text &each) {
            move_question question = table.moveProspect(now, entries[each.server].id, criteria);
            if (each.eventsHere < minEventsBeforeMove || question.eventTimeThere <= 0s || question.eventTimeHere <= 0s) {
                return false;
            }
            if (rule == move_rule::FasterByRatio) {
                return question.eventTimeThere * ratioOfOldRule < question.eventTimeHere;
            }
            question.eventsLeft = expectedEventsLeft(each.events, each.estimate);
            question.restartTime = fromSeconds(restartSeconds);
            question.movesBefore = each.moves;
            return budget.allows({}) && isMoveWorthwhile(question);
        });
        if (slow != running.end()) {
            text moved = *slow;
            table.onRequestEnded(entries[slow->server].id);
            running.erase(slow);
            ++moved.moves;
            ++outcome.moves;
            budget.onMoved();
            moved.restartLeft = restartSeconds;
            EXPECT_TRUE(place(moved));
        }
    }
    return outcome;
}

/** Returns the sum over many bursts. */
burst_outcome replayBursts(move_rule rule, std::span<const double> paces, int texts)
{
    burst_outcome sum;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        const burst_outcome each = replayBurst(rule, paces, texts, seed);
        sum.end += each.end / 50;
        sum.meanEnd += each.meanEnd / 50;
        sum.runs += each.runs;
        sum.moves += each.moves;
    }
    return sum;
}

constexpr double threeSpeeds[] = { 0.6, 1.0, 1.6 };
constexpr double similarSpeeds[] = { 0.9, 1.0, 1.15, 0.95, 1.3 };

/** The trainer waits for the longest texts, so a burst in which they end on the faster servers ends earlier than one in which they stay where they began. */
TEST(backend_table_replay_test, burstEndsEarlierWhenLongestTextsMoveToFasterServers)
{
    for (const int texts : { 40, 80, 160 }) {
        const burst_outcome moved = replayBursts(move_rule::WorthItsCost, threeSpeeds, texts);
        const burst_outcome stayed = replayBursts(move_rule::Stay, threeSpeeds, texts);
        EXPECT_LT(moved.end, stayed.end) << texts;
        std::printf("%d texts end after %.2f s, staying in place %.2f s (mean of 50)\n", texts, moved.end, stayed.end);
    }
}

/** Between servers of three speeds there is always a faster one. A rule that only compares speeds ended a third of all runs, and the bursts ended later for it.
 */
TEST(backend_table_replay_test, textsMoveAgainAndAgainBetweenServersOfUnequalSpeed)
{
    for (const std::span<const double> paces : { std::span<const double>(threeSpeeds), std::span<const double>(similarSpeeds) }) {
        for (const int texts : { 40, 80, 160 }) {
            const burst_outcome worth = replayBursts(move_rule::WorthItsCost, paces, texts);
            const burst_outcome faster = replayBursts(move_rule::FasterByRatio, paces, texts);
            const burst_outcome stayed = replayBursts(move_rule::Stay, paces, texts);
            EXPECT_LE(worth.moves, move_options().maxMovedShare * worth.runs);
            EXPECT_LE(worth.moves, 0.9 * faster.moves);
            EXPECT_LE(worth.meanEnd, faster.meanEnd * 1.01);
            EXPECT_LE(worth.end, faster.end * 1.05);
            EXPECT_LE(worth.end, stayed.end) << "a move must not make a burst later";
            std::printf(
                "%zu speeds, %d texts: moved %.3f of the runs, mean end %.2f s, last %.2f s; by speed alone %.3f, %.2f s, %.2f s; staying %.2f s, %.2f s\n",
                paces.size(),
                texts,
                1.0 * worth.moves / worth.runs,
                worth.meanEnd,
                worth.end,
                1.0 * faster.moves / faster.runs,
                faster.meanEnd,
                faster.end,
                stayed.meanEnd,
                stayed.end);
        }
    }
}

/** Load pattern: a server refuses requests while it loads new weights, and a burst of items waits for it. The burst must not flood the server with attempts. */
TEST_F(backend_table_test, probesRefusingServerWithOneRequestAtATime)
{
    const backend_criteria newestVersion = makeCriteria(7);
    table.onRefused(now, "s2", "m");
    EXPECT_EQ(choose(newestVersion), "");
    now += 200ms;
    EXPECT_EQ(choose(newestVersion), "s2");
    EXPECT_EQ(choose(newestVersion), "") << "a probe request is already outstanding";
    table.onAccepted("s2", "m");
    EXPECT_EQ(choose(newestVersion), "s2");
    EXPECT_EQ(choose(newestVersion), "s2");
}

TEST_F(backend_table_test, doublesBackoffWithEachFailure)
{
    backend_criteria newestVersion = makeCriteria(7);
    table.onFailure(now, "s2");
    EXPECT_EQ(choose(newestVersion), "");
    newestVersion.ignoresBackoff = true;
    EXPECT_EQ(choose(newestVersion), "s2");
    newestVersion.ignoresBackoff = false;
    now += 450ms;
    EXPECT_EQ(choose(newestVersion), "s2");
    table.onFailure(now, "s2");
    now += 450ms;
    EXPECT_EQ(choose(newestVersion), "");
    now += 450ms;
    EXPECT_EQ(choose(newestVersion), "s2");
}

TEST_F(backend_table_test, reportedLoadCountsUntilItExpires)
{
    table.onLoad(now, "s0", 4, 0);
    EXPECT_NE(choose(makeCriteria()), "s0");
    now += 1s;
    EXPECT_EQ(choose(makeCriteria()), "s0");
}

/**
 * A zone is cut off while the last texts of a job run. A third of the servers no longer respond, and each request to one of them costs two and a half seconds.
 * Without suspicion of the whole zone, every one of its servers is tried again and again.
 */
TEST_F(backend_table_test, avoidsUnresponsiveZoneUntilItResponds)
{
    entries.clear();
    for (int i = 0; i < 9; ++i) {
        server_entry entry;
        entry.id = "s" + std::to_string(i);
        entry.service = "engines";
        entry.zone = "zone-" + std::to_string(i % 3);
        entry.slots = 4;
        entry.startedAt = 1;
        entry.modelVersions["m"] = 5;
        entries.push_back(entry);
    }
    refresh();
    table.onNoResponse(now, "s0");
    EXPECT_FALSE(table.isZoneSuspect(now, "s3")) << "a single unresponsive server may just have ended";
    table.onNoResponse(now, "s6");
    EXPECT_TRUE(table.isZoneSuspect(now, "s3"));
    EXPECT_FALSE(table.isZoneSuspect(now, "s1"));
    const auto chosenZones = [&](duration advanceBy) {
        std::set<std::string> zones;
        for (int i = 0; i < 24; ++i) {
            const std::string id = choose(makeCriteria());
            if (!id.empty()) {
                zones.insert("zone-" + std::to_string((id.back() - '0') % 3));
                table.onRequestStarted(id);
            }
        }
        for (const server_entry &entry : entries) {
            while (table.running(entry.id) > 0) {
                table.onRequestEnded(entry.id);
            }
        }
        now += advanceBy;
        return zones;
    };
    EXPECT_EQ(chosenZones(2900ms), (std::set<std::string>{ "zone-1", "zone-2" })) << "the suspect zone must be avoided even when the others are full";
    EXPECT_EQ(chosenZones(200ms), (std::set<std::string>{ "zone-1", "zone-2" }));
    EXPECT_EQ(chosenZones(0ms).size(), 3U) << "suspicion must expire";
    table.onNoResponse(now, "s0");
    table.onNoResponse(now, "s3");
    EXPECT_TRUE(table.isZoneSuspect(now, "s6"));
    table.onResponse("s6");
    EXPECT_FALSE(table.isZoneSuspect(now, "s6"));
    // After a response from the zone, a single unresponsive server is no evidence. Nor is a second one that follows much later.
    table.onNoResponse(now, "s0");
    EXPECT_FALSE(table.isZoneSuspect(now, "s6"));
    now += 30s;
    table.onNoResponse(now, "s3");
    EXPECT_FALSE(table.isZoneSuspect(now, "s6"));
}

/** A node that is cut off itself comes to suspect the other zones. If no eligible server is outside the suspect zones, the suspicion must be ignored. */
TEST_F(backend_table_test, ignoresSuspicionWhenAllZonesAreSuspect)
{
    for (const char *id : { "s0", "s1", "s2" }) {
        table.onNoResponse(now, id);
    }
    now += 1s;
    ASSERT_TRUE(table.isZoneSuspect(now, "s1"));
    EXPECT_EQ(choose(makeCriteria(7)), "s2") << "no server outside the suspect zones has the version";
}

/** What goes on with a stream or a text goes to servers of its build only, however full or slow they are. */
TEST_F(backend_table_test, continuationGoesToServersOfItsBuildOnly)
{
    entries[0].build = "v1";
    entries[1].build = entries[2].build = "v2";
    refresh();
    backend_criteria criteria = makeCriteria();
    criteria.build = "v1";
    for (int i = 0; i < 4; ++i) {
        EXPECT_EQ(choose(criteria), "s0");
        table.onRequestStarted("s0");
    }
    EXPECT_EQ(choose(criteria), "") << "it is full";
    EXPECT_TRUE(table.hasEligible(criteria));
    criteria.mayQueue = true;
    EXPECT_EQ(choose(criteria), "s0");
    criteria.build = "v3";
    EXPECT_EQ(choose(criteria), "");
    EXPECT_FALSE(table.hasEligible(criteria));
}

/** During a release new work takes three of the four slots of the build with fewer servers; the last one is for what goes on there. */
TEST_F(backend_table_test, newWorkLeavesRoomForContinuationsOfSmallerBuild)
{
    entries[0].build = "v1";
    entries[1].build = entries[2].build = "v2";
    refresh();
    std::map<std::string, int> taken;
    for (std::string server = choose(makeCriteria()); !server.empty(); server = choose(makeCriteria())) {
        table.onRequestStarted(server);
        ++taken[server];
    }
    EXPECT_EQ(taken, (std::map<std::string, int>{ { "s0", 3 }, { "s1", 4 }, { "s2", 4 } })) << "neither build is left without new work";
    backend_criteria continuation = makeCriteria();
    continuation.build = "v1";
    EXPECT_EQ(choose(continuation), "s0");
}

TEST_F(backend_table_test, doesNotChooseExcludedOrUnregisteredServers)
{
    const std::vector<std::string> tried{ "s0" };
    backend_criteria criteria = makeCriteria();
    criteria.excluded = tried;
    EXPECT_NE(choose(criteria), "s0");
    table.onRequestStarted("s1");
    entries.pop_back();
    entries.pop_back();
    refresh();
    EXPECT_EQ(choose(criteria), "");
    EXPECT_EQ(table.registeredCount("engines"), 1U);
}

} // namespace
} // namespace reedtrail
