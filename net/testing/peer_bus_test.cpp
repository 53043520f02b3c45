#include "net/peer_bus.h"

#include <gtest/gtest.h>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;

struct ping_question
{
    static constexpr std::string_view messageName = "ping-question";
    int number = 0;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(ping_question, number)
};

struct ping_answer
{
    static constexpr std::string_view messageName = "ping-answer";
    int number = 0;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(ping_answer, number)
};

// Guards against a persistent connection that gives up when its peer starts later: the first connection attempts find no listener.
TEST(peer_bus, reconnectsToLatePeerAndGetsAnswer)
{
    boost::asio::io_context io;
    const endpoint where{ "127.0.0.1", 29871 };
    peer_bus asker(io, {});
    int answered = 0;
    asker.keepConnected(where,
                        { [&](link_id link) {
                             asker.ask<ping_answer>(link, ping_question{ 4 }, 20s, [&](std::optional<failure> error, ping_answer answer) {
                                 EXPECT_FALSE(error) << error->detail;
                                 answered = answer.number;
                                 io.stop();
                             });
                         },
                          nullptr });
    io.run_for(150ms);
    io.restart();
    peer_bus answerer(io, {});
    answerer.onQuestion<ping_question, ping_answer>([](link_id, ping_question question, peer_bus::reply<ping_answer> reply) {
        reply({ question.number + 1 });
    });
    ASSERT_TRUE(answerer.listen(where));
    io.run_for(20s);
    EXPECT_EQ(answered, 5);
}

// Guards against a question on a closed link that waits for its timeout or is never reported.
TEST(peer_bus, questionOnClosedLinkFails)
{
    boost::asio::io_context io;
    peer_bus bus(io, {});
    int failures = 0;
    bus.ask<ping_answer>(77, ping_question{}, 20s, [&](std::optional<failure> error, ping_answer) {
        ASSERT_TRUE(error);
        EXPECT_EQ(error->kind, error_kind::PeerUnreachable);
        ++failures;
        io.stop();
    });
    io.run_for(20s);
    EXPECT_EQ(failures, 1);
}

} // namespace
} // namespace reedtrail
