#ifndef GATEWAY_PLACEMENT_BACKEND_SELECTOR_H_
#define GATEWAY_PLACEMENT_BACKEND_SELECTOR_H_

#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "gateway/boot_clock.h"
#include "gateway/forwarding/prompt_shape.h"
#include "gateway/membership/backend_server.h"
#include "gateway/placement/backend_loads.h"

namespace bamboomount {

// The request that a backend server is chosen for.
struct PlacementRequest {
  // Empty for plain services.
  const PromptShape& prompt;
  bool is_engine = false;
  // The zone of this instance; bytes to other zones cost money.
  ZoneId zone;
  // All usable servers of the pool, also those that cannot be chosen now.
  std::vector<const BackendServer*> pool;
};

// Chooses the backend server with the least expected cost, in prompt tokens
// that could be read instead: tokens waiting to be read there, shared parts of
// the prompt that it would have to read again, requests that it already serves,
// and the way to another zone.
//
// Rendezvous hashing gives all instances the same preferred server for each
// subject without a shared table; load moves requests to others only once
// waiting costs more than reading the shared parts again.
//
// An engine reads prompts between the tokens that it generates, so that long
// prompts stall the live conversations beside them. A few engines, as many as
// the conversations need, are kept quiet: conversations go there and long
// prompts elsewhere, as long as the others have room. All instances keep the
// same ones quiet, by rendezvous hashing.
class BackendSelector {
 public:
  explicit BackendSelector(const BackendLoads& loads) : loads_(loads) {}

  // Null if `candidates` is empty. Ejected servers are chosen only if all are
  // ejected: a fault on this side must not empty the pool.
  const BackendServer* Choose(
      const std::vector<const BackendServer*>& candidates,
      const PlacementRequest& request,
      Instant now);
  // Notes that the server has read the prompt's shared parts.
  void NoteRead(const BackendServer& server,
                const PromptShape& prompt,
                Instant now);
  // Tokens that the server is expected to read for the prompt.
  Tokens ExpectedRead(const BackendServer& server,
                      const PlacementRequest& request,
                      Instant now) const;

 private:
  double Cost(const BackendServer& server,
              const BackendServer* preferred,
              const PlacementRequest& request,
              Instant now) const;
  double EngineCost(const BackendServer& server,
                    const BackendServer* preferred,
                    const PlacementRequest& request,
                    Instant now) const;
  // Chooses the engines of the pool that are kept quiet.
  void UpdateQuiet(const std::vector<const BackendServer*>& pool, Instant now);
  bool HasRead(const BackendId& server,
               std::uint64_t subject,
               Instant now) const;
  void Prune(Instant now);

  const BackendLoads& loads_;
  // When this instance last sent a subject to a server.
  std::unordered_map<std::uint64_t, std::unordered_map<BackendId, Instant>>
      reads_;
  Instant last_prune_;

  // The engines that are kept quiet, of the pools that were last seen.
  struct QuietEngines {
    std::set<BackendId> members;
    // The largest number of long answers in the last seconds, and when.
    int peak_answers = 0;
    Instant peak_at;
    Instant updated;
    std::size_t pool_size = 0;
  };
  std::map<PoolId, QuietEngines> quiet_;
};

}  // namespace bamboomount

#endif  // GATEWAY_PLACEMENT_BACKEND_SELECTOR_H_
