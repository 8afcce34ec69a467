#ifndef PROVIDER_INTERNAL_JSON_ANSWER_H_
#define PROVIDER_INTERNAL_JSON_ANSWER_H_

#include <nlohmann/json.hpp>

#include "provider/internal/http_exchange.h"

namespace bamboomount::internal {

// Applies `convert` to the JSON body of an answer with status 200 or 202; any
// other status and any malformed body become an error.
template <typename T, typename Convert>
Result<T> ReadJson(const HttpAnswer& answer, Convert convert) {
  if (answer.status != 200 && answer.status != 202)
    return StatusError(answer);
  try {
    return convert(nlohmann::json::parse(answer.body));
  } catch (const nlohmann::json::exception& error) {
    return MalformedAnswer(error.what());
  }
}

}  // namespace bamboomount::internal

#endif  // PROVIDER_INTERNAL_JSON_ANSWER_H_
