#include "standins/load/load_ledger.h"

#include "standins/engine_model.h"
#include "standins/load/completion_check.h"
#include "standins/load/load_report.h"

#include <gtest/gtest.h>

namespace reedtrail {
namespace {

using enum observed_outcome;

struct attempt_case
{
    std::uint32_t number;
    observed_outcome outcome;
    std::string answer = "";
};

struct verdict_case
{
    const char *name;
    caller_kind kind;
    std::vector<attempt_case> attempts;
    std::uint64_t runs;
    bool isRecordMissing;
    std::string violations; ///< Names of the violated guarantees, each followed by a space.
};

std::string violationsOf(const load_verdict &verdict)
{
    std::string text;
    text += verdict.runTwice > 0 ? "runTwice " : "";
    text += verdict.falseNotRun > 0 ? "falseNotRun " : "";
    text += verdict.lost > 0 ? "lost " : "";
    text += verdict.doubled > 0 ? "doubled " : "";
    text += verdict.cut > 0 ? "cut " : "";
    return text;
}

// Guards against violations that the load generator overlooks or reports falsely: each case combines the observed outcomes of an operation with its
// recorded runs.
TEST(load_ledger, comparesObservedOutcomesWithRecordedRuns)
{
    const std::vector<verdict_case> cases = {
        { "done once", caller_kind::Proof, { { 0, Done, "a" } }, 1, false, "" },
        { "done and repeated", caller_kind::Proof, { { 0, Done, "a" }, { 0, Done, "a" } }, 1, false, "" },
        { "order ran twice", caller_kind::Proof, { { 0, Done, "a" } }, 2, false, "runTwice " },
        { "note may run twice", caller_kind::Note, { { 0, Done } }, 2, false, "" },
        { "two different responses", caller_kind::Proof, { { 0, Done, "a" }, { 0, Done, "b" } }, 1, false, "doubled " },
        { "answered without a recorded run", caller_kind::Proof, { { 0, Done, "a" } }, 0, false, "lost " },
        { "answered, record missing", caller_kind::Proof, { { 0, Done, "a" } }, 0, true, "" },
        { "refused and not run", caller_kind::Note, { { 0, NotRun } }, 0, false, "" },
        { "refused but run", caller_kind::Note, { { 0, NotRun } }, 1, false, "falseNotRun " },
        { "refused, next attempt ran", caller_kind::Proof, { { 0, NotRun }, { 1, Done, "a" } }, 1, false, "" },
        { "refused, next attempt unknown", caller_kind::Proof, { { 0, NotRun }, { 1, Unknown } }, 1, false, "" },
        { "unknown, then refused under the same number", caller_kind::Proof, { { 0, Unknown }, { 0, NotRun } }, 1, false, "falseNotRun " },
        { "done, then refused under the same number", caller_kind::Proof, { { 0, Done, "a" }, { 0, NotRun } }, 1, true, "falseNotRun " },
        { "unknown may have run", caller_kind::Proof, { { 0, Unknown } }, 1, false, "" },
        { "no connection", caller_kind::Proof, { { 0, NoConnection } }, 0, false, "" },
        { "connection ended without response", caller_kind::Proof, { { 0, Dropped } }, 0, false, "cut " },
        { "response truncated", caller_kind::Summary, { { 0, Truncated } }, 1, false, "cut " },
    };
    for (const verdict_case &testCase : cases) {
        load_ledger ledger;
        const std::size_t index = ledger.begin(testCase.kind, "key");
        for (const attempt_case &attempt : testCase.attempts) {
            ledger.attemptEnded(index, { attempt.number, attempt.outcome, {}, false, "", attempt.answer });
        }
        if (testCase.runs > 0) {
            ledger.addRuns("key", testCase.runs);
        }
        if (testCase.isRecordMissing) {
            ledger.markRecordMissing();
        }
        EXPECT_EQ(violationsOf(ledger.verdict()), testCase.violations) << testCase.name;
    }
}

// Guards against runs that are not found in one of the two record formats, which would hide violations.
TEST(load_ledger, readsRecordsOfServicesAndEngines)
{
    load_ledger ledger;
    ledger.attemptEnded(ledger.begin(caller_kind::Proof, "order"), { 0, NotRun, {}, false, "", "" });
    ledger.attemptEnded(ledger.begin(caller_kind::Summary, "prompt"), { 0, NotRun, {}, false, "", "" });
    addRecord(ledger, nlohmann::json::parse(R"({"requests":[{"body":"order","runs":1},{"body":"other","runs":1}]})"));
    addRecord(ledger, nlohmann::json::parse(R"({"requests":{"r-1":{"prompt":"prompt","starts":1}}})"));
    EXPECT_EQ(ledger.verdict().falseNotRun, 2U);
}

std::string chunkOf(const std::string &text, const char *reason)
{
    return R"(data: {"choices":[{"text":")" + text + R"(","finish_reason":)" + reason + "}]}\n\n";
}

// Guards against parsing errors when the network splits the stream within a line or an event.
TEST(completion_check, acceptsStreamSplitAtAnyByte)
{
    const std::string first = tokenText("p", 0) + tokenText("p", 1);
    const std::string second = tokenText("p", 2);
    const std::string stream = chunkOf(first, "null") + ": alive\n\n" + chunkOf(second, "null") + chunkOf("", "\"stop\"") + "data: [DONE]\n\n";
    for (std::size_t pieceSize = 1; pieceSize < stream.size(); ++pieceSize) {
        completion_check check("p");
        for (std::size_t at = 0; at < stream.size(); at += pieceSize) {
            check.add(std::string_view(stream).substr(at, pieceSize));
        }
        ASSERT_TRUE(check.isCompleteAndCorrect()) << pieceSize;
        ASSERT_EQ(check.tokens(), 3U);
    }
}

// Guards against a truncated, incomplete or foreign completion that is accepted as correct.
TEST(completion_check, rejectsMissingTokensMissingEndAndForeignText)
{
    completion_check skipped("p");
    skipped.add(chunkOf(tokenText("p", 0), "null") + chunkOf(tokenText("p", 2), "\"stop\"") + "data: [DONE]\n\n");
    EXPECT_FALSE(skipped.isCompleteAndCorrect());
    completion_check unended("p");
    unended.add(chunkOf(tokenText("p", 0), "\"stop\""));
    EXPECT_FALSE(unended.isCompleteAndCorrect());
    completion_check foreign("p");
    foreign.add(chunkOf(tokenText("q", 0), "\"stop\"") + "data: [DONE]\n\n");
    EXPECT_FALSE(foreign.isCompleteAndCorrect());
    EXPECT_FALSE(foreign.wrongText().empty());
}

} // namespace
} // namespace reedtrail
