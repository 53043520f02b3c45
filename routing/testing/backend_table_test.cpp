#include "routing/backend_table.h"

#include <gtest/gtest.h>
#include <set>

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
    backend_wish wish(std::uint64_t minVersion = 0)
    {
        backend_wish made;
        made.service = "engines";
        made.model = "m";
        made.minVersion = minVersion;
        return made;
    }
    std::string choose(const backend_wish &asked)
    {
        const auto choice = table.choose(now, asked);
        return choice ? choice->id : "";
    }

    std::vector<server_entry> entries;
    backend_table table{ { .ownZone = "own" } };
    time_point now{ 100s };
};

TEST_F(backend_table_test, takesOnlyServersOfAFitVersion)
{
    EXPECT_EQ(choose(wish(7)), "s2");
    EXPECT_EQ(choose(wish(8)), "");
    table.versionSeen("s0", "m", 8);
    EXPECT_EQ(choose(wish(8)), "s0");
    table.versionSeen("s0", "m", 6);
    EXPECT_EQ(choose(wish(8)), "s0") << "a version does not fall while a server lives";
}

TEST_F(backend_table_test, aServerThatStartedAgainIsANewOne)
{
    table.versionSeen("s0", "m", 9);
    entries[0].startedAt = 2;
    refresh();
    EXPECT_EQ(choose(wish(9)), "");
}

TEST_F(backend_table_test, fillsServersEvenlyUpToTheirSlots)
{
    for (int i = 0; i < 12; ++i) {
        const std::string id = choose(wish());
        ASSERT_NE(id, "") << i;
        table.started(id);
    }
    for (const server_entry &entry : entries) {
        EXPECT_EQ(table.running(entry.id), 4U);
    }
    EXPECT_EQ(choose(wish()), "");
    backend_wish patient = wish();
    patient.mayQueue = true;
    EXPECT_NE(choose(patient), "");
}

TEST_F(backend_table_test, staysInItsOwnZoneAmongEquals)
{
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(choose(wish()), "s0");
    }
}

/** Load pattern: a third of the servers turns four times slower for some seconds. */
/** A batch job's short score calls beside idle connections to a few servers: they reuse these, and spread once those servers fill up. */
TEST_F(backend_table_test, openConnectionsAreUsedBeforeNewOnesAreOpened)
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
    int callsInARow = 0;
    for (; callsInARow < 100; ++callsInARow) {
        const std::string id = choose(wish());
        EXPECT_EQ(id, "s1");
        table.started(id);
        table.ended(id);
    }
    // All at once: the others take their share.
    std::map<std::string, int> taken;
    for (int i = 0; i < 18; ++i) {
        const std::string id = choose(wish());
        table.started(id);
        ++taken[id];
    }
    EXPECT_GE(taken["s0"], 4);
    EXPECT_GE(taken["s2"], 4);
}

TEST_F(backend_table_test, slowServersGetTheRestAndAreTriedAgain)
{
    for (int i = 0; i < 20; ++i) {
        table.paceSeen(now, "s0", 160ms);
        table.paceSeen(now, "s1", 40ms);
        table.paceSeen(now, "s2", 40ms);
    }
    std::set<std::string> chosen;
    for (int i = 0; i < 8; ++i) {
        const std::string id = choose(wish());
        chosen.insert(id);
        table.started(id);
    }
    EXPECT_FALSE(chosen.contains("s0"));
    EXPECT_EQ(choose(wish()), "s0") << "when the others are full";
    EXPECT_FALSE(table.isWorthMoving(now, "s0", wish())) << "there is no room elsewhere";
    table.ended("s1");
    EXPECT_TRUE(table.isWorthMoving(now, "s0", wish()));
    EXPECT_FALSE(table.isWorthMoving(now, "s1", wish()));
    // Without news its pace is forgotten, and it is chosen like the others.
    now += 5s;
    EXPECT_FALSE(table.isWorthMoving(now, "s0", wish()));
    EXPECT_EQ(choose(wish()), "s0");
}

