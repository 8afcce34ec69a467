#include "policy/placement/round_robin.h"

namespace bamboomount {

std::unique_ptr<PlacementStrategy> RoundRobin::Make(std::uint64_t /*seed*/) {
  return std::make_unique<RoundRobin>();
}

BackendState* RoundRobin::Choose(const SlotRequest& request,
                                 const PlacementCandidates& candidates) {
  BackendState* best = nullptr;
  for (BackendState* state : candidates.available()) {
    if (Excludes(request, *state))
      continue;
    if (best == nullptr || state->last_grant < best->last_grant)
      best = state;
  }
  return best;
}

}  // namespace bamboomount
