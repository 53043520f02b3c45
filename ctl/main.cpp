// The program reedtrailctl, the operators' command-line tool.

#include "ctl/commands.h"
#include "ctl/text_table.h"
#include "kernel/command_line.h"

#include <cstdio>
#include <cstdlib>
#include <unistd.h>

namespace reedtrail {
namespace {

constexpr const char *defaultSteward = "127.0.0.1:18004";

command_line makeCommandLine()
{
    std::string purpose = "Operates a reedtrail fleet through any of its stewards.\n\nCommands:";
    for (const ctl_command &command : ctlCommands()) {
        purpose += "\n  " + std::string(command.name) + " " + std::string(command.synopsis) + "\n      " + std::string(command.help);
    }
    command_line line("reedtrailctl", purpose, "COMMAND [ARGUMENTS]");
    line.option("steward", "IP:PORT", "Operators' address of a steward; may be given several times (127.0.0.1:18004)");
    line.option("token", "TOKEN", "Operator's token; by default the value of the environment variable REEDTRAIL_TOKEN");
    line.option("authority", "FILE", "Use TLS and trust the certificate authority in FILE");
    line.option("patch", "FILE", "For plan: a JSON merge patch instead of a whole document");
    line.flag("json", "Print JSON instead of tables");
    return line;
}

std::string tokenOf(const parsed_line &parsed)
{
    const char *fromEnvironment = std::getenv("REEDTRAIL_TOKEN");
    return parsed.value("token", fromEnvironment == nullptr ? "" : fromEnvironment);
}

std::string formatAnswer(const nlohmann::json &answer, bool asJson)
{
    return asJson ? answer.dump(2) + "\n" : readableText(answer);
}

/** Prints an answer. On a terminal, clears the screen first, so that it replaces the previous answer. */
void printUpdate(const nlohmann::json &answer, bool asJson)
{
    constexpr const char *clearScreen = "\x1b[H\x1b[2J";
    const bool isTerminal = ::isatty(STDOUT_FILENO) != 0;
    std::fputs(((isTerminal ? clearScreen : "") + formatAnswer(answer, asJson)).c_str(), stdout);
    std::fflush(stdout);
}

result<void> runLine(const parsed_line &parsed, std::vector<std::string> optionNames)
{
    std::vector<std::string> addresses = parsed.values("steward");
    if (addresses.empty()) {
        addresses.emplace_back(defaultSteward);
    }
    std::vector<endpoint> stewards;
    for (const std::string &text : addresses) {
        BOOST_LEAF_AUTO(address, parseEndpoint(text));
        stewards.push_back(address);
    }
    const tls_files tls{ "", "", parsed.value("authority") };
    std::vector<steward_client> clients;
    clients.reserve(stewards.size());
    for (const endpoint &address : stewards) {
        clients.emplace_back(std::vector<endpoint>{ address }, tokenOf(parsed), tls);
    }
    const bool asJson = parsed.has("json");
    steward_client client(std::move(stewards), tokenOf(parsed), tls);
    command_context context{ client, parsed.value("patch"), std::move(clients), std::move(optionNames), [asJson](const nlohmann::json &answer) {
                                printUpdate(answer, asJson);
                            } };
    BOOST_LEAF_AUTO(answer, runCommand(context, parsed.words));
    if (!answer.is_null()) {
        std::fputs(formatAnswer(answer, asJson).c_str(), stdout);
    }
    return {};
}

} // namespace
} // namespace reedtrail

int main(int argc, char **argv)
{
    using namespace reedtrail;
    const command_line line = makeCommandLine();
    const parsed_line parsed = line.parse(argc, argv);
    if (parsed.exitCode) {
        return *parsed.exitCode;
    }
    const std::optional<failure> error = failureOf([&] {
        return runLine(parsed, line.optionNames());
    });
    if (error) {
        std::fprintf(stderr, "reedtrailctl: %s: %s\n", std::string(answerFor(error->kind).name).c_str(), error->detail.c_str());
        return answerFor(error->kind).exitCode;
    }
    return 0;
}
