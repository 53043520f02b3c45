#include "routing/testing/scheduler_fixture.h"

#include <algorithm>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;

class request_scheduler_test : public testing::scheduler_fixture
{
};

TEST_F(request_scheduler_test, sendsAtOnceWhileAServerHasRoom)
{
    apply(2, 2, 1);
    for (int i = 0; i < 4; ++i) {
        arrive(makeRequest("r" + std::to_string(i)));
        ASSERT_EQ(all<dispatch_request>().size(), 1U) << i;
        EXPECT_EQ(all<dispatch_request>()[0].attempt, 1U);
    }
    arrive(makeRequest("r4"));
    EXPECT_TRUE(actions.empty());
    end("r0", 1, attempt_end::Answered);
    ASSERT_EQ(all<dispatch_request>().size(), 1U);
    EXPECT_EQ(all<dispatch_request>()[0].request, request_id("r4"));
}

TEST_F(request_scheduler_test, refusesAtOnceWhatItCannotTake)
{
    arrive(makeRequest("r"));
    EXPECT_EQ(refusal(), error_kind::NotFound);
    apply(1, 1, 1);
    arrive(makeRequest("r", "stranger"));
    EXPECT_EQ(refusal(), error_kind::Forbidden);
    apply(1, 1, 1, { server_id("s0") });
    arrive(makeRequest("r"));
    EXPECT_EQ(refusal(), error_kind::NoServer);
    apply(1, 1, 1);
    scheduler.beginDrain(now, actions);
    arrive(makeRequest("r"));
    EXPECT_EQ(refusal(), error_kind::Draining);
    EXPECT_TRUE(scheduler.isIdle());
}

TEST_F(request_scheduler_test, refusesAWaitingRequestWhenItsTimeIsUp)
{
    apply(1, 1, 1);
    arrive(makeRequest("r0"));
    arriving_request late = makeRequest("r1");
    late.deadline = now + 300ms;
    arrive(std::move(late));
    EXPECT_TRUE(actions.empty());
    pass(299ms);
    EXPECT_TRUE(actions.empty());
    pass(1ms);
    EXPECT_EQ(refusal(), error_kind::QueueDeadline);
    EXPECT_GT(all<refuse_request>()[0].retryAfter, duration{});
}

TEST_F(request_scheduler_test, cancelsAnOpenAttemptAtItsDeadline)
{
    apply(1, 1, 1);
    arriving_request request = makeRequest("r0");
    request.deadline = now + 300ms;
    arrive(std::move(request));
    pass(300ms);
    ASSERT_EQ(actions.size(), 2U);
    EXPECT_EQ(all<cancel_attempt>().size(), 1U);
    EXPECT_EQ(refusal(), error_kind::DeadlineExceeded);
    EXPECT_TRUE(scheduler.isIdle());
}

struct end_case
{
    attempt_end end;
    bool isIdempotent;
    bool hasToken;
    error_kind refused; ///< None if it is sent again.
};

class attempt_end_test : public testing::scheduler_fixture, public ::testing::WithParamInterface<end_case>
{
};

TEST_P(attempt_end_test, isSentAgainOnlyIfThatIsSafe)
{
    const end_case &each = GetParam();
    apply(4, 1, 1);
    arriving_request request = makeRequest("r");
    request.isIdempotent = each.isIdempotent;
    arrive(std::move(request));
    const server_id first = all<dispatch_request>().at(0).server;
    if (each.hasToken) {
        scheduler.onFirstToken(now, request_id("r"));
    }
    end("r", 1, each.end);
    if (each.refused != error_kind::None) {
        EXPECT_EQ(refusal(), each.refused);
        return;
    }
    ASSERT_EQ(all<dispatch_request>().size(), 1U);
    EXPECT_EQ(all<dispatch_request>()[0].attempt, 2U);
    EXPECT_NE(all<dispatch_request>()[0].server, first);
}

INSTANTIATE_TEST_SUITE_P(ends,
                         attempt_end_test,
                         ::testing::Values(end_case{ attempt_end::NotStarted, true, false, error_kind::None },
                                           end_case{ attempt_end::NotStarted, false, false, error_kind::None },
                                           end_case{ attempt_end::Failed, true, false, error_kind::None },
                                           end_case{ attempt_end::Failed, false, false, error_kind::ServerFailed },
                                           end_case{ attempt_end::Failed, true, true, error_kind::ServerFailed },
                                           end_case{ attempt_end::Silent, true, false, error_kind::None },
                                           end_case{ attempt_end::Silent, false, false, error_kind::ServerSilent }));

TEST_F(request_scheduler_test, triesTheOnlyServerOfAPoolAgain)
{
    apply(1, 1, 1);
    arrive(makeRequest("r"));
    end("r", 1, attempt_end::Failed);
    ASSERT_EQ(all<dispatch_request>().size(), 1U);
    EXPECT_EQ(all<dispatch_request>()[0].attempt, 2U);
}

TEST_F(request_scheduler_test, ignoresTheEndOfAnOldAttempt)
{
    apply(4, 1, 1);
    arrive(makeRequest("r"));
    end("r", 1, attempt_end::NotStarted);
    end("r", 1, attempt_end::Answered);
    EXPECT_FALSE(scheduler.isIdle());
    end("r", 2, attempt_end::Answered);
    EXPECT_TRUE(scheduler.isIdle());
}

TEST_F(request_scheduler_test, sendsNothingToALeavingServer)
{
    apply(2, 100, 1, { server_id("s1") });
    for (int i = 0; i < 50; ++i) {
        arrive(makeRequest("r" + std::to_string(i)));
        EXPECT_EQ(all<dispatch_request>().at(0).server, server_id("s0"));
    }
}

TEST_F(request_scheduler_test, keepsItsQueueWithinTheCustomersBound)
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

TEST_F(request_scheduler_test, sendsInteractiveRequestsBeforeDraftsAndRunsByWeight)
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
    end("r0", 1, attempt_end::Answered);
    EXPECT_EQ(all<dispatch_request>().at(0).request, request_id("i"));
    EXPECT_EQ(all<dispatch_request>().at(0).enginePriority, 0);
    std::string order;
    for (std::string last = "i"; order.size() < 4;) {
        end(last, 1, attempt_end::Answered);
        EXPECT_EQ(all<dispatch_request>().at(0).enginePriority, 1);
        last = all<dispatch_request>().at(0).request.str();
        order += last[0];
    }
    EXPECT_EQ(std::ranges::count(order, 'h'), 3) << order;
    EXPECT_EQ(std::ranges::count(order, 'l'), 1) << order;
}

} // namespace
} // namespace reedtrail
