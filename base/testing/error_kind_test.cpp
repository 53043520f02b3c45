#include "base/error_kind.h"

#include <gtest/gtest.h>
#include <set>

namespace reedtrail {
namespace {

TEST(error_table, hasOneRowForEachKindWithItsOwnName)
{
    std::set<std::string_view> names;
    for (const error_answer &row : errorTable()) {
        EXPECT_TRUE(names.insert(row.name).second) << row.name;
        EXPECT_EQ(errorKindNamed(row.name), row.kind);
        EXPECT_FALSE(row.text.empty());
        EXPECT_GE(row.httpStatus, 200);
    }
    EXPECT_EQ(names.size(), errorKindCount);
}

TEST(error_table, neverSaysNotRunOnceARequestMayHaveReachedABackendServer)
{
    using enum error_kind;
    for (const error_kind kind : { ServerFailed, ServerSilent, DeadlineExceeded, Cancelled, TicketForeign, TicketSpent, StoreUnknown, Internal }) {
        EXPECT_NE(answerFor(kind).outcome, request_outcome::NotRun) << answerFor(kind).name;
    }
}

TEST(error_table, isSafeToRetryOnlyWhereNotRunOrTheTicketGuardsIt)
{
    for (const error_answer &row : errorTable()) {
        if (row.retrySafe && row.kind != error_kind::None && row.kind != error_kind::TicketForeign && row.kind != error_kind::PeerUnreachable) {
            EXPECT_EQ(row.outcome, request_outcome::NotRun) << row.name;
        }
    }
}

} // namespace
} // namespace reedtrail
