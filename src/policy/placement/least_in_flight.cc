#include "policy/placement/least_in_flight.h"

namespace bamboomount {

std::unique_ptr<PlacementStrategy> LeastInFlight::Make(std::uint64_t /*seed*/) {
  return std::make_unique<LeastInFlight>();
}

BackendState* LeastInFlight::Choose(const SlotRequest& request,
                                    const PlacementCandidates& candidates) {
  BackendState* best = nullptr;
  for (BackendState* state : candidates.available()) {
    if (Excludes(request, *state))
      continue;
    if (best == nullptr || state->running < best->running)
      best = state;
  }
  return best;
}

}  // namespace bamboomount
