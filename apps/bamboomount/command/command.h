#ifndef COMMAND_COMMAND_H_
#define COMMAND_COMMAND_H_

#include <string>
#include <vector>

#include "base/base.h"
#include "command/console.h"
#include "command/exit_code.h"

namespace bamboomount {

// One command of the operators.
class Command {
 public:
  virtual ~Command() = default;

  // The words that select it, for example "config apply".
  virtual std::string name() const = 0;
  // One line for --help.
  virtual std::string summary() const = 0;

  // `args` are the words after the name. Throws TCLAP exceptions for arguments
  // that do not fit; an error is reported by the caller.
  virtual Result<ExitCode> Run(const std::vector<std::string>& args,
                               Console& console) const = 0;
};

}  // namespace bamboomount

#endif  // COMMAND_COMMAND_H_
