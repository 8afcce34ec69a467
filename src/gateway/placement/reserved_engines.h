#ifndef GATEWAY_PLACEMENT_RESERVED_ENGINES_H_
#define GATEWAY_PLACEMENT_RESERVED_ENGINES_H_

#include <map>
#include <set>
#include <vector>

#include "gateway/boot_clock.h"
#include "gateway/membership/backend_server.h"
#include "gateway/placement/backend_loads.h"

namespace bamboomount {

// The engines of each pool that are kept for live conversations.
//
// An engine reads prompts between the tokens that it generates, so that long
// prompts stall the conversations beside them. As many engines as the
// conversations need are kept quiet: conversations go there and long prompts
// elsewhere, as long as the others have room. All instances keep the same ones
// quiet, by rendezvous hashing.
class ReservedEngines {
 public:
  explicit ReservedEngines(const BackendLoads& loads) : loads_(loads) {}

  // Chooses anew among the servers of one pool, if that is due.
  void Update(const std::vector<const BackendServer*>& listed, Instant now);
  bool Contains(const BackendServer& server) const;

 private:
  struct PoolState {
    std::set<BackendId> reserved_ids;
    // The largest number of conversations in the last seconds, and when.
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
