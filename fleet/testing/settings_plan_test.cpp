#include "fleet/duties.h"
#include "fleet/operator_access.h"
#include "fleet/settings_plan.h"
#include "fleet/shared_facts.h"
#include "fleet/token_hash.h"

#include <algorithm>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace reedtrail {
namespace {

using nlohmann::json;
using ::testing::Contains;
using ::testing::HasSubstr;

json baseDocument()
{
    return json::parse(R"({"customers":[{"id":"c1","weight":1},{"id":"c2","weight":1}],
        "pools":[{"id":"p","kind":"engine","servers":[{"id":"s1","address":"127.0.0.1:1","zone":"z"}]},{"id":"scorer","kind":"service","servers":[]}],
        "runs":[{"id":"r","customer":"c1","pool":"p","scorerPool":"scorer","stalenessBound":3}]})");
}

json patched(const char *patch)
{
    json wanted;
    EXPECT_FALSE(failureOf([&]() -> result<void> {
        BOOST_LEAF_ASSIGN(wanted, wantedDocument(baseDocument(), json{ { "patch", json::parse(patch) } }));
        return {};
    }));
    return wanted;
}

/** A patch, and a line that its plan must hold. */
struct plan_case
{
    const char *patch;
    const char *change;
    const char *risk;
};

TEST(settings_plan, saysWhatChangesAndWhatItRisks)
{
    const std::vector<plan_case> cases{
        { R"({"customers":[{"id":"c1","weight":3},{"id":"c2","weight":1}]})", "change customers[c1].weight from 1 to 3", "" },
        { R"({"customers":[{"id":"c1","weight":3},{"id":"c2","weight":1}]})", "customer c1 has a share of 75 % under load, had 50 %", "" },
        { R"({"customers":[{"id":"c1","weight":1}]})", "remove customers[c2]", "customer c2 goes away" },
        { R"({"runs":[]})", "remove runs[r]", "run r ends" },
        { R"({"pools":[{"id":"p","kind":"engine","servers":[]},{"id":"scorer","kind":"service","servers":[]}]})",
          "remove pools[p].servers[s1]",
          "goes without a drain" },
        { R"({"vmListAddress":"127.0.0.1:9"})", "set vmListAddress", "no operator is named" },
    };
    for (const plan_case &each : cases) {
        const settings_plan plan = describePlan(baseDocument(), patched(each.patch));
        EXPECT_THAT(plan.changes, Contains(HasSubstr(each.change)));
        if (*each.risk != '\0') {
            EXPECT_THAT(plan.risks, Contains(HasSubstr(each.risk)));
        }
    }
    EXPECT_TRUE(describePlan(baseDocument(), baseDocument()).changes.empty());
}

TEST(settings_plan, refusesWhatIsNoIntentAndWhatBreaksARule)
{
    for (const char *intent :
         { R"({})", R"([])", R"({"document":{},"patch":{}})", R"({"patch":{"runs":[{"id":"r","customer":"nobody","pool":"p","scorerPool":"scorer"}]}})" }) {
        EXPECT_TRUE(failureOf([&]() -> result<void> {
            BOOST_LEAF_CHECK(wantedDocument(baseDocument(), json::parse(intent)));
            return {};
        })) << intent;
    }
}

error_kind access(std::string_view token, operator_role needed, const fleet_document *document, std::string_view bootstrapHash)
{
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_CHECK(authorizeOperator(token, needed, document, bootstrapHash));
        return {};
    });
    return error ? error->kind : error_kind::None;
}

TEST(operator_access, followsTheRolesOnceSomebodyMayConfirm)
{
    const std::string bootstrap = hashToken("boot", "s");
    fleet_document document;
    EXPECT_EQ(access("", operator_role::Confirm, nullptr, ""), error_kind::None);
    EXPECT_EQ(access("boot", operator_role::Confirm, nullptr, bootstrap), error_kind::None);
    EXPECT_EQ(access("other", operator_role::Read, nullptr, bootstrap), error_kind::Unauthorized);
    document.operators = { { "reader", "read", { hashToken("r", "s") } }, { "chief", "confirm", { hashToken("c", "s") } } };
    EXPECT_EQ(access("boot", operator_role::Confirm, &document, bootstrap), error_kind::Unauthorized);
    EXPECT_EQ(access("r", operator_role::Read, &document, bootstrap), error_kind::None);
    EXPECT_EQ(access("r", operator_role::Plan, &document, bootstrap), error_kind::Forbidden);
    EXPECT_EQ(access("c", operator_role::Confirm, &document, bootstrap), error_kind::None);
    EXPECT_EQ(access("", operator_role::Read, &document, ""), error_kind::Unauthorized);
}

TEST(shared_facts, nodesThatKnowTheSameHaveTheSameDigestWhateverTheOrder)
{
    shared_facts left;
    shared_facts right;
    left.put("a", 1, 1);
    left.put("a", 3, 3);
    left.put("b", 2, 2);
    right.put("b", 2, 2);
    right.put("a", 3, 3);
    EXPECT_FALSE(right.put("a", 1, 1));
    EXPECT_EQ(left.digest(), right.digest());
    EXPECT_EQ(*right.find("a"), 3);
    right.put("c", 1, 1);
    EXPECT_NE(left.digest(), right.digest());
    EXPECT_TRUE(left.apply(right.takeNews()));
    EXPECT_EQ(left.digest(), right.digest());
}

TEST(duties, moveOnlyWithTheirHolderAndPreferThoseThatReachTheStore)
{
    std::vector<member_info> members;
    for (int i = 0; i < 10; ++i) {
        member_info info;
        info.node = node_id("n" + std::to_string(i));
        info.zone = zone_id("z");
        members.push_back(info);
    }
    const std::vector<node_id> chosen = chooseForDuty("d", zone_id("z"), members, 2);
    ASSERT_EQ(chosen.size(), 2U);
    std::vector<member_info> fewer = members;
    std::erase_if(fewer, [&](const member_info &info) {
        return info.node == chosen[1];
    });
    EXPECT_EQ(chooseForDuty("d", zone_id("z"), fewer, 2)[0], chosen[0]);
    std::ranges::find(members, chosen[0], &member_info::node)->isStoreReachable = false;
    EXPECT_FALSE(hasDuty("d", zone_id("z"), members, 2, chosen[0]));
    EXPECT_TRUE(chooseForDuty("d", zone_id("other"), members, 2).empty());
    EXPECT_EQ(chooseForDuty("d", zone_id(), members, 20).size(), 10U);
}

} // namespace
} // namespace reedtrail
