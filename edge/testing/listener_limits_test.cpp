// Limits of listeners on machines of several sizes.

#include "edge/listener_limits.h"

#include <gtest/gtest.h>

namespace reedtrail {
namespace {

edge_settings machineWith(double memoryMegabytes, double descriptors)
{
    edge_settings settings;
    settings.memoryMegabytes = memoryMegabytes;
    settings.descriptors = descriptors;
    return settings;
}

/** Callers, their requests to servers, and the idle connections to servers share the descriptors. */
TEST(listener_limits_test, connectionsTakeMoreThanAllDescriptors)
{
    for (const double memory : { 0.0, 40.0, 110.0, 300.0, 4000.0 }) {
        for (const double descriptors : { 300.0, 1000.0, 4100.0, 8200.0 }) {
            const listener_limits limits = limitsFor(machineWith(memory, descriptors));
            const double callers = static_cast<double>(limits.callerConnections);
            const double others = static_cast<double>(limits.peerConnections + limits.readinessConnections);
            EXPECT_LE(2 * callers + others + static_cast<double>(limits.idleServerConnections), descriptors - 200 + 3)
                << memory << " MB, " << descriptors << " descriptors";
            EXPECT_GE(limits.callerConnections, 1U);
        }
    }
}

/** On the smallest machine of the platform a body of the largest legal size fits beside small requests, and so does a crowd of ordinary callers. */
TEST(listener_limits_test, smallestMachineHasNoRoomForOrdinaryCallers)
{
    const listener_limits limits = limitsFor(machineWith(110, 4100));
    EXPECT_GE(limits.requests.requestBytes - limits.requests.requestBytes / body_budget::smallShare, maxCallerBodyBytes);
    EXPECT_GE(limits.callerConnections, 500U);
    EXPECT_GE(limits.peerConnections, 300U);
    EXPECT_GE(limits.requests.maximumIncomplete, 200U);
}

TEST(listener_limits_test, unknownMachineKeepsDefaults)
{
    const listener_limits limits = limitsFor(machineWith(0, 0));
    EXPECT_EQ(limits.callerConnections, listener_limits{}.callerConnections);
    EXPECT_EQ(limits.requests.maximumIncomplete, reception_limits{}.maximumIncomplete);
}

} // namespace
} // namespace reedtrail
