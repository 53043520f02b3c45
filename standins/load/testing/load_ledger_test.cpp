#include "standins/load/load_ledger.h"

#include "standins/engine_model.h"
#include "standins/load/completion_check.h"
#include "standins/load/load_report.h"

#include <gtest/gtest.h>

namespace reedtrail {
namespace {

using enum seen_outcome;

struct attempt_case
{
    std::uint32_t number;
    seen_outcome outcome;
    std::string answer = "";
};

struct verdict_case
{
    const char *name;
    caller_kind kind;
    std::vector<attempt_case> attempts;
    std::uint64_t runs;
    bool isRecordMissing;
    std::string broken; ///< Names of the promises broken, with a space after each.
};

std::string brokenOf(const load_verdict &verdict)
{
    std::string text;
    text += verdict.runTwice > 0 ? "runTwice " : "";
    text += verdict.falseNotRun > 0 ? "falseNotRun " : "";
    text += verdict.lost > 0 ? "lost " : "";
    text += verdict.doubled > 0 ? "doubled " : "";
    text += verdict.cut > 0 ? "cut " : "";
    return text;
}

TEST(load_ledger, judgesWhatCallersSawAgainstWhatServersRan)
{
    const std::vector<verdict_case> cases = {
        { "done once", caller_kind::Proof, { { 0, Done, "a" } }, 1, false, "" },
        { "done and repeated", caller_kind::Proof, { { 0, Done, "a" }, { 0, Done, "a" } }, 1, false, "" },
        { "ran twice", caller_kind::Proof, { { 0, Done, "a" } }, 2, false, "runTwice " },
        { "note may run twice", caller_kind::Note, { { 0, Done } }, 2, false, "" },
        { "two answers", caller_kind::Proof, { { 0, Done, "a" }, { 0, Done, "b" } }, 1, false, "doubled " },
        { "answered but not run", caller_kind::Proof, { { 0, Done, "a" } }, 0, false, "lost " },
        { "answered, record gone", caller_kind::Proof, { { 0, Done, "a" } }, 0, true, "" },
        { "refused and not run", caller_kind::Note, { { 0, NotRun } }, 0, false, "" },
        { "refused but run", caller_kind::Note, { { 0, NotRun } }, 1, false, "falseNotRun " },
        { "refused, next attempt ran", caller_kind::Proof, { { 0, NotRun }, { 1, Done, "a" } }, 1, false, "" },
        { "refused, next attempt unknown", caller_kind::Proof, { { 0, NotRun }, { 1, Unknown } }, 1, false, "" },
        { "unknown, then refused under the same number", caller_kind::Proof, { { 0, Unknown }, { 0, NotRun } }, 1, false, "falseNotRun " },
        { "done, then refused under the same number", caller_kind::Proof, { { 0, Done, "a" }, { 0, NotRun } }, 1, true, "falseNotRun " },
        { "unknown may have run", caller_kind::Proof, { { 0, Unknown } }, 1, false, "" },
        { "no connection", caller_kind::Proof, { { 0, NoConnection } }, 0, false, "" },
        { "dropped", caller_kind::Proof, { { 0, Dropped } }, 0, false, "cut " },
        { "cut", caller_kind::Summary, { { 0, Truncated } }, 1, false, "cut " },
    };
    for (const verdict_case &each : cases) {
        load_ledger ledger;
        const std::size_t index = ledger.begin(each.kind, "key");
        for (const attempt_case &attempt : each.attempts) {
            ledger.attemptEnded(index, { attempt.number, attempt.outcome, {}, false, "", attempt.answer });
        }
        if (each.runs > 0) {
            ledger.addRuns("key", each.runs);
        }
        if (each.isRecordMissing) {
            ledger.recordMissing();
        }
        EXPECT_EQ(brokenOf(ledger.verdict()), each.broken) << each.name;
    }
}

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

TEST(completion_check, takesAStreamInAnyPieces)
{
    const std::string first = tokenText("p", 0) + tokenText("p", 1);
    const std::string second = tokenText("p", 2);
    const std::string stream = chunkOf(first, "null") + ": alive\n\n" + chunkOf(second, "null") + chunkOf("", "\"stop\"") + "data: [DONE]\n\n";
    for (std::size_t piece = 1; piece < stream.size(); ++piece) {
        completion_check check("p");
        for (std::size_t at = 0; at < stream.size(); at += piece) {
            check.add(std::string_view(stream).substr(at, piece));
        }
        ASSERT_TRUE(check.isWhole()) << piece;
        ASSERT_EQ(check.tokens(), 3U);
    }
}

TEST(completion_check, noticesMissingTokensEndsAndForeignText)
{
    completion_check skipped("p");
    skipped.add(chunkOf(tokenText("p", 0), "null") + chunkOf(tokenText("p", 2), "\"stop\"") + "data: [DONE]\n\n");
    EXPECT_FALSE(skipped.isWhole());
    completion_check unended("p");
    unended.add(chunkOf(tokenText("p", 0), "\"stop\""));
    EXPECT_FALSE(unended.isWhole());
    completion_check foreign("p");
    foreign.add(chunkOf(tokenText("q", 0), "\"stop\"") + "data: [DONE]\n\n");
    EXPECT_FALSE(foreign.isWhole());
    EXPECT_FALSE(foreign.wrongText().empty());
}

} // namespace
} // namespace reedtrail
