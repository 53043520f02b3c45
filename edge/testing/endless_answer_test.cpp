// A server whose bytes never end, beside one that is well.

#include "net/testing/endless_server.h"
#include "platform/testing/node_fixture.h"

namespace reedtrail {
namespace {

using namespace std::chrono_literals;
using testing::endless_bytes;
using testing::endless_server;
using testing::node_fixture;

constexpr std::uint16_t endlessPort = testing::firstServerPort + 5;
constexpr std::uint64_t bodyLimit = 1 << 20;
constexpr std::uint64_t onTheWay = 16 << 20; // Buffers of both ends on loopback, and one part.

/** A node whose second server has been replaced by one that answers without end. */
struct endless_fixture
{
    explicit endless_fixture(const endless_bytes &kind)
        : server(node.io, endlessPort, kind)
    {
    }

    node_fixture node{ { .maximumBodyBytes = bodyLimit, .maximumBytesInFlight = 4 * bodyLimit }, endpoint{ "127.0.0.1", endlessPort } };
    endless_server server;
};

TEST(endless_answer_test, callersWaitForBytesWithoutEnd)
{
    for (const endless_bytes &kind : testing::endlessKinds(testing::serverFieldLines("r"))) {
        SCOPED_TRACE(kind.what);
        endless_fixture fixture(kind);
        std::vector<std::shared_ptr<testing::recorded_exchange>> exchanges;
        exchanges.reserve(6);
        for (int i = 0; i < 6; ++i) {
            exchanges.push_back(fixture.node.startRequest());
        }
        EXPECT_TRUE(fixture.node.runUntil([&] {
            return std::ranges::all_of(exchanges, &testing::recorded_exchange::isDone);
        }));
        for (const auto &each : exchanges) {
            EXPECT_EQ(each->response.status, http_status::ok);
        }
        EXPECT_GE(fixture.server.connections(), 1U);
        fixture.node.run(100ms);
        EXPECT_EQ(fixture.server.openConnections(), 0U) << "each is closed";
        EXPECT_LE(fixture.server.mostSent(), bodyLimit + onTheWay);
    }
}

TEST(endless_answer_test, itemsTakeBytesWithoutEnd)
{
    for (const endless_bytes &kind : testing::endlessKinds(testing::serverFieldLines("item-0"))) {
        SCOPED_TRACE(kind.what);
        endless_fixture fixture(kind);
        fixture.node.first.script = [](const std::shared_ptr<http_exchange> &exchange) {
            http_response head;
            head.fields = testing::serverFields(exchange->request());
            exchange->startStream(std::move(head));
            exchange->write("id: 1\ndata: a\n\n");
            exchange->finishStream();
        };
        constexpr int itemCount = 4;
        const auto worker = fixture.node.startJob(itemCount);
        const bool isFinished = fixture.node.runUntil([&] {
            worker->advance();
            return worker->progress().count(item_stage::Finished) + worker->progress().count(item_stage::Recording) == itemCount;
        });
        EXPECT_TRUE(isFinished);
        EXPECT_GE(fixture.server.connections(), 1U);
        worker->stop();
        fixture.node.run(100ms);
        EXPECT_EQ(fixture.server.openConnections(), 0U);
        EXPECT_LE(fixture.server.mostSent(), bodyLimit + onTheWay);
    }
}

} // namespace
} // namespace reedtrail
