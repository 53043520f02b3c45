// getopt_long does the parsing; its own messages are switched off so that each error is one line in the same form, with exit code 2.

#include "kernel/command_line.h"

#include "base/error_kind.h"

#include <algorithm>
#include <cstdio>
#include <getopt.h>

namespace reedtrail {

bool parsed_line::has(std::string_view name) const
{
    return std::ranges::find(options, name, &given_option::name) != options.end();
}

std::string parsed_line::value(std::string_view name, std::string fallback) const
{
    for (const given_option &each : options) {
        if (each.name == name) {
            fallback = each.value;
        }
    }
    return fallback;
}

std::vector<std::string> parsed_line::values(std::string_view name) const
{
    std::vector<std::string> found;
    for (const given_option &each : options) {
        if (each.name == name) {
            found.push_back(each.value);
        }
    }
    return found;
}

command_line::command_line(std::string program, std::string purpose, std::string words)
    : m_program(std::move(program))
    , m_purpose(std::move(purpose))
    , m_words(std::move(words))
{
    flag("help", "Print this help and stop");
    flag("version", "Print the version and stop");
}

void command_line::option(std::string name, std::string valueName, std::string help)
{
    m_options.push_back({ std::move(name), std::move(valueName), std::move(help) });
}

void command_line::flag(std::string name, std::string help)
{
    option(std::move(name), "", std::move(help));
}

std::string command_line::helpText() const
{
    std::string text = "Usage: " + m_program + " [OPTIONS]" + (m_words.empty() ? "" : " " + m_words) + "\n" + m_purpose + "\n\nOptions:\n";
    constexpr std::size_t helpColumn = 30;
    for (const known_option &each : m_options) {
        std::string left = "  --" + each.name + (each.valueName.empty() ? "" : "=" + each.valueName);
        left.resize(std::max(helpColumn, left.size() + 1), ' ');
        text += left + each.help + "\n";
    }
    return text;
}

std::vector<std::string> command_line::optionNames() const
{
    std::vector<std::string> names;
    for (const known_option &each : m_options) {
        names.push_back(each.name);
    }
    return names;
}

parsed_line command_line::usageError(const std::string &reason) const
{
    std::fprintf(stderr, "%s: %s; see --help\n", m_program.c_str(), reason.c_str());
    parsed_line parsed;
    parsed.exitCode = answerFor(error_kind::BadUsage).exitCode;
    return parsed;
}

parsed_line command_line::parse(int argc, char **argv) const
{
    std::vector<::option> table;
    for (const known_option &each : m_options) {
        table.push_back({ each.name.c_str(), each.valueName.empty() ? no_argument : required_argument, nullptr, 0 });
    }
    table.push_back({ nullptr, 0, nullptr, 0 });

    parsed_line parsed;
    opterr = 0;
    optind = 0;
    while (true) {
        int index = -1;
        const int found = getopt_long(argc, argv, ":", table.data(), &index);
        if (found == -1) {
            break;
        }
        if (found == ':') {
            return usageError(std::string(argv[optind - 1]) + " needs a value");
        }
        if (found == '?' || index < 0) {
            return usageError(std::string(argv[optind - 1]) + " is not a known option");
        }
        parsed.options.push_back({ m_options[static_cast<std::size_t>(index)].name, optarg == nullptr ? "" : optarg });
    }
    parsed.words.assign(argv + optind, argv + argc);
    if (parsed.has("help")) {
        std::fputs(helpText().c_str(), stdout);
        parsed.exitCode = 0;
    } else if (parsed.has("version")) {
        std::printf("%s %s\n", m_program.c_str(), REEDTRAIL_VERSION);
        parsed.exitCode = 0;
    } else if (m_words.empty() && !parsed.words.empty()) {
        return usageError("unexpected word \"" + parsed.words.front() + "\"");
    }
    return parsed;
}

} // namespace reedtrail
