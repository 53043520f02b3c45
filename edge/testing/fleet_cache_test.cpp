#include "edge/fleet_cache.h"

#include "platform/testing/node_fixture.h"
#include "platform/testing/odd_registrations.h"

namespace reedtrail {
namespace {

using namespace std::chrono_literals;
using testing::node_fixture;

/** A node that cannot read the configuration must not deny a route that may be newer than what it knows. */
TEST(fleet_cache_test, oldConfigurationIsNotCurrent)
{
    node_fixture fixture;
    EXPECT_TRUE(fixture.fleet->isConfigurationCurrent());
    fixture.transport.isCut = true;
    fixture.run(1300ms);
    EXPECT_FALSE(fixture.fleet->isConfigurationCurrent());
    fixture.requestMany(1); // Known routes are served on the state at hand.
    EXPECT_FALSE(fixture.fleet->isConfigurationCurrent());
    fixture.transport.isCut = false;
    EXPECT_TRUE(fixture.runUntil([&] {
        fixture.requestMany(1);
        return fixture.fleet->isConfigurationCurrent();
    }));
}

/** A change of the configuration is known to the first request that comes after the node was idle. */
TEST(fleet_cache_test, firstRequestAfterIdleTimeKnowsNewConfiguration)
{
    node_fixture fixture;
    fixture.run(1300ms);
    fixture.putConfiguration(2, { { "new", "/n/", route_kind::Idempotent } });
    bool isReady = false;
    EXPECT_FALSE(fixture.fleet->ensureCurrent([&] {
        isReady = true;
    }));
    EXPECT_TRUE(fixture.runUntil([&] {
        return isReady;
    }));
    EXPECT_NE(fixture.fleet->routes().match("h", "/n/1"), nullptr);
    EXPECT_EQ(fixture.fleet->routes().match("h", "/p/1"), nullptr);
}

/** Another writer leaves odd entries among those of the servers. The machine goes on following the list, and uses the servers that are well. */
TEST(fleet_cache_test, machineStopsFollowingListWithOddEntry)
{
    const std::vector<std::string> odd = testing::oddRegistrations();
    node_fixture fixture;
    for (std::size_t i = 0; i < odd.size(); ++i) {
        for (const char *id : { "a", "i-1-odd", "z" }) { // Before, among and after the others.
            fixture.enterText(id + std::to_string(i), odd[i]);
        }
    }
    fixture.removeServer("i-1");
    fixture.readAgain();
    EXPECT_EQ(fixture.fleet->directory().allUsable().size(), 1U) << "the removal is seen, and no odd entry is used";
    fixture.requestMany(1);
    fixture.enter(fixture.first.id, fixture.first.address, "ready", 100);
    fixture.readAgain();
    EXPECT_EQ(fixture.fleet->directory().allUsable().size(), 2U);
    EXPECT_NE(fixture.fleet->directory().find("i-1"), nullptr);
}

/** A node to which nothing comes reads little: the registrations now and then, and no configuration. */
TEST(fleet_cache_test, idleNodeReadsRegistrationsOnly)
{
    node_fixture fixture;
    const int calls = fixture.transport.calls;
    EXPECT_TRUE(fixture.runUntil([&] {
        return fixture.transport.calls > calls;
    }));
    EXPECT_EQ(fixture.transport.calls, calls + 1);
}

} // namespace
} // namespace reedtrail
