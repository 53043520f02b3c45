/**
 * @file
 * Shell completion of reedtrailctl, made from its table of commands and its options.
 *
 *     source <(reedtrailctl completion)
 */
#pragma once

#include "ctl/commands.h"

#include <span>
#include <string>

namespace reedtrail {

/** Returns a script for bash. @param commands to offer as the first word @param options names without dashes */
std::string bashCompletion(std::span<const ctl_command> commands, std::span<const std::string> options);

} // namespace reedtrail
