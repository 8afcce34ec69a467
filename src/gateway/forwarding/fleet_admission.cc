#include "gateway/forwarding/fleet_admission.h"

#include <algorithm>
#include <string>

#include "gateway/admission_rules.h"
#include "gateway/events.h"
#include "telemetry/log.h"

namespace bamboomount {
namespace {

// The requests of all instances at the server. Instances whose loads are not
// known are assumed to have as many as the others: in a large fleet most are
// heard less often than their loads are kept.
double EstimateRequests(const BackendId& server, GatewayState& state) {
  const int local = state.loads().LocalRequests(server);
  const int remote = state.loads().Total(server).requests - local;
  const auto known = static_cast<double>(state.loads().remote_count());
  const double others = state.members().Count() - 1;
  return local + remote * (known > 0 ? std::max(1.0, others / known) : 1);
}

PoolStatus MeasurePool(const CostQuery& cost,
                       GatewayState& state,
                       Instant now) {
  PoolStatus status;
  status.engines = cost.engine != nullptr;
  double requests = 0;
  for (const BackendServer* server : state.backends().Usable(cost.pool)) {
    if (state.health().IsEjected(server->id, now))
      continue;
    ++status.servers;
    status.slots += server->slots;
    requests += EstimateRequests(server->id, state);
  }
  status.requests = static_cast<int>(requests);
  status.instance_count = state.members().Count();
  return status;
}

void UpdatePool(Dispatcher& dispatcher, const CostQuery& cost, Instant now) {
  GatewayState& state = dispatcher.state();
  const auto change =
      state.admission().Update(cost.pool, MeasurePool(cost, state, now), now);
  if (!change)
    return;
  Log(change->overloaded ? gateway_events::kPoolOverloaded
                         : gateway_events::kPoolRecovered,
      {{"pool", cost.pool.value()},
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
  query.engine = pool.engine ? &*pool.engine : nullptr;
  if (query.engine) {
    // Callers state the counts, and no engine serves more than fits its memory.
    const Tokens most = query.engine->kv_capacity;
    const Tokens input = std::min(prompt.input, most);
    // Most shared prefixes are in the cache of the engine that is chosen.
    query.prefill_tokens = std::max(Tokens(), input - prompt.SharedTokens());
    query.memory_tokens =
        std::min(most, input + std::min(prompt.output_limit, most));
  }
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
    UpdatePool(dispatcher, cost, now);
  const int slots = state.admission().SlotsPerServer(cost.pool);
  const AdmissionRequest query{
      cost.pool, request.urgency,
      request.customer.empty() ? kNoCustomer : request.customer,
      state.cost_model().ServerSeconds(cost, slots),
      // Engines serve urgent requests first, even if late; they are refused
      // only by the limits of this instance, after the less urgent ones.
      !cost.engine || request.policy->IsLeastUrgent(*request.route)};
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
