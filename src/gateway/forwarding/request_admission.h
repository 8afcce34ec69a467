#ifndef GATEWAY_FORWARDING_REQUEST_ADMISSION_H_
#define GATEWAY_FORWARDING_REQUEST_ADMISSION_H_

#include <memory>
#include <string_view>
#include <variant>

#include "gateway/forwarding/message_protocol.h"
#include "gateway/gateway_state.h"

namespace bamboomount {

// A request that may run, and the rules that it runs by.
struct AdmittedRequest {
  // Keeps the route alive when a newer configuration is applied.
  std::shared_ptr<const TrafficPolicy> policy;
  const Route* route = nullptr;
  // Empty on routes open to all.
  CustomerId customer;
  // Rank among all requests, 0 first.
  Tier urgency;
};

// Why a request must not run.
struct RequestRefusal {
  http::status status = http::status::service_unavailable;
  std::string_view reason;
};

using AdmissionOutcome = std::variant<AdmittedRequest, RequestRefusal>;

// Finds the route and the customer of a request. What this instance cannot
// know for sure, because its configuration may be old, is refused for now with
// 503; 401 and 404 are final for callers.
AdmissionOutcome AdmitRequest(const http::request_header<>& header,
                              const CallerHead& head,
                              const GatewayState& state,
                              Instant now);

}  // namespace bamboomount

#endif  // GATEWAY_FORWARDING_REQUEST_ADMISSION_H_
