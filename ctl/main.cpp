// The program reedtrailctl: the operators' command.

#include "ctl/commands.h"
#include "ctl/text_table.h"
#include "kernel/command_line.h"

#include <cstdio>
#include <cstdlib>

namespace reedtrail {
namespace {

constexpr const char *defaultSteward = "127.0.0.1:18004";

command_line makeCommandLine()
{
    std::string purpose = "Operates a reedtrail fleet through any of its stewards.\n\nCommands:";
    for (const ctl_command &each : ctlCommands()) {
        purpose += "\n  " + std::string(each.name) + " " + std::string(each.synopsis) + "\n      " + std::string(each.help);
    }
    command_line line("reedtrailctl", purpose, "COMMAND [WORDS]");
    line.option("steward", "IP:PORT", "Operators' address of a steward; may be given several times (127.0.0.1:18004)");
    line.option("token", "TOKEN", "Operator's token; else from the environment, REEDTRAIL_TOKEN");
    line.option("authority", "FILE", "Use TLS and trust this authority");
    line.option("patch", "FILE", "For plan: a JSON merge patch instead of a whole document");
    line.flag("json", "Print JSON instead of tables");
    return line;
}

std::string tokenOf(const parsed_line &parsed)
{
    const char *fromEnvironment = std::getenv("REEDTRAIL_TOKEN");
    return parsed.value("token", fromEnvironment == nullptr ? "" : fromEnvironment);
}

result<void> runLine(const parsed_line &parsed)
{
    std::vector<std::string> addresses = parsed.values("steward");
    if (addresses.empty()) {
        addresses.emplace_back(defaultSteward);
    }
    std::vector<endpoint> stewards;
    for (const std::string &text : addresses) {
        BOOST_LEAF_AUTO(where, parseEndpoint(text));
        stewards.push_back(where);
    }
    steward_client client(std::move(stewards), tokenOf(parsed), tls_files{ "", "", parsed.value("authority") });
    command_context context{ client, parsed.value("patch") };
    BOOST_LEAF_AUTO(answer, runCommand(context, parsed.words));
    const std::string text = parsed.has("json") ? answer.dump(2) + "\n" : readableText(answer);
    std::fputs(text.c_str(), stdout);
    return {};
}

} // namespace
} // namespace reedtrail

int main(int argc, char **argv)
{
    using namespace reedtrail;
    const parsed_line parsed = makeCommandLine().parse(argc, argv);
    if (parsed.exitCode) {
        return *parsed.exitCode;
    }
    const std::optional<failure> error = failureOf([&] {
        return runLine(parsed);
    });
    if (error) {
        std::fprintf(stderr, "reedtrailctl: %s: %s\n", std::string(answerFor(error->kind).name).c_str(), error->detail.c_str());
        return answerFor(error->kind).exitCode;
    }
    return 0;
}
