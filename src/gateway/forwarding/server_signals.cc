#include "gateway/forwarding/server_signals.h"

#include <string>

#include "gateway/events.h"
#include "telemetry/log.h"

namespace bamboomount {

void ApplyServerSignals(Dispatcher& dispatcher,
                        const BackendServer& server,
                        const RequestId& request,
                        const ReplyHead& head) {
  constexpr unsigned kServiceUnavailable = 503;
  const Instant now = BootClock::now();
  if (head.server_leaving &&
      dispatcher.state().backends().MarkLeaving(server, now))
    Log(gateway_events::kBackendLeaving,
        {{"backend", server.id.value()}, {"request", request.value()}});
  if (head.brittle_rejections &&
      dispatcher.state().brittle_servers().RecordStatement(
          server.pool, *head.brittle_rejections, now))
    Log(gateway_events::kPoolBrittle,
        {{"pool", server.pool.value()},
         {"max_rejections", std::to_string(*head.brittle_rejections)}});
  if (head.status != kServiceUnavailable || !head.retry_after)
    return;
  if (dispatcher.AcceptsRequests(server.id))
    Log(gateway_events::kBackendPaused,
        {{"backend", server.id.value()},
         {"request", request.value()},
         {"retry_after_ms", std::to_string(head.retry_after->count())}});
  dispatcher.PauseBackend(server.id, *head.retry_after);
}

}  // namespace bamboomount
