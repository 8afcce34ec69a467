#include "gateway/placement/backend_selector.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace bamboomount {
namespace {

// What a request that is being served costs a newcomer, in prompt tokens: each
// one lengthens every step of the engine a little.
constexpr double kTokensPerServedRequest = 300;
// Reading shared parts again also takes the engine's time from others.
constexpr double kRepeatedReadWeight = 2;
// What a request to another zone costs, in prompt tokens.
constexpr double kOtherZoneTokens = 1500;
// The same for plain services, in requests served.
constexpr double kOtherZoneRequests = 0.6;
// How long a server is expected to keep a shared part that was just read.
constexpr Millis kReadLifetime{20000};
constexpr Millis kPruneInterval{5000};

// What a conversation costs on an engine that also reads long prompts, and a
// long prompt on a quiet engine, in prompt tokens.
constexpr double kBusyEngineTokens = 6000;
constexpr double kQuietEngineTokens = 50000;
// Part of a quiet engine's slots that conversations are planned for.
constexpr double kQuietSlotPart = 0.3;
// At most one in so many engines is kept quiet.
constexpr std::size_t kMinEnginesPerQuietOne = 3;
constexpr Millis kQuietUpdateInterval{500};
// Ranks the engines for being kept quiet.
constexpr char kQuietKey[] = "quiet";
constexpr Millis kPeakLifetime{10000};

const BackendServer* Preferred(
    const std::vector<const BackendServer*>& candidates,
    std::uint64_t subject) {
  if (subject == 0)
    return nullptr;
  const std::string key = std::to_string(subject);
  const BackendServer* best = nullptr;
  std::uint64_t best_weight = 0;
  for (const BackendServer* server : candidates) {
    const std::uint64_t weight = RendezvousWeight(key, server->id.value());
    if (best && weight <= best_weight)
      continue;
    best = server;
    best_weight = weight;
  }
  return best;
}

// The first `count` servers in an order that is equal on all instances and goes
// through the zones by turns, so that the loss of a zone leaves some.
std::vector<const BackendServer*> SpreadOverZones(
    const std::vector<const BackendServer*>& pool,
    std::size_t count) {
  std::map<ZoneId, std::vector<const BackendServer*>> zones;
  for (const BackendServer* server : pool)
    zones[server->zone].push_back(server);
  std::vector<std::pair<std::size_t, const BackendServer*>> order;
  for (auto& [zone, servers] : zones) {
    std::sort(servers.begin(), servers.end(),
              [](const BackendServer* a, const BackendServer* b) {
                return RendezvousWeight(kQuietKey, a->id.value()) <
                       RendezvousWeight(kQuietKey, b->id.value());
              });
    for (std::size_t turn = 0; turn < servers.size(); ++turn)
      order.emplace_back(turn, servers[turn]);
  }
  std::stable_sort(
      order.begin(), order.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<const BackendServer*> first;
  for (const auto& [turn, server] : order) {
    if (first.size() < count)
      first.push_back(server);
  }
  return first;
}

}  // namespace

const BackendServer* BackendSelector::Choose(
    const std::vector<const BackendServer*>& candidates,
    const PlacementRequest& request,
    Instant now) {
  std::vector<const BackendServer*> sound;
  for (const BackendServer* server : candidates) {
    if (!loads_.IsEjected(server->id, now))
      sound.push_back(server);
  }
  const auto& pool = sound.empty() ? candidates : sound;
  if (request.is_engine)
    UpdateQuiet(request.pool, now);
  const BackendServer* preferred = Preferred(pool, request.prompt.Subject());
  const BackendServer* best = nullptr;
  double best_cost = 0;
  for (const BackendServer* server : pool) {
    const double cost = Cost(*server, preferred, request, now);
    if (best && cost >= best_cost)
      continue;
    best = server;
    best_cost = cost;
  }
  return best;
}

double BackendSelector::Cost(const BackendServer& server,
                             const BackendServer* preferred,
                             const PlacementRequest& request,
                             Instant now) const {
  if (request.is_engine)
    return EngineCost(server, preferred, request, now);
  const double served = loads_.Total(server.id).requests + 1.0;
  const bool other_zone = server.zone != request.zone;
  return served * loads_.Slowness(server.id) +
         (other_zone ? kOtherZoneRequests : 0);
}

double BackendSelector::EngineCost(const BackendServer& server,
                                   const BackendServer* preferred,
                                   const PlacementRequest& request,
                                   Instant now) const {
  const BackendLoad load = loads_.Total(server.id);
  const bool long_answer = request.prompt.HasLongAnswer();
  const bool expects_hit =
      preferred == &server || HasRead(server.id, request.prompt.Subject(), now);
  const auto shared =
      static_cast<double>(request.prompt.SharedTokens().value());
  const auto unread = static_cast<double>(load.unread_tokens);
  double cost = (unread + load.requests * kTokensPerServedRequest) *
                loads_.Slowness(server.id);
  if (!expects_hit)
    cost += shared * kRepeatedReadWeight;
  if (server.zone != request.zone)
    cost += kOtherZoneTokens;
  const auto quiet = quiet_.find(server.pool);
  const bool is_quiet =
      quiet != quiet_.end() && quiet->second.members.contains(server.id);
  if (is_quiet != long_answer)
    cost += long_answer ? kBusyEngineTokens + unread : kQuietEngineTokens;
  return cost;
}

void BackendSelector::UpdateQuiet(const std::vector<const BackendServer*>& pool,
                                  Instant now) {
  if (pool.empty())
    return;
  QuietEngines& quiet = quiet_[pool.front()->pool];
  if (now - quiet.updated < kQuietUpdateInterval &&
      quiet.pool_size == pool.size())
    return;
  quiet.updated = now;
  quiet.pool_size = pool.size();
  int answers = 0;
  for (const BackendServer* server : pool)
    answers += loads_.Total(server->id).long_answers;
  if (answers >= quiet.peak_answers || now - quiet.peak_at > kPeakLifetime) {
    quiet.peak_answers = answers;
    quiet.peak_at = now;
  }
  const double per_engine = pool.front()->slots * kQuietSlotPart;
  const auto needed = static_cast<std::size_t>(
      std::ceil(quiet.peak_answers / std::max(per_engine, 1.0)));
  const std::size_t most = pool.size() / kMinEnginesPerQuietOne;
  quiet.members.clear();
  for (const BackendServer* server :
       SpreadOverZones(pool, std::min(most, std::max<std::size_t>(1, needed))))
    quiet.members.insert(server->id);
}

void BackendSelector::NoteRead(const BackendServer& server,
                               const PromptShape& prompt,
                               Instant now) {
  const std::uint64_t subject = prompt.Subject();
  if (subject == 0)
    return;
  reads_[subject][server.id] = now;
  Prune(now);
}

Tokens BackendSelector::ExpectedRead(const BackendServer& server,
                                     const PlacementRequest& request,
                                     Instant now) const {
  const PromptShape& prompt = request.prompt;
  if (Preferred(request.pool, prompt.Subject()) == &server ||
      HasRead(server.id, prompt.Subject(), now))
    return prompt.input - prompt.SharedTokens();
  return prompt.input;
}

bool BackendSelector::HasRead(const BackendId& server,
                              std::uint64_t subject,
                              Instant now) const {
  const auto reads = reads_.find(subject);
  if (reads == reads_.end())
    return false;
  const auto read = reads->second.find(server);
  return read != reads->second.end() && now - read->second < kReadLifetime;
}

void BackendSelector::Prune(Instant now) {
  if (now - last_prune_ < kPruneInterval)
    return;
  last_prune_ = now;
  for (auto& [subject, reads] : reads_) {
    std::erase_if(reads, [now](const auto& read) {
      return now - read.second >= kReadLifetime;
    });
  }
  std::erase_if(reads_, [](const auto& item) { return item.second.empty(); });
}

}  // namespace bamboomount
