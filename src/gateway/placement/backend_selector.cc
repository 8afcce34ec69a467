#include "gateway/placement/backend_selector.h"

#include <algorithm>

namespace bamboomount {
namespace {

// What a request that is being served costs a newcomer, in prompt tokens: each
// one lengthens every step of the engine a little.
constexpr double kTokensPerServedRequest = 300;
// What a shared token costs that the engine has to read, which also takes its
// time from others, and one that it copies from another engine.
constexpr double kRepeatedReadWeight = 2;
constexpr double kCopyWeight = 0.2;
// What a request costs beyond the slots of an engine, where it waits for others
// to end.
constexpr double kTokensPerSlotWait = 6000;
// What a request to another zone costs, in prompt tokens.
constexpr double kOtherZoneTokens = 1500;
// The same for plain services, in requests served.
constexpr double kOtherZoneRequests = 0.6;

// What a conversation costs on an engine that also reads long prompts, and a
// long prompt on a quiet engine, in prompt tokens.
constexpr double kBusyEngineTokens = 6000;
constexpr double kQuietEngineTokens = 50000;

// Copying fewer tokens takes no less time than reading them.
constexpr Tokens kMinCopiedTokens{400};
// Engines of a subject's order that are tried before load alone decides.
constexpr std::size_t kTriedRanks = 4;
// An engine is loaded if more tokens wait there than these, some 100 ms of its
// time, and `kLoadedFactor` times the average of all,
constexpr double kLoadedTokens = 10000;
constexpr double kLoadedFactor = 1.5;
// or more than these in any case, so that quiet engines help out,
constexpr double kMostTokens = kQuietEngineTokens;
// or if more than this part of its slots is in use.
constexpr double kLoadedSlotPart = 0.9;
// or if its first tokens come later than this many times their target.
constexpr double kLoadedSlowness = 1;

}  // namespace

const BackendServer* BackendSelector::Choose(const Servers& candidates,
                                             const PlacementRequest& request,
                                             Instant now) {
  const Servers sound = Sound(candidates, now);
  return request.engine ? ChooseEngine(sound, request, now)
                        : ChooseService(sound, request);
}

BackendSelector::Servers BackendSelector::Sound(const Servers& candidates,
                                                Instant now) const {
  Servers unejected;
  Servers sound;
  for (const BackendServer* server : candidates) {
    if (health_.IsEjected(server->id, now))
      continue;
    unejected.push_back(server);
    if (!health_.IsReported(server->id, now))
      sound.push_back(server);
  }
  // What others tell may leave out half of the servers at most.
  if (2 * sound.size() >= unejected.size() && !sound.empty())
    return sound;
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
  if (room_.MustYield(pool, request.room, now))
    return nullptr;
  quiet_.Update(request.listed, now);
  if (!request.prompt.HasLongAnswer()) {
    if (const BackendServer* server = ChooseByPrefix(candidates, request))
      return server;
  }
  const Servers ranked = PrefixLocator::Ranked(candidates, request.prompt, 1);
  const BackendServer* home = ranked.empty() ? nullptr : ranked.front();
  const BackendServer* best = nullptr;
  double best_cost = 0;
  for (const BackendServer* server : candidates) {
    const double cost = EngineCost(*server, home, request, now);
    if ((best && cost >= best_cost) || !IsOpen(*server, request))
      continue;
    best = server;
    best_cost = cost;
  }
  if (!best)
    room_.NoteNone(pool, request.room, now);
  return best;
}

bool BackendSelector::IsOpen(const BackendServer& server,
                             const PlacementRequest& request) const {
  // Conversations are not stalled to make room for prompts.
  if (!request.prompt.HasLongAnswer() && quiet_.Contains(server) &&
      loads_.Total(server.id).long_answers > 0)
    return false;
  return room_.Has(server, request.room);
}

const BackendServer* BackendSelector::ChooseByPrefix(
    const Servers& candidates,
    const PlacementRequest& request) const {
  const Servers reading = ForReading(candidates);
  if (reading.empty())
    return nullptr;
  double unread = 0;
  for (const BackendServer* server : reading)
    unread += static_cast<double>(loads_.Total(server->id).unread_tokens);
  const double average = unread / static_cast<double>(reading.size());
  const double bound =
      std::min(kMostTokens, kLoadedTokens + kLoadedFactor * average);
  for (const BackendServer* server :
       PrefixLocator::Ranked(reading, request.prompt, kTriedRanks)) {
    const BackendLoad load = loads_.Total(server->id);
    if (static_cast<double>(load.unread_tokens) < bound &&
        room_.Has(*server, request.room) &&
        load.requests < server->slots * kLoadedSlotPart &&
        health_.Slowness(server->id) <= kLoadedSlowness)
      return server;
  }
  return nullptr;
}

BackendSelector::Servers BackendSelector::ForReading(
    const Servers& servers) const {
  Servers reading;
  for (const BackendServer* server : servers) {
    if (!quiet_.Contains(*server))
      reading.push_back(server);
  }
  return reading;
}

double BackendSelector::ServiceCost(const BackendServer& server,
                                    const PlacementRequest& request) const {
  const double served = loads_.Total(server.id).requests + 1.0;
  const bool other_zone = server.zone != request.zone;
  return served * health_.Slowness(server.id) +
         (other_zone ? kOtherZoneRequests : 0);
}

double BackendSelector::EngineCost(const BackendServer& server,
                                   const BackendServer* home,
                                   const PlacementRequest& request,
                                   Instant now) const {
  const BackendLoad load = loads_.Total(server.id);
  const bool long_answer = request.prompt.HasLongAnswer();
  const auto shared =
      static_cast<double>(request.prompt.SharedTokens().value());
  const auto unread = static_cast<double>(load.unread_tokens);
  double cost = (unread + load.requests * kTokensPerServedRequest) *
                health_.Slowness(server.id);
  const int beyond_slots = load.requests + 1 - server.slots;
  cost += std::max(0, beyond_slots) * kTokensPerSlotWait;
  if (home != &server && !prefixes_.HasSent(server, request.prompt, now))
    cost += shared * (request.engine->CopiesPrefixes() ? kCopyWeight
                                                       : kRepeatedReadWeight);
  if (server.zone != request.zone)
    cost += kOtherZoneTokens;
  if (quiet_.Contains(server) != long_answer)
    cost += long_answer ? kBusyEngineTokens + unread : kQuietEngineTokens;
  return cost;
}

PrefixPlan BackendSelector::PlanPrefix(const BackendServer& server,
                                       const PlacementRequest& request,
                                       Instant now) const {
  const PromptShape& prompt = request.prompt;
  const Tokens own = prompt.input - prompt.SharedTokens();
  const Servers reading = ForReading(request.listed);
  if (!request.engine || prefixes_.Holds(server, reading, prompt, now))
    return {own, nullptr};
  if (!request.engine->CopiesPrefixes() ||
      prompt.SharedTokens() < kMinCopiedTokens)
    return {prompt.input, nullptr};
  // An engine that fails could keep the request waiting.
  Servers sound = reading;
  std::erase_if(sound, [this, now](const BackendServer* other) {
    return health_.HasFailures(other->id) || health_.IsEjected(other->id, now);
  });
  const BackendServer* holder =
      prefixes_.FindHolder(server, sound, prompt, now);
  return {holder ? own : prompt.input, holder};
}

}  // namespace bamboomount
