#include "harness/fault.h"
#include "harness/lossy_network.h"

#include <gtest/gtest.h>
#include <set>

namespace reedtrail::harness {
namespace {

using namespace std::chrono_literals;

TEST(virtual_time, runsEventsInOrderOfTimeThenOfAdding)
{
    virtual_time world;
    std::string order;
    world.after(2s, [&] {
        order += 'c';
    });
    world.after(1s, [&] {
        order += 'a';
        world.after(0s, [&] {
            order += 'b';
        });
    });
    world.runUntil(time_point(1s));
    EXPECT_EQ(order, "ab");
    world.runUntil(time_point(3s));
    EXPECT_EQ(order, "abc");
    EXPECT_EQ(world.now(), time_point(3s));
}

TEST(lossy_network, losesWhatIsUnderWayWhenThePathIsCut)
{
    virtual_time world;
    lossy_network network(world, random_source(1), {});
    int arrived = 0;
    network.send("a", "b", [&] {
        ++arrived;
    });
    network.cut("a", "b", true);
    world.runUntil(time_point(1s));
    EXPECT_EQ(arrived, 0);
    network.cut("a", "b", false);
    network.send("a", "b", [&] {
        ++arrived;
    });
    world.runUntil(time_point(2s));
    EXPECT_EQ(arrived, 1);
}

TEST(fault_names, differ)
{
    EXPECT_EQ(std::set<std::string_view>(faultNames.begin(), faultNames.end()).size(), faultNames.size());
}

} // namespace
} // namespace reedtrail::harness
