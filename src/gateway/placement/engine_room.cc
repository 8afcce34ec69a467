#include "gateway/placement/engine_room.h"

namespace bamboomount {
namespace {

// Part of the target that may pass in the engine's queue; the rest is for the
// request's own prompt and for what other instances send at the same time.
constexpr double kWaitPart = 0.6;
// Requests at an engine, as a part of its slots, up to which one more finds
// room in its queue.
constexpr double kSlotPart = 1.25;
// The same for urgent requests, which go before those that wait.
constexpr double kUrgentSlotPart = 2;

}  // namespace

bool EngineRoom::Has(const BackendServer& server,
                     const RoomRequest& request) const {
  const BackendLoad load = loads_.Total(server.id);
  const double part = request.urgent ? kUrgentSlotPart : kSlotPart;
  if (load.requests >= server.slots * part)
    return false;
  const Tokens before(request.urgent ? load.urgent_tokens : load.unread_tokens);
  const auto limit =
      std::chrono::duration_cast<Millis>(request.target_latency * kWaitPart);
  return speed_.TimeFor(server.pool, before) <= limit;
}

bool EngineRoom::MustYield(const PoolId& pool,
                           const RoomRequest& request,
                           Instant now) const {
  const auto ranks = none_.find(pool);
  if (ranks == none_.end())
    return false;
  for (const auto& [rank, at] : ranks->second) {
    if (rank < request.rank && now - at < kPrecedenceTime)
      return true;
  }
  return false;
}

void EngineRoom::NoteNone(const PoolId& pool,
                          const RoomRequest& request,
                          Instant now) {
  none_[pool][request.rank] = now;
}

}  // namespace bamboomount
