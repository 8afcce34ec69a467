#ifndef COMMAND_KEY_COMMANDS_H_
#define COMMAND_KEY_COMMANDS_H_

#include "command/command_registry.h"

namespace bamboomount {

// Adds key grant, withdraw and list.
void AddKeyCommands(CommandList& commands);

}  // namespace bamboomount

#endif  // COMMAND_KEY_COMMANDS_H_
