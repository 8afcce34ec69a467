#ifndef GATEWAY_PLACEMENT_RESERVED_ENGINES_H_
#define GATEWAY_PLACEMENT_RESERVED_ENGINES_H_

#include <map>
#include <set>
#include <vector>

#include "gateway/boot_clock.h"
#include "gateway/membership/backend_server.h"
#include "gateway/placement/backend_loads.h"

namespace bamboomount {

// The engines of each pool that are reserved for live conversations. Not
// thread-safe.
//
// An engine prefills prompts between the tokens that it generates, so a long
// prompt stalls the conversations on the same engine. As many engines as the
// conversations need are reserved: conversations go there, and long prompts go
// to the other engines while those have capacity. Rendezvous hashing makes all
// instances reserve the same engines.
class ReservedEngines {
 public:
  explicit ReservedEngines(const BackendLoads& loads) : loads_(loads) {}

  // Reselects the reserved engines among the listed servers of one pool if the
  // update interval has passed or the pool's size has changed.
  void Update(const std::vector<const BackendServer*>& listed, Instant now);
  // Whether the server is reserved as of the last Update() of its pool.
  bool Contains(const BackendServer& server) const;

 private:
  struct PoolState {
    std::set<BackendId> reserved_ids;
    // The highest recent number of conversations, and when it was counted.
    int peak_conversations = 0;
    Instant peak_at;
    Instant updated_at;
    std::size_t pool_size = 0;
  };

  const BackendLoads& loads_;
  std::map<PoolId, PoolState> pools_;
};

}  // namespace bamboomount

#endif  // GATEWAY_PLACEMENT_RESERVED_ENGINES_H_
