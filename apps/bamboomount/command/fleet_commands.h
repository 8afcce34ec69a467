#ifndef COMMAND_FLEET_COMMANDS_H_
#define COMMAND_FLEET_COMMANDS_H_

#include "command/command_registry.h"

namespace bamboomount {

// Adds status, instance drain, usage and trace.
void AddFleetCommands(CommandList& commands);

}  // namespace bamboomount

#endif  // COMMAND_FLEET_COMMANDS_H_
