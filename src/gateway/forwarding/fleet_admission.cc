#include "gateway/forwarding/fleet_admission.h"

#include <algorithm>
#include <string>

#include "gateway/admission_rules.h"
#include "gateway/events.h"
#include "telemetry/log.h"

namespace bamboomount {
namespace {

PoolStatus MeasurePool(const PoolId& pool, GatewayState& state, Instant now) {
  PoolStatus status;
  for (const BackendServer* server : state.backends().Usable(pool)) {
    if (state.health().IsEjected(server->id, now))
      continue;
    ++status.servers;
    status.slots += server->slots;
    status.requests += state.loads().Total(server->id).requests;
  }
  status.instance_count = state.members().Count();
  return status;
}

void UpdatePool(Dispatcher& dispatcher, const PoolId& pool, Instant now) {
  GatewayState& state = dispatcher.state();
  const auto change =
      state.admission().Update(pool, MeasurePool(pool, state, now), now);
  if (!change)
    return;
  Log(change->overloaded ? gateway_events::kPoolOverloaded
                         : gateway_events::kPoolRecovered,
      {{"pool", pool.value()},
       {"demand", std::to_string(change->demand)},
       {"capacity", std::to_string(change->capacity)},
       {"lowest_tier", change->lowest_tier
                           ? std::to_string(change->lowest_tier->value())
                           : ""}});
}

}  // namespace

CostQuery CostQueryFor(const PromptShape& prompt,
                       const AdmittedRequest& request,
                       const Pool& pool) {
  CostQuery query;
  query.pool = pool.id;
  query.route = request.route->name;
  // Most shared prefixes are in the cache of the engine that is chosen.
  query.prefill_tokens = prompt.input - prompt.SharedTokens();
  query.memory_tokens = prompt.input + prompt.output_limit;
  query.engine = pool.engine ? &*pool.engine : nullptr;
  query.target_latency = request.route->target_latency;
  return query;
}

std::optional<Millis> RefuseExcess(Dispatcher& dispatcher,
                                   const CostQuery& cost,
                                   const AdmittedRequest& request,
                                   Millis time_left) {
  GatewayState& state = dispatcher.state();
  if (!state.settings().fleet_admission)
    return std::nullopt;
  const Instant now = BootClock::now();
  if (state.admission().IsUpdateDue(cost.pool, now))
    UpdatePool(dispatcher, cost.pool, now);
  const int slots = state.admission().SlotsPerServer(cost.pool);
  const AdmissionRequest query{cost.pool, request.urgency, request.customer,
                               state.cost_model().ServerSeconds(cost, slots)};
  if (state.admission().Admit(query, dispatcher.Random(), now))
    return std::nullopt;
  dispatcher.metrics().Increment(
      "bamboomount_admission_refusals_total",
      {{"pool", cost.pool.value()},
       {"tier", std::to_string(request.urgency.value())}});
  return RetryAfterOverload(state.admission().LoadFactor(cost.pool), time_left,
                            dispatcher.Random());
}

}  // namespace bamboomount
