#include "gateway/placement/backend_selector.h"

#include <algorithm>

namespace bamboomount {
namespace {

// Cost of a request that the engine is already serving, in prompt tokens: each
// one lengthens every step of the engine slightly.
constexpr double kRunningRequestCostTokens = 300;
// Cost of each token of a missing shared prefix. Recomputing it also takes
// engine time from other requests; copying it from another engine is cheaper.
constexpr double kRecomputeCostFactor = 2;
constexpr double kCopyCostFactor = 0.2;
// Cost of each request beyond the slots of an engine, in prompt tokens: it
// waits for another request to end.
constexpr double kSlotWaitCostTokens = 6000;
// Cost of sending a request to another zone, in prompt tokens.
constexpr double kCrossZoneCostTokens = 1500;
// Cost of sending a request for a plain service to another zone, in requests
// being served.
constexpr double kCrossZoneCostRequests = 0.6;

// Cost of a conversation on an engine that also takes long prompts, besides the
// tokens pending there, and of a long prompt on a reserved engine, in prompt
// tokens.
constexpr double kGeneralEngineCostTokens = 6000;
constexpr double kReservedEngineCostTokens = 50000;

// Below this size, copying a prefix takes as long as recomputing it.
constexpr Tokens kMinCopiedTokens{400};
// Engines of the prefix's ranking that are tried before the cost alone decides.
constexpr std::size_t kMaxAffinityCandidates = 4;
// An engine is overloaded if more prompt tokens are pending there than
// kOverloadBaseTokens, some 100 ms of its time, plus kOverloadAverageFactor
// times the average of the general engines.
constexpr double kOverloadBaseTokens = 10000;
constexpr double kOverloadAverageFactor = 1.5;
// Above this number of pending prompt tokens an engine is overloaded in any
// case, so that reserved engines take long prompts too.
constexpr double kOverloadMaxTokens = kReservedEngineCostTokens;
// An engine is overloaded if this fraction of its slots is in use.
constexpr double kOverloadSlotFraction = 0.9;
// An engine is overloaded if its smoothed latency exceeds this multiple of the
// target latency.
constexpr double kOverloadLatencyRatio = 1;

}  // namespace

const BackendServer* BackendSelector::Choose(const Servers& candidates,
                                             const PlacementRequest& request,
                                             Instant now) {
  const Servers healthy = FilterHealthy(candidates, now);
  return request.engine ? ChooseEngine(healthy, request, now)
                        : ChooseService(healthy, request);
}

BackendSelector::Servers BackendSelector::FilterHealthy(
    const Servers& candidates,
    Instant now) const {
  Servers unejected;
  Servers healthy;
  for (const BackendServer* server : candidates) {
    if (health_.IsEjected(server->id, now))
      continue;
    unejected.push_back(server);
    if (!health_.IsEjectedByPeers(server->id, now))
      healthy.push_back(server);
  }
  // The ejections by other instances may exclude at most half of the servers.
  if (2 * healthy.size() >= unejected.size() && !healthy.empty())
    return healthy;
  return unejected.empty() ? candidates : unejected;
}

const BackendServer* BackendSelector::ChooseService(
    const Servers& candidates,
    const PlacementRequest& request) const {
  const auto least = std::min_element(
      candidates.begin(), candidates.end(),
      [&](const BackendServer* a, const BackendServer* b) {
        return ServiceCost(*a, request) < ServiceCost(*b, request);
      });
  return least == candidates.end() ? nullptr : *least;
}

const BackendServer* BackendSelector::ChooseEngine(
    const Servers& candidates,
    const PlacementRequest& request,
    Instant now) {
  if (candidates.empty())
    return nullptr;
  const PoolId& pool = candidates.front()->pool;
  if (admission_.MustYield(pool, request.admission, now))
    return nullptr;
  reserved_engines_.Update(request.listed, now);
  if (!request.prompt.HasLongAnswer()) {
    if (const BackendServer* server = ChooseByPrefix(candidates, request))
      return server;
  }
  const BackendServer* server =
      CheapestEngine(candidates, request, &EngineAdmission::Admits, now);
  if (server)
    return server;
  server =
      CheapestEngine(candidates, request, &EngineAdmission::AdmitsLate, now);
  if (!server)
    admission_.RecordRejection(pool, request.admission, now);
  return server;
}

const BackendServer* BackendSelector::CheapestEngine(
    const Servers& candidates,
    const PlacementRequest& request,
    AdmissionRule rule,
    Instant now) const {
  const Servers ranked =
      PrefixLocator::RankServers(candidates, request.prompt, 1);
  const BackendServer* home = ranked.empty() ? nullptr : ranked.front();
  const BackendServer* best = nullptr;
  double best_cost = 0;
  for (const BackendServer* server : candidates) {
    const double cost = EngineCost(*server, home, request, now);
    if ((best && cost >= best_cost) || !AcceptsRequest(*server, request, rule))
      continue;
    best = server;
    best_cost = cost;
  }
  return best;
}

bool BackendSelector::AcceptsRequest(const BackendServer& server,
                                     const PlacementRequest& request,
                                     AdmissionRule rule) const {
  // The prefill of a long prompt would stall the conversations that run on a
  // reserved engine.
  if (!request.prompt.HasLongAnswer() && reserved_engines_.Contains(server) &&
      loads_.Total(server.id).long_answers > 0)
    return false;
  return (admission_.*rule)(server, request.admission);
}

const BackendServer* BackendSelector::ChooseByPrefix(
    const Servers& candidates,
    const PlacementRequest& request) const {
  const Servers general_engines = ExcludeReserved(candidates);
  if (general_engines.empty())
    return nullptr;
  double pending_tokens = 0;
  for (const BackendServer* server : general_engines)
    pending_tokens +=
        static_cast<double>(loads_.Total(server->id).pending_prefill_tokens);
  const double average =
      pending_tokens / static_cast<double>(general_engines.size());
  const double bound =
      std::min(kOverloadMaxTokens,
               kOverloadBaseTokens + kOverloadAverageFactor * average);
  for (const BackendServer* server : PrefixLocator::RankServers(
           general_engines, request.prompt, kMaxAffinityCandidates)) {
    const BackendLoad load = loads_.Total(server->id);
    if (static_cast<double>(load.pending_prefill_tokens) < bound &&
        admission_.Admits(*server, request.admission) &&
        load.requests < server->slots * kOverloadSlotFraction &&
        health_.LatencyRatio(server->id) <= kOverloadLatencyRatio)
      return server;
  }
  return nullptr;
}

BackendSelector::Servers BackendSelector::ExcludeReserved(
    const Servers& servers) const {
  Servers general_engines;
  for (const BackendServer* server : servers) {
    if (!reserved_engines_.Contains(*server))
      general_engines.push_back(server);
  }
  return general_engines;
}

double BackendSelector::ServiceCost(const BackendServer& server,
                                    const PlacementRequest& request) const {
  const double served = loads_.Total(server.id).requests + 1.0;
  const bool other_zone = server.zone != request.zone;
  return served * health_.LatencyRatio(server.id) +
         (other_zone ? kCrossZoneCostRequests : 0);
}

double BackendSelector::EngineCost(const BackendServer& server,
                                   const BackendServer* home,
                                   const PlacementRequest& request,
                                   Instant now) const {
  const BackendLoad load = loads_.Total(server.id);
  const bool long_answer = request.prompt.HasLongAnswer();
  const auto shared_tokens =
      static_cast<double>(request.prompt.SharedTokens().value());
  const auto pending_tokens = static_cast<double>(load.pending_prefill_tokens);
  double cost = (pending_tokens + load.requests * kRunningRequestCostTokens) *
                health_.LatencyRatio(server.id);
  const int beyond_slots = load.requests + 1 - server.slots;
  cost += std::max(0, beyond_slots) * kSlotWaitCostTokens;
  if (home != &server && !prefixes_.HasSentPrefix(server, request.prompt, now))
    cost += shared_tokens * (request.engine->CopiesPrefixes()
                                 ? kCopyCostFactor
                                 : kRecomputeCostFactor);
  if (server.zone != request.zone)
    cost += kCrossZoneCostTokens;
  if (reserved_engines_.Contains(server) != long_answer)
    cost += long_answer ? kGeneralEngineCostTokens + pending_tokens
                        : kReservedEngineCostTokens;
  return cost;
}

PrefixPlan BackendSelector::PlanPrefix(const BackendServer& server,
                                       const PlacementRequest& request,
                                       Instant now) const {
  const PromptShape& prompt = request.prompt;
  const Tokens unshared = prompt.input - prompt.SharedTokens();
  const Servers general_engines = ExcludeReserved(request.listed);
  if (!request.engine ||
      prefixes_.HoldsPrefix(server, general_engines, prompt, now))
    return {unshared, nullptr};
  if (!request.engine->CopiesPrefixes() ||
      prompt.SharedTokens() < kMinCopiedTokens)
    return {prompt.input, nullptr};
  // Copying from a failing engine could stall the request.
  Servers healthy = general_engines;
  std::erase_if(healthy, [this, now](const BackendServer* other) {
    return health_.HasFailures(other->id) || health_.IsEjected(other->id, now);
  });
  const BackendServer* holder =
      prefixes_.FindPrefixHolder(server, healthy, prompt, now);
  return {holder ? unshared : prompt.input, holder};
}

}  // namespace bamboomount
