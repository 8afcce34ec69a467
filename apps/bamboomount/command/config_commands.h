#ifndef COMMAND_CONFIG_COMMANDS_H_
#define COMMAND_CONFIG_COMMANDS_H_

#include "command/command_registry.h"

namespace bamboomount {

// Adds config check, apply, show, diff and history.
void AddConfigCommands(CommandList& commands);

}  // namespace bamboomount

#endif  // COMMAND_CONFIG_COMMANDS_H_
