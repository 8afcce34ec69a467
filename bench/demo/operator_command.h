#ifndef DEMO_OPERATOR_COMMAND_H_
#define DEMO_OPERATOR_COMMAND_H_

#include <string>
#include <vector>

namespace bamboomount {

struct CommandResult {
  // -1 if the command was terminated by a signal.
  int exit_code = -1;
  // Standard output.
  std::string output;
  // Returns the value of the first member `name` at any depth of the JSON
  // output, as text; empty if there is none.
  std::string Member(const std::string& name) const;
};

// Runs the bamboomount command from the folder `programs` with JSON output and
// waits for it. Throws std::runtime_error if it cannot be started or does not
// exit in time.
CommandResult RunOperatorCommand(const std::string& programs,
                                 std::vector<std::string> arguments);

}  // namespace bamboomount

#endif  // DEMO_OPERATOR_COMMAND_H_
