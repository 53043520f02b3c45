#include "once/deduplication_table.h"

#include "base/check.h"
#include "base/random.h"

#include <gtest/gtest.h>
#include <map>
#include <string>

namespace reedtrail {
namespace {

time_point at(std::int64_t seconds)
{
    return time_point(std::chrono::seconds(seconds));
}

request_submission makeSubmission(waiter_id waiter, const std::string &name, std::uint32_t attempt = 0)
{
    return { waiter, name, customer_id("trust"), 1, attempt };
}

/** Submits a request, dispatches it and answers it with @p body. */
void runToAnswer(deduplication_table &table, time_point now, waiter_id waiter, const std::string &name, const std::string &body)
{
    deduplication_table::actions actions;
    table.onSubmission(now, makeSubmission(waiter, name), actions);
    ASSERT_EQ(actions.size(), 1U);
    ASSERT_TRUE(std::holds_alternative<run_request>(actions.front()));
    table.onDispatched(name);
    table.onAnswered(now, name, { 200, {}, body }, actions);
    ASSERT_EQ(std::get<send_answer>(actions.at(1)).answer->body, body);
}

TEST(DeduplicationTable, RetriesJoinThenGetTheCachedAnswer)
{
    deduplication_table table({});
    deduplication_table::actions actions;
    table.onSubmission(at(1), makeSubmission(1, "a"), actions);
    table.onSubmission(at(1), makeSubmission(2, "a"), actions);
    ASSERT_EQ(actions.size(), 1U) << "the second submission joins the first and runs nothing";
    table.onDispatched("a");
    table.onAnswered(at(2), "a", { 200, {}, "proof" }, actions);
    ASSERT_EQ(actions.size(), 3U);
    EXPECT_EQ(std::get<send_answer>(actions[1]).waiter, 1U);
    EXPECT_EQ(std::get<send_answer>(actions[2]).waiter, 2U);
    table.onSubmission(at(3), makeSubmission(3, "a"), actions);
    EXPECT_TRUE(std::get<send_answer>(actions.at(3)).isReplay);
}

TEST(DeduplicationTable, OtherCustomerOrContentIsRefused)
{
    deduplication_table table({});
    runToAnswer(table, at(1), 1, "a", "proof");
    deduplication_table::actions actions;
    table.onSubmission(at(2), { 2, "a", customer_id("rival"), 1, 0 }, actions);
    table.onSubmission(at(2), { 3, "a", customer_id("trust"), 2, 0 }, actions);
    ASSERT_EQ(actions.size(), 2U);
    EXPECT_EQ(std::get<send_error>(actions[0]).kind, error_kind::TicketUnknown);
    EXPECT_EQ(std::get<send_error>(actions[1]).kind, error_kind::TicketUnknown);
}

/** A delayed copy of a request must not run after its caller was told "not run". */
TEST(DeduplicationTable, NotRunIsFinalForItsAttempt)
{
    deduplication_table table({});
    deduplication_table::actions actions;
    table.onSubmission(at(1), makeSubmission(1, "a"), actions);
    table.onNotRun(at(1), "a", error_kind::QueueDeadline, "", {}, actions);
    table.onSubmission(at(2), makeSubmission(2, "a"), actions);
    EXPECT_EQ(std::get<send_error>(actions.at(2)).kind, error_kind::QueueDeadline);
    table.onSubmission(at(2), makeSubmission(3, "a", 1), actions);
    EXPECT_TRUE(std::holds_alternative<run_request>(actions.at(3)));
    table.onSubmission(at(2), makeSubmission(4, "a", 0), actions);
    EXPECT_EQ(actions.size(), 4U) << "the late copy of attempt 0 joins attempt 1 and runs nothing";
}

TEST(DeduplicationTable, ExcessWaitersAndEntriesAreAnsweredUnknown)
{
    deduplication_table table({ .maximumEntries = 2, .maximumWaiters = 2 });
    deduplication_table::actions actions;
    for (waiter_id waiter = 1; waiter <= 3; ++waiter) {
        table.onSubmission(at(1), makeSubmission(waiter, "a"), actions);
    }
    EXPECT_EQ(answerFor(std::get<send_error>(actions.at(1)).kind).outcome, request_outcome::Unknown);
    table.onSubmission(at(1), makeSubmission(4, "b"), actions);
    table.onSubmission(at(1), makeSubmission(5, "c"), actions);
    EXPECT_EQ(answerFor(std::get<send_error>(actions.at(3)).kind).outcome, request_outcome::Unknown);
}

/**
 * Runs random sequences against a reference map: the limits hold, a cached answer belongs to its request, and no name runs twice within the lifetime of its
 * entry.
 */
TEST(DeduplicationTable, RandomSequencesMatchTheModel)
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        random_source random(seed);
        const deduplication_options options{ 1000, 5, 2000, 16, std::chrono::seconds(100) };
        deduplication_table table(options);
        std::map<std::string, time_point> endedAt;
        time_point now = at(1);
        for (waiter_id waiter = 1; waiter <= 300; ++waiter) {
            now += duration(static_cast<std::int64_t>(random.below(3000000)));
            const std::string name = "r" + std::to_string(random.below(30));
            deduplication_table::actions actions;
            table.onSubmission(now, makeSubmission(waiter, name), actions);
            ASSERT_EQ(actions.size(), 1U) << "seed " << seed;
            const bool isRemembered = endedAt.contains(name) && now - endedAt[name] <= options.entryLifetime;
            ASSERT_EQ(std::holds_alternative<run_request>(actions.front()), !isRemembered) << "seed " << seed;
            if (!isRemembered) {
                table.onDispatched(name);
                table.onAnswered(now, name, { 200, {}, name + std::string(random.below(600), 'x') }, actions);
                endedAt[name] = now;
            } else if (const auto *given = std::get_if<send_answer>(&actions.front())) {
                ASSERT_EQ(given->answer->body.substr(0, name.size()), name) << "seed " << seed;
            } else {
                ASSERT_EQ(std::get<send_error>(actions.front()).kind, error_kind::TicketSpent) << "seed " << seed;
            }
            ASSERT_LE(table.counts().answers, options.maximumAnswers) << "seed " << seed;
            ASSERT_LE(table.counts().answerBytes, options.maximumAnswerBytes) << "seed " << seed;
        }
    }
}

} // namespace
} // namespace reedtrail
