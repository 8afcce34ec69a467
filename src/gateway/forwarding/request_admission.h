#ifndef GATEWAY_FORWARDING_REQUEST_ADMISSION_H_
#define GATEWAY_FORWARDING_REQUEST_ADMISSION_H_

#include <memory>
#include <optional>
#include <string_view>
#include <variant>

#include "gateway/forwarding/message_protocol.h"
#include "gateway/gateway_state.h"
#include "gateway/traffic/region_limit.h"

namespace bamboomount {

// A request that may be served, with the rules that apply to it.
struct AdmittedRequest {
  // Keeps `route` alive when a newer configuration takes effect.
  std::shared_ptr<const TrafficPolicy> policy;
  const Route* route = nullptr;
  // Empty on routes open to all.
  CustomerId customer;
  // Rank among all requests; 0 is the most urgent.
  Tier urgency;
  // Regions whose servers may run the request.
  RegionLimit regions;
  // Set once the stream has begun: the software version of the server that
  // began it. No other may continue it.
  std::optional<SoftwareVersion> stream_version;

  // Whether the server may run the request, given its region and version.
  bool Permits(const BackendServer& server,
               const InstanceSettings& settings) const;
};

// Status and reason of a request that must not be served.
struct RequestRefusal {
  http::status status = http::status::service_unavailable;
  std::string_view reason;
};

using AdmissionOutcome = std::variant<AdmittedRequest, RequestRefusal>;

// Determines the route and the customer of a request, or the refusal to send.
// Callers treat 401 and 404 as final, so a request is refused with 503 instead
// if this instance's configuration may be out of date.
AdmissionOutcome AdmitRequest(const http::request_header<>& header,
                              const CallerHead& head,
                              const GatewayState& state,
                              Instant now);

}  // namespace bamboomount

#endif  // GATEWAY_FORWARDING_REQUEST_ADMISSION_H_
