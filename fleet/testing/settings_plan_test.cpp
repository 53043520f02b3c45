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
    json desired;
    EXPECT_FALSE(failureOf([&]() -> result<void> {
        BOOST_LEAF_ASSIGN(desired, desiredDocument(baseDocument(), json{ { "patch", json::parse(patch) } }));
        return {};
    }));
    return desired;
}

/** A patch, and parts of a change line and a risk line that its plan must contain; an empty risk is not checked. */
struct plan_case
{
    const char *patch;
    const char *change;
    const char *risk;
};

TEST(settings_plan, planListsChangesAndRisks)
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
    for (const plan_case &testCase : cases) {
        const settings_plan plan = describePlan(baseDocument(), patched(testCase.patch));
        EXPECT_THAT(plan.changes, Contains(HasSubstr(testCase.change)));
        if (*testCase.risk != '\0') {
            EXPECT_THAT(plan.risks, Contains(HasSubstr(testCase.risk)));
        }
    }
    EXPECT_TRUE(describePlan(baseDocument(), baseDocument()).changes.empty());
}

TEST(settings_plan, invalidIntentsAreRefused)
{
    for (const char *intent :
         { R"({})", R"([])", R"({"document":{},"patch":{}})", R"({"patch":{"runs":[{"id":"r","customer":"nobody","pool":"p","scorerPool":"scorer"}]}})" }) {
        EXPECT_TRUE(failureOf([&]() -> result<void> {
            BOOST_LEAF_CHECK(desiredDocument(baseDocument(), json::parse(intent)));
            return {};
        })) << intent;
    }
}

error_kind authorizationError(std::string_view token, operator_role needed, const fleet_document *document, std::string_view bootstrapHash)
{
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_CHECK(authorizeOperator(token, needed, document, bootstrapHash));
        return {};
    });
    return error ? error->kind : error_kind::None;
}

TEST(operator_access, rolesApplyOnceAConfirmerExists)
{
    const std::string bootstrap = hashToken("boot", "s");
    fleet_document document;
    EXPECT_EQ(authorizationError("", operator_role::Confirm, nullptr, ""), error_kind::None);
    EXPECT_EQ(authorizationError("boot", operator_role::Confirm, nullptr, bootstrap), error_kind::None);
    EXPECT_EQ(authorizationError("other", operator_role::Read, nullptr, bootstrap), error_kind::Unauthorized);
    document.operators = { { "reader", "read", { hashToken("r", "s") } }, { "chief", "confirm", { hashToken("c", "s") } } };
    EXPECT_EQ(authorizationError("boot", operator_role::Confirm, &document, bootstrap), error_kind::Unauthorized);
    EXPECT_EQ(authorizationError("r", operator_role::Read, &document, bootstrap), error_kind::None);
    EXPECT_EQ(authorizationError("r", operator_role::Plan, &document, bootstrap), error_kind::Forbidden);
    EXPECT_EQ(authorizationError("c", operator_role::Confirm, &document, bootstrap), error_kind::None);
    EXPECT_EQ(authorizationError("", operator_role::Read, &document, ""), error_kind::Unauthorized);
}

TEST(shared_facts, digestIsIndependentOfOrder)
{
    shared_facts first;
    shared_facts second;
    first.put("a", 1, 1);
    first.put("a", 3, 3);
    first.put("b", 2, 2);
    second.put("b", 2, 2);
    second.put("a", 3, 3);
    EXPECT_FALSE(second.put("a", 1, 1));
    EXPECT_EQ(first.digest(), second.digest());
    EXPECT_EQ(*second.find("a"), 3);
    second.put("c", 1, 1);
    EXPECT_NE(first.digest(), second.digest());
    EXPECT_TRUE(first.apply(second.takePendingFacts()));
    EXPECT_EQ(first.digest(), second.digest());
}

TEST(duties, moveOnlyWithHolderAndPreferStoreAccess)
{
    std::vector<member_info> members;
    for (int i = 0; i < 10; ++i) {
        member_info info;
        info.node = node_id("n" + std::to_string(i));
        info.zone = zone_id("z");
        members.push_back(info);
    }
    const std::vector<node_id> chosen = selectDutyHolders("d", zone_id("z"), members, 2);
    ASSERT_EQ(chosen.size(), 2U);
    std::vector<member_info> fewer = members;
    std::erase_if(fewer, [&](const member_info &info) {
        return info.node == chosen[1];
    });
    EXPECT_EQ(selectDutyHolders("d", zone_id("z"), fewer, 2)[0], chosen[0]);
    std::ranges::find(members, chosen[0], &member_info::node)->isStoreReachable = false;
    EXPECT_FALSE(hasDuty("d", zone_id("z"), members, 2, chosen[0]));
    EXPECT_TRUE(selectDutyHolders("d", zone_id("other"), members, 2).empty());
    EXPECT_EQ(selectDutyHolders("d", zone_id(), members, 20).size(), 10U);
}

} // namespace
} // namespace reedtrail
