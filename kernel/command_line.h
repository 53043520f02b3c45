/**
 * @file
 * The command line of a program, over getopt_long: every program has --help and --version, and refuses what it does not know in one line.
 *
 *     command_line line("reedtrail-gate", "Serves callers on one entry VM.");
 *     line.option("settings", "FILE", "Settings of this node (JSON with comments)");
 *     line.flag("check-settings", "Check the settings and stop");
 *     const parsed_line parsed = line.parse(argc, argv);
 *     if (parsed.exitCode) { return *parsed.exitCode; }
 *     std::string file = parsed.value("settings");
 */
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

/** What was found on a command line. */
struct parsed_line
{
    /** Set if the program must end now: after --help or --version, or after a usage error that was printed. */
    std::optional<int> exitCode;
    /** Words that are not options. */
    std::vector<std::string> words;

    /** Tells whether the option was given. */
    bool has(std::string_view name) const;
    /** Returns the last value given for @p name, or @p fallback. */
    std::string value(std::string_view name, std::string fallback = "") const;
    /** Returns all values given for @p name. */
    std::vector<std::string> values(std::string_view name) const;

    /** One option as given. */
    struct given_option
    {
        std::string name;
        std::string value;
    };
    std::vector<given_option> options;
};

/** Describes and parses a command line. */
class command_line
{
public:
    /** @param program its name @param purpose one sentence @param words synopsis of the words after the options, or empty if there are none */
    command_line(std::string program, std::string purpose, std::string words = "");

    /** Adds an option with a value. */
    void option(std::string name, std::string valueName, std::string help);
    /** Adds an option without value. */
    void flag(std::string name, std::string help);
    /** Parses; prints help, version or one error line itself. */
    parsed_line parse(int argc, char **argv) const;
    /** Returns the text of --help. */
    std::string helpText() const;
    /** Returns the names of all options, for shell completion. */
    std::vector<std::string> optionNames() const;

private:
    struct known_option
    {
        std::string name;
        std::string valueName;
        std::string help;
    };
    parsed_line usageError(const std::string &reason) const;

    std::string m_program;
    std::string m_purpose;
    std::string m_words;
    std::vector<known_option> m_options;
};

} // namespace reedtrail
