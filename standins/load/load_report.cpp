// The records are read sequentially after the load has settled. If a server's record cannot be read, for example because a fault killed the server, its runs
// are unknown and the report says so.

#include "standins/load/load_report.h"

#include <array>
#include <cstdio>
#include <memory>

namespace reedtrail {
namespace {

/** State of the sequential reading of all records. */
struct record_reading
{
    http_client &client;
    const load_options &options;
    load_ledger &ledger;
    std::function<void(nlohmann::json)> done;
    nlohmann::json trainers = nlohmann::json::array();
};

void readNext(const std::shared_ptr<record_reading> &reading, std::size_t index)
{
    const std::size_t servers = reading->options.recordEndpoints.size();
    if (index == servers + reading->options.trainerEndpoints.size()) {
        reading->done(reading->trainers);
        return;
    }
    const endpoint &address = index < servers ? reading->options.recordEndpoints[index] : reading->options.trainerEndpoints[index - servers];
    reading->client.call(address,
                         { "GET", "/record", {}, "" },
                         { .deadline = std::chrono::seconds(10) },
                         [reading, index, servers](const http_call_end &end, const http_response &response) {
                             const nlohmann::json record = nlohmann::json::parse(response.body, nullptr, false);
                             const bool isRead = end.error == error_kind::None && record.is_object();
                             if (isRead && index < servers) {
                                 addRecord(reading->ledger, record);
                             } else if (isRead) {
                                 reading->trainers.push_back(record);
                             } else if (index < servers) {
                                 reading->ledger.markRecordMissing();
                             }
                             readNext(reading, index + 1);
                         });
}

std::string padded(std::string text, std::size_t width)
{
    text.resize(std::max(width, text.size()), ' ');
    return text + " ";
}

std::string cell(const nlohmann::json &value)
{
    if (value.is_number_float()) {
        std::array<char, 32> text{};
        std::snprintf(text.data(), text.size(), "%.1f", value.get<double>());
        return text.data();
    }
    return value.is_string() ? value.get<std::string>() : value.dump();
}

} // namespace

void addRecord(load_ledger &ledger, const nlohmann::json &record)
{
    const nlohmann::json requests = record.value("requests", nlohmann::json::array());
    for (const auto &item : requests.items()) {
        const nlohmann::json &request = item.value();
        const bool isEngine = request.contains("prompt");
        const std::string key = isEngine ? request.value("prompt", "") : request.value("body", "");
        ledger.addRuns(key, isEngine ? request.value("starts", std::uint64_t{ 0 }) : request.value("runs", std::uint64_t{ 0 }));
    }
}

void readRecords(http_client &client, const load_options &options, load_ledger &ledger, std::function<void(nlohmann::json)> done)
{
    if (options.recordEndpoints.empty()) {
        ledger.markRecordMissing();
    }
    readNext(std::make_shared<record_reading>(record_reading{ client, options, ledger, std::move(done) }), 0);
}

nlohmann::json loadReport(const load_options &options, const load_ledger &ledger, const nlohmann::json &trainers)
{
    nlohmann::json kinds = nlohmann::json::object();
    for (const caller_kind kind : { caller_kind::Note, caller_kind::Summary, caller_kind::Proof }) {
        const kind_figures figures = ledger.figures(kind);
        kinds[std::string(callerKindName(kind))] = { { "operations", figures.operations }, { "done", figures.done },         { "notRun", figures.notRun },
                                                     { "unknown", figures.unknown },       { "attempts", figures.attempts }, { "overdue", figures.overdue },
                                                     { "p50Ms", figures.p50Ms },           { "p99Ms", figures.p99Ms },       { "errors", figures.errors } };
    }
    const load_verdict verdict = ledger.verdict();
    return { { "seed", options.seed },
             { "seconds", toSeconds(options.loadDuration) },
             { "kinds", kinds },
             { "trainers", trainers },
             { "runTwice", verdict.runTwice },
             { "falseNotRun", verdict.falseNotRun },
             { "lost", verdict.lost },
             { "doubled", verdict.doubled },
             { "crossed", verdict.crossed },
             { "cut", verdict.cut },
             { "recordsMissing", ledger.isRecordMissing() },
             { "examples", verdict.examples },
             { "isBroken", verdict.hasViolation(options.mayCut) } };
}

std::string loadTable(const nlohmann::json &report)
{
    constexpr std::array<const char *, 8> columns{ "operations", "done", "notRun", "unknown", "attempts", "overdue", "p50Ms", "p99Ms" };
    constexpr std::size_t width = 10;
    std::string text = padded("caller", width);
    for (const char *column : columns) {
        text += padded(column, width);
    }
    text += "errors\n";
    for (const auto &item : report["kinds"].items()) {
        text += padded(item.key(), width);
        for (const char *column : columns) {
            text += padded(cell(item.value()[column]), width);
        }
        for (const auto &error : item.value()["errors"].items()) {
            text += error.key() + " " + cell(error.value()) + "  ";
        }
        text += "\n";
    }
    for (const nlohmann::json &trainer : report["trainers"]) {
        text += "trainer " + cell(trainer.value("run", "")) + ": steps " + cell(trainer.value("steps", 0)) + ", delivered "
            + cell(trainer.value("delivered", 0)) + ", doubled " + cell(trainer.value("doubled", 0)) + ", lost " + cell(trainer.value("lost", 0)) + ", oldest "
            + cell(trainer.value("oldestStaleness", 0)) + " steps, idle " + cell(trainer.value("idleSeconds", 0.0)) + " s\n";
    }
    for (const char *promise : { "runTwice", "falseNotRun", "lost", "doubled", "crossed", "cut" }) {
        text += std::string(promise) + " " + cell(report[promise]) + "  ";
    }
    text += report["recordsMissing"].get<bool>() ? "(a server's record is missing: lost is not judged)\n" : "\n";
    for (const nlohmann::json &example : report["examples"]) {
        text += "  " + cell(example) + "\n";
    }
    return text;
}

} // namespace reedtrail
