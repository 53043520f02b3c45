// A table of commands: name, words, help, action. Help, shell completion and the check of words are all made from it.

#include "ctl/commands.h"

#include "base/settings_reader.h"
#include "ctl/fleet_report.h"
#include "ctl/shell_completion.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <chrono>
#include <fstream>
#include <thread>

namespace reedtrail {
namespace {

using words_type = std::span<const std::string>;

/** Escapes @p text for a query. */
std::string percentEncoded(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char letter : text) {
        const auto byte = static_cast<unsigned char>(letter);
        if (std::isalnum(byte) != 0 || letter == '-' || letter == '_' || letter == '.' || letter == '~') {
            encoded += letter;
        } else {
            encoded += '%';
            encoded += digits[byte >> 4U];
            encoded += digits[byte & 15U];
        }
    }
    return encoded;
}

result<nlohmann::json> runPlan(command_context &context, words_type words)
{
    const bool hasPatch = !context.patchFile.empty();
    if (hasPatch == !words.empty()) {
        return fail(error_kind::BadUsage, "plan takes either FILE or --patch FILE");
    }
    BOOST_LEAF_AUTO(document, readJsonFile(hasPatch ? context.patchFile : words.front()));
    const nlohmann::json body{ { hasPatch ? "patch" : "document", document } };
    return context.client.call("POST", "/v1/plans", body.dump());
}

result<nlohmann::json> runConfirm(command_context &context, words_type words)
{
    return context.client.call("POST", "/v1/plans/" + percentEncoded(words.front()) + "/confirm", "{}");
}

result<nlohmann::json> runStatus(command_context &context, words_type)
{
    return context.client.call("GET", "/v1/status", "");
}

result<nlohmann::json> runSettings(command_context &context, words_type words)
{
    return context.client.call("GET", words.empty() ? "/v1/settings" : "/v1/settings?revision=" + percentEncoded(words.front()), "");
}

result<nlohmann::json> runHistory(command_context &context, words_type)
{
    return context.client.call("GET", "/v1/settings/history", "");
}

result<nlohmann::json> runExplain(command_context &context, words_type words)
{
    return context.client.call("GET", "/v1/explain?kind=" + percentEncoded(words[0]) + "&id=" + percentEncoded(words[1]), "");
}

result<nlohmann::json> runDump(command_context &context, words_type words)
{
    return context.client.call("GET", words.empty() ? "/dump" : "/dump?service=" + percentEncoded(words.front()), "");
}

/** Reads a whole number from 1 on, or returns @p fallback if @p words has none at @p index. */
result<std::int64_t> numberAt(words_type words, std::size_t index, std::int64_t fallback)
{
    if (index >= words.size()) {
        return fallback;
    }
    constexpr std::int64_t most = 86400;
    std::int64_t value = 0;
    const std::string &text = words[index];
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value < 1 || value > most) {
        return fail(error_kind::BadUsage, "\"" + text + "\" must be a whole number from 1 to 86400");
    }
    return value;
}

/** Shows the status again and again; a steward that cannot be reached is shown as such and tried again. */
result<nlohmann::json> runWatch(command_context &context, words_type words)
{
    constexpr std::int64_t forever = 86400;
    BOOST_LEAF_AUTO(count, numberAt(words, 0, forever));
    for (std::int64_t i = 0; i < count; ++i) {
        nlohmann::json answer;
        const std::optional<failure> error = failureOf([&]() -> result<void> {
            BOOST_LEAF_ASSIGN(answer, runStatus(context, {}));
            return {};
        });
        if (error && error->kind != error_kind::PeerUnreachable) {
            return fail(error->kind, error->detail);
        }
        context.show(error ? nlohmann::json{ { "unreachable", error->detail } } : answer);
        std::this_thread::sleep_for(std::chrono::seconds(1));
    }
    return nlohmann::json();
}

/** Samples the dumps of all addresses each second, then writes the charts. */
result<nlohmann::json> runReport(command_context &context, words_type words)
{
    constexpr std::int64_t defaultSeconds = 30;
    const std::string &file = words.front();
    if (!file.ends_with(".svg") && !file.ends_with(".html")) {
        return fail(error_kind::BadUsage, "report takes a FILE that ends in .svg or .html");
    }
    BOOST_LEAF_AUTO(seconds, numberAt(words, 1, defaultSeconds));
    fleet_report report;
    std::uint64_t unanswered = 0;
    const auto begin = std::chrono::steady_clock::now();
    for (std::int64_t i = 0; i < seconds; ++i) {
        std::vector<nlohmann::json> dumps;
        for (steward_client &process : context.each) {
            const std::optional<failure> error = failureOf([&]() -> result<void> {
                BOOST_LEAF_AUTO(dump, process.call("GET", "/dump", ""));
                dumps.push_back(std::move(dump));
                return {};
            });
            unanswered += error ? 1 : 0;
        }
        report.add(std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count(), dumps);
        std::this_thread::sleep_until(begin + std::chrono::seconds(i + 1));
    }
    std::ofstream stream(file);
    stream << (file.ends_with(".svg") ? report.svg() : report.html());
    stream.close();
    if (!stream) {
        return fail(error_kind::BadUsage, file + ": cannot be written");
    }
    return nlohmann::json{ { "file", file }, { "samples", report.samples() }, { "unansweredDumps", unanswered } };
}

result<nlohmann::json> runCompletion(command_context &context, words_type)
{
    return nlohmann::json(bashCompletion(ctlCommands(), context.optionNames));
}

constexpr std::array<ctl_command, 10> commands{ {
    { "plan", "FILE | --patch FILE", "Plan a change of the settings; changes nothing yet", 0, 1, &runPlan },
    { "confirm", "PLAN", "Put a plan in force, unless the settings changed since", 1, 1, &runConfirm },
    { "status", "", "Zones, nodes, servers, runs, customers, and what is wrong", 0, 0, &runStatus },
    { "settings", "[REVISION]", "Settings in force, or those of an earlier revision", 0, 1, &runSettings },
    { "history", "", "Accepted changes, newest first", 0, 0, &runHistory },
    { "explain", "request|slot|run|change|server|node|customer ID", "What was decided about one thing, over all nodes", 2, 2, &runExplain },
    { "dump", "[SERVICE]", "Whole state of the process at --steward (any admin address)", 0, 1, &runDump },
    { "watch", "[COUNT]", "Status each second, COUNT times or until stopped", 0, 1, &runWatch },
    { "report",
      "FILE.svg|FILE.html [SECONDS]",
      "Plot idle time, staleness, versions and shares of the processes at all --steward addresses (30 s)",
      1,
      2,
      &runReport },
    { "completion", "", "Script for bash: source <(reedtrailctl completion)", 0, 0, &runCompletion },
} };

} // namespace

std::span<const ctl_command> ctlCommands()
{
    return commands;
}

result<nlohmann::json> runCommand(command_context &context, std::span<const std::string> words)
{
    const auto found = words.empty() ? commands.end() : std::ranges::find(commands, words.front(), &ctl_command::name);
    if (found == commands.end()) {
        return fail(error_kind::BadUsage, "a command must be named: plan, confirm, status, settings, history, explain, dump, watch, report or completion");
    }
    const words_type rest = words.subspan(1);
    if (rest.size() < found->leastWords || rest.size() > found->mostWords) {
        return fail(error_kind::BadUsage, std::string(found->name) + " takes: " + std::string(found->synopsis.empty() ? "no words" : found->synopsis));
    }
    return found->run(context, rest);
}

} // namespace reedtrail
