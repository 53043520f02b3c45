/**
 * @file
 * The commands of reedtrailctl, each a call to a steward.
 */
#pragma once

#include "ctl/steward_client.h"

#include <span>
#include <string>

namespace reedtrail {

/** What a command needs besides its words. */
struct command_context
{
    steward_client &client;
    std::string patchFile; ///< Of --patch, for plan.
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
