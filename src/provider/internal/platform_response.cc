#include "provider/internal/platform_response.h"

#include <cxxtools/query_params.h>

#include <charconv>
#include <cstdint>
#include <optional>

namespace bamboomount::internal {

std::string WithQuery(const std::string& path,
                      const std::string& name,
                      const std::string& value) {
  cxxtools::QueryParams params;
  params.add(name, value);
  return path + "?" + params.getUrl();
}

Error StatusError(const ExchangeResponse& response) {
  const bool refused = (response.status >= 400 && response.status < 500) ||
                       response.status == 503;
  constexpr std::size_t kMaxQuotedBytes = 200;
  return Error{response.status == 409 ? ErrorCode::kConflict
                                      : ErrorCode::kStoreUnavailable,
               refused ? RunVerdict::kNotRun : RunVerdict::kMayHaveRun,
               "platform responded with status " +
                   std::to_string(response.status) + ": " +
                   response.body.substr(0, kMaxQuotedBytes),
               std::nullopt};
}

Error MalformedResponse(const std::string& detail) {
  return Error{ErrorCode::kStoreUnavailable, RunVerdict::kMayHaveRun,
               "malformed response: " + detail, std::nullopt};
}

Result<StoreEra> EraOf(const ExchangeResponse& response) {
  if (!response.store_era)
    return StoreEra();
  const std::string& text = *response.store_era;
  const char* end = text.data() + text.size();
  std::uint64_t era = 0;
  const auto parsed = std::from_chars(text.data(), end, era);
  if (parsed.ec != std::errc() || parsed.ptr != end)
    return MalformedResponse("the store's era is not a number: " + text);
  return StoreEra(era);
}

}  // namespace bamboomount::internal
