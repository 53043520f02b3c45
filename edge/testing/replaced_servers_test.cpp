// Servers that are replaced one after the other.

#include "platform/testing/node_fixture.h"

namespace reedtrail {
namespace {

using testing::node_fixture;

/** Guards against connections to servers that are gone, which stay open until the node has no descriptor left. */
TEST(replaced_servers_test, connectionsToServerThatHasLeftStayOpen)
{
    node_fixture fixture;
    fixture.requestMany(1);
    const testing::test_server &used = fixture.used();
    ASSERT_TRUE(fixture.client.hasIdle(used.address));
    fixture.removeServer(used.id);
    fixture.readAgain();
    EXPECT_FALSE(fixture.client.hasIdle(used.address));
}

} // namespace
} // namespace reedtrail
