#ifndef COMMAND_COMMAND_H_
#define COMMAND_COMMAND_H_

#include <string>
#include <vector>

#include "base/base.h"
#include "command/console.h"
#include "command/exit_code.h"

namespace bamboomount {

// One subcommand of the operators' command-line tool.
class Command {
 public:
  virtual ~Command() = default;

  // One or two words that select it, for example "config apply".
  virtual std::string name() const = 0;
  // One-line description for --help.
  virtual std::string summary() const = 0;

  // `args` are the arguments after the name. Throws TCLAP exceptions for
  // invalid arguments and for --help. The caller reports a returned error.
  virtual Result<ExitCode> Run(const std::vector<std::string>& args,
                               Console& console) const = 0;
};

}  // namespace bamboomount

#endif  // COMMAND_COMMAND_H_
