#include "gate/usage_exchange.h"

#include <gtest/gtest.h>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;

constexpr std::uint16_t firstPort = 29880;

/** The usage exchange of one gate. All gates run on one io_context. */
struct test_gate
{
    test_gate(boost::asio::io_context &io, const node_view &view, double running)
        : bus(io, {})
        , links(io, bus, {})
        , exchange(io, bus, links, view.node, view.zone)
    {
        usage_callbacks entry;
        entry.requestUsage = [this, view, running](const std::function<void(usage_report)> &onReport) {
            onReport({ view.node, ++sequence, 1, { { pool_id("pool"), customer_id("customer"), running, 0 } } });
        };
        entry.applyTotal = [this](const usage_total &given) {
            total = given;
        };
        exchange.setCallbacks(std::move(entry));
    }

    peer_bus bus;
    link_pool links;
    usage_exchange exchange;
    std::uint64_t sequence = 0;
    usage_total total;
};

TEST(usage_exchange, everyGateReceivesTheSumOfAllZones)
{
    boost::asio::io_context io;
    std::vector<node_view> views;
    for (int i = 0; i < 8; ++i) {
        const std::string zone = i < 6 ? "a" : "b";
        views.push_back({ node_id("n" + std::to_string(i)), zone_id(zone), "127.0.0.1:" + std::to_string(firstPort + i) });
    }
    std::vector<std::unique_ptr<test_gate>> gates;
    for (std::size_t i = 0; i < views.size(); ++i) {
        gates.push_back(std::make_unique<test_gate>(io, views[i], static_cast<double>(i + 1)));
        ASSERT_TRUE(gates.back()->bus.listen({ "127.0.0.1", static_cast<std::uint16_t>(firstPort + i) }));
        gates.back()->exchange.setNodes(views);
        gates.back()->exchange.start();
    }
    const auto haveAllTheSum = [&] {
        return std::ranges::all_of(gates, [](const auto &gate) {
            return gate->total.gates == 8 && gate->total.usage.size() == 1 && gate->total.usage.front().running == 36;
        });
    };
    for (int round = 0; round < 400 && !haveAllTheSum(); ++round) {
        io.run_for(50ms);
    }
    for (const auto &gate : gates) {
        EXPECT_EQ(gate->total.gates, 8U);
        ASSERT_EQ(gate->total.usage.size(), 1U);
        EXPECT_EQ(gate->total.usage.front().running, 36) << "expected 1 + 2 + … + 8";
    }
}

} // namespace
} // namespace reedtrail
