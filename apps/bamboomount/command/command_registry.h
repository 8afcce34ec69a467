#ifndef COMMAND_COMMAND_REGISTRY_H_
#define COMMAND_COMMAND_REGISTRY_H_

#include <memory>
#include <string>
#include <vector>

#include "command/command.h"

namespace bamboomount {

using CommandList = std::vector<std::unique_ptr<Command>>;

// All commands, in the order of --help.
const CommandList& Commands();

// Runs the command that the first one or two words of `args` select and writes
// its error to the console.
ExitCode RunCommandLine(const std::vector<std::string>& args, Console& console);

}  // namespace bamboomount

#endif  // COMMAND_COMMAND_REGISTRY_H_
