#include "router/internal/error_reply.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bamboomount {
namespace {

int HttpStatus(ErrorCode code) {
  switch (code) {
    case ErrorCode::kBadRequest:
    case ErrorCode::kKeyInRequest:
    case ErrorCode::kMissingIdempotencyKey:
    case ErrorCode::kInvalidConfig:
      return 400;
    case ErrorCode::kMissingKey:
    case ErrorCode::kUnknownKey:
    case ErrorCode::kWithdrawnKey:
      return 401;
    case ErrorCode::kUnknownRoute:
    case ErrorCode::kUnknownModel:
    case ErrorCode::kNotFound:
      return 404;
    case ErrorCode::kRequestTimeout:
    case ErrorCode::kCallerGone:
      return 408;
    case ErrorCode::kMayHaveRun:
    case ErrorCode::kConflict:
    case ErrorCode::kStaleBase:
      return 409;
    case ErrorCode::kBodyTooLarge:
      return 413;
    case ErrorCode::kIdempotencyKeyReused:
      return 422;
    case ErrorCode::kOverloaded:
    case ErrorCode::kDeadlineUnreachable:
      return 429;
    case ErrorCode::kHeaderTooLarge:
      return 431;
    case ErrorCode::kBackendFailed:
    case ErrorCode::kStreamInterrupted:
      return 502;
    case ErrorCode::kStaleState:
    case ErrorCode::kNoBackend:
    case ErrorCode::kStoreUnavailable:
    case ErrorCode::kHistoryLost:
    case ErrorCode::kLeaving:
    case ErrorCode::kNotLeaseHolder:
      return 503;
    case ErrorCode::kInternal:
      return 500;
  }
  return 500;
}

}  // namespace

std::string ErrorJson(const Error& error) {
  const nlohmann::ordered_json body = {{"error",
                                        {{"code", ToString(error.code)},
                                         {"message", error.message},
                                         {"ran", ToString(error.verdict)}}}};
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

BufferedReply ErrorReply(const Error& error) {
  BufferedReply reply;
  reply.status = HttpStatus(error.code);
  reply.body = ErrorJson(error);
  if (error.retry_after) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(*error.retry_after).count();
    reply.headers.push_back(
        {"Retry-After", std::to_string(std::max<long>(1, seconds))});
  }
  return reply;
}

}  // namespace bamboomount
