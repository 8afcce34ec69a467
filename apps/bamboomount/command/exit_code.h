#ifndef COMMAND_EXIT_CODE_H_
#define COMMAND_EXIT_CODE_H_

#include "base/base.h"

namespace bamboomount {

// Exit codes of the command-line tool. Scripts depend on the numbers;
// docs/cli.md documents them.
enum class ExitCode {
  kSuccess = 0,
  kFailed = 1,
  kUsage = 2,
  kInvalidConfig = 3,
  kStaleBase = 4,
  // The change was accepted, but was not in force on every instance within
  // --wait.
  kNotInForce = 5,
  kUnreachable = 6,
  kTokenRefused = 7,
  kNotFound = 8,
  kConflict = 9,
  kStoreUnavailable = 10,
};

ExitCode ExitCodeOf(ErrorCode code);

}  // namespace bamboomount

#endif  // COMMAND_EXIT_CODE_H_
