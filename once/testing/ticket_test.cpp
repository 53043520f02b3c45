#include "once/ticket.h"

#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace reedtrail {
namespace {

constexpr ticket_secret issuerSecret{ 1, 2, 3 };
constexpr ticket_secret otherSecret{ 4, 5, 6 };

time_point at(std::int64_t seconds)
{
    return time_point(std::chrono::seconds(seconds));
}

TEST(Ticket, StatusDependsOnGateCustomerAndAge)
{
    const customer_id customer("trust");
    ticket_issuer issuer(node_id("entry.a1"), 7, issuerSecret, {});
    const std::string text = issuer.issue(at(100), customer).value();
    const ticket_issuer restartedNode(node_id("entry.a1"), 8, otherSecret, {});
    const ticket_issuer sameIncarnation(node_id("entry.a1"), 7, otherSecret, {});
    const ticket_issuer otherNode(node_id("entry-b1"), 7, otherSecret, {});
    EXPECT_EQ(issuer.check(at(101), customer, text).status, ticket_status::Own);
    EXPECT_EQ(issuer.check(at(701), customer, text).status, ticket_status::Expired);
    EXPECT_EQ(issuer.check(at(101), customer_id("rival"), text).status, ticket_status::Invalid);
    EXPECT_EQ(restartedNode.check(at(101), customer, text).status, ticket_status::Foreign);
    EXPECT_EQ(sameIncarnation.check(at(101), customer, text).status, ticket_status::Foreign)
        << "a clock set back can give two processes the same incarnation number";
    const ticket_check foreign = otherNode.check(at(101), customer, text);
    EXPECT_EQ(foreign.status, ticket_status::Foreign);
    EXPECT_EQ(foreign.issuer, (gate_incarnation{ node_id("entry.a1"), 7 }));
}

TEST(Ticket, AlteredTicketsAreNeverOwn)
{
    const customer_id customer("trust");
    ticket_issuer issuer(node_id("entry-a1"), 7, issuerSecret, {});
    const std::string text = issuer.issue(at(100), customer).value();
    for (std::size_t place = 0; place < text.size(); ++place) {
        for (const char other : std::string("0aZ.")) {
            std::string changed = text;
            changed[place] = other;
            const bool isSame = changed == text;
            EXPECT_EQ(issuer.check(at(101), customer, changed).status == ticket_status::Own, isSame) << changed;
        }
    }
    for (const std::string &none : std::vector<std::string>{ "", ".", "a", "....", "a.b.c.d.e.f", ".1.2.3.4.5", text + "0", "0" + text }) {
        EXPECT_NE(issuer.check(at(101), customer, none).status, ticket_status::Own) << none;
    }
}

TEST(Ticket, OutstandingTicketsAreLimitedUntilTheyExpire)
{
    ticket_issuer issuer(node_id("entry-a1"), 7, issuerSecret, { std::chrono::minutes(10), 100 });
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