/** Load pattern: a server loads new weights, and a burst of items waits for it. */
TEST_F(backend_table_test, aServerThatRefusedAModelIsProbedByOneRequestAtATime)
{
    const backend_wish newest = wish(7);
    table.refused(now, "s2", "m");
    EXPECT_EQ(choose(newest), "");
    now += 200ms;
    EXPECT_EQ(choose(newest), "s2");
    EXPECT_EQ(choose(newest), "") << "one probe is out";
    table.accepted("s2", "m");
    EXPECT_EQ(choose(newest), "s2");
    EXPECT_EQ(choose(newest), "s2");
}

TEST_F(backend_table_test, brokenServersRestLongerEachTime)
{
    backend_wish newest = wish(7);
    table.broke(now, "s2");
    EXPECT_EQ(choose(newest), "");
    newest.ignoresPauses = true;
    EXPECT_EQ(choose(newest), "s2");
    newest.ignoresPauses = false;
    now += 450ms;
    EXPECT_EQ(choose(newest), "s2");
    table.broke(now, "s2");
    now += 450ms;
    EXPECT_EQ(choose(newest), "");
    now += 450ms;
    EXPECT_EQ(choose(newest), "s2");
}

TEST_F(backend_table_test, workOfOthersCountsWhileItIsFresh)
{
    table.loadSeen(now, "s0", 4, 0);
    EXPECT_NE(choose(wish()), "s0");
    now += 1s;
    EXPECT_EQ(choose(wish()), "s0");
}

/**
 * A zone is cut off while a job's last texts run: a third of the servers say nothing, and each costs whoever asks it two and a half seconds. Without the zone
 * in mind each server of it is asked again and again.
 */
TEST_F(backend_table_test, zoneWhoseServersFellSilentIsLeftAloneUntilItIsHeard)
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
    table.fellSilent(now, "s0");
    EXPECT_FALSE(table.isZoneSuspect(now, "s3")) << "one server may have ended";
    table.fellSilent(now, "s6");
    EXPECT_TRUE(table.isZoneSuspect(now, "s3"));
    EXPECT_FALSE(table.isZoneSuspect(now, "s1"));
    const auto asked = [&](duration after) {
        std::set<std::string> zones;
        for (int i = 0; i < 24; ++i) {
            const std::string id = choose(wish());
            if (!id.empty()) {
                zones.insert("zone-" + std::to_string((id.back() - '0') % 3));
                table.started(id);
            }
        }
        for (const server_entry &entry : entries) {
            while (table.running(entry.id) > 0) {
                table.ended(entry.id);
            }
        }
        now += after;
        return zones;
    };
    EXPECT_EQ(asked(2900ms), (std::set<std::string>{ "zone-1", "zone-2" })) << "also when the others are full";
    EXPECT_EQ(asked(200ms), (std::set<std::string>{ "zone-1", "zone-2" }));
    EXPECT_EQ(asked(0ms).size(), 3U) << "suspicion ends by itself";
    table.fellSilent(now, "s0");
    table.fellSilent(now, "s3");
    EXPECT_TRUE(table.isZoneSuspect(now, "s6"));
    table.heard("s6");
    EXPECT_FALSE(table.isZoneSuspect(now, "s6"));
    // One more is no evidence after the zone was heard, nor is a second one much later at a node that hears little.
    table.fellSilent(now, "s0");
    EXPECT_FALSE(table.isZoneSuspect(now, "s6"));
    now += 30s;
    table.fellSilent(now, "s3");
    EXPECT_FALSE(table.isZoneSuspect(now, "s6"));
}

TEST_F(backend_table_test, nodeThatHearsNoZoneAsksThemAll)
{
    for (const char *id : { "s0", "s1", "s2" }) {
        table.fellSilent(now, id);
    }
    now += 1s;
    ASSERT_TRUE(table.isZoneSuspect(now, "s1"));
    EXPECT_EQ(choose(wish(7)), "s2") << "no server in a sound zone has the version";
}

TEST_F(backend_table_test, avoidedAndUnregisteredServersAreNotChosen)
{
    const std::vector<std::string> tried{ "s0" };
    backend_wish asked = wish();
    asked.avoided = tried;
    EXPECT_NE(choose(asked), "s0");
    table.started("s1");
    entries.pop_back();
    entries.pop_back();
    refresh();
    EXPECT_EQ(choose(asked), "");
    EXPECT_EQ(table.registered("engines"), 1U);
}

} // namespace
} // namespace reedtrail
