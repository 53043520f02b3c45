#include "routing/testing/scheduler_fixture.h"

#include <algorithm>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;

class request_scheduler_test : public testing::scheduler_fixture
{
};

TEST_F(request_scheduler_test, dispatchesAtOnceWhileServerHasRoom)
{
    applyDocument(2, 2, 1);
    for (int i = 0; i < 4; ++i) {
        arrive(makeRequest("r" + std::to_string(i)));
        ASSERT_EQ(actionsOf<dispatch_request>().size(), 1U) << i;
        EXPECT_EQ(actionsOf<dispatch_request>()[0].attempt, 1U);
    }
    arrive(makeRequest("r4"));
    EXPECT_TRUE(actions.empty());
    endAttempt("r0", 1, attempt_end::Answered);
    ASSERT_EQ(actionsOf<dispatch_request>().size(), 1U);
    EXPECT_EQ(actionsOf<dispatch_request>()[0].request, request_id("r4"));
}

TEST_F(request_scheduler_test, refusesInadmissibleRequestsOnArrival)
{
    arrive(makeRequest("r"));
    EXPECT_EQ(refusal(), error_kind::NotFound);
    applyDocument(1, 1, 1);
    arrive(makeRequest("r", "unknown"));
    EXPECT_EQ(refusal(), error_kind::Forbidden);
    applyDocument(1, 1, 1, { server_id("s0") });
    arrive(makeRequest("r"));
    EXPECT_EQ(refusal(), error_kind::NoServer);
    applyDocument(1, 1, 1);
    scheduler.beginDrain(now, actions);
    arrive(makeRequest("r"));
    EXPECT_EQ(refusal(), error_kind::Draining);
    EXPECT_TRUE(scheduler.isIdle());
}

/** A request that cannot start before its deadline is refused with Retry-After instead of waiting any longer. */
TEST_F(request_scheduler_test, refusesWaitingRequestAtLatestStart)
{
    applyDocument(1, 1, 1);
    arrive(makeRequest("r0"));
    arriving_request urgent = makeRequest("r1");
    urgent.deadline = now + 300ms;
    arrive(std::move(urgent));
    EXPECT_TRUE(actions.empty());
    advance(299ms);
    EXPECT_TRUE(actions.empty());
    advance(1ms);
    EXPECT_EQ(refusal(), error_kind::QueueDeadline);
    EXPECT_GT(actionsOf<refuse_request>()[0].retryAfter, duration{});
}

TEST_F(request_scheduler_test, cancelsOpenAttemptAtDeadline)
{
    applyDocument(1, 1, 1);
    arriving_request request = makeRequest("r0");
    request.deadline = now + 300ms;
    arrive(std::move(request));
    advance(300ms);
    ASSERT_EQ(actions.size(), 2U);
    EXPECT_EQ(actionsOf<cancel_attempt>().size(), 1U);
    EXPECT_EQ(refusal(), error_kind::DeadlineExceeded);
    EXPECT_TRUE(scheduler.isIdle());
}

struct attempt_end_case
{
    attempt_end end;
    bool isIdempotent;
    bool hasToken;
    error_kind refused; ///< Expected error; None if the request is retried.
};

class attempt_end_test : public testing::scheduler_fixture, public ::testing::WithParamInterface<attempt_end_case>
{
};

/** Guards against running a request twice: after an attempt that may have run, only an idempotent request without a token may be retried. */
TEST_P(attempt_end_test, retriesOnlyIfSafe)
{
    const attempt_end_case &parameters = GetParam();
    applyDocument(4, 1, 1);
    arriving_request request = makeRequest("r");
    request.isIdempotent = parameters.isIdempotent;
    arrive(std::move(request));
    const server_id first = actionsOf<dispatch_request>().at(0).server;
    if (parameters.hasToken) {
        scheduler.onFirstToken(now, request_id("r"));
    }
    endAttempt("r", 1, parameters.end);
    if (parameters.refused != error_kind::None) {
        EXPECT_EQ(refusal(), parameters.refused);
        return;
    }
    ASSERT_EQ(actionsOf<dispatch_request>().size(), 1U);
    EXPECT_EQ(actionsOf<dispatch_request>()[0].attempt, 2U);
    EXPECT_NE(actionsOf<dispatch_request>()[0].server, first);
}

