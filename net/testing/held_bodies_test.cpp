// Callers whose large requests wait for servers that read slowly, so that their bodies are held for long.

#include "base/random.h"
#include "net/body_budget.h"
#include "net/http_client.h"
#include "net/http_server.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;

const endpoint address{ "127.0.0.1", 29890 };
constexpr std::size_t budget = 1 << 20;
constexpr std::size_t large = 600 << 10;

/** A server that holds each request until it is told to answer. */
struct holding_fixture
{
    holding_fixture()
    {
        EXPECT_TRUE(server.start());
    }
    struct call_result
    {
        std::optional<int> status;
        std::string retryAfter;
        std::string outcome;
    };
    std::shared_ptr<call_result> post(std::size_t bytes)
    {
        const auto result = std::make_shared<call_result>();
        client.call(
            address, { "POST", "/", {}, std::string(bytes, 'x') }, { .deadline = 20s }, [result](const http_call_end &end, const http_response &answer) {
                result->status = end.error == error_kind::None ? answer.status : 0;
                result->retryAfter = answer.fields.get("Retry-After");
                result->outcome = answer.fields.get("Reedtrail-Outcome");
            });
        return result;
    }
    template<class Condition>
    bool runUntil(Condition condition)
    {
        for (int i = 0; i < 1000 && !condition(); ++i) {
            io.restart();
            io.run_for(10ms);
        }
        return condition();
    }
    void answerAll()
    {
        for (const auto &each : std::exchange(held, {})) {
            each->respond(textResponse(200, ""));
        }
    }

    boost::asio::io_context io;
    std::vector<std::shared_ptr<http_exchange>> held;
    http_server server{ io, { .address = address, .maximumBodyBytesHeld = budget }, [this](std::shared_ptr<http_exchange> exchange) {
                           held.push_back(std::move(exchange));
                       } };
    http_client client{ io, {} };
};

/** Guards against large bodies that are held together until the process has no memory left. */
TEST(held_bodies_test, largeBodiesAreHeldBeyondAllMemory)
{
    holding_fixture fixture;
    const auto first = fixture.post(large);
    ASSERT_TRUE(fixture.runUntil([&] {
        return fixture.held.size() == 1;
    }));
    const auto second = fixture.post(large);
    ASSERT_TRUE(fixture.runUntil([&] {
        return second->status.has_value();
    }));
    EXPECT_EQ(second->status, 503);
    EXPECT_EQ(second->retryAfter, "1");
    EXPECT_EQ(second->outcome, "not-run");
    EXPECT_EQ(fixture.held.size(), 1U) << "nothing of it is passed on";
    const auto small = fixture.post(1000);
    ASSERT_TRUE(fixture.runUntil([&] {
        return fixture.held.size() == 2;
    })) << "small requests go on beside a large one";
    fixture.answerAll();
    ASSERT_TRUE(fixture.runUntil([&] {
        return first->status && small->status;
    }));
    EXPECT_EQ(first->status, 200);
    const auto third = fixture.post(large);
    ASSERT_TRUE(fixture.runUntil([&] {
        return fixture.held.size() == 1;
    })) << "the room is given back with the answer";
    fixture.answerAll();
    ASSERT_TRUE(fixture.runUntil([&] {
        return third->status.has_value();
    }));
    EXPECT_EQ(third->status, 200);
}

/** One request that is allowed by its own limit always fits. */
TEST(held_bodies_test, bodyAboveBudgetIsServedAlone)
{
    holding_fixture fixture;
    const auto only = fixture.post(2 * budget);
    ASSERT_TRUE(fixture.runUntil([&] {
        return fixture.held.size() == 1;
    }));
    EXPECT_EQ(fixture.held.front()->request().body.size(), 2 * budget);
    fixture.answerAll();
    ASSERT_TRUE(fixture.runUntil([&] {
        return only->status.has_value();
    }));
    EXPECT_EQ(only->status, 200);
}

/** Guards against a body in chunks, whose length is not known before it is there. */
TEST(held_bodies_test, chunkedBodyIsReadWhateverRoomIsLeft)
{
    holding_fixture fixture;
    const auto first = fixture.post(large);
    ASSERT_TRUE(fixture.runUntil([&] {
        return fixture.held.size() == 1;
    }));
    boost::asio::ip::tcp::socket caller(fixture.io);
    caller.connect({ boost::asio::ip::make_address(address.ip), address.port });
    std::string bytes = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int i = 0; i < 40; ++i) {
        bytes += "4000\r\n" + std::string(0x4000, 'x') + "\r\n";
    }
    bytes += "0\r\n\r\n";
    std::string answer;
    bool isAnswered = false;
    boost::asio::async_write(caller, boost::asio::buffer(bytes), [](const boost::system::error_code &, std::size_t) {});
    boost::asio::async_read_until(caller, boost::asio::dynamic_buffer(answer), "\r\n\r\n", [&](const boost::system::error_code &, std::size_t) {
        isAnswered = true;
    });
    ASSERT_TRUE(fixture.runUntil([&] {
        return isAnswered;
    }));
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
    EXPECT_EQ(fixture.held.size(), 1U);
}

/** Random charges against sums that are kept apart. */
TEST(held_bodies_test, chargesNeverExceedBudget)
{
    random_source random(11);
    const auto shared = std::make_shared<body_budget>(budget);
    std::map<int, std::pair<std::unique_ptr<body_charge>, std::size_t>> charges;
    for (int step = 0; step < 20000; ++step) {
        const int key = static_cast<int>(random.below(40));
        const auto found = charges.find(key);
        if (found != charges.end() && random.chance(0.4)) {
            charges.erase(found);
            continue;
        }
        auto &[charge, bytes] = charges[key];
        charge = charge ? std::move(charge) : std::make_unique<body_charge>(shared);
        const std::size_t wanted = bytes + (random.chance(0.3) ? random.below(budget) : random.below(body_budget::largestSmallRequest / 4));
        if (charge->raiseTo(wanted)) {
            bytes = wanted;
        }
        std::size_t sum = 0;
        std::size_t largeSum = 0;
        std::size_t largeCount = 0;
        for (const auto &[each, row] : charges) {
            sum += row.second;
            largeSum += row.second > body_budget::largestSmallRequest ? row.second : 0;
            largeCount += row.second > body_budget::largestSmallRequest ? 1 : 0;
        }
        ASSERT_EQ(shared->held(), sum);
        ASSERT_LE(sum - largeSum, budget / body_budget::smallShare);
        ASSERT_TRUE(largeSum <= budget - budget / body_budget::smallShare || largeCount == 1) << largeSum;
    }
    charges.clear();
    EXPECT_EQ(shared->held(), 0U);
}

} // namespace
} // namespace reedtrail
