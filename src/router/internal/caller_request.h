#ifndef ROUTER_INTERNAL_CALLER_REQUEST_H_
#define ROUTER_INTERNAL_CALLER_REQUEST_H_

#include <optional>
#include <string>

#include "base/base.h"
#include "router/internal/asio.h"
#include "telemetry/telemetry.h"

namespace bamboomount {

using HttpRequest = http::request<http::string_body>;

// The authenticated sender of a request.
struct CallerIdentity {
  KeyId key;
  CustomerId customer;
};

// One request of a caller after it was read and authenticated.
struct CallerRequest {
  RequestId id;
  HttpRequest http;
  // Request target up to the first '?'.
  std::string path;
  // Request target after the first '?'; empty if there is none.
  std::string query;
  // Empty on open routes.
  std::optional<CallerIdentity> identity;
  TraceContext trace;
  SteadyTime arrival;

  // Value of the header field `name`; empty if the request has none.
  std::string Header(const std::string& name) const {
    const auto found = http.find(name);
    return found == http.end() ? std::string() : std::string(found->value());
  }
};

}  // namespace bamboomount

#endif  // ROUTER_INTERNAL_CALLER_REQUEST_H_