INSTANTIATE_TEST_SUITE_P(ends,
                         attempt_end_test,
                         ::testing::Values(attempt_end_case{ attempt_end::NotStarted, true, false, error_kind::None },
                                           attempt_end_case{ attempt_end::NotStarted, false, false, error_kind::None },
                                           attempt_end_case{ attempt_end::Failed, true, false, error_kind::None },
                                           attempt_end_case{ attempt_end::Failed, false, false, error_kind::ServerFailed },
                                           attempt_end_case{ attempt_end::Failed, true, true, error_kind::ServerFailed },
                                           attempt_end_case{ attempt_end::Silent, true, false, error_kind::None },
                                           attempt_end_case{ attempt_end::Silent, false, false, error_kind::ServerSilent }));

/** Excluding servers that failed the request must not block its retry when no other server exists. */
TEST_F(request_scheduler_test, retriesOnOnlyServerOfPool)
{
    applyDocument(1, 1, 1);
    arrive(makeRequest("r"));
    endAttempt("r", 1, attempt_end::Failed);
    ASSERT_EQ(actionsOf<dispatch_request>().size(), 1U);
    EXPECT_EQ(actionsOf<dispatch_request>()[0].attempt, 2U);
}

/** A late event about the first attempt must not end the request while its second attempt is open. */
TEST_F(request_scheduler_test, ignoresEndOfEarlierAttempt)
{
    applyDocument(4, 1, 1);
    arrive(makeRequest("r"));
    endAttempt("r", 1, attempt_end::NotStarted);
    endAttempt("r", 1, attempt_end::Answered);
    EXPECT_FALSE(scheduler.isIdle());
    endAttempt("r", 2, attempt_end::Answered);
    EXPECT_TRUE(scheduler.isIdle());
}

TEST_F(request_scheduler_test, dispatchesNothingToLeavingServer)
{
    applyDocument(2, 100, 1, { server_id("s1") });
    for (int i = 0; i < 50; ++i) {
        arrive(makeRequest("r" + std::to_string(i)));
        EXPECT_EQ(actionsOf<dispatch_request>().at(0).server, server_id("s0"));
    }
}

TEST_F(request_scheduler_test, refusesRequestsBeyondCustomerQueueLimit)
{
    fleet_document document = makeDocument(1, 1, 1);
    document.customers[0].maximumQueued = 2;
    scheduler.applyDocument(now, document, {}, actions);
    for (int i = 0; i < 3; ++i) {
        arrive(makeRequest("r" + std::to_string(i)));
        EXPECT_EQ(refusal(), error_kind::None);
    }
    arrive(makeRequest("r3"));
    EXPECT_EQ(refusal(), error_kind::CustomerLimit);
}

/** Interactive requests go before drafts; drafts of runs with weights 1 and 3 are dispatched in that ratio. */
TEST_F(request_scheduler_test, prefersInteractiveRequestsAndSharesDraftsByRunWeight)
{
    fleet_document document = makeDocument(1, 1, 1);
    document.runs.resize(2);
    document.runs[0].id = run_id("light");
    document.runs[1].id = run_id("heavy");
    document.runs[1].weight = 3;
    scheduler.applyDocument(now, document, {}, actions);
    arrive(makeRequest("r0"));
    for (int i = 0; i < 8; ++i) {
        arriving_request draft = makeRequest((i % 2 == 0 ? "l" : "h") + std::to_string(i));
        draft.isInteractive = false;
        draft.run = document.runs[static_cast<std::size_t>(i % 2)].id;
        arrive(std::move(draft));
    }
    arrive(makeRequest("i"));
    endAttempt("r0", 1, attempt_end::Answered);
    EXPECT_EQ(actionsOf<dispatch_request>().at(0).request, request_id("i"));
    EXPECT_EQ(actionsOf<dispatch_request>().at(0).enginePriority, 0);
    std::string order;
    for (std::string last = "i"; order.size() < 4;) {
        endAttempt(last, 1, attempt_end::Answered);
        EXPECT_EQ(actionsOf<dispatch_request>().at(0).enginePriority, 1);
        last = actionsOf<dispatch_request>().at(0).request.str();
        order += last[0];
    }
    EXPECT_EQ(std::ranges::count(order, 'h'), 3) << order;
    EXPECT_EQ(std::ranges::count(order, 'l'), 1) << order;
}

} // namespace
} // namespace reedtrail
