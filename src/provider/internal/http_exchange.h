#ifndef PROVIDER_INTERNAL_HTTP_EXCHANGE_H_
#define PROVIDER_INTERNAL_HTTP_EXCHANGE_H_

#include <string>

#include "base/base.h"

namespace bamboomount::internal {

struct HttpCall {
  // "GET", "PUT" or "POST".
  std::string method;
  // Path and query, already percent-encoded.
  std::string target;
  std::string body;
};

struct HttpAnswer {
  int status = 0;
  std::string body;
};

// Sends one call over a connection of its own to `address` ("ip:port") and
// reads the whole answer. `timeout` bounds connecting, sending and reading
// together. Errors have code kStoreUnavailable; the verdict is kNotRun exactly
// if the connection was not established, so that no byte was handed to it.
Result<HttpAnswer> Exchange(const std::string& address,
                            const HttpCall& call,
                            Millis timeout);

// `path` with one percent-encoded query parameter.
std::string WithQuery(const std::string& path,
                      const std::string& name,
                      const std::string& value);

// The error for an answer whose status is not the expected one. 4xx and 503
// state that the platform refused the call (kNotRun); 409 gets code kConflict.
// After any other status the call may have run.
Error StatusError(const HttpAnswer& answer);

// The error for an answer whose body is not the expected JSON. The platform
// had the call, so it may have run.
Error MalformedAnswer(const std::string& detail);

}  // namespace bamboomount::internal

#endif  // PROVIDER_INTERNAL_HTTP_EXCHANGE_H_
