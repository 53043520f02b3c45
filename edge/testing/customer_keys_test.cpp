// Callers with keys, on a node whose callers, servers and store are real connections: whose request a server sees, and who is turned away.

#include "edge/caller_service.h"
#include "platform/testing/node_fixture.h"

namespace reedtrail {
namespace {

using testing::customerField;
using testing::keyField;
using testing::node_fixture;

const endpoint callersAddress{ "127.0.0.1", 28831 };

/** A node of a deployment with customers, which serves callers. */
struct customer_fixture : node_fixture
{
    customer_fixture()
    {
        context->settings.callers = callersAddress;
        context->settings.readiness = { "127.0.0.1", 28832 };
        putCustomers(2, { { "a", "key-a" }, { "b", "key-b" } });
        readAgain();
        jobs = std::make_unique<batch_job_service>(*context, *fleet);
        callers = std::make_unique<caller_service>(*context, *fleet, *crashes, *origins, *jobs, forwarder);
        kernel process;
        EXPECT_TRUE(callers->start(process));
        setScript([this](const std::shared_ptr<http_exchange> &exchange) {
            seen = exchange->request().fields;
            exchange->respond({ http_status::ok, testing::serverFields(exchange->request()), "ok" });
        });
    }
    /** Sends a call of a caller. @return its status */
    int call(const std::string &method, const std::string &path, const http_fields &fields)
    {
        http_request request{ method, path, testing::callerFields(), "" };
        for (const http_field &field : fields.all()) {
            request.fields.add(field.name, field.value);
        }
        std::optional<int> status;
        callerClient.call(callersAddress, std::move(request), {}, [&](const http_call_end &end, const http_response &response) {
            EXPECT_EQ(end.error, error_kind::None) << end.detail;
            status = response.status;
        });
        EXPECT_TRUE(runUntil([&] {
            return status.has_value();
        }));
        return status.value_or(0);
    }

    http_client callerClient{ io, {} };
    job_forwarder forwarder{ loop, client, metrics, "node-1" };
    std::unique_ptr<batch_job_service> jobs;
    std::unique_ptr<caller_service> callers;
    http_fields seen; ///< Of the last request that a server got.
};

TEST(customer_keys_test, serverIsToldCallersOwnCustomer)
{
    customer_fixture fixture;
    EXPECT_EQ(fixture.call("GET", "/p/1", { keyField("key-a"), customerField("b") }), http_status::ok);
    EXPECT_EQ(testing::customerIn(fixture.seen), "a");
    EXPECT_EQ(testing::keyIn(fixture.seen), "");
    EXPECT_EQ(fixture.call("GET", "/o/1", { customerField("b") }), http_status::ok);
    EXPECT_EQ(testing::customerIn(fixture.seen), "") << "an open route, of which nobody is the customer";
}

TEST(customer_keys_test, callerWithoutCustomersKeyReachesServer)
{
    customer_fixture fixture;
    const http_fields rows[] = {
        {}, { keyField("") }, { keyField("key-c") }, { keyField("a") }, { keyField("key-a"), keyField("key-a", true) }, { keyField(std::string(5000, 'k')) },
    };
    for (const http_fields &fields : rows) {
        EXPECT_EQ(fixture.call("GET", "/p/1", fields), http_status::unauthorized);
    }
    EXPECT_EQ(fixture.call("POST", "/j/1", { keyField("key-c") }), http_status::unauthorized);
    EXPECT_EQ(fixture.call("GET", testing::jobReadTarget("job"), { keyField("key-c") }), http_status::unauthorized);
    EXPECT_EQ(fixture.first.requests + fixture.second.requests, 0);
    EXPECT_EQ(fixture.call("GET", "/nowhere/1", {}), http_status::notFound);
}

/** Keys come and go with configurations, also on a connection that stays open. */
TEST(customer_keys_test, nodeGoesOnWithKeysOfOlderConfiguration)
{
    customer_fixture fixture;
    EXPECT_EQ(fixture.call("GET", "/p/1", { keyField("key-a") }), http_status::ok);
    fixture.putCustomers(3, { { "a", "key-new" } });
    fixture.run(std::chrono::milliseconds(1300)); // The state at hand becomes too old.
    EXPECT_EQ(fixture.call("GET", "/p/1", { keyField("key-a") }), http_status::unauthorized);
    EXPECT_EQ(fixture.call("GET", "/p/1", { keyField("key-new") }), http_status::ok);
}

/** The node can't know whether a newer configuration has the key, so it must not deny it. */
TEST(customer_keys_test, nodeCutFromStoreDeniesKeyThatMayBeNew)
{
    customer_fixture fixture;
    fixture.transport.isCut = true;
    fixture.run(std::chrono::milliseconds(1300));
    EXPECT_EQ(fixture.call("GET", "/p/1", { keyField("key-new") }), http_status::unavailable);
    EXPECT_EQ(fixture.call("GET", "/p/1", { keyField("key-a") }), http_status::ok);
}

/** A customer may not be two, and a key may not be two customers'. The configuration before stays in force. */
TEST(customer_keys_test, ambiguousCustomersReplaceThoseInForce)
{
    customer_fixture fixture;
    fixture.putCustomers(3, { { "b", "key-a" }, { "c", "key-a" } });
    fixture.run(std::chrono::milliseconds(1300));
    EXPECT_EQ(fixture.call("GET", "/p/1", { keyField("key-a") }), http_status::ok);
    EXPECT_EQ(testing::customerIn(fixture.seen), "a");
}

/** An item's own fields may name another customer, or carry a key. */
TEST(customer_keys_test, itemNamesAnotherCustomer)
{
    customer_fixture fixture;
    job_spec spec;
    job_item item;
    item.id = "i";
    item.path = "/j/1";
    item.fields = { customerField("b"), keyField("key-b") };
    spec.items.push_back(item);
    fixture.setScript([&fixture](const std::shared_ptr<http_exchange> &exchange) {
        fixture.seen = exchange->request().fields;
        exchange->startStream({ http_status::ok, testing::serverFields(exchange->request()), "" });
        exchange->write("id: 1\ndata: a\n\n");
        exchange->finishStream();
    });
    fixture.jobCustomer = "a";
    EXPECT_EQ(fixture.runJob(spec).size(), 1U);
    EXPECT_EQ(testing::customerIn(fixture.seen), "a");
    EXPECT_EQ(testing::keyIn(fixture.seen), "");
}

} // namespace
} // namespace reedtrail
