// A table of commands: name, words, help, action. Help, shell completion and the check of words are all made from it.

#include "ctl/commands.h"

#include "base/settings_reader.h"

#include <algorithm>
#include <array>
#include <cctype>

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

constexpr std::array<ctl_command, 7> commands{ {
    { "plan", "FILE | --patch FILE", "Plan a change of the settings; changes nothing yet", 0, 1, &runPlan },
    { "confirm", "PLAN", "Put a plan in force, unless the settings changed since", 1, 1, &runConfirm },
    { "status", "", "Zones, nodes, servers, runs, customers, and what is wrong", 0, 0, &runStatus },
    { "settings", "[REVISION]", "Settings in force, or those of an earlier revision", 0, 1, &runSettings },
    { "history", "", "Accepted changes, newest first", 0, 0, &runHistory },
    { "explain", "request|slot|run|change|server|node|customer ID", "What was decided about one thing, over all nodes", 2, 2, &runExplain },
    { "dump", "[SERVICE]", "Whole state of the process at --steward (any admin address)", 0, 1, &runDump },
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
        return fail(error_kind::BadUsage, "a command must be named: plan, confirm, status, settings, history, explain or dump");
    }
    const words_type rest = words.subspan(1);
    if (rest.size() < found->leastWords || rest.size() > found->mostWords) {
        return fail(error_kind::BadUsage, std::string(found->name) + " takes: " + std::string(found->synopsis.empty() ? "no words" : found->synopsis));
    }
    return found->run(context, rest);
}

} // namespace reedtrail
