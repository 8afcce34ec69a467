#include "gateway/forwarding/server_search.h"

#include <utility>

#include "gateway/admission_rules.h"

namespace bamboomount {

bool ServerSearchRequest::IsUrgent() const {
  return admitted.urgency.value() + 1 < admitted.policy->urgency_levels();
}

ServerSearch::ServerSearch(Dispatcher& dispatcher, Observer& observer)
    : dispatcher_(dispatcher),
      observer_(observer),
      timer_(dispatcher.context()) {}

void ServerSearch::Find(const ServerSearchRequest& request,
                        const std::vector<BackendId>& tried,
                        const std::shared_ptr<void>& owner) {
  request_.emplace(request);
  const Instant now = BootClock::now();
  const PoolId& pool = request_->pool;
  if (request_->engine) {
    if (const auto until = dispatcher_.state().poison_parts().PoisonousUntil(
            request_->prompt)) {
      observer_.OnPoisonousPrompt(ToMillis(*until - now));
      return;
    }
  }
  const auto untried =
      dispatcher_.UntriedBackends(pool, tried, request_->admitted);
  if (untried.empty() && !tried.empty()) {
    observer_.OnNoServer("no other backend server left to try");
    return;
  }
  const BackendServer* server = nullptr;
  if (!MustQueue(now))
    server = dispatcher_.state().selector().Choose(
        dispatcher_.WithCapacity(untried, pool),
        MakePlacementRequest(*request_, dispatcher_.state()), now);
  if (server)
    observer_.OnServerFound(*server);
  else
    Wait(owner);
}

bool ServerSearch::MustQueue(Instant now) const {
  const Tier urgency = request_->admitted.urgency;
  const PoolId& pool = request_->pool;
  const bool is_limited =
      request_->engine ||
      dispatcher_.state().brittle_servers().IsBrittle(pool, now);
  if (is_limited && dispatcher_.HasMoreUrgentWaiter(pool, urgency))
    return true;
  return request_->engine && !dispatcher_.concurrency_limit(pool).HasRoom(
                                 urgency, request_->IsUrgent());
}

PlacementRequest ServerSearch::MakePlacementRequest(
    const ServerSearchRequest& request,
    const GatewayState& state) {
  // Prefixes must not be copied from servers that may not be used.
  auto listed = state.backends().Listed(request.pool);
  std::erase_if(listed, [&](const BackendServer* server) {
    return state.backends().evacuated_zones().contains(server->zone) ||
           (request.admitted.regions.restricted() &&
            !request.admitted.regions.Allows(
                state.settings().RegionOf(server->zone)));
  });
  return {request.prompt,
          request.engine,
          {request.admitted.urgency, request.IsUrgent(),
           request.admitted.route->target_latency},
          state.settings().zone,
          std::move(listed)};
}

void ServerSearch::Wait(const std::shared_ptr<void>& owner) {
  const Instant now = BootClock::now();
  const Millis limit = MaxQueueTime(request_->admitted.route->target_latency,
                                    ToMillis(request_->deadline - now));
  const Millis waited = ToMillis(now - request_->received);
  if (waited >= limit) {
    observer_.OnNoServer("no backend server has capacity");
    return;
  }
  ticket_ = dispatcher_.AddWaiter(request_->pool, request_->admitted.urgency,
                                  [this, owner] {
                                    ticket_.reset();
                                    timer_.cancel();
                                    observer_.OnWoken();
                                  });
  timer_.expires_after(limit - waited);
  timer_.async_wait([this, owner](const error_code& error) {
    if (!error && ticket_)
      OnWaitTimeout();
  });
}

void ServerSearch::OnWaitTimeout() {
  Cancel();
  observer_.OnNoServer(
      "no backend server had capacity within the queue time limit");
}

void ServerSearch::Cancel() {
  timer_.cancel();
  if (!ticket_)
    return;
  const Dispatcher::WaitTicket ticket = *std::exchange(ticket_, std::nullopt);
  dispatcher_.RemoveWaiter(request_->pool, ticket);
}

}  // namespace bamboomount
