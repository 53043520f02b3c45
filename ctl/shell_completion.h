/**
 * @file
 * Shell completion for reedtrailctl, generated from its table of commands and its options.
 *
 *     source <(reedtrailctl completion)
 */
#pragma once

#include "ctl/commands.h"

#include <span>
#include <string>

namespace reedtrail {

/** Returns a completion script for bash. @param commands the commands to complete @param options names of the options without dashes */
std::string bashCompletion(std::span<const ctl_command> commands, std::span<const std::string> options);

} // namespace reedtrail
