#ifndef PROVIDER_INTERNAL_JSON_RESPONSE_H_
#define PROVIDER_INTERNAL_JSON_RESPONSE_H_

#include <nlohmann/json.hpp>

#include "provider/internal/platform_response.h"

namespace bamboomount::internal {

// Applies `convert` to the JSON body of a response with status 200 or 202. Any
// other status and a malformed body result in an error.
template <typename T, typename Convert>
Result<T> ReadJson(const ExchangeResponse& response, Convert convert) {
  if (response.status != 200 && response.status != 202)
    return StatusError(response);
  try {
    return convert(nlohmann::json::parse(response.body));
  } catch (const nlohmann::json::exception& error) {
    return MalformedResponse(error.what());
  }
}

}  // namespace bamboomount::internal

#endif  // PROVIDER_INTERNAL_JSON_RESPONSE_H_
