/**
 * @file
 * The commands of reedtrailctl, most of them one call to a steward.
 */
#pragma once

#include "ctl/steward_client.h"

#include <functional>
#include <span>
#include <string>
#include <vector>

namespace reedtrail {

/** What a command needs besides its words. */
struct command_context
{
    steward_client &client;
    std::string patchFile = {}; ///< Of --patch, for plan.
    std::vector<steward_client> each = {}; ///< One client for each address given, for report.
    std::vector<std::string> optionNames = {}; ///< For completion.
    std::function<void(const nlohmann::json &answer)> show = {}; ///< Shows an answer before the command has ended, for watch.
};

/** One command. */
struct ctl_command
{
    std::string_view name;
    std::string_view synopsis; ///< Its words.
    std::string_view help;
    std::size_t leastWords;
    std::size_t mostWords;
    result<nlohmann::json> (*run)(command_context &context, std::span<const std::string> words);
};

/** Returns all commands, in the order of help. */
std::span<const ctl_command> ctlCommands();

/** Runs the command that @p words begin with. @return the answer to show, or BadUsage naming what is allowed */
result<nlohmann::json> runCommand(command_context &context, std::span<const std::string> words);

} // namespace reedtrail
