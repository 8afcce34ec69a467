#include "gateway/forwarding/attempt_load.h"

#include <utility>

namespace bamboomount {

AttemptLoad::AttemptLoad(Dispatcher& dispatcher,
                         const BackendServer& server,
                         Request request,
                         Instant now)
    : dispatcher_(dispatcher),
      server_(server.id),
      request_(std::move(request)),
      sent_at_(now) {
  BackendLoads& loads = dispatcher_.state().loads();
  loads.AddRequest(server_, request_.load);
  dispatcher_.state().brittle_servers().RecordSent(server, now);
  const BackendLoad total = loads.Total(server_);
  queued_tokens_ = Tokens(request_.urgent ? total.urgent_prefill_tokens
                                          : total.pending_prefill_tokens);
  server_was_full_ = total.requests > server.slots;
  if (!request_.engine)
    return;
  dispatcher_.concurrency_limit(request_.pool).Add(request_.priority);
  engine_is_busy_ = 2 * total.requests > server.slots;
}

void AttemptLoad::RecordHead(const ReplyHead& head, Instant now) {
  constexpr unsigned kServiceUnavailable = 503;
  BrittleServers& brittle_servers = dispatcher_.state().brittle_servers();
  accepted_ = !head.not_executed;
  if (accepted_)
    brittle_servers.RecordAccepted(server_, sent_at_);
  else if (head.status == kServiceUnavailable)
    brittle_servers.RecordRejected(server_, request_.pool, sent_at_, now);
}

bool AttemptLoad::RecordFirstBytes(Instant now) {
  if (generating_)
    return false;
  generating_ = true;
  GatewayState& state = dispatcher_.state();
  state.loads().RecordFirstToken(server_, request_.load);
  if (request_.engine) {
    state.prefill_throughput().Observe(request_.pool, queued_tokens_,
                                       ToMillis(now - sent_at_));
    RecordFirstTokenLatency(now);
  }
  state.health().RecordSuccess(server_, ToMillis(now - sent_at_),
                               request_.target_latency);
  return true;
}

void AttemptLoad::RecordComplete(Instant now) {
  if (!generating_)
    dispatcher_.state().health().RecordSuccess(
        server_, ToMillis(now - sent_at_), request_.target_latency);
}

void AttemptLoad::Release(Instant now) {
  dispatcher_.state().loads().EndRequest(server_, request_.load, generating_);
  dispatcher_.state().brittle_servers().RecordEnded(server_, request_.pool,
                                                    accepted_, sent_at_, now);
  if (!request_.engine)
    return;
  const bool gave_up = ToMillis(now - sent_at_) >= request_.target_latency;
  if (!generating_ && gave_up)
    RecordFirstTokenLatency(now);
  dispatcher_.concurrency_limit(request_.pool).Remove(request_.priority);
}

void AttemptLoad::RecordFirstTokenLatency(Instant now) {
  dispatcher_.concurrency_limit(request_.pool)
      .Record(
          {request_.priority, request_.urgent, sent_at_,
           ToMillis(now - sent_at_), request_.target_latency, engine_is_busy_},
          now);
}

}  // namespace bamboomount
