#include "once/ticket.h"

#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace reedtrail {
namespace {

constexpr ticket_secret secretOfOne{ 1, 2, 3 };
constexpr ticket_secret secretOfOther{ 4, 5, 6 };

time_point at(std::int64_t seconds)
{
    return time_point(std::chrono::seconds(seconds));
}

TEST(Ticket, StandingAtEachGate)
{
    const customer_id customer("trust");
    ticket_issuer issuer(node_id("entry.a1"), 7, secretOfOne, {});
    const std::string text = issuer.issue(at(100), customer).value();
    const ticket_issuer laterProcess(node_id("entry.a1"), 8, secretOfOther, {});
    const ticket_issuer sameNumber(node_id("entry.a1"), 7, secretOfOther, {});
    const ticket_issuer otherNode(node_id("entry-b1"), 7, secretOfOther, {});
    EXPECT_EQ(issuer.check(at(101), customer, text).standing, ticket_standing::Own);
    EXPECT_EQ(issuer.check(at(701), customer, text).standing, ticket_standing::Expired);
    EXPECT_EQ(issuer.check(at(101), customer_id("rival"), text).standing, ticket_standing::Invalid);
    EXPECT_EQ(laterProcess.check(at(101), customer, text).standing, ticket_standing::Foreign);
    EXPECT_EQ(sameNumber.check(at(101), customer, text).standing, ticket_standing::Foreign) << "a clock set back gives the same number to another process";
    const ticket_check foreign = otherNode.check(at(101), customer, text);
    EXPECT_EQ(foreign.standing, ticket_standing::Foreign);
    EXPECT_EQ(foreign.issuer, (request_issuer{ node_id("entry.a1"), 7 }));
}

TEST(Ticket, NoChangedTicketIsOwn)
{
    const customer_id customer("trust");
    ticket_issuer issuer(node_id("entry-a1"), 7, secretOfOne, {});
    const std::string text = issuer.issue(at(100), customer).value();
    for (std::size_t place = 0; place < text.size(); ++place) {
        for (const char other : std::string("0aZ.")) {
            std::string changed = text;
            changed[place] = other;
            const bool isSame = changed == text;
            EXPECT_EQ(issuer.check(at(101), customer, changed).standing == ticket_standing::Own, isSame) << changed;
        }
    }
    for (const std::string &none : std::vector<std::string>{ "", ".", "a", "....", "a.b.c.d.e.f", ".1.2.3.4.5", text + "0", "0" + text }) {
        EXPECT_NE(issuer.check(at(101), customer, none).standing, ticket_standing::Own) << none;
    }
}

TEST(Ticket, OutstandingTicketsAreBoundedAndReturnAfterTheirLifetime)
{
    ticket_issuer issuer(node_id("entry-a1"), 7, secretOfOne, { std::chrono::minutes(10), 100 });
    for (int number = 0; number < 100; ++number) {
        EXPECT_TRUE(issuer.issue(at(number), customer_id("trust")));
    }
    EXPECT_FALSE(issuer.issue(at(100), customer_id("trust")));
    EXPECT_EQ(issuer.outstanding(at(500)), 100U);
    EXPECT_EQ(issuer.outstanding(at(800)), 0U);
    EXPECT_TRUE(issuer.issue(at(800), customer_id("trust")));
    EXPECT_EQ(issuer.outstanding(at(1000000)), 0U);
}

} // namespace
} // namespace reedtrail
