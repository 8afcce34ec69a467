#ifndef PROVIDER_INTERNAL_HTTP_EXCHANGE_H_
#define PROVIDER_INTERNAL_HTTP_EXCHANGE_H_

#include <string>

#include "base/base.h"

namespace bamboomount::internal {

struct PlatformRequest {
  // "GET", "PUT" or "POST".
  std::string method;
  // Path and query, already percent-encoded.
  std::string target;
  std::string body;
};

struct PlatformResponse {
  int status = 0;
  std::string body;
};

// Sends one call over a connection of its own to `address` ("ip:port") and
// reads the whole response. `timeout` bounds connecting, sending and reading
// together. Errors have code kStoreUnavailable; the verdict is kNotRun exactly
// if the connection was not established, so that no byte was handed to it.
Result<PlatformResponse> SendRequest(const std::string& address,
                                     const PlatformRequest& call,
                                     Millis timeout);

// `path` with one percent-encoded query parameter.
std::string WithQuery(const std::string& path,
                      const std::string& name,
                      const std::string& value);

// The error for an response whose status is not the expected one. 4xx and 503
// state that the platform refused the call (kNotRun); 409 gets code kConflict.
// After any other status the call may have run.
Error StatusError(const PlatformResponse& response);

// The error for an response whose body is not the expected JSON. The platform
// had the call, so it may have run.
Error MalformedResponse(const std::string& detail);

}  // namespace bamboomount::internal

#endif  // PROVIDER_INTERNAL_HTTP_EXCHANGE_H_
