// Servers that run a request and answer it with a status that promises that it has not run.

#include "platform/testing/node_fixture.h"

namespace reedtrail {
namespace {

using testing::node_fixture;

struct refusing_servers_fixture : node_fixture
{
    refusing_servers_fixture()
    {
        useAllKinds();
    }
    http_response answerOn(const std::string &path)
    {
        const auto exchange = startRequest("body", path);
        EXPECT_TRUE(runUntil([&] {
            return exchange->isDone;
        }));
        return exchange->response;
    }
    int requests() const
    {
        return first.requests + second.requests;
    }
};

/** Guards against a caller that sends a request again that may run once, because a server ran it and answered "not run" without stating so. */
TEST(refusal_without_proof_test, requestThatHasRunIsAnsweredAsNotRun)
{
    for (const std::uint16_t status : { http_status::requestTimeout, http_status::tooMany, http_status::unavailable }) {
        refusing_servers_fixture fixture;
        fixture.setScript([status](const std::shared_ptr<http_exchange> &exchange) {
            exchange->respond({ status, testing::serverFields(exchange->request()), "server's own" });
        });
        for (const char *path : { "/n/1", "/u/1" }) {
            const int before = fixture.requests();
            const http_response answer = fixture.answerOn(path);
            EXPECT_EQ(answer.status, http_status::badGateway) << path << ", server's status " << status;
            EXPECT_EQ(testing::signatureIn(answer), "") << "a failure with a signature has the server's status";
            EXPECT_EQ(fixture.requests(), before + 1);
        }
        for (const char *path : { "/p/1", "/t/1" }) {
            const http_response answer = fixture.answerOn(path);
            EXPECT_EQ(answer.status, status) << path << ": a request that may be repeated gets the server's answer unchanged";
            EXPECT_EQ(testing::signatureIn(answer), "sig");
            EXPECT_EQ(answer.body, "server's own");
        }
    }
}

/** The server's statement that it did not run the request is passed on. */
TEST(refusal_without_proof_test, refusalWithProofIsAnsweredAsNotRun)
{
    refusing_servers_fixture fixture;
    fixture.setScript([](const std::shared_ptr<http_exchange> &exchange) {
        exchange->respond({ http_status::unavailable, testing::rejectionFields(exchange->request()), "" });
    });
    for (const char *path : { "/n/1", "/u/1", "/p/1" }) {
        EXPECT_EQ(fixture.answerOn(path).status, http_status::unavailable) << path;
    }
}

/** Other failures of a server are passed on unchanged: they promise nothing. */
TEST(refusal_without_proof_test, failureThatPromisesNothingIsPassedOn)
{
    refusing_servers_fixture fixture;
    fixture.setScript([](const std::shared_ptr<http_exchange> &exchange) {
        exchange->respond({ http_status::internalError, testing::serverFields(exchange->request()), "" });
    });
    const http_response answer = fixture.answerOn("/n/1");
    EXPECT_EQ(answer.status, http_status::internalError);
    EXPECT_EQ(testing::signatureIn(answer), "sig");
}

} // namespace
} // namespace reedtrail
