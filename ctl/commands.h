/**
 * @file
 * The commands of reedtrailctl. Most of them make one call to a steward.
 */
#pragma once

#include "ctl/steward_client.h"

#include <functional>
#include <span>
#include <string>
#include <vector>

namespace reedtrail {

/** Clients and options that a command uses besides its arguments. */
struct command_context
{
    steward_client &client; ///< Tries all given addresses in order.
    std::string patchFile = {}; ///< Value of --patch, used by plan.
    std::vector<steward_client> clients = {}; ///< One client for each given address, used by report.
    std::vector<std::string> optionNames = {}; ///< Names of the options without dashes, used by completion.
    std::function<void(const nlohmann::json &answer)> printUpdate = {}; ///< Prints an intermediate answer, used by watch.
};

/** Name, help, permitted number of arguments, and implementation of a command. */
struct ctl_command
{
    std::string_view name;
    std::string_view synopsis; ///< Its arguments, as shown in the help.
    std::string_view help;
    std::size_t minimumArguments;
    std::size_t maximumArguments;
    result<nlohmann::json> (*run)(command_context &context, std::span<const std::string> arguments);
};

/** Returns all commands, in the order of help. */
std::span<const ctl_command> ctlCommands();

/**
 * Runs a command.
 * @param words the name of the command, then its arguments
 * @return the answer to print, an error of the command, or BadUsage with the permitted commands or arguments
 */
result<nlohmann::json> runCommand(command_context &context, std::span<const std::string> words);

} // namespace reedtrail
