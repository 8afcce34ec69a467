#include "command/exit_code.h"

namespace bamboomount {
namespace {

struct ExitCodeEntry {
  ErrorCode error;
  ExitCode exit;
};

constexpr ExitCodeEntry kExitCodes[] = {
    {ErrorCode::kBadRequest, ExitCode::kUsage},
    {ErrorCode::kInvalidConfig, ExitCode::kInvalidConfig},
    {ErrorCode::kStaleBase, ExitCode::kStaleBase},
    {ErrorCode::kNoBackend, ExitCode::kUnreachable},
    {ErrorCode::kUnknownKey, ExitCode::kTokenRefused},
    {ErrorCode::kNotFound, ExitCode::kNotFound},
    {ErrorCode::kConflict, ExitCode::kConflict},
    {ErrorCode::kStoreUnavailable, ExitCode::kStoreUnavailable}};

}  // namespace

ExitCode ExitCodeOf(ErrorCode code) {
  for (const ExitCodeEntry& entry : kExitCodes) {
    if (entry.error == code)
      return entry.exit;
  }
  return ExitCode::kFailed;
}

}  // namespace bamboomount
