#ifndef BASE_ERROR_H_
#define BASE_ERROR_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "base/run_verdict.h"

namespace bamboomount {

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

// Stable name for JSON replies and logs, for example "stale_state".
std::string_view ToString(ErrorCode code);

// A failure together with the statement whether the request may have run.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  RunVerdict verdict = RunVerdict::kNotRun;
  std::string message;
  // Time after which a repeat has a chance, where one is known.
  std::optional<std::chrono::milliseconds> retry_after;
};

}  // namespace bamboomount

#endif  // BASE_ERROR_H_
