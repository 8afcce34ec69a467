#include "gateway/placement/reserved_engines.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bamboomount {
namespace {

// Conversations that are planned for a quiet engine: a part of its slots, and
// no more than generate without slowing each other down much.
constexpr double kPlannedSlotFraction = 0.7;
constexpr double kMaxConversationsPerEngine = 20;
// At most one in so many engines is kept quiet.
constexpr std::size_t kMinPoolEnginesPerReserved = 3;
// Their number changes in steps of this part of the pool: instances whose
// figures differ a little still keep the same engines quiet.
constexpr std::size_t kStepsPerPool = 16;
constexpr Millis kUpdateInterval{500};
constexpr Millis kPeakLifetime{10000};
// Ranks the engines for being kept quiet.
constexpr char kRankKey[] = "quiet";

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
                return RendezvousWeight(kRankKey, a->id.value()) <
                       RendezvousWeight(kRankKey, b->id.value());
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

void ReservedEngines::Update(const std::vector<const BackendServer*>& listed,
                             Instant now) {
  std::vector<const BackendServer*> pool = listed;
  std::erase_if(pool,
                [](const BackendServer* server) { return server->draining; });
  if (pool.empty())
    return;
  PoolState& state = pools_[pool.front()->pool];
  if (now - state.updated_at < kUpdateInterval &&
      state.pool_size == pool.size())
    return;
  state.updated_at = now;
  state.pool_size = pool.size();
  int conversations = 0;
  for (const BackendServer* server : pool)
    conversations += loads_.Total(server->id).long_answers;
  if (conversations >= state.peak_conversations ||
      now - state.peak_at > kPeakLifetime) {
    state.peak_conversations = conversations;
    state.peak_at = now;
  }
  const double conversations_per_engine = std::min(
      kMaxConversationsPerEngine, pool.front()->slots * kPlannedSlotFraction);
  auto needed = static_cast<std::size_t>(std::ceil(
      state.peak_conversations / std::max(conversations_per_engine, 1.0)));
  const std::size_t step =
      std::max<std::size_t>(1, pool.size() / kStepsPerPool);
  needed = (needed + step - 1) / step * step;
  const std::size_t max_reserved = pool.size() / kMinPoolEnginesPerReserved;
  state.reserved_ids.clear();
  for (const BackendServer* server : SpreadOverZones(
           pool, std::min(max_reserved, std::max<std::size_t>(1, needed))))
    state.reserved_ids.insert(server->id);
}

bool ReservedEngines::Contains(const BackendServer& server) const {
  const auto state = pools_.find(server.pool);
  return state != pools_.end() &&
         state->second.reserved_ids.contains(server.id);
}

}  // namespace bamboomount
