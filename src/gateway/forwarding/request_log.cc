#include "gateway/forwarding/request_log.h"

#include "gateway/events.h"
#include "telemetry/log.h"

namespace bamboomount {
namespace {

std::string Text(Millis time) {
  return std::to_string(time.count());
}

}  // namespace

void LogPlaced(const CallerHead& head,
               const AdmittedRequest& request,
               const PlacementRecord& placement) {
  Log(gateway_events::kRequestPlaced,
      {{"request", head.id.value()},
       {"route", request.route->name},
       {"customer", request.customer.value()},
       {"urgency", std::to_string(request.urgency.value())},
       {"backend", placement.server.value()},
       {"load", std::to_string(placement.load)},
       {"unread_tokens", std::to_string(placement.unread_tokens.value())},
       {"subject", std::to_string(head.prompt.SharedPrefixId())},
       {"copy_from", placement.copy_from.value()},
       {"config", std::to_string(request.policy->version().value())},
       {"config_age_ms", Text(placement.config_age.value_or(Millis(-1)))}});
}

void LogRelayed(const RequestId& request, const BackendId& instance) {
  Log(gateway_events::kRequestRelayed,
      {{"request", request.value()}, {"to", instance.value()}});
}

void LogResumed(const CallerHead& head,
                const std::optional<StreamOrigin>& origin) {
  Log(gateway_events::kStreamResumed,
      {{"request", head.id.value()},
       {"stream", head.resumed_request.value()},
       {"after", head.last_event_id},
       {"pool", origin ? origin->pool.value() : ""},
       {"version", origin ? origin->version.value() : "unknown"}});
}

void LogAttemptFailed(const RequestId& request,
                      const BackendId& server,
                      const AttemptFailure& failure) {
  if (!failure.status) {
    Log(gateway_events::kAttemptFailed, {{"request", request.value()},
                                         {"backend", server.value()},
                                         {"cause", std::string(failure.cause)},
                                         {"ran", std::string(failure.ran)}});
    return;
  }
  Log(gateway_events::kAttemptFailed,
      {{"request", request.value()},
       {"backend", server.value()},
       {"cause", std::string(failure.cause)},
       {"ran", std::string(failure.ran)},
       {"status", std::to_string(*failure.status)}});
}

void LogRefused(const RequestId& request,
                const std::string& route,
                const RefusalRecord& refusal) {
  const std::string refusals = std::to_string(refusal.history.refusals);
  if (refusal.retry_after) {
    Log(gateway_events::kRequestRefused,
        {{"request", request.value()},
         {"route", route},
         {"status", std::to_string(refusal.status)},
         {"reason", std::string(refusal.reason)},
         {"retry_after_ms", Text(*refusal.retry_after)},
         {"refusals", refusals}});
    return;
  }
  Log(gateway_events::kRequestRefused,
      {{"request", request.value()},
       {"route", route},
       {"status", std::to_string(refusal.status)},
       {"reason", std::string(refusal.reason)},
       {"runs", std::to_string(refusal.history.possible_runs)},
       {"refusals", refusals}});
}

void LogEnded(const RequestId& request, const EndRecord& end) {
  Log(gateway_events::kRequestEnded,
      {{"request", request.value()},
       {"outcome", std::string(end.outcome)},
       {"status", std::to_string(end.status)},
       {"first_ms", Text(end.time_to_first_bytes)},
       {"longest_pause_ms", Text(end.longest_pause)},
       {"took_ms", Text(end.total)}});
}

}  // namespace bamboomount
