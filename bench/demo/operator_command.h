#ifndef DEMO_OPERATOR_COMMAND_H_
#define DEMO_OPERATOR_COMMAND_H_

#include <string>
#include <vector>

namespace bamboomount {

struct CommandResult {
  int exit_code = -1;
  std::string output;
  // Value of the first member `name` anywhere in the JSON output, as text;
  // empty if there is none.
  std::string Member(const std::string& name) const;
};

// Runs the bamboomount command in `programs` with JSON output.
CommandResult RunOperatorCommand(const std::string& programs,
                                 std::vector<std::string> arguments);

}  // namespace bamboomount

#endif  // DEMO_OPERATOR_COMMAND_H_
