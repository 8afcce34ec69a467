#include "gateway/forwarding/request_admission.h"

#include <string>
#include <utility>

#include "gateway/forwarding/request_target.h"

namespace bamboomount {
namespace {

const Route* FindRoute(const http::request_header<>& header,
                       const TrafficPolicy& policy) {
  const auto target = header.target();
  const Route* route =
      policy.FindRoute(std::string(header[http::field::host]),
                       PathOf(std::string_view(target.data(), target.size())));
  return route && !route->shares.empty() ? route : nullptr;
}

// Refuses with `status` if the configuration is recent enough for a final
// refusal, otherwise with 503.
RequestRefusal RefuseNotFound(http::status status,
                              std::string_view reason,
                              const GatewayState& state,
                              Instant now) {
  if (state.ConfigIsCurrent(now))
    return {status, reason};
  return {http::status::service_unavailable,
          "unknown route or key, and the configuration may be out of date"};
}

}  // namespace

AdmissionOutcome AdmitRequest(const http::request_header<>& header,
                              const CallerHead& head,
                              const GatewayState& state,
                              Instant now) {
  if (head.id.empty())
    return RequestRefusal{http::status::bad_request,
                          "the request id is missing"};
  // RFC 9112, 3.2: recipients could disagree on which Host field applies.
  if (header.count(http::field::host) != 1)
    return RequestRefusal{http::status::bad_request,
                          "the request must have exactly one Host field"};
  AdmittedRequest request;
  request.policy = state.policy();
  if (!request.policy)
    return RequestRefusal{http::status::service_unavailable,
                          "no configuration has been loaded yet"};
  request.route = FindRoute(header, *request.policy);
  if (!request.route)
    return RefuseNotFound(http::status::not_found, "no matching route", state,
                          now);
  request.urgency = request.policy->Urgency(*request.route, std::nullopt);
  request.regions.RestrictTo(request.route->allowed_regions);
  if (request.route->allow_anonymous || !request.policy->has_customers())
    return request;
  if (!state.KeysAreCurrent(now))
    return RequestRefusal{http::status::service_unavailable,
                          "configuration too old to exclude withdrawn keys"};
  const KeyGrant* grant = request.policy->FindKey(head.key);
  if (!grant)
    return RefuseNotFound(http::status::unauthorized, "unknown key", state,
                          now);
  request.customer = grant->customer;
  request.regions.RestrictTo(grant->allowed_regions);
  request.urgency = request.policy->Urgency(*request.route, grant->tier);
  return request;
}

bool AdmittedRequest::Permits(const BackendServer& server,
                              const InstanceSettings& settings) const {
  if (stream_version && server.version != *stream_version)
    return false;
  return !regions.restricted() ||
         regions.Allows(settings.RegionOf(server.zone));
}

}  // namespace bamboomount
