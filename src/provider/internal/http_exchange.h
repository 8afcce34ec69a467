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

// Sends one request over a new connection to `address` ("ip:port") and reads
// the whole response. `timeout` bounds connecting, sending and reading
// together. Errors have code kStoreUnavailable. The verdict is kNotRun if and
// only if the connection was not established, so that no byte was sent.
Result<PlatformResponse> SendRequest(const std::string& address,
                                     const PlatformRequest& call,
                                     Millis timeout);

// Returns `path` with one query parameter, which is percent-encoded.
std::string WithQuery(const std::string& path,
                      const std::string& name,
                      const std::string& value);

// Returns the error for a response with an unexpected status. 4xx and 503 mean
// that the platform refused the call (kNotRun); 409 gets code kConflict. After
// any other status the call may have run.
Error StatusError(const PlatformResponse& response);

// Returns the error for a response whose body is not the expected JSON. The
// platform has received the call, so it may have run.
Error MalformedResponse(const std::string& detail);

}  // namespace bamboomount::internal

#endif  // PROVIDER_INTERNAL_HTTP_EXCHANGE_H_
