#ifndef PROVIDER_INTERNAL_PLATFORM_RESPONSE_H_
#define PROVIDER_INTERNAL_PLATFORM_RESPONSE_H_

#include <string>

#include "base/base.h"
#include "provider/http_exchange.h"

namespace bamboomount::internal {

// Returns `path` with one query parameter, which is percent-encoded.
std::string WithQuery(const std::string& path,
                      const std::string& name,
                      const std::string& value);

// Returns the error for a response with an unexpected status. 4xx and 503 mean
// that the platform refused the call (kNotRun); 409 gets code kConflict. After
// any other status the call may have run.
Error StatusError(const ExchangeResponse& response);

// Returns the error for a response whose body is not the expected JSON. The
// platform has received the call, so it may have run.
Error MalformedResponse(const std::string& detail);

// Returns the era that the response states; 0 if it states none. Fails with
// kMayHaveRun if the field is not a whole number.
Result<StoreEra> EraOf(const ExchangeResponse& response);

}  // namespace bamboomount::internal

#endif  // PROVIDER_INTERNAL_PLATFORM_RESPONSE_H_
