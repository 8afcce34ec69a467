#include "base/error.h"

namespace bamboomount {

std::string_view ToString(ErrorCode code) {
  switch (code) {
    case ErrorCode::kBadRequest:
      return "bad_request";
    case ErrorCode::kBodyTooLarge:
      return "body_too_large";
    case ErrorCode::kHeaderTooLarge:
      return "header_too_large";
    case ErrorCode::kRequestTimeout:
      return "request_timeout";
    case ErrorCode::kMissingKey:
      return "missing_key";
    case ErrorCode::kUnknownKey:
      return "unknown_key";
    case ErrorCode::kWithdrawnKey:
      return "withdrawn_key";
    case ErrorCode::kKeyInRequest:
      return "key_in_request";
    case ErrorCode::kUnknownRoute:
      return "unknown_route";
    case ErrorCode::kUnknownModel:
      return "unknown_model";
    case ErrorCode::kStaleState:
      return "stale_state";
    case ErrorCode::kOverloaded:
      return "overloaded";
    case ErrorCode::kDeadlineUnreachable:
      return "deadline_unreachable";
    case ErrorCode::kNoBackend:
      return "no_backend";
    case ErrorCode::kBackendFailed:
      return "backend_failed";
    case ErrorCode::kStreamInterrupted:
      return "stream_interrupted";
    case ErrorCode::kMissingIdempotencyKey:
      return "missing_idempotency_key";
    case ErrorCode::kIdempotencyKeyReused:
      return "idempotency_key_reused";
    case ErrorCode::kMayHaveRun:
      return "may_have_run";
    case ErrorCode::kStoreUnavailable:
      return "store_unavailable";
    case ErrorCode::kHistoryLost:
      return "history_lost";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kStaleBase:
      return "stale_base";
    case ErrorCode::kNotFound:
      return "not_found";
    case ErrorCode::kInvalidConfig:
      return "invalid_config";
    case ErrorCode::kLeaving:
      return "leaving";
    case ErrorCode::kCallerGone:
      return "caller_gone";
    case ErrorCode::kNotLeaseHolder:
      return "not_lease_holder";
    case ErrorCode::kInternal:
      return "internal";
  }
  return "internal";
}

}  // namespace bamboomount
