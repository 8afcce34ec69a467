#ifndef COMMAND_EXIT_CODE_H_
#define COMMAND_EXIT_CODE_H_

#include "base/base.h"

namespace bamboomount {

// Documented in docs/cli.md; scripts depend on the numbers.
enum class ExitCode {
  kSuccess = 0,
  kFailed = 1,
  kUsage = 2,
  kInvalidConfig = 3,
  kStaleBase = 4,
  // The change is accepted, but not in force on every instance in time.
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
