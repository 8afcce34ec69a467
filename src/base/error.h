#ifndef BASE_ERROR_H_
#define BASE_ERROR_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "base/run_verdict.h"

namespace bamboomount {

// Codes of failures. ToString gives their names in JSON replies and logs.
enum class ErrorCode {
  kBadRequest,
  kBodyTooLarge,
  kHeaderTooLarge,
  kRequestTimeout,
  kMissingKey,
  kUnknownKey,
  kWithdrawnKey,
  kKeyInRequest,
  kUnknownRoute,
  kUnknownModel,
  kStaleState,
  kOverloaded,
  kDeadlineUnreachable,
  kNoBackend,
  kBackendFailed,
  kStreamInterrupted,
  kMissingIdempotencyKey,
  kIdempotencyKeyReused,
  kMayHaveRun,
  kStoreUnavailable,
  kHistoryLost,
  kConflict,
  kStaleBase,
  kNotFound,
  kInvalidConfig,
  kLeaving,
  kCallerGone,
  kNotLeaseHolder,
  kInternal,
};

// Returns the stable name used in JSON replies and logs, for example
// "stale_state".
std::string_view ToString(ErrorCode code);

// A failure, and whether the request may have been executed.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  RunVerdict verdict = RunVerdict::kNotRun;
  std::string message;
  // Delay after which a retry may succeed, if known.
  std::optional<std::chrono::milliseconds> retry_after;
};

}  // namespace bamboomount

#endif  // BASE_ERROR_H_
