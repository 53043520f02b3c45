// The table of commands at the end of this file is the source of the help, the shell completion and the check of the number of arguments.

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

using argument_list = std::span<const std::string>;

/** Percent-encodes @p text for use in a path or a query. */
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

result<nlohmann::json> runPlan(command_context &context, argument_list arguments)
{
    const bool hasPatch = !context.patchFile.empty();
    if (hasPatch == !arguments.empty()) {
        return fail(error_kind::BadUsage, "plan takes either FILE or --patch FILE");
    }
    BOOST_LEAF_AUTO(document, readJsonFile(hasPatch ? context.patchFile : arguments.front()));
    const nlohmann::json body{ { hasPatch ? "patch" : "document", document } };
    return context.client.call("POST", "/v1/plans", body.dump());
}

result<nlohmann::json> runConfirm(command_context &context, argument_list arguments)
{
    return context.client.call("POST", "/v1/plans/" + percentEncoded(arguments.front()) + "/confirm", "{}");
}

result<nlohmann::json> runStatus(command_context &context, argument_list)
{
    return context.client.call("GET", "/v1/status", "");
}

result<nlohmann::json> runSettings(command_context &context, argument_list arguments)
{
    return context.client.call("GET", arguments.empty() ? "/v1/settings" : "/v1/settings?revision=" + percentEncoded(arguments.front()), "");
}

result<nlohmann::json> runHistory(command_context &context, argument_list)
{
    return context.client.call("GET", "/v1/settings/history", "");
}

result<nlohmann::json> runExplain(command_context &context, argument_list arguments)
{
    return context.client.call("GET", "/v1/explain?kind=" + percentEncoded(arguments[0]) + "&id=" + percentEncoded(arguments[1]), "");
}

result<nlohmann::json> runDump(command_context &context, argument_list arguments)
{
    return context.client.call("GET", arguments.empty() ? "/dump" : "/dump?service=" + percentEncoded(arguments.front()), "");
}

/** Returns the whole number from 1 to 86400 at @p index of @p arguments, or @p fallback if there are not that many arguments. */
result<std::int64_t> numberAt(argument_list arguments, std::size_t index, std::int64_t fallback)
{
    if (index >= arguments.size()) {
        return fallback;
    }
    constexpr std::int64_t maximum = 86400;
    std::int64_t value = 0;
    const std::string &text = arguments[index];
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value < 1 || value > maximum) {
        return fail(error_kind::BadUsage, "\"" + text + "\" must be a whole number from 1 to 86400");
    }
    return value;
}

/** Prints the status each second. Prints an error while no steward can be reached and keeps trying. */
result<nlohmann::json> runWatch(command_context &context, argument_list arguments)
{
    constexpr std::int64_t defaultCount = 86400;
    BOOST_LEAF_AUTO(count, numberAt(arguments, 0, defaultCount));
    for (std::int64_t i = 0; i < count; ++i) {
        nlohmann::json answer;
        const std::optional<failure> error = failureOf([&]() -> result<void> {
            BOOST_LEAF_ASSIGN(answer, runStatus(context, {}));
            return {};
        });
        if (error && error->kind != error_kind::PeerUnreachable) {
            return fail(error->kind, error->detail);
        }
        context.printUpdate(error ? nlohmann::json{ { "unreachable", error->detail } } : answer);
        std::this_thread::sleep_for(std::chrono::seconds(1));
    }
    return nlohmann::json();
}

/** Samples the dumps of all given addresses each second, then writes the charts to a file. */
result<nlohmann::json> runReport(command_context &context, argument_list arguments)
{
    constexpr std::int64_t defaultSeconds = 30;
    const std::string &file = arguments.front();
    if (!file.ends_with(".svg") && !file.ends_with(".html")) {
        return fail(error_kind::BadUsage, "report takes a FILE that ends in .svg or .html");
    }
    BOOST_LEAF_AUTO(seconds, numberAt(arguments, 1, defaultSeconds));
    fleet_report report;
    std::uint64_t unanswered = 0;
    const auto begin = std::chrono::steady_clock::now();
    for (std::int64_t i = 0; i < seconds; ++i) {
        std::vector<nlohmann::json> dumps;
        for (steward_client &process : context.clients) {
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

result<nlohmann::json> runCompletion(command_context &context, argument_list)
{
    return nlohmann::json(bashCompletion(ctlCommands(), context.optionNames));
}

constexpr std::array<ctl_command, 10> commands{ {
    { "plan", "FILE | --patch FILE", "Plan a change of the settings without applying it", 0, 1, &runPlan },
    { "confirm", "PLAN", "Apply a plan, unless the settings have changed since it was made", 1, 1, &runConfirm },
    { "status", "", "Show zones, nodes, servers, runs, customers and problems", 0, 0, &runStatus },
    { "settings", "[REVISION]", "Show the current settings, or those of an earlier revision", 0, 1, &runSettings },
    { "history", "", "List the applied changes, newest first", 0, 0, &runHistory },
    { "explain", "request|slot|run|change|server|node|customer ID", "Show the decisions of all nodes about one object", 2, 2, &runExplain },
    { "dump", "[SERVICE]", "Show the whole state of the process at --steward, which may be any admin address", 0, 1, &runDump },
    { "watch", "[COUNT]", "Show the status each second, COUNT times or until stopped", 0, 1, &runWatch },
    { "report",
      "FILE.svg|FILE.html [SECONDS]",
      "Chart idle time, staleness, versions and requests of the processes at all --steward addresses for SECONDS (30)",
      1,
      2,
      &runReport },
    { "completion", "", "Print a completion script for bash: source <(reedtrailctl completion)", 0, 0, &runCompletion },
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
        return fail(error_kind::BadUsage,
                    "missing or unknown command; must be one of plan, confirm, status, settings, history, explain, dump, watch, report or completion");
    }
    const argument_list arguments = words.subspan(1);
    if (arguments.size() < found->minimumArguments || arguments.size() > found->maximumArguments) {
        return fail(error_kind::BadUsage, std::string(found->name) + " takes: " + std::string(found->synopsis.empty() ? "no arguments" : found->synopsis));
    }
    return found->run(context, arguments);
}

} // namespace reedtrail
