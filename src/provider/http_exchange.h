#ifndef PROVIDER_HTTP_EXCHANGE_H_
#define PROVIDER_HTTP_EXCHANGE_H_

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/base.h"

namespace bamboomount {

// A request of an HTTP service, with a JSON body if it has one.
struct ExchangeRequest {
  // "GET", "PUT" or "POST".
  std::string method;
  // Path and query, already percent-encoded.
  std::string target;
  std::string body;
  // Names and values of further fields.
  std::vector<std::pair<std::string, std::string>> headers = {};
};

struct ExchangeResponse {
  int status = 0;
  std::string body;
  // Value of the field Store-Era; empty if the response has none.
  std::optional<std::string> store_era = {};
};

// Sends one request over a new connection to `address`, "ip:port" with an IPv6
// address in brackets, and reads the whole response. `timeout` bounds
// connecting, sending and reading together. Errors have code kStoreUnavailable.
// The verdict is kNotRun if and only if the connection was not established, so
// that no byte was sent.
Result<ExchangeResponse> SendRequest(const std::string& address,
                                     const ExchangeRequest& call,
                                     Millis timeout);

}  // namespace bamboomount

#endif  // PROVIDER_HTTP_EXCHANGE_H_
