#include "fleet/server_sightings.h"

#include "fleet/service_builds.h"

#include <gtest/gtest.h>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;

constexpr duration lag = server_sightings::registrationTime;

/** States are taken at 1, 2 and 3 s. */
TEST(server_sightings_test, contactIsCertainOnceLaterStateShowsItsInstance)
{
    struct row
    {
        const char *what;
        duration connectedAt;
        duration goneAt; ///< Time of the first state that does not show the instance; zero if all do.
        contact_proof proof;
    };
    const row rows[] = {
        { "connected before the last state", 2500ms, 0s, contact_proof::Certain },
        { "connected just before it", 3s - lag, 0s, contact_proof::Certain },
        { "the server may not have registered yet", 3s - lag + 1ms, 0s, contact_proof::Pending },
        { "connected since", 3500ms, 0s, contact_proof::Pending },
        { "gone, and shown after the connection", 1500ms, 3s, contact_proof::Certain },
        { "gone before it was shown again", 2500ms, 3s, contact_proof::Impossible },
        { "gone long ago", 2500ms, 2s, contact_proof::Impossible },
    };
    for (const row &each : rows) {
        SCOPED_TRACE(each.what);
        server_sightings sightings;
        for (const duration at : { 1s, 2s, 3s }) {
            if (at == each.goneAt) {
                sightings.onGone("i-1", 100);
            }
            sightings.onState(time_point(at));
        }
        EXPECT_EQ(sightings.proofOf({ "i-1", 100, time_point(each.connectedAt) }, each.goneAt == 0s), each.proof);
    }
}

/** The id is registered, but by another instance. */
TEST(server_sightings_test, otherInstanceOfSameIdProvesNothing)
{
    server_sightings sightings;
    sightings.onState(time_point(1s));
    EXPECT_EQ(sightings.proofOf({ "i-1", 100, time_point(0s) }, false), contact_proof::Impossible);
    EXPECT_EQ(sightings.proofOf({ "i-1", 0, time_point(9s) }, false), contact_proof::Certain) << "starts have ids of their own";
}

/** A registration that lapsed in an outage of the store and is back. */
TEST(server_sightings_test, instanceThatIsBackIsProvenByNewState)
{
    server_sightings sightings;
    sightings.onState(time_point(1s));
    sightings.onGone("i-1", 100);
    sightings.onState(time_point(2s));
    const server_contact contact{ "i-1", 100, time_point(1500ms) };
    EXPECT_EQ(sightings.proofOf(contact, true), contact_proof::Impossible);
    sightings.onShown("i-1", 100);
    sightings.onState(time_point(3s));
    EXPECT_EQ(sightings.proofOf(contact, true), contact_proof::Certain);
}

TEST(server_sightings_test, endedInstancesAreBounded)
{
    server_sightings sightings;
    for (std::size_t i = 0; i < 2 * server_sightings::maxEndedInstances; ++i) {
        sightings.onState(time_point(duration(static_cast<std::int64_t>(i) + 1)));
        sightings.onGone("i-" + std::to_string(i), 100);
    }
    EXPECT_FALSE(sightings.lastShown("i-0", 100, false));
    EXPECT_TRUE(sightings.lastShown("i-" + std::to_string(2 * server_sightings::maxEndedInstances - 1), 100, false));
}

/** Takes a state in which the only service has one server of each build. */
std::vector<std::string> takeState(service_builds &builds, duration at, const std::vector<std::string> &names)
{
    std::vector<server_entry> entries(names.size());
    std::vector<const server_entry *> pointers;
    pointers.reserve(names.size());
    for (std::size_t i = 0; i < names.size(); ++i) {
        entries[i].service = "s";
        entries[i].build = names[i];
        pointers.push_back(&entries[i]);
    }
    return builds.update(time_point(at), time_point(at), pointers);
}

TEST(service_builds_test, soleBuildCountsFromItsLastChange)
{
    service_builds builds;
    EXPECT_FALSE(builds.sole("s"));
    takeState(builds, 1s, { "v1", "v1" });
    takeState(builds, 2s, { "v1" });
    EXPECT_EQ(builds.sole("s")->since, time_point(1s));
    EXPECT_EQ(takeState(builds, 3s, { "v1", "v2" }), std::vector<std::string>{ "s" });
    EXPECT_TRUE(builds.isMixed("s"));
    EXPECT_TRUE(takeState(builds, 4s, { "v1", "v2", "v3" }).empty()) << "it was mixed before";
    takeState(builds, 5s, { "v1" });
    EXPECT_EQ(builds.sole("s")->build, "v1");
    EXPECT_EQ(builds.sole("s")->since, time_point(5s)) << "taken back";
    takeState(builds, 6s, {});
    EXPECT_EQ(builds.sole("s")->since, time_point(5s)) << "without servers nothing is known to have changed";
    takeState(builds, 7s, { "" });
    EXPECT_FALSE(builds.sole("s")) << "a build that is not named may be any";
    EXPECT_TRUE(builds.isMixed("s"));
}

/** A node that stood still, or that could not read, has not seen what served meanwhile. */
TEST(service_builds_test, gapCountsAsObserved)
{
    service_builds builds;
    builds.setFirstStart();
    takeState(builds, 1s, { "v1" });
    EXPECT_TRUE(takeState(builds, 1s + service_builds::maxGap, { "v1" }).empty());
    EXPECT_LT(builds.sole("s")->since, time_point(-1h));
    const duration late = 2s + 2 * service_builds::maxGap;
    EXPECT_EQ(takeState(builds, late, { "v1" }), std::vector<std::string>{ "s" }) << "its streams must be told to other nodes now";
    EXPECT_EQ(builds.sole("s")->since, time_point(late));
    EXPECT_EQ(builds.sole("s")->asOf, time_point(late));
    EXPECT_FALSE(builds.sole("s")->changedAt) << "it has seen no other build";
    takeState(builds, late + 1s, { "v1", "v2" });
    takeState(builds, late + 2s, { "v1" });
    EXPECT_EQ(builds.sole("s")->changedAt, time_point(late + 2s));
}

TEST(service_builds_test, firstStateOfDeploymentHasAlwaysBeenSo)
{
    service_builds builds;
    builds.setFirstStart();
    takeState(builds, 1s, { "v1" });
    EXPECT_LT(builds.sole("s")->since, time_point(-1h));
    takeState(builds, 2s, { "v2" });
    EXPECT_EQ(builds.sole("s")->since, time_point(2s));
}

} // namespace
} // namespace reedtrail
