#include "gate/caller_request.h"

#include "fleet/token_hash.h"
#include "gate/idempotency_key_store.h"
#include "gate/load_poller.h"
#include "gate/testing/gate_fixture.h"
#include "gate/token_directory.h"

#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace reedtrail {
namespace {

snapshot_pointer snapshot()
{
    snapshot_pointer made;
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_ASSIGN(made, makeSnapshot(testing::fleetViewOf({ 1 }, { 2 })));
        return {};
    });
    return made;
}

struct request_case
{
    std::string method;
    std::string target;
    http_fields fields;
    std::string body;
    error_kind error = error_kind::None;
};

TEST(CallerRequest, ValidRequestsAreReadAndOthersRefused)
{
    using enum error_kind;
    const std::string prompt = R"({"model":"model","prompt":"p")";
    const std::vector<request_case> cases{
        { "POST", "/v1/completions", {}, prompt + "}", None },
        { "POST", "/v1/completions", {}, prompt + R"(,"stream":true,"max_tokens":5,"n":1})", None },
        { "POST", "/v1/completions", {}, prompt + R"(,"stream":"yes"})", BadRequest },
        { "POST", "/v1/completions", {}, prompt + R"(,"n":2})", BadRequest },
        { "POST", "/v1/completions", {}, R"({"prompt":"p"})", BadRequest },
        { "POST", "/v1/completions", {}, "[]", BadRequest },
        { "POST", "/v1/completions", {}, "\xff", BadRequest },
        { "POST", "/v1/completions", {}, R"({"model":"desk","prompt":"p"})", NotFound },
        { "GET", "/v1/completions", {}, "", NotFound },
        { "GET", "/svc/desk/menu?x=1", {}, "", None },
        { "GET", "/svc/desk", {}, "", None },
        { "GET", "/svc/none/menu", {}, "", NotFound },
        { "GET", "/svc/model/menu", {}, "", NotFound },
        { "GET", "/other", {}, "", NotFound },
        { "GET", "/svc/desk/menu", { { "Reedtrail-Deadline-Ms", "100" } }, "", None },
        { "GET", "/svc/desk/menu", { { "Reedtrail-Deadline-Ms", "-1" } }, "", BadRequest },
        { "GET", "/svc/desk/menu", { { "Reedtrail-Deadline-Ms", "99999999999" } }, "", BadRequest },
        { "GET", "/svc/desk/menu", { { "Reedtrail-Priority", "draft" } }, "", None },
        { "GET", "/svc/desk/menu", { { "Reedtrail-Priority", "first" } }, "", BadRequest },
        { "GET", "/svc/desk/menu", { { "Reedtrail-Ticket", "t" }, { "Idempotency-Key", "k" } }, "", BadRequest },
        { "GET", "/svc/desk/menu", { { "Idempotency-Key", std::string(257, 'k') } }, "", BadRequest },
    };
    const snapshot_pointer known = snapshot();
    for (const request_case &each : cases) {
        SCOPED_TRACE(each.method + " " + each.target + " " + each.body);
        const std::optional<failure> error = failureOf([&]() -> result<void> {
            const http_request request{ each.method, each.target, each.fields, each.body };
            BOOST_LEAF_CHECK(readCallerRequest(request, *known, customer_id("trust"), time_point{}));
            return {};
        });
        EXPECT_EQ(error ? error->kind : error_kind::None, each.error);
    }
}

TEST(CallerRequest, CredentialsAndHopByHopFieldsAreRemoved)
{
    const http_request request{
        "POST", "/svc/desk/orders/7?a=b", { { "Authorization", "Bearer t1" }, { "Transfer-Encoding", "chunked" }, { "X-Menu", "7" } }, "menu"
    };
    caller_request read;
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_ASSIGN(read, readCallerRequest(request, *snapshot(), customer_id("trust"), time_point{}));
        return {};
    });
    ASSERT_FALSE(error);
    EXPECT_EQ(read.broker.upstream.target, "/orders/7?a=b");
    EXPECT_EQ(read.broker.upstream.fields.get("X-Menu"), "7");
    EXPECT_TRUE(read.broker.upstream.fields.get("Authorization").empty());
    EXPECT_TRUE(read.broker.upstream.fields.get("Transfer-Encoding").empty());
    EXPECT_FALSE(read.broker.routing.isIdempotent);
}

TEST(TokenDirectory, FindsTheCustomerOfAToken)
{
    token_directory tokens(2);
    tokens.load(snapshot()->document);
    for (int round = 0; round < 3; ++round) {
        EXPECT_EQ(tokens.customerOf("Bearer t1"), customer_id("trust"));
        EXPECT_EQ(tokens.customerOf("Bearer t2"), customer_id("rival"));
        EXPECT_FALSE(tokens.customerOf("Bearer t3"));
        EXPECT_FALSE(tokens.customerOf("t1"));
    }
    tokens.load({});
    EXPECT_FALSE(tokens.customerOf("Bearer t1")) << "a token removed from the settings must not be answered from the cache";
}

/** A VM that was replaced by another on the same address must not report its load as that of the old server. */
TEST(LoadReport, ReportsOfOtherServersAreIgnored)
{
    const server_id server("engine-3");
    EXPECT_EQ(readLoadReport(server, R"({"server":"engine-3","waiting":2,"running":8,"slots":8,"weight_version":5,"state":"ready"})")->waiting, 2);
    EXPECT_TRUE(readLoadReport(server, R"({"server":"engine-3","state":"leaving"})")->isLeaving);
    EXPECT_TRUE(readLoadReport(server, R"({"server":"engine-3","state":"swapping"})")->isVersionUnknown);
    EXPECT_FALSE(readLoadReport(server, R"({"server":"engine-4","state":"ready"})")) << "the report names another server";
    EXPECT_FALSE(readLoadReport(server, "nonsense"));
}

TEST(KeyRecord, DecodesItsEncodedForm)
{
    const key_record record{ { node_id("entry-a1"), 12345678901234567U }, 9, -5 };
    EXPECT_EQ(decodeKeyRecord(encodeKeyRecord(record)), record);
    for (const char *bad :
         { "", "{}", "[]", R"({"node":1,"incarnation":1,"operation":1,"claimedAt":1})", R"({"node":"a","incarnation":"1","operation":1,"claimedAt":1})" }) {
        EXPECT_FALSE(decodeKeyRecord(bad)) << bad;
    }
}

} // namespace
} // namespace reedtrail
